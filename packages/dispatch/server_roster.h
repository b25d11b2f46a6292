#ifndef DISPATCH_SERVER_ROSTER_H_
#define DISPATCH_SERVER_ROSTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "dispatch/server_directory.h"

namespace vanillafall {

// The current list of backend servers. Merges whole lists, which may be some
// seconds old, with changes of single servers and with outages of the source.
// An older revision of a server never replaces a newer one. Servers that are
// missing shortly after an outage are kept for a while: their registrations may
// have expired while the source could not be reached, and servers that still
// run register again.
class ServerRoster {
 public:
  // Time after an outage during which missing servers are kept, so that they
  // can register again.
  static constexpr std::chrono::milliseconds kReregistrationTime{2500};

  // Whether the source of lists and changes answers.
  void SetSourceReachable(bool is_reachable, TimePoint now);
  // A whole list has arrived.
  void OnList(const std::vector<ListedServer>& listed, TimePoint now);
  // One server was added or has changed.
  void UpdateServer(const ListedServer& server);
  // One server was removed in this revision.
  void RemoveServer(const std::string& id,
                    std::uint64_t revision,
                    TimePoint now);

  // Drops the servers that are still missing kReregistrationTime after an
  // outage.
  void Advance(TimePoint now);

  // The time at which Advance has servers to drop.
  std::optional<TimePoint> NextWake() const;
  std::vector<ListedServer> servers() const;

 private:
  // Maximum number of removals that are remembered; limits memory.
  static constexpr std::size_t kMaxRemoved = 4096;

  void Remove(const std::string& id, std::uint64_t revision);
  // False during an outage and shortly after it, when servers may be missing
  // from the source although they run.
  bool IsListReliable(TimePoint now) const {
    return is_source_reachable_ &&
           now >= reachable_since_ + kReregistrationTime;
  }

  bool is_source_reachable_ = true;
  TimePoint reachable_since_;
  std::map<std::string, ListedServer> servers_;
  // Servers that went missing during or shortly after an outage, with the
  // revision of their removal, or 0 when they are only missing from a list.
  std::map<std::string, std::uint64_t> missing_;
  // Removed servers with the revision of their removal.
  std::map<std::string, std::uint64_t> removed_;
};

}  // namespace vanillafall

#endif  // DISPATCH_SERVER_ROSTER_H_
