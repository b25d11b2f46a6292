#ifndef DISPATCH_RATE_LIMIT_H_
#define DISPATCH_RATE_LIMIT_H_

#include <optional>

#include "base/clock.h"

namespace vanillafall {

// Keeps the requests that are sent to one backend server within the rate that
// the server has named: a token bucket that holds a fraction of a second's
// requests. Without a named rate it allows everything.
class RateLimit {
 public:
  // Requests per second; nothing for no limit. A lower rate than kMinRate,
  // zero included, counts as kMinRate.
  void SetRate(std::optional<double> per_second, TimePoint now);

  // Whether a request may be sent now.
  bool HasToken(TimePoint now);
  // Counts a request. Only after HasToken has returned true.
  void Take(TimePoint now);
  // Takes back a Take whose request was not sent.
  void Return();

  // Time until a request may be sent that has `ahead` others before it.
  Duration TimeUntilToken(double ahead, TimePoint now);

  bool is_limited() const { return per_second_.has_value(); }

 private:
  // Time for which an unused rate accumulates: the server names its limit for
  // a second.
  static constexpr std::chrono::milliseconds kBurstTime{1000};
  // A server that gets no request at all could never name another rate.
  static constexpr double kMinRate = 0.5;

  double Capacity() const;
  void Refill(TimePoint now);

  std::optional<double> per_second_;
  // Requests that may be sent now.
  double tokens_ = 0;
  TimePoint refilled_at_;
};

}  // namespace vanillafall

#endif  // DISPATCH_RATE_LIMIT_H_
