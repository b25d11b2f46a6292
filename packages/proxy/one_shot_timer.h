#ifndef PROXY_ONE_SHOT_TIMER_H_
#define PROXY_ONE_SHOT_TIMER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <utility>

#include "base/clock.h"

namespace vanillafall {

// A timer that runs the handler of its latest start, and only that one. The
// event loop queues the handler of a wait as soon as the wait is over, and
// can't take it back when the timer is started again or cancelled before the
// handler runs. That happens when the process has stood still: the input that
// restarts the timer and the end of its wait are found in the same turn.
class OneShotTimer {
 public:
  explicit OneShotTimer(boost::asio::io_context& loop) : timer_(loop) {}
  ~OneShotTimer() { Cancel(); }
  OneShotTimer(const OneShotTimer&) = delete;
  OneShotTimer& operator=(const OneShotTimer&) = delete;

  // Runs the handler, which takes no arguments, after this time.
  template <typename Handler>
  void Start(Duration time, Handler handler) {
    const std::uint64_t start = ++*latest_start_;
    timer_.expires_after(time);
    timer_.async_wait(
        [latest = latest_start_, start, handler = std::move(handler)](
            boost::system::error_code /*error*/) mutable {
          if (start == *latest) {
            handler();
          }
        });
  }
  // Keeps the handler of the latest start from running.
  void Cancel() {
    ++*latest_start_;
    timer_.cancel();
  }
  // When the wait of the latest start is over or was.
  TimePoint expiry() const { return timer_.expiry(); }

 private:
  boost::asio::steady_timer timer_;
  // Shared with the waits, which may outlive the timer.
  const std::shared_ptr<std::uint64_t> latest_start_ =
      std::make_shared<std::uint64_t>(0);
};

}  // namespace vanillafall

#endif  // PROXY_ONE_SHOT_TIMER_H_
