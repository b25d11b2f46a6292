#ifndef PROXY_LOG_BUDGET_H_
#define PROXY_LOG_BUDGET_H_

#include <cstdint>

#include "base/clock.h"
#include "base/log_event.h"

namespace vanillafall {

// Limits the number of log lines per second with a token bucket. When lines
// come faster, lines of successful requests are dropped first, so that failed
// requests can still be explained.
class LogBudget {
 public:
  explicit LogBudget(std::uint32_t lines_per_second);

  void SetRate(std::uint32_t lines_per_second) {
    lines_per_second_ = lines_per_second;
  }

  // True when the line may be written; otherwise it is counted as dropped.
  bool Admit(const LogEvent& event, TimePoint now);

  // Returns the number of lines dropped since the last call.
  std::uint64_t TakeDroppedCount();

  // True for lines of normal operation: a successful request, an opened link.
  static bool IsRoutine(const LogEvent& event);

 private:
  // Capacity of the bucket, in seconds at the rate.
  static constexpr double kBurstSeconds = 4;
  // Share of the bucket that routine lines leave to all other lines.
  static constexpr double kReservedShare = 0.5;

  double lines_per_second_;
  // Lines that may be written now.
  double tokens_;
  TimePoint refilled_at_;
  std::uint64_t dropped_count_ = 0;
};

}  // namespace vanillafall

#endif  // PROXY_LOG_BUDGET_H_
