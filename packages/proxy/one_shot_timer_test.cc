#include "proxy/one_shot_timer.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWait{5};

// Runs a handler in the turn of the event loop that finds the timer expired,
// but before the timer's own handler, as input does after a standstill.
template <typename Handler>
void RunInTurnOfExpiry(boost::asio::io_context& loop, Handler handler) {
  std::this_thread::sleep_for(2 * kWait);
  // A loop that has not run yet looks for expired timers first.
  boost::asio::post(loop, handler);
  loop.poll();
}

TEST_CASE("a timer runs its handler once", "[timer]") {
  boost::asio::io_context loop;
  OneShotTimer timer(loop);
  int calls = 0;
  timer.Start(kWait, [&calls] { ++calls; });
  loop.run();
  CHECK(calls == 1);
}

TEST_CASE("a timer that is started again runs only the latest handler",
          "[timer]") {
  boost::asio::io_context loop;
  OneShotTimer timer(loop);
  int former = 0;
  int latest = 0;
  timer.Start(kWait, [&former] { ++former; });
  RunInTurnOfExpiry(loop, [&] { timer.Start(kWait, [&latest] { ++latest; }); });
  loop.restart();
  loop.run();
  CHECK(former == 0);
  CHECK(latest == 1);
}

TEST_CASE("a cancelled or destroyed timer runs no handler", "[timer]") {
  const bool is_destroyed = GENERATE(false, true);
  boost::asio::io_context loop;
  auto timer = std::make_unique<OneShotTimer>(loop);
  int calls = 0;
  timer->Start(kWait, [&calls] { ++calls; });
  RunInTurnOfExpiry(loop, [&] {
    if (is_destroyed) {
      timer.reset();
    } else {
      timer->Cancel();
    }
  });
  loop.restart();
  loop.run();
  CHECK(calls == 0);
}

}  // namespace
}  // namespace vanillafall
