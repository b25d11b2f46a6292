#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "decision/engine_fake.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeLeft{5000};

HttpRequest Lookup(const std::string& target) {
  HttpRequest request;
  request.method = "GET";
  request.target = target;
  return request;
}

// A fleet whose backend servers crash on "/work/poison". A crashed server
// refuses connections until it is restarted.
class CrashFleet {
 public:
  explicit CrashFleet(const std::vector<PeerAddress>& owners)
      : fleet_(MakeFakeFleet(owners)) {
    for (const PeerAddress& owner : owners) {
      fleet_.AddDaemon(owner);
    }
  }

  EngineFake& fleet() { return fleet_; }
  int crash_count() const { return crash_count_; }

  // Ends open calls until none is left, those to "/work/poison" first.
  void RunAll() {
    while (!fleet_.open_calls().empty()) {
      RunOne();
    }
  }

  const AnswerCaller& LastAnswer() const { return fleet_.answers().back(); }

 private:
  void RunOne() {
    const std::vector<EngineFake::OpenCall> open = fleet_.open_calls();
    const auto poison =
        std::find_if(open.begin(), open.end(), [](const auto& each) {
          return each.call.request.target == "/work/poison";
        });
    if (poison == open.end()) {
      fleet_.End(open.front(), BackendEnd::kAnswered);
      return;
    }
    ++crash_count_;
    // The crash breaks every connection to the server; it refuses the probe.
    const PeerAddress owner = poison->owner;
    for (const EngineFake::OpenCall& each : open) {
      if (each.owner == owner) {
        fleet_.End(each, BackendEnd::kLost);
      }
    }
    const std::vector<EngineFake::OpenCall> left = fleet_.open_calls();
    for (const EngineFake::OpenCall& each : left) {
      if (each.call.request.target == "/health") {
        fleet_.End(each, BackendEnd::kNotConnected);
      }
    }
  }

  EngineFake fleet_;
  int crash_count_ = 0;
};

const std::vector<PeerAddress> kOwners = {"a", "b", "c", "d"};

TEST_CASE("a request that crashes its server is refused after two crashes",
          "[crash]") {
  CrashFleet crash(kOwners);
  RequestId id = 0;
  for (int resend = 0; resend < 10; ++resend) {
    for (const PeerAddress& entry : kOwners) {
      crash.fleet().Send(entry, ++id, Lookup("/work/poison"), kTimeLeft);
      crash.RunAll();
    }
  }
  REQUIRE(crash.crash_count() == 2);
  REQUIRE(crash.LastAnswer().reason == Reason::kCrashSuspect);
  REQUIRE(crash.LastAnswer().outcome == Outcome::kNotRun);
  REQUIRE(crash.fleet().answers().size() == id);
}

TEST_CASE(
    "requests in flight beside the one that crashes the server are cleared",
    "[crash]") {
  CrashFleet crash({"a"});
  crash.fleet().Send("a", 1, Lookup("/work/poison"), kTimeLeft);
  crash.fleet().Send("a", 2, Lookup("/work/1"), kTimeLeft);
  crash.fleet().Send("a", 3, Lookup("/work/2"), kTimeLeft);
  crash.RunAll();
  crash.fleet().AdvanceTime(milliseconds(1000));
  // The poison request again, with the same other requests waiting behind it.
  crash.fleet().Send("a", 4, Lookup("/work/poison"), kTimeLeft);
  crash.fleet().Send("a", 5, Lookup("/work/1"), kTimeLeft);
  crash.fleet().Send("a", 6, Lookup("/work/2"), kTimeLeft);
  crash.RunAll();
  for (RequestId id = 7; id < 20; ++id) {
    crash.fleet().Send("a", id, Lookup("/work/" + std::to_string(id % 2 + 1)),
                       kTimeLeft);
    crash.RunAll();
    REQUIRE(crash.LastAnswer().outcome == Outcome::kDone);
  }
  crash.fleet().Send("a", 20, Lookup("/work/poison"), kTimeLeft);
  crash.RunAll();
  REQUIRE(crash.LastAnswer().reason == Reason::kCrashSuspect);
  REQUIRE(crash.crash_count() == 2);
}

TEST_CASE("the refusal ends after the conviction time", "[crash]") {
  CrashFleet crash({"a"});
  for (RequestId id = 1; id <= 3; ++id) {
    crash.fleet().Send("a", id, Lookup("/work/poison"), kTimeLeft);
    crash.RunAll();
    crash.fleet().AdvanceTime(milliseconds(1000));
  }
  REQUIRE(crash.LastAnswer().reason == Reason::kCrashSuspect);
  crash.fleet().AdvanceTime(CrashGuard::kConvictionTime);
  crash.fleet().Send("a", 4, Lookup("/work/poison"), kTimeLeft);
  REQUIRE(crash.fleet().open_calls().size() == 1);
}

TEST_CASE("a broken connection to a running server convicts no request",
          "[crash]") {
  EngineFake fleet(MakeFakeFleet({"a"}));
  fleet.AddDaemon("a");
  for (RequestId id = 1; id <= 6; ++id) {
    fleet.Send("a", id, Lookup("/work/popular"), kTimeLeft);
    fleet.End(fleet.open_calls().front(), BackendEnd::kLost);
    // The probe is answered, so the server has not crashed.
    fleet.End(fleet.open_calls().front(), BackendEnd::kAnswered);
    fleet.AdvanceTime(milliseconds(1000));
  }
  fleet.Send("a", 7, Lookup("/work/popular"), kTimeLeft);
  fleet.End(fleet.open_calls().front(), BackendEnd::kAnswered);
  REQUIRE(fleet.answers().back().outcome == Outcome::kDone);
}

}  // namespace
}  // namespace vanillafall
