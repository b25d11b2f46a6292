#include "dispatch/config_freshness.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace vanillafall {
namespace {

using Origin = ConfigFreshness::Origin;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

// The age of the evidence at which a daemon with traffic checks again.
Duration CheckAge(ConfigFreshness& freshness, TimePoint confirmed_at) {
  freshness.OnConfirmed(confirmed_at, Origin::kSource);
  TimePoint now = confirmed_at;
  while (!freshness.TryTakeCheck(now)) {
    now += milliseconds(1);
  }
  return now - confirmed_at;
}

TEST_CASE("a busy daemon checks before its evidence is too old to refuse on",
          "[freshness]") {
  ConfigFreshness freshness(1);
  freshness.SetFleetSize(1000);
  CHECK_FALSE(freshness.IsRecent(kStart));
  for (int i = 0; i < 200; ++i) {
    const TimePoint confirmed_at = kStart + seconds(10 * i);
    const Duration age = CheckAge(freshness, confirmed_at);
    CHECK(age >= ConfigFreshness::kMinCheckAge);
    CHECK(age <= ConfigFreshness::kMaxCheckAge + milliseconds(1));
    CHECK(freshness.IsRecent(confirmed_at + age));
    CHECK_FALSE(freshness.IsRecent(confirmed_at + seconds(2)));
  }
}

// Load: a busy fleet in which the first daemon that checks tells all others
// within 20 ms. Each check is a charged call to the source.
TEST_CASE("the checks of a fleet hardly grow with its size", "[freshness]") {
  for (const std::size_t daemons : {1, 22, 111, 1100}) {
    constexpr int kRounds = 200;
    const milliseconds notice_time{20};
    std::vector<ConfigFreshness> fleet;
    for (std::size_t i = 0; i < daemons; ++i) {
      fleet.emplace_back(i);
      fleet.back().SetFleetSize(daemons);
    }
    int checks = 0;
    for (int round = 0; round < kRounds; ++round) {
      std::vector<Duration> ages;
      ages.reserve(daemons);
      for (ConfigFreshness& each : fleet) {
        ages.push_back(CheckAge(each, kStart + seconds(10 * round)));
      }
      const Duration first = *std::min_element(ages.begin(), ages.end());
      checks += static_cast<int>(std::count_if(
          ages.begin(), ages.end(), [first, notice_time](Duration age) {
            return age < first + notice_time;
          }));
    }
    INFO(daemons);
    CHECK(checks <= 2 * kRounds);
  }
}

// Load: a fleet in which requests begin again after a pause, at all daemons in
// the same moment.
TEST_CASE("a fleet that becomes busy does not check all at once",
          "[freshness]") {
  constexpr int kDaemons = 1000;
  const TimePoint begin = kStart + seconds(60);
  const milliseconds notice_time{20};
  std::vector<Duration> delays;
  delays.reserve(kDaemons);
  for (int i = 0; i < kDaemons; ++i) {
    ConfigFreshness freshness(static_cast<std::uint64_t>(i));
    freshness.SetFleetSize(kDaemons);
    freshness.OnConfirmed(kStart, Origin::kSource);
    TimePoint now = begin;
    while (!freshness.TryTakeCheck(now)) {
      now += milliseconds(1);
    }
    delays.push_back(now - begin);
  }
  const Duration first = *std::min_element(delays.begin(), delays.end());
  const Duration last = *std::max_element(delays.begin(), delays.end());
  CHECK(last <= seconds(1) + milliseconds(1));
  CHECK(std::count_if(delays.begin(), delays.end(),
                      [first, notice_time](Duration delay) {
                        return delay < first + notice_time;
                      }) < kDaemons / 100);
}

TEST_CASE("a check that brings no confirmation is repeated, but not at once",
          "[freshness]") {
  ConfigFreshness freshness(1);
  const TimePoint checked_at = kStart + CheckAge(freshness, kStart);
  CHECK_FALSE(freshness.TryTakeCheck(checked_at + milliseconds(100)));
  CHECK(freshness.TryTakeCheck(checked_at + seconds(1)));
}

TEST_CASE("a gap between confirmations is told from steady ones",
          "[freshness]") {
  ConfigFreshness freshness(1);
  CHECK_FALSE(freshness.IsConfirmedSince(kStart, kStart));
  TimePoint now = kStart;
  for (int i = 0; i < 5; ++i) {
    freshness.OnConfirmed(now, Origin::kSource);
    now += seconds(1);
  }
  CHECK(freshness.IsConfirmedSince(kStart, now));
  CHECK_FALSE(freshness.IsConfirmedSince(kStart - seconds(1), now));
  now += seconds(2);
  CHECK_FALSE(freshness.IsConfirmedSince(kStart, now));
  freshness.OnConfirmed(now, Origin::kSource);
  CHECK_FALSE(freshness.IsConfirmedSince(kStart, now));
  CHECK(freshness.IsConfirmedSince(now, now));
}

TEST_CASE("only a confirmation that others may lack is news", "[freshness]") {
  ConfigFreshness freshness(1);
  CHECK(freshness.OnConfirmed(kStart, Origin::kSource));
  CHECK_FALSE(freshness.OnConfirmed(kStart - seconds(1), Origin::kSource));
  CHECK_FALSE(
      freshness.OnConfirmed(kStart + milliseconds(10), Origin::kSource));
  CHECK(freshness.OnConfirmed(kStart + seconds(1), Origin::kSource));
  CHECK(freshness.Age(kStart + seconds(3)) == seconds(2));
}

}  // namespace
}  // namespace vanillafall
