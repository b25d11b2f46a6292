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
//
// A source that was restored from a copy begins a new era: registrations and
// removals that the copy lacks are lost until they are made again. Shortly
// after a restore, a registration from the copy therefore counts only if its
// process has not published a later one or been removed since. A process that
// drains never becomes ready again.
class ServerRoster {
 public:
  // Time after an outage during which missing servers are kept, so that they
  // can register again.
  static constexpr std::chrono::milliseconds kReregistrationTime{2500};
  // The same at least, when the outage may have ended before it was noticed.
  static constexpr std::chrono::milliseconds kMinReregistrationTime{2000};
  // A removal after an outage must be in force this long after its end, so this
  // long after the source was last known to be away, missing servers are kept
  // for the minimum time only.
  static constexpr std::chrono::milliseconds kMaxRemovalDelay{2800};
  // Time after a restore during which a removal of a former era is remembered.
  // The registration of a process that has ended expires within this time.
  static constexpr std::chrono::milliseconds kRestoredRemovalTime{10'000};

  // The source of lists and changes does not answer.
  void OnSourceLost() { is_source_reachable_ = false; }
  // The source answers again; it did not yet at `away_at`. `served_others`
  // tells that it was not away but has answered other daemons all the while:
  // then servers could renew their registrations, and one that is missing has
  // left.
  void OnSourceReached(bool served_others, TimePoint away_at, TimePoint now);
  // The source was restored from a copy; what it lists next is of a new era.
  void OnSourceRestored(TimePoint now);
  // A whole list has arrived.
  void OnList(const std::vector<ListedServer>& listed, TimePoint now);
  // One server was added or has changed.
  void UpdateServer(const ListedServer& server, TimePoint now);
  // One server was removed in this revision.
  void RemoveServer(const std::string& id,
                    const SourceRevision& revision,
                    TimePoint now);

  // Drops the servers that are still missing kReregistrationTime after an
  // outage.
  void Advance(TimePoint now);

  // The time at which Advance has servers to drop.
  std::optional<TimePoint> NextWake() const;
  std::vector<ListedServer> servers() const;

 private:
  // A removed server, as last known.
  struct Removal {
    SourceRevision revision;
    TimePoint at;
    std::chrono::milliseconds started_at{0};
    std::uint64_t sequence = 0;
  };

  // Maximum number of removals that are remembered; limits memory.
  static constexpr std::size_t kMaxRemoved = 4096;

  Removal MakeRemoval(const std::string& id,
                      const SourceRevision& revision,
                      TimePoint now) const;
  void Remove(const std::string& id, const Removal& removal);
  // Whether the registration is from before the removal.
  bool IsBefore(const ListedServer& server,
                const Removal& removal,
                TimePoint now) const;
  // Whether the registration is a later one than the known one.
  bool IsLater(const ListedServer& server,
               const ListedServer& known,
               TimePoint now) const;
  // False during an outage and shortly after it or after a restore, when
  // servers may be missing from the source although they run.
  bool IsListReliable(TimePoint now) const {
    return is_source_reachable_ && now >= unreliable_until_;
  }

  bool is_source_reachable_ = true;
  TimePoint unreliable_until_;
  // Until when what was known before a restore takes precedence.
  TimePoint copy_doubtful_until_;
  std::map<std::string, ListedServer> servers_;
  // Servers that went missing during or shortly after an outage or a restore,
  // with their removal, or nothing when they are only missing from a list.
  std::map<std::string, std::optional<Removal>> missing_;
  std::map<std::string, Removal> removed_;
};

}  // namespace vanillafall

#endif  // DISPATCH_SERVER_ROSTER_H_
