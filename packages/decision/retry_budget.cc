#include "decision/retry_budget.h"

#include <cmath>

namespace vanillafall {

void RetryBudget::OnFirstTry(TimePoint now) {
  Age(now);
  saved_ += share_;
}

bool RetryBudget::HasRetry(TimePoint now) {
  Age(now);
  return saved_ >= 1.0;
}

bool RetryBudget::TryTake(TimePoint now) {
  if (!HasRetry(now)) {
    return false;
  }
  saved_ -= 1.0;
  return true;
}

void RetryBudget::Age(TimePoint now) {
  const std::chrono::duration<double> age = now - aged_;
  aged_ = now;
  if (saved_ > floor_) {
    const double half_lives = age / kHalfLife;
    saved_ = floor_ + (saved_ - floor_) * std::exp2(-half_lives);
  }
}

}  // namespace vanillafall
