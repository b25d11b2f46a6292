#ifndef DISPATCH_SERVER_DIRECTORY_H_
#define DISPATCH_SERVER_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "dispatch/link_message.h"
#include "dispatch/source_revision.h"

namespace vanillafall {

// One process of a backend server: started again under the same id, it is
// another one.
struct ServerProcess {
  std::string id;
  // Since the Unix epoch; 0 when it is not published.
  std::chrono::milliseconds started_at{0};

  friend bool operator==(const ServerProcess&, const ServerProcess&) = default;
};

// A backend server as published in the list.
struct ListedServer {
  std::string id;
  std::string service;
  // Host and port of its HTTP server; only its own instance can reach it.
  std::string address;
  // The daemon on the same instance.
  PeerAddress owner;
  std::string data_centre;
  std::uint32_t slots = 1;
  bool is_draining = false;
  // How much longer the server stays slow after its start, counted from the
  // time at which the list was read.
  std::chrono::milliseconds warm_up_left{0};
  // Revision of the last change of this registration.
  SourceRevision revision;
  // Counts what the process has published about itself; a later registration of
  // the same process has a greater number. 0 when it is not published.
  std::uint64_t sequence = 0;
  // Start of the process, since the Unix epoch. A different start under the
  // same id is another incarnation. 0 when it is not published.
  std::chrono::milliseconds started_at{0};

  ServerProcess process() const { return {id, started_at}; }

  friend bool operator==(const ListedServer&, const ListedServer&) = default;
};

// Why the list of backend servers should be read again.
enum class RefreshReason : std::uint8_t {
  // Another process than the listed backend server answers on this instance, so
  // no request can run here until the list has been read.
  kOwnServer,
  // The owner on another instance does not accept requests or could not be
  // reached; new backend servers may have been registered.
  kOtherServers,
};

// All listed backend servers, each with the load that its owner last reported
// to this daemon. The reports only determine the order of offers; the owner
// decides. So an outdated report causes an unnecessary message, but fails no
// request.
class ServerDirectory {
 public:
  // A backend server in the ranking for one request.
  struct Candidate {
    std::string id;
    PeerAddress owner;
    double cost = 0;
    bool is_suspect = false;
    bool is_in_own_data_centre = false;
    // Its owner recently did not reply, or reported that it accepts no
    // requests.
    bool is_avoided = false;
    std::chrono::milliseconds expected_wait{0};
    // The server had no free slot according to the last report.
    bool is_full = false;
    // Age of the last report; negative when there is none.
    std::chrono::milliseconds report_age{-1};
  };

  // `data_centre` is this daemon's own; its servers are preferred.
  explicit ServerDirectory(std::string data_centre);

  // Replaces the list; reports of servers that stay on the list are kept.
  void Update(const std::vector<ListedServer>& servers, TimePoint now);

  void OnLoad(const std::string& id, const OwnerLoad& load, TimePoint now);
  void OnDeny(const std::string& id, DenyReason reason, TimePoint now);
  // The owner did not reply in time, or its link broke.
  void OnNoReply(const std::string& id, TimePoint now);

  // The service's servers that are not excluded and not leaving, in the order
  // in which to offer: servers to avoid come last, then by cost.
  std::vector<Candidate> Rank(std::string_view service,
                              const std::set<std::string>& excluded,
                              std::mt19937_64& random,
                              TimePoint now) const;

  // Share of the service's servers that are suspected of failing requests.
  double SuspectShare(std::string_view service, TimePoint now) const;
  // Number of the service's servers that are not draining.
  std::size_t CountOf(std::string_view service) const;
  // Null when the server is not listed.
  const ListedServer* Find(const std::string& id) const;
  std::vector<ListedServer> ListedServers() const;
  // Every owner, each once.
  std::set<PeerAddress> Owners() const;
  std::size_t size() const { return servers_.size(); }

 private:
  // A listed server with its last report.
  struct ServerState {
    ListedServer listed;
    TimePoint warm_up_end;
    OwnerLoad load;
    TimePoint reported_at;
    bool has_report = false;
    TimePoint avoid_until;
    // Replies missed since the last report.
    std::uint32_t missed_replies = 0;
  };
  // A process that is leaving, as its owner has reported.
  struct LeavingProcess {
    std::chrono::milliseconds started_at{0};
    TimePoint last_listed;
  };

  bool IsLeaving(const ListedServer& server) const;
  // Drops the processes that have been replaced or unlisted for a long time.
  void ForgetLeaving(TimePoint now);
  double CostOf(const ServerState& server, TimePoint now) const;
  // The reported failure probability, reduced according to its age.
  static double FailureProbability(const ServerState& server, TimePoint now);
  static bool IsSuspect(const ServerState& server, TimePoint now);

  const std::string data_centre_;
  std::map<std::string, ServerState> servers_;
  std::map<std::string, std::vector<std::string>, std::less<>> by_service_;
  // By id. Outlives the entry in servers_ and the owner's process, because a
  // leaving server can be listed again and a restarted owner does not know it.
  std::map<std::string, LeavingProcess> leaving_;
};

}  // namespace vanillafall

#endif  // DISPATCH_SERVER_DIRECTORY_H_
