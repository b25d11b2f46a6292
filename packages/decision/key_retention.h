#ifndef DECISION_KEY_RETENTION_H_
#define DECISION_KEY_RETENTION_H_

#include <chrono>

#include "base/clock.h"
#include "config/fleet_config.h"

namespace vanillafall {

// Longest time between the moment at which a caller sends a request and the
// moment at which a guard decides on it. Daemons refuse keyed work whose age
// they can't vouch for (see PauseDetector).
inline constexpr std::chrono::milliseconds kMostRequestAge{30'000};

// The longest retention that any document can ask for. A guard keeps a grant
// this long when the attempt was routed by a newer document than its own.
inline constexpr std::chrono::milliseconds kMaxRetention =
    std::chrono::hours(1) + kMostRequestAge;

// Most by which the civil clocks of a caller and of a daemon differ.
inline constexpr std::chrono::milliseconds kMostClockSkew{5'000};

// How long a guard must remember a key after its grant, and how long a guard
// that has just started must abstain: a resend that is sent within the resend
// window may still be on its way for kMostRequestAge. A window that was
// shortened counts with its former length while the document carries it.
std::chrono::milliseconds RetentionOf(const ServiceConfig& service);

// Tells when this process has been stopped (SIGSTOP, a frozen machine). What is
// read from sockets right after such a pause may be of any age.
class PauseDetector {
 public:
  static constexpr std::chrono::milliseconds kMaxEventGap{5'000};
  static constexpr std::chrono::milliseconds kStalePeriod{1'000};

  explicit PauseDetector(TimePoint started) : last_(started) {}

  // Call for every event, before it is handled.
  void OnEvent(TimePoint now);

  // True for a short time after a pause.
  bool IsWaking(TimePoint now) const { return now < stale_until_; }

 private:
  TimePoint last_;
  TimePoint stale_until_;
};

}  // namespace vanillafall

#endif  // DECISION_KEY_RETENTION_H_
