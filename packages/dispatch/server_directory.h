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

namespace vanillafall {

// A backend server as the published list has it.
struct ListedServer {
  std::string id;
  std::string service;
  // Where it serves HTTP; only its own instance can reach it.
  std::string address;
  // The daemon beside it.
  PeerAddress owner;
  std::string data_centre;
  std::uint32_t slots = 1;
  bool is_draining = false;
  // How much longer it stays slow after its start, when it was listed.
  std::chrono::milliseconds warm_up_left{0};
  // Of the entry's last change: greater for the later of two entries.
  std::uint64_t revision = 0;
  // Start of the process, since the Unix epoch; another one under the same id
  // is another incarnation. 0 when it is not published.
  std::chrono::milliseconds started_at{0};

  friend bool operator==(const ListedServer&, const ListedServer&) = default;
};

// Why the list is in doubt.
enum class ListDoubt : std::uint8_t {
  // Another process than the listed one serves on this instance: nothing can
  // be run here before the list has been read.
  kOwnServer,
  // Another instance takes nothing any more; others may have joined.
  kOtherServers,
};

// All listed backend servers, and what this daemon believes of each from its
// owner's messages. Beliefs only order the offers: the owner decides. So a
// wrong belief costs a message, not a request.
class ServerDirectory {
 public:
  struct Candidate {
    std::string id;
    PeerAddress owner;
    double cost = 0;
    bool is_suspect = false;
    bool is_in_own_data_centre = false;
    // Its owner has lately not answered, or has said that it takes nothing.
    bool is_avoided = false;
    std::chrono::milliseconds expected_wait{0};
    // It had no free slot by the last report.
    bool is_full = false;
    // Age of the belief; negative when nothing has been heard.
    std::chrono::milliseconds report_age{-1};
  };

  explicit ServerDirectory(std::string data_centre);

  // Takes a whole list; beliefs of servers that stay are kept.
  void Update(const std::vector<ListedServer>& servers, TimePoint now);

  void OnLoad(const std::string& id, const OwnerLoad& load, TimePoint now);
  void OnDeny(const std::string& id, DenyReason reason, TimePoint now);
  // The owner did not answer in time, or its link broke.
  void OnNoReply(const std::string& id, TimePoint now);

  // The service's servers that are not excluded, cheapest first.
  std::vector<Candidate> Rank(std::string_view service,
                              const std::set<std::string>& excluded,
                              std::mt19937_64& random,
                              TimePoint now) const;

  // Share of the service's servers that are believed to fail requests.
  double SuspectShare(std::string_view service, TimePoint now) const;
  std::size_t CountOf(std::string_view service) const;
  const ListedServer* Find(const std::string& id) const;
  // Every owner, each once.
  std::set<PeerAddress> Owners() const;
  std::size_t size() const { return servers_.size(); }

 private:
  struct ServerState {
    ListedServer listed;
    TimePoint warm_up_end;
    OwnerLoad load;
    TimePoint reported_at;
    bool has_report = false;
    TimePoint avoid_until;
    std::uint32_t missed_replies = 0;
  };

  double CostOf(const ServerState& server, TimePoint now) const;
  // The reported probability of failure, faded with its age.
  static double FailureProbability(const ServerState& server, TimePoint now);
  static bool IsSuspect(const ServerState& server, TimePoint now);

  const std::string data_centre_;
  std::map<std::string, ServerState> servers_;
  std::map<std::string, std::vector<std::string>, std::less<>> by_service_;
};

}  // namespace vanillafall

#endif  // DISPATCH_SERVER_DIRECTORY_H_
