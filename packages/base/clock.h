#ifndef BASE_CLOCK_H_
#define BASE_CLOCK_H_

#include <chrono>

namespace vanillafall {

// A point on the monotonic clock of one process. Points of different processes
// cannot be compared.
using TimePoint = std::chrono::steady_clock::time_point;

// A point of civil time, used only where people or published documents need it.
using WallTime = std::chrono::system_clock::time_point;

using Duration = std::chrono::steady_clock::duration;

// Source of time. Every class that needs the time takes one, so that tests can
// run on a clock that they move themselves. Safe to call from any thread.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
  virtual WallTime wall_now() const = 0;
};

// The clock of the machine.
class SystemClock final : public Clock {
 public:
  TimePoint now() const override { return std::chrono::steady_clock::now(); }
  WallTime wall_now() const override {
    return std::chrono::system_clock::now();
  }
};

}  // namespace vanillafall

#endif  // BASE_CLOCK_H_
