#ifndef LIMIT_REACH_ESTIMATE_H_
#define LIMIT_REACH_ESTIMATE_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "message/peer.h"

namespace vanillafall {

// Estimates which part of the fleet this daemon can reach, from probes of
// random daemons. When the network is cut, each side has an allocator of its
// own. If each gives credits only in proportion to its part of the fleet, all
// together stay within the limit. The cost does not depend on the size of the
// fleet, and nothing is sent while no limit is in use.
class ReachEstimate {
 public:
  ReachEstimate(PeerAddress self, std::uint64_t seed);

  // Daemons that have left the list count as not reached for some time: on the
  // other side of a cut, they may have been removed only because the source
  // cannot reach them.
  void SetDaemons(const std::vector<PeerAddress>& daemons, TimePoint now);
  // Whether the source of the list answers.
  void SetSourceReachable(bool is_reachable, TimePoint now);
  // A limit is in use: keep the estimate fresh for some time.
  void Use(TimePoint now);
  // The daemons to probe now.
  std::vector<PeerAddress> TakeProbes(TimePoint now);
  // A reply of this daemon has arrived.
  void OnHeard(const PeerAddress& daemon, TimePoint now);
  // The reply said whether the daemon can be an allocator at all.
  void SetServing(const PeerAddress& daemon, bool is_serving);
  // The daemon did not reply within the time that is usual.
  void Suspect(const PeerAddress& daemon);
  // The link to the daemon broke, or a probe was lost.
  void OnLost(const PeerAddress& daemon);
  // Whether to probe this daemon now, which is skipped or relied upon; true at
  // most every few hundred milliseconds.
  bool TryTakeProbe(const PeerAddress& daemon, TimePoint now);
  // This process has stood still: nothing is known any more.
  void Reset();

  // The part of a limit that this daemon may give as its allocator.
  double Share(TimePoint now) const;
  // Whether the daemon has not replied, or has said that it is no allocator.
  bool IsAvoided(const PeerAddress& daemon) const;
  // Whether the daemon has replied lately and can be an allocator.
  bool IsAlive(const PeerAddress& daemon, TimePoint now) const;
  // Number of daemons, counting those that have left the list lately.
  std::size_t FleetSize(TimePoint now) const;
  // The time at which TakeProbes has something to do; nothing while no limit is
  // in use.
  std::optional<TimePoint> NextWake() const;
  // True while the estimate is kept fresh.
  bool is_in_use(TimePoint now) const { return now < in_use_until_; }

 private:
  // What is known of one daemon.
  struct Contact {
    std::optional<TimePoint> heard_at;
    bool is_suspected = false;
    bool is_serving = true;
    std::optional<TimePoint> probed_at;
  };

  // A number of other daemons that was listed until some time ago.
  struct FormerSize {
    std::size_t others = 0;
    TimePoint replaced_at;
  };

  void AddSample(bool has_replied);
  void ClearSamples();

  const PeerAddress self_;
  std::mt19937_64 random_;
  // All daemons but this one, in random order, and the next one to probe.
  std::vector<PeerAddress> others_;
  std::size_t next_ = 0;
  std::deque<FormerSize> former_sizes_;
  // When the source stopped answering.
  std::optional<TimePoint> source_lost_at_;
  std::unordered_map<PeerAddress, Contact> contacts_;
  // Probes without a reply, with the time at which they count as lost.
  std::map<PeerAddress, TimePoint> open_probes_;
  std::deque<bool> samples_;
  std::size_t missed_ = 0;
  TimePoint in_use_until_;
  TimePoint next_probe_at_ = TimePoint::max();
};

}  // namespace vanillafall

#endif  // LIMIT_REACH_ESTIMATE_H_
