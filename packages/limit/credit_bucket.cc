#include "limit/credit_bucket.h"

#include <algorithm>
#include <cmath>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// Credits of a new allocator, so that a customer with few requests is served at
// once. The bound on all requests has room for 20 in 5 s, and the allocator
// rarely changes more than twice in that time.
constexpr double kFirstTokens = 3;
// More than the usual demand, which is the limit divided by 1.6.
constexpr double kDoubtShare = 0.75;
// Part of the bucket that is never given in advance.
constexpr double kReservedPart = 0.5;
// Tokens that are never given in advance. A small limit gives none: a credit
// that expires unused would cost it a request.
constexpr double kReservedTokens = 8;
// Smallest bucket, as the time of which it holds the requests: they arrive in
// groups, because a daemon asks for several at once.
constexpr Seconds kMinBucketTime{0.05};

double Capacity(const FleetLimit& limit, double share) {
  return std::max({1.0, limit.burst * share,
                   limit.per_second * share * kMinBucketTime.count()});
}

}  // namespace

void CreditBucket::Begin(const FleetLimit& limit,
                         bool is_undisputed,
                         TimePoint now) {
  refilled_at_ = now;
  if (is_undisputed) {
    tokens_ = Capacity(limit, 1);
    doubt_until_ = now;
    return;
  }
  tokens_ = std::min(Capacity(limit, 1), kFirstTokens);
  doubt_until_ = now + kDoubtTime;
}

void CreditBucket::OnStandstill(TimePoint now) {
  refilled_at_ = now;
  doubt_until_ = now + kDoubtTime;
}

std::uint32_t CreditBucket::Take(const FleetLimit& limit,
                                 double share,
                                 std::uint32_t waiting,
                                 std::uint32_t advance,
                                 TimePoint now) {
  const double share_now = ShareNow(share, now);
  const double capacity = Capacity(limit, share_now);
  const Seconds elapsed = std::max(now - refilled_at_, Duration(0));
  refilled_at_ = now;
  const double accrued = elapsed.count() * limit.per_second * share_now;
  // When the share or the limit has fallen, the excess goes gradually: a share
  // that is unknown for milliseconds must not cost half of the bucket.
  tokens_ = std::max(std::min(capacity, tokens_ + accrued), tokens_ - accrued);
  const double for_waiting =
      std::min(static_cast<double>(waiting), std::floor(tokens_));
  tokens_ -= for_waiting;
  const double spare =
      std::floor(tokens_ - std::max(kReservedTokens, capacity * kReservedPart));
  const double in_advance =
      std::clamp(spare, 0.0, static_cast<double>(advance));
  tokens_ -= in_advance;
  return static_cast<std::uint32_t>(for_waiting + in_advance);
}

milliseconds CreditBucket::TimeUntil(const FleetLimit& limit,
                                     double share,
                                     std::uint32_t count,
                                     TimePoint now) const {
  const double rate = limit.per_second * ShareNow(share, now);
  const double missing = std::max(0.0, static_cast<double>(count) - tokens_);
  constexpr double kMaxSeconds = 3600;
  return std::chrono::ceil<milliseconds>(
      Seconds(std::min(kMaxSeconds, missing / std::max(rate, 1e-9))));
}

double CreditBucket::ShareNow(double share, TimePoint now) const {
  return now < doubt_until_ ? std::min(share, kDoubtShare) : share;
}

}  // namespace vanillafall
