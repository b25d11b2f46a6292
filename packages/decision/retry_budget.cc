#include "decision/retry_budget.h"

#include <cmath>

namespace vanillafall {

void RetryBudget::OnFirstTry(TimePoint now) {
  Decay(now);
  balance_ += share_;
}

void RetryBudget::Charge(double retries, TimePoint now) {
  Decay(now);
  balance_ -= retries;
}

bool RetryBudget::HasRetries(double retries, TimePoint now) {
  Decay(now);
  return balance_ >= retries;
}

bool RetryBudget::TryTake(TimePoint now) {
  if (!HasRetry(now)) {
    return false;
  }
  balance_ -= 1.0;
  return true;
}

void RetryBudget::Decay(TimePoint now) {
  const std::chrono::duration<double> elapsed = now - decayed_at_;
  decayed_at_ = now;
  if (balance_ > floor_) {
    const double half_lives = elapsed / kHalfLife;
    balance_ = floor_ + (balance_ - floor_) * std::exp2(-half_lives);
  }
}

}  // namespace vanillafall
