#include "decision/execution_guard.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "decision/key_retention.h"
#include "decision/vote_round.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr milliseconds kWindow = minutes(15);
constexpr milliseconds kStartWallTime{1'790'000'000'000};
constexpr TimePoint kStart{std::chrono::hours(10)};
const Hash128 kKey{1, 2};
const Hash128 kBody{3, 4};

ServiceConfig ServiceWithOwners(std::size_t count) {
  ServiceConfig service;
  service.name = "restyle";
  service.number = 7;
  service.resend_window = kWindow;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string name = "b" + std::to_string(i);
    service.backend_servers.push_back({name, name, "o" + std::to_string(i)});
  }
  return service;
}

FleetConfig ConfigWith(const ServiceConfig& service) {
  FleetConfig config;
  config.services[service.name] = service;
  return config;
}

VoteRequest VoteOf(std::uint64_t attempt) {
  VoteRequest vote;
  vote.service = "restyle";
  vote.key = kKey;
  vote.fingerprint = kBody;
  vote.attempt = {attempt, 1};
  vote.owner = "o1";
  vote.service_number = 7;
  return vote;
}

// A guard of a service with five owners. All other owners have shown that its
// configuration is current.
class GuardFixture {
 protected:
  explicit GuardFixture(std::size_t max_keys = 10)
      : guard_("o0", max_keys, kStart, kStartWallTime) {
    guard_.Configure(ConfigWith(service_), kStart);
    for (const char* peer : {"o1", "o2", "o3", "o4"}) {
      guard_.OnPeerUpToDate(peer);
    }
  }

  VoteResult Vote(const VoteRequest& vote, TimePoint now) {
    return guard_.Vote(vote, service_, now).result;
  }
  void Settle(std::uint64_t attempt, Outcome outcome, TimePoint now) {
    guard_.Settle({"restyle", kKey, {attempt, 1}, outcome}, service_, now);
  }

  const ServiceConfig service_ = ServiceWithOwners(5);
  const TimePoint ready_ = kStart + RetentionOf(service_);
  ExecutionGuard guard_;
};

}  // namespace

TEST_CASE_METHOD(GuardFixture, "a guard that has just started abstains") {
  CHECK(Vote(VoteOf(1), ready_ - milliseconds(1)) == VoteResult::kAbstained);
  CHECK(Vote(VoteOf(1), ready_) == VoteResult::kGranted);
}

TEST_CASE_METHOD(GuardFixture,
                 "a key created after the guard started is granted at once") {
  const TimePoint now = kStart + seconds(60);
  VoteRequest vote = VoteOf(1);

  vote.key_time = kStartWallTime + kMaxClockSkew;
  CHECK(Vote(vote, now) == VoteResult::kAbstained);

  vote.key_time =
      kStartWallTime + seconds(60) + kMaxClockSkew + milliseconds(1);
  CHECK(Vote(vote, now) == VoteResult::kAbstained);

  vote.key_time = kStartWallTime + kMaxClockSkew + milliseconds(1);
  CHECK(Vote(vote, now) == VoteResult::kGranted);
}

TEST_CASE("a guard without a wall-clock time abstains for every key") {
  const ServiceConfig service = ServiceWithOwners(1);
  ExecutionGuard guard("o0", 10, kStart, milliseconds(0));
  guard.Configure(ConfigWith(service), kStart);
  VoteRequest vote = VoteOf(1);
  vote.key_time = kStartWallTime;
  CHECK(guard.Vote(vote, service, kStart + seconds(60)).result ==
        VoteResult::kAbstained);
}

TEST_CASE("a guard abstains until enough peers show it to be up to date") {
  const ServiceConfig service = ServiceWithOwners(5);
  const TimePoint ready = kStart + RetentionOf(service);
  ExecutionGuard guard("o0", 10, kStart, kStartWallTime);
  guard.Configure(ConfigWith(service), kStart);
  for (const char* peer : {"o1", "o2"}) {
    guard.OnPeerUpToDate(peer);
  }
  CHECK(guard.Vote(VoteOf(1), service, ready).result == VoteResult::kAbstained);
  guard.OnPeerUpToDate("o3");
  CHECK(guard.Vote(VoteOf(1), service, ready).result == VoteResult::kGranted);
}

