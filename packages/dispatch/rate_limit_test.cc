#include "dispatch/rate_limit.h"

#include <catch2/catch.hpp>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Takes every token for this time and returns the number taken.
int TakeFor(RateLimit& limit, Duration time, TimePoint& now) {
  const TimePoint end = now + time;
  int taken = 0;
  while (now < end) {
    if (limit.HasToken(now)) {
      limit.Take(now);
      ++taken;
    } else {
      now += milliseconds(1);
    }
  }
  return taken;
}

TEST_CASE("a server gets no more requests than the rate that it named",
          "[rate_limit]") {
  const double rate = GENERATE(0.0, 0.3, 1.0, 4.7, 20.0, 300.0);
  RateLimit limit;
  TimePoint now(seconds(100));
  limit.SetRate(rate, now);
  now += seconds(60);
  constexpr seconds kWindow(4);
  const int taken = TakeFor(limit, kWindow, now);
  // The rate itself, a second of unused rate before, and one request.
  CHECK(taken <= rate * 5 + 3);
  CHECK(taken >= rate * 4 - 1);
  CHECK(taken >= 1);
}

TEST_CASE("a server without a named rate gets everything", "[rate_limit]") {
  RateLimit limit;
  TimePoint now(seconds(100));
  limit.SetRate(2.0, now);
  TakeFor(limit, milliseconds(700), now);
  CHECK_FALSE(limit.HasToken(now));
  limit.SetRate(std::nullopt, now);
  CHECK(limit.HasToken(now));
  CHECK(limit.TimeUntilToken(10, now) == Duration(0));
}

TEST_CASE("a request that was not sent leaves its place to another",
          "[rate_limit]") {
  RateLimit limit;
  const TimePoint now(seconds(100));
  limit.SetRate(1.0, now);
  limit.Take(now);
  CHECK_FALSE(limit.HasToken(now));
  limit.Return();
  CHECK(limit.HasToken(now));
}

TEST_CASE("the expected wait counts the requests ahead", "[rate_limit]") {
  RateLimit limit;
  const TimePoint now(seconds(100));
  limit.SetRate(1.0, now);
  limit.Take(now);
  CHECK(limit.TimeUntilToken(3, now) >= seconds(4));
  CHECK(limit.HasToken(now + limit.TimeUntilToken(0, now)));
}

}  // namespace
}  // namespace vanillafall
