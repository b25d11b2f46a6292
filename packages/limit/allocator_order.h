#ifndef LIMIT_ALLOCATOR_ORDER_H_
#define LIMIT_ALLOCATOR_ORDER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "message/peer.h"

namespace vanillafall {

// A daemon that may become the allocator of limits.
struct LimitMember {
  PeerAddress daemon;
  // Start of its backend server, since the Unix epoch; 0 when unknown.
  std::chrono::milliseconds started_at{0};
  // Its backend server leaves, and the daemon stops with it.
  bool is_leaving = false;

  friend bool operator==(const LimitMember&, const LimitMember&) = default;
};

// Determines which daemon is the allocator of a limit, by rendezvous hashing.
// Daemons with the same list get the same order without any message.
//
// A server that has just started is not yet in all lists, so its daemon becomes
// an allocator only kMinAge after the start. The start is published, so all
// daemons change over at the same time.
class AllocatorOrder {
 public:
  // Longer than any daemon's list lags behind.
  static constexpr std::chrono::seconds kMinAge{15};
  // The allocator and those that replace it, in this order.
  static constexpr std::size_t kMaxCandidates = 4;

  // `self` is this daemon, `unix_offset` the Unix time at the epoch of
  // TimePoint.
  AllocatorOrder(PeerAddress self, std::chrono::milliseconds unix_offset)
      : self_(std::move(self)), unix_offset_(unix_offset) {}

  // Returns false when the list is the same as before.
  bool SetMembers(const std::vector<LimitMember>& members, TimePoint now);
  // Takes in daemons whose servers have reached kMinAge. Returns whether the
  // candidates have changed.
  bool Update(TimePoint now);

  // The candidates for this limit, the allocator first.
  std::vector<PeerAddress> Find(std::string_view limit) const;
  // Whether this daemon has been the first candidate since this time at least.
  bool IsFirstSince(std::string_view limit, TimePoint since) const;
  // The daemons that may consider themselves the allocator when this daemon
  // does, because lists differ: those that come before it in the order, or came
  // before it lately and have left the list.
  std::vector<PeerAddress> FindRivals(std::string_view limit,
                                      const PeerAddress& daemon,
                                      TimePoint now) const;
  // Whether this daemon can be the allocator of any limit.
  bool IsCandidate() const { return joined_at_.has_value(); }
  // All daemons of the list, each once.
  const std::vector<PeerAddress>& daemons() const { return daemons_; }
  // Changes whenever the candidates change.
  std::uint64_t epoch() const { return epoch_; }

 private:
  // A candidate that is none any more.
  struct FormerCandidate {
    PeerAddress daemon;
    TimePoint left_at;
  };
  // Former candidates are kept for this time.
  static constexpr std::chrono::seconds kMemory{30};

  const PeerAddress self_;
  const std::chrono::milliseconds unix_offset_;
  std::vector<LimitMember> members_;
  std::vector<PeerAddress> daemons_;
  std::vector<PeerAddress> candidates_;
  std::uint64_t epoch_ = 0;
  // When the next server reaches kMinAge.
  TimePoint next_change_ = TimePoint::max();
  // When this daemon became a candidate; nothing while it is none.
  std::optional<TimePoint> joined_at_;
  std::vector<FormerCandidate> former_;
  // Nothing is known of the candidates before this time.
  TimePoint known_since_ = TimePoint::max();
};

}  // namespace vanillafall

#endif  // LIMIT_ALLOCATOR_ORDER_H_
