#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "decision/engine.h"

namespace vanillafall {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(10)};

FleetConfigPtr ConfigWithThreeOwners() {
  ServiceConfig service;
  service.name = "restyle";
  service.number = 1;
  service.resend_window = seconds(60);
  for (const char* owner : {"o1", "o2", "o3"}) {
    service.backend_servers.push_back({owner, owner, owner, "a", 3});
  }
  auto config = std::make_shared<FleetConfig>();
  config->manifest_number = 1;
  config->services["restyle"] = service;
  return config;
}

// Runs a keyed request whose deadline is one second away, with both other
// guards granting the key after the delay. Returns whether the backend server
// was called.
bool IsBackendCalledAfter(seconds delay) {
  Engine engine({"o1", "a", 5, 6}, Limits{}, kStart);
  Actions actions;
  engine.Handle(ConfigChanged{ConfigWithThreeOwners()}, kStart, actions);
  RunRequest run;
  run.service = "restyle";
  run.backend_server = "o1";
  run.idempotent = false;
  run.key = Hash128{1, 2};
  run.time_left = seconds(1);
  engine.Handle(PeerAsked{1, run}, kStart, actions);
  VoteReply grant;
  grant.result = VoteResult::kGranted;
  const Actions sent = std::exchange(actions, {});
  for (const Action& action : sent) {
    const auto* ask = std::get_if<AskPeer>(&action);
    if (ask != nullptr && std::holds_alternative<VoteRequest>(ask->request)) {
      engine.Handle(PeerReplied{ask->call, grant}, kStart + delay, actions);
    }
  }
  return std::any_of(actions.begin(), actions.end(), [](const Action& each) {
    return std::holds_alternative<CallBackend>(each);
  });
}

}  // namespace

TEST_CASE("grants that arrive after the deadline run nothing") {
  CHECK(IsBackendCalledAfter(seconds(0)));
  CHECK_FALSE(IsBackendCalledAfter(seconds(2)));
}

}  // namespace vanillafall
