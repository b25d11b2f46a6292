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

// Which backend servers are taken to be there, from lists that may be some
// seconds old, changes of single entries, and outages of the source. What is
// known of an entry never goes back to an older revision. Entries that are
// missing shortly after an outage are kept for a while: they may have lapsed
// while the source was away, and those whose servers live come back.
class ServerRoster {
 public:
  // After an outage, missing entries are believed gone only this much later.
  static constexpr std::chrono::milliseconds kReregistrationTime{2500};

  // The source answers, or does not any more.
  void OnReached(bool is_reachable, TimePoint now);
  void OnList(const std::vector<ListedServer>& listed, TimePoint now);
  // One entry has changed, or was removed in that revision.
  void OnEntry(const ListedServer& server);
  void OnRemoved(const std::string& id, std::uint64_t revision, TimePoint now);

  // Drops what is still missing once that while is over.
  void Advance(TimePoint now);

  // When Advance has something to drop.
  std::optional<TimePoint> NextWake() const;
  std::vector<ListedServer> servers() const;

 private:
  // Bounds the memory of removed entries.
  static constexpr std::size_t kMaxRemoved = 4096;

  void Remove(const std::string& id, std::uint64_t revision);
  bool IsListReliable(TimePoint now) const {
    return is_source_reachable_ &&
           now >= reachable_since_ + kReregistrationTime;
  }

  bool is_source_reachable_ = true;
  TimePoint reachable_since_;
  std::map<std::string, ListedServer> servers_;
  // Missing since shortly after an outage; and in which revision it was
  // removed, or 0 when only a list lacks it.
  std::map<std::string, std::uint64_t> missing_;
  // Revision at which an entry was removed.
  std::map<std::string, std::uint64_t> removed_;
};

}  // namespace vanillafall

#endif  // DISPATCH_SERVER_ROSTER_H_
