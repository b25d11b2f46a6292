#ifndef DECISION_KEY_RETENTION_H_
#define DECISION_KEY_RETENTION_H_

#include <chrono>

#include "base/clock.h"
#include "config/fleet_config.h"

namespace vanillafall {

// Maximum time between the moment at which a caller sends a request and the
// moment at which a guard votes on it. Daemons refuse keyed requests that may
// be older (see PauseDetector).
inline constexpr std::chrono::milliseconds kMaxRequestAge{30'000};

// The longest retention that a service document can require. A guard keeps a
// grant this long when the attempt was routed by a newer document than its own.
inline constexpr std::chrono::milliseconds kMaxRetention =
    std::chrono::hours(1) + kMaxRequestAge;

// Maximum difference between the wall clocks of a caller and of a daemon.
inline constexpr std::chrono::milliseconds kMaxClockSkew{5'000};

// How long a guard must remember a key after its grant, and how long a guard
// that has just started must abstain. It is the resend window plus
// kMaxRequestAge, because a resend that is sent within the window may take that
// long to reach the guard. After the window was shortened, its former length
// counts as long as the document lists the former guard set.
std::chrono::milliseconds RetentionOf(const ServiceConfig& service);

// Detects that this process did not run for a while (SIGSTOP, a frozen
// instance). Messages that are read from sockets right after such a pause may
// be of any age.
class PauseDetector {
 public:
  // A longer time without any event counts as a pause. Ticks are events, so a
  // running process has one at least every kTickPeriod.
  static constexpr std::chrono::milliseconds kMaxEventGap{5'000};
  // Time after a pause during which received messages may be old.
  static constexpr std::chrono::milliseconds kStalePeriod{1'000};

  explicit PauseDetector(TimePoint started) : last_(started) {}

  // Call for every event, before it is handled.
  void OnEvent(TimePoint now);

  // True for kStalePeriod after a pause has ended.
  bool WasRecentlyPaused(TimePoint now) const { return now < stale_until_; }

 private:
  TimePoint last_;
  TimePoint stale_until_;
};

}  // namespace vanillafall

#endif  // DECISION_KEY_RETENTION_H_
