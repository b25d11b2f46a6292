#include "proxy/log_budget.h"

#include <algorithm>
#include <utility>

#include "base/outcome.h"

namespace vanillafall {

LogBudget::LogBudget(std::uint32_t lines_per_second)
    : lines_per_second_(lines_per_second),
      tokens_(lines_per_second * kBurstSeconds) {}

bool LogBudget::Admit(const LogEvent& event, TimePoint now) {
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  const double capacity = lines_per_second_ * kBurstSeconds;
  tokens_ = std::min(
      capacity, tokens_ + std::max(0.0, elapsed.count()) * lines_per_second_);
  refilled_at_ = now;
  const double reserved = IsRoutine(event) ? capacity * kReservedShare : 0;
  if (tokens_ < reserved + 1) {
    ++dropped_count_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

std::uint64_t LogBudget::TakeDroppedCount() {
  return std::exchange(dropped_count_, 0);
}

bool LogBudget::IsRoutine(const LogEvent& event) {
  switch (event.id) {
    case LogEventId::kRequestAnswered:
      return event.detail == ToString(Reason::kOk);
    case LogEventId::kRunEnded:
      return event.detail == "answered";
    case LogEventId::kOwnerLinkOpened:
      return true;
    default:
      return false;
  }
}

}  // namespace vanillafall
