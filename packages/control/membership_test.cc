#include "control/membership.h"

#include <catch2/catch.hpp>

namespace vanillafall {
namespace {

using std::chrono::seconds;

constexpr char kSelf[] = "10.0.0.1:7100";
constexpr char kOther[] = "10.0.0.2:7100";
const TimePoint kNow{seconds(1000)};

ConfigProbe ProbeOf(std::uint64_t incarnation, const std::string& place) {
  return {{}, kOther, incarnation, place};
}

ConfigProbeReply ReplyOf(std::uint64_t incarnation) {
  return {{}, incarnation, "here", true};
}

ListedInstance Listed(const std::string& address, InstanceState state) {
  return {"i", "here", "r", address, state};
}

// The membership of daemon `self` in a data centre of `count` daemons.
std::unique_ptr<Membership> MakeDataCentre(std::size_t count,
                                           std::size_t self) {
  const auto address = [](std::size_t i) {
    return "10.0.1." + std::to_string(i) + ":7100";
  };
  auto members = std::make_unique<Membership>(address(self), "here");
  std::vector<ListedInstance> list;
  for (std::size_t i = 0; i < count; ++i) {
    list.push_back(Listed(address(i), InstanceState::kLive));
  }
  members->LearnInstances(list);
  return members;
}

TEST_CASE("two daemons of a data centre watch the platform", "[membership]") {
  constexpr std::size_t kCount = 50;
  std::size_t watching = 0;
  for (std::size_t self = 0; self < kCount; ++self) {
    watching += MakeDataCentre(kCount, self)->ShouldWatch() ? 1 : 0;
  }
  CHECK(watching == 2);
}

TEST_CASE("watchers that fail or lose the platform are replaced, up to a limit",
          "[membership]") {
  constexpr std::size_t kCount = 50;
  std::size_t after_failure = 0;
  std::size_t without_platform = 0;
  for (std::size_t self = 0; self < kCount; ++self) {
    const auto members = MakeDataCentre(kCount, self);
    std::mt19937_64 random(1);
    for (const PeerAddress& peer : members->GetMonitored(random)) {
      ConfigProbeReply reply = ReplyOf(7);
      reply.is_platform_reached = false;
      members->OnReply(peer, reply, kNow);
    }
    without_platform += members->ShouldWatch() ? 1 : 0;
    for (const PeerAddress& peer : members->GetMonitored(random)) {
      members->OnFailure(peer);
      members->OnFailure(peer);
    }
    after_failure += members->ShouldWatch() ? 1 : 0;
  }
  CHECK(without_platform == 4);
  CHECK(after_failure >= 2);
}

TEST_CASE("a daemon restarted at the same address is treated as a new member",
          "[membership]") {
  Membership members(kSelf, "here");
  REQUIRE(members.OnProbe(ProbeOf(1, "here"), kNow));
  members.OnReply(kOther, ReplyOf(1), kNow);
  REQUIRE(members.GetCounts().reached == 1);
  REQUIRE(members.OnProbe(ProbeOf(2, "here"), kNow));
  CHECK(members.GetCounts().reached == 0);
  CHECK_FALSE(members.OnProbe(ProbeOf(1, "here"), kNow));
  members.OnReply(kOther, ReplyOf(1), kNow);
  CHECK(members.GetCounts().reached == 0);
}

TEST_CASE("an incoming probe does not clear a suspicion", "[membership]") {
  Membership members(kSelf, "here");
  members.OnProbe(ProbeOf(1, "here"), kNow);
  members.OnFailure(kOther);
  CHECK_FALSE(members.IsSuspected(kOther));
  members.OnFailure(kOther);
  members.OnProbe(ProbeOf(1, "here"), kNow);
  CHECK(members.IsSuspected(kOther));
  members.OnReply(kOther, ReplyOf(1), kNow);
  CHECK_FALSE(members.IsSuspected(kOther));
}

TEST_CASE(
    "the instance list marks members as leaving but never clears a suspicion",
    "[membership]") {
  Membership members(kSelf, "here");
  members.LearnInstances({Listed(kOther, InstanceState::kLeaving)});
  CHECK(members.GetCounts().leaving == 1);
  CHECK(members.ShouldWatch());
  members.OnFailure(kOther);
  members.OnFailure(kOther);
  members.LearnInstances({Listed(kOther, InstanceState::kLive)});
  CHECK(members.IsSuspected(kOther));
  // A member that left the list and is silent is removed. A seed never is.
  members.LearnInstances({});
  members.Expire(kNow + seconds(1));
  CHECK_FALSE(members.IsKnown(kOther));
  members.LearnSeeds({kOther});
  members.Expire(kNow + std::chrono::hours(1));
  CHECK(members.IsKnown(kOther));
}

TEST_CASE(
    "probes go to all data centres and now and then to a suspected member",
    "[membership]") {
  Membership members(kSelf, "here");
  members.LearnInstances({Listed(kOther, InstanceState::kLive),
                          {"f", "far", "r", "10.0.0.3:1", {}},
                          {"s", "far", "r", "10.0.0.4:1", {}}});
  members.OnFailure("10.0.0.4:1");
  members.OnFailure("10.0.0.4:1");
  std::mt19937_64 random(3);
  std::map<PeerAddress, int> drawn;
  constexpr int kDraws = 1000;
  for (int i = 0; i < kDraws; ++i) {
    ++drawn[members.Choose(1, random).front()];
  }
  CHECK(drawn[kOther] > 350);
  CHECK(drawn["10.0.0.3:1"] > 350);
  CHECK(drawn["10.0.0.4:1"] > 80);
  CHECK(drawn["10.0.0.4:1"] < 180);
}

}  // namespace
}  // namespace vanillafall
