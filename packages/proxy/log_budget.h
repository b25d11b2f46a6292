#ifndef PROXY_LOG_BUDGET_H_
#define PROXY_LOG_BUDGET_H_

#include <cstdint>

#include "base/clock.h"
#include "base/log_event.h"

namespace vanillafall {

// Holds the log to so many lines a second. When lines come faster, those of
// requests that went well are left out first, so that failed ones can still be
// explained.
class LogBudget {
 public:
  explicit LogBudget(std::uint32_t lines_per_second);

  void SetRate(std::uint32_t lines_per_second) {
    lines_per_second_ = lines_per_second;
  }

  // True when the line may be written.
  bool Admit(const LogEvent& event, TimePoint now);

  // Lines left out since the last call.
  std::uint64_t TakeDroppedCount();

  // True for the lines of a request that went well.
  static bool IsRoutine(const LogEvent& event);

 private:
  // Saved up for a burst, in seconds of the rate.
  static constexpr double kBurstSeconds = 4;
  // Routine lines leave this part of the budget to the others.
  static constexpr double kReservedShare = 0.5;

  double lines_per_second_;
  double tokens_;
  TimePoint refilled_at_;
  std::uint64_t dropped_count_ = 0;
};

}  // namespace vanillafall

#endif  // PROXY_LOG_BUDGET_H_
