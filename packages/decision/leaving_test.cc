#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "decision/engine_fake.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeLeft{5000};
const std::vector<PeerAddress> kOwners = {"a", "b", "c"};

HttpRequest Lookup() {
  HttpRequest request;
  request.method = "GET";
  request.target = "/work/1";
  return request;
}

int CallsAt(const EngineFake& fleet, const PeerAddress& owner) {
  const auto& calls = fleet.open_calls();
  return static_cast<int>(std::count_if(
      calls.begin(), calls.end(),
      [&owner](const auto& each) { return each.owner == owner; }));
}

void EndAll(EngineFake& fleet) {
  while (!fleet.open_calls().empty()) {
    fleet.End(fleet.open_calls().front(), BackendEnd::kAnswered);
  }
}

TEST_CASE("a draining backend server gets nothing new from any entry",
          "[leaving]") {
  EngineFake fleet(MakeFakeFleet(kOwners));
  for (const PeerAddress& owner : kOwners) {
    fleet.AddDaemon(owner);
  }
  // Only the owner knows of the drain, the entries do not.
  fleet.Feed("b", DrainChanged{"server-at-b", true});
  for (RequestId id = 1; id <= 60; ++id) {
    fleet.Send(kOwners[id % kOwners.size()], id, Lookup(), kTimeLeft);
    REQUIRE(CallsAt(fleet, "b") == 0);
    EndAll(fleet);
    fleet.AdvanceTime(milliseconds(20));
  }
  const auto& answers = fleet.answers();
  REQUIRE(answers.size() == 60);
  REQUIRE(std::all_of(answers.begin(), answers.end(), [](const auto& answer) {
    return answer.outcome == Outcome::kDone;
  }));
}

TEST_CASE("a drain completes requests in flight and refuses those that wait",
          "[leaving]") {
  EngineFake fleet(MakeFakeFleet({"a"}));
  fleet.AddDaemon("a");
  for (RequestId id = 1; id <= 5; ++id) {
    fleet.Send("a", id, Lookup(), kTimeLeft);
  }
  REQUIRE(CallsAt(fleet, "a") == 3);
  fleet.Feed("a", DrainChanged{"", true});
  // The two that waited for a slot never ran.
  REQUIRE(fleet.answers().size() == 2);
  for (const AnswerCaller& answer : fleet.answers()) {
    REQUIRE(answer.outcome == Outcome::kNotRun);
    REQUIRE(answer.reason == Reason::kDraining);
  }
  REQUIRE(CallsAt(fleet, "a") == 3);
  EndAll(fleet);
  REQUIRE(fleet.answers().size() == 5);
  for (std::size_t i = 2; i < fleet.answers().size(); ++i) {
    REQUIRE(fleet.answers()[i].outcome == Outcome::kDone);
  }
}

TEST_CASE("a backend server that announces a drain gets no new work",
          "[leaving]") {
  EngineFake fleet(MakeFakeFleet({"a"}));
  fleet.AddDaemon("a");
  fleet.Send("a", 1, Lookup(), kTimeLeft);
  BackendReplied replied{
      fleet.open_calls().front().call.call, BackendEnd::kAnswered, {}};
  replied.response.status = 200;
  replied.response.headers = {{"Vanillafall-State", "draining"}};
  fleet.Feed("a", replied);
  REQUIRE(fleet.answers().back().outcome == Outcome::kDone);
  fleet.Send("a", 2, Lookup(), kTimeLeft);
  REQUIRE(fleet.answers().back().reason == Reason::kDraining);
  fleet.Feed("a", DrainChanged{"server-at-a", false});
  fleet.Send("a", 3, Lookup(), kTimeLeft);
  REQUIRE(fleet.open_calls().back().call.request.target == "/work/1");
}

TEST_CASE("a server removed from the configuration ends its work first",
          "[leaving]") {
  EngineFake fleet(MakeFakeFleet({"a"}));
  fleet.AddDaemon("a");
  fleet.Send("a", 1, Lookup(), kTimeLeft);
  auto without = std::make_shared<FleetConfig>();
  without->manifest_number = 2;
  fleet.Feed("a", ConfigChanged{without});
  fleet.Send("a", 2, Lookup(), kTimeLeft);
  REQUIRE(fleet.answers().back().reason == Reason::kUnknownRoute);
  EndAll(fleet);
  REQUIRE(fleet.answers().back().id == 1);
  REQUIRE(fleet.answers().back().outcome == Outcome::kDone);
}

}  // namespace
}  // namespace vanillafall