TEST_CASE_METHOD(GuardFixture, "a key is granted to one attempt at a time") {
  REQUIRE(Vote(VoteOf(1), ready_) == VoteResult::kGranted);
  CHECK(Vote(VoteOf(2), ready_) == VoteResult::kTaken);
  VoteRequest other_body = VoteOf(2);
  other_body.fingerprint = {9, 9};
  CHECK(Vote(other_body, ready_) == VoteResult::kOtherBody);
  Settle(1, Outcome::kNotRun, ready_);
  CHECK(Vote(VoteOf(2), ready_) == VoteResult::kGranted);
}

TEST_CASE_METHOD(GuardFixture,
                 "a release that arrives before its vote request holds") {
  Settle(1, Outcome::kNotRun, ready_);
  CHECK(Vote(VoteOf(1), ready_ + seconds(3)) == VoteResult::kAbstained);
  CHECK(Vote(VoteOf(2), ready_ + seconds(3)) == VoteResult::kGranted);
}

TEST_CASE_METHOD(GuardFixture,
                 "a release of another attempt leaves the grant alone") {
  REQUIRE(Vote(VoteOf(1), ready_) == VoteResult::kGranted);
  Settle(2, Outcome::kNotRun, ready_);
  CHECK(Vote(VoteOf(3), ready_) == VoteResult::kTaken);
}

TEST_CASE_METHOD(GuardFixture, "every grant is kept for the retention") {
  const milliseconds retention = RetentionOf(service_);
  REQUIRE(Vote(VoteOf(1), ready_) == VoteResult::kGranted);

  SECTION("from the grant, if it was never settled") {
    guard_.Expire(ready_ + retention - milliseconds(1));
    CHECK(guard_.key_count() == 1);
    guard_.Expire(ready_ + retention);
    CHECK(guard_.key_count() == 0);
  }
  SECTION("from the settling, if it was settled") {
    const TimePoint settled = ready_ + seconds(30);
    Settle(1, Outcome::kDone, settled);
    guard_.Expire(settled + retention - milliseconds(1));
    CHECK(guard_.key_count() == 1);
    guard_.Expire(settled + retention);
    CHECK(guard_.key_count() == 0);
  }
}

TEST_CASE_METHOD(
    GuardFixture,
    "a grant to a newer document is kept for the longest retention") {
  VoteRequest newer = VoteOf(1);
  newer.service_number = 8;
  REQUIRE(Vote(newer, ready_) == VoteResult::kGranted);
  guard_.Expire(ready_ + kMaxRetention - milliseconds(1));
  CHECK(guard_.key_count() == 1);
}

TEST_CASE("a full table refuses new keys and drops no grant") {
  const ServiceConfig service = ServiceWithOwners(1);
  const TimePoint ready = kStart + RetentionOf(service);
  ExecutionGuard guard("o0", 1, kStart, kStartWallTime);
  guard.Configure(ConfigWith(service), kStart);
  REQUIRE(guard.Vote(VoteOf(1), service, ready).result == VoteResult::kGranted);
  VoteRequest other = VoteOf(2);
  other.key = {5, 6};
  CHECK(guard.Vote(other, service, ready).result == VoteResult::kTableFull);
  CHECK(guard.Vote(VoteOf(2), service, ready).result == VoteResult::kTaken);
}

TEST_CASE_METHOD(GuardFixture, "an attempt of an older document is refused") {
  VoteRequest older = VoteOf(1);
  older.service_number = 6;
  CHECK(Vote(older, ready_) == VoteResult::kStaleConfig);
}

TEST_CASE("a shortened window counts with its former length") {
  ServiceConfig service = ServiceWithOwners(1);
  service.resend_window = seconds(1);
  service.former_guards = {{6, {"o0"}, kWindow, kWindow, {"a"}}};
  CHECK(RetentionOf(service) == kWindow + kMaxRequestAge);
}

TEST_CASE("a pause is detected, and its effect ends") {
  PauseDetector pauses(kStart);
  pauses.OnEvent(kStart + PauseDetector::kMaxEventGap);
  CHECK_FALSE(pauses.WasRecentlyPaused(kStart + PauseDetector::kMaxEventGap));
  const TimePoint woken = kStart + minutes(5);
  pauses.OnEvent(woken);
  CHECK(pauses.WasRecentlyPaused(woken));
  CHECK_FALSE(pauses.WasRecentlyPaused(woken + PauseDetector::kStalePeriod));
}

}  // namespace vanillafall
