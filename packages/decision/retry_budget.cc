#include "decision/retry_budget.h"

#include <algorithm>

namespace vanillafall {

void RetryBudget::OnFirstTry() {
  saved_ = std::min(kMostSaved, saved_ + kRetriesPerRequest);
}

bool RetryBudget::TryTake() {
  if (saved_ < 1.0) {
    return false;
  }
  saved_ -= 1.0;
  return true;
}

}  // namespace vanillafall
