#ifndef BASE_CLOCK_H_
#define BASE_CLOCK_H_

#include <chrono>

namespace vanillafall {

// A point on the monotonic clock. Points of different processes cannot be
// compared.
using TimePoint = std::chrono::steady_clock::time_point;

// A point on the wall clock, used only for times that people read or that
// published documents contain.
using WallTime = std::chrono::system_clock::time_point;

using Duration = std::chrono::steady_clock::duration;

// Source of time. Every class that needs the time is given a Clock, so that
// tests can use one that they advance themselves. Safe to call from any thread.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
  virtual WallTime wall_now() const = 0;
};

// Clock of the operating system.
class SystemClock final : public Clock {
 public:
  TimePoint now() const override { return std::chrono::steady_clock::now(); }
  WallTime wall_now() const override {
    return std::chrono::system_clock::now();
  }
};

}  // namespace vanillafall

#endif  // BASE_CLOCK_H_
