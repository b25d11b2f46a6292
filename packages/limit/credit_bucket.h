#ifndef LIMIT_CREDIT_BUCKET_H_
#define LIMIT_CREDIT_BUCKET_H_

#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace vanillafall {

// A limit over the whole fleet.
struct FleetLimit {
  double per_second = 0;
  // Requests that may come at once in addition.
  double burst = 0;
};

// The credits that the allocator of one limit may give: a token bucket. A
// daemon that becomes the allocator does not know what its predecessor has
// given, so it begins with a nearly empty bucket and gives a part of the limit
// at first, because the predecessor may still be at work.
class CreditBucket {
 public:
  // How long only a part of the limit is given. The share for the reachable
  // part of the fleet is known by then, and the other daemons have changed
  // over.
  static constexpr std::chrono::milliseconds kDoubtTime{1500};

  // The daemon becomes the allocator. `is_undisputed` tells that no other
  // daemon can have given credits lately.
  void Begin(const FleetLimit& limit, bool is_undisputed, TimePoint now);
  // This process has stood still: another one may have taken its place.
  void OnStandstill(TimePoint now);
  // Gives credits, `share` of the limit at most. Credits in advance leave half
  // of the bucket for requests that wait.
  std::uint32_t Take(const FleetLimit& limit,
                     double share,
                     std::uint32_t waiting,
                     std::uint32_t advance,
                     TimePoint now);
  // Time until this many credits more can be given.
  std::chrono::milliseconds TimeUntil(const FleetLimit& limit,
                                      double share,
                                      std::uint32_t count,
                                      TimePoint now) const;

 private:
  double ShareNow(double share, TimePoint now) const;

  double tokens_ = 0;
  TimePoint refilled_at_;
  TimePoint doubt_until_;
};

}  // namespace vanillafall

#endif  // LIMIT_CREDIT_BUCKET_H_
