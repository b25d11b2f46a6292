#include "decision/retry_budget.h"

#include <catch2/catch.hpp>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kMaxTaken = 1000;

int TakeAll(RetryBudget& budget, TimePoint now) {
  int taken = 0;
  while (taken < kMaxTaken && budget.TryTake(now)) {
    ++taken;
  }
  return taken;
}

TEST_CASE("retries stay within their share of first tries", "[retry_budget]") {
  RetryBudget budget;
  TimePoint now;
  int retries = 0;
  constexpr int kFirstTries = 10'000;
  for (int count = 0; count < kFirstTries; ++count) {
    now += milliseconds(10);
    budget.OnFirstTry(now);
    retries += TakeAll(budget, now);
  }
  REQUIRE(retries <= kFirstTries * RetryBudget::kShare + RetryBudget::kFloor);
  REQUIRE(retries >= kFirstTries * RetryBudget::kShare - 1);
}

TEST_CASE("an idle service accumulates no burst of retries", "[retry_budget]") {
  RetryBudget budget;
  TimePoint now;
  for (int count = 0; count < 1000; ++count) {
    budget.OnFirstTry(now);
  }
  now += seconds(60);
  REQUIRE(TakeAll(budget, now) == 1);
}

TEST_CASE("a service with little traffic can retry", "[retry_budget]") {
  RetryBudget budget;
  TimePoint now;
  REQUIRE(TakeAll(budget, now) == 1);
  for (int count = 0; count < 11; ++count) {
    now += seconds(60);
    budget.OnFirstTry(now);
  }
  REQUIRE(TakeAll(budget, now) == 1);
}

}  // namespace
}  // namespace vanillafall
