#include "dispatch/rate_limit.h"

#include <algorithm>

namespace vanillafall {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

void RateLimit::SetRate(std::optional<double> per_second, TimePoint now) {
  const bool was_limited = per_second_.has_value();
  Refill(now);
  per_second_ = per_second ? std::optional(std::max(*per_second, kMinRate))
                           : std::nullopt;
  tokens_ = was_limited ? std::min(tokens_, Capacity()) : Capacity();
  refilled_at_ = now;
}

bool RateLimit::HasToken(TimePoint now) {
  Refill(now);
  return !per_second_ || tokens_ >= 1;
}

void RateLimit::Take(TimePoint now) {
  Refill(now);
  tokens_ -= 1;
}

void RateLimit::Return() {
  tokens_ = std::min(tokens_ + 1, Capacity());
}

Duration RateLimit::TimeUntilToken(double ahead, TimePoint now) {
  Refill(now);
  if (!per_second_) {
    return Duration(0);
  }
  const double missing = std::max(0.0, ahead + 1 - tokens_);
  // Rounded up, so that a timer set for this time finds the token.
  return std::chrono::ceil<Duration>(Seconds(missing / *per_second_)) +
         std::chrono::duration_cast<Duration>(std::chrono::microseconds(1));
}

double RateLimit::Capacity() const {
  return per_second_ ? std::max(1.0, *per_second_ * Seconds(kBurstTime).count())
                     : 0;
}

void RateLimit::Refill(TimePoint now) {
  const Seconds elapsed = std::max(now - refilled_at_, Duration(0));
  refilled_at_ = now;
  if (per_second_) {
    tokens_ = std::min(Capacity(), tokens_ + elapsed.count() * *per_second_);
  }
}

}  // namespace vanillafall
