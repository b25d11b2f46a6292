#include "decision/router.h"

#include <catch2/catch.hpp>
#include <map>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 3;

ServiceConfig ServiceOf(int near_count, int far_count) {
  ServiceConfig service;
  service.name = "order-desk";
  for (int index = 0; index < near_count + far_count; ++index) {
    BackendServer server;
    server.name =
        (index < near_count ? "near-" : "far-") + std::to_string(index);
    server.data_centre = index < near_count ? "nekala" : "kauppi";
    server.slots = kSlots;
    service.backend_servers.push_back(std::move(server));
  }
  return service;
}

RunReply DoneWithLoad(std::uint32_t in_use, std::uint32_t waiting) {
  RunReply reply;
  reply.outcome = Outcome::kDone;
  reply.reason = Reason::kOk;
  reply.load = {kSlots, in_use, waiting, ServingState::kInService};
  return reply;
}

// A router for a service with near and far servers, and the test's clock.
class RouterUnderTest {
 public:
  RouterUnderTest(int near_count, int far_count)
      : service_(ServiceOf(near_count, far_count)) {
    router_.Configure(service_);
  }

  const std::vector<BackendServer>& servers() const {
    return service_.backend_servers;
  }

  void Wait(Duration duration) { now_ += duration; }
  void SetTried(const std::vector<std::string>& tried) { tried_ = tried; }
  void Send(const std::string& server) { router_.OnSent(server); }
  void Fail(const std::string& server) {
    router_.OnFailure(server, PeerFailure::kLost, now_);
  }
  void RemoveFirstServer() {
    service_.backend_servers.erase(service_.backend_servers.begin());
    router_.Configure(service_);
  }

  std::string Choose() {
    const BackendServer* server =
        router_.Choose(service_, tried_, random_, now_);
    return server == nullptr ? "" : server->name;
  }

  std::map<std::string, int> ChooseMany(int count) {
    std::map<std::string, int> chosen;
    for (int round = 0; round < count; ++round) {
      ++chosen[Choose()];
    }
    return chosen;
  }

  void Reply(const std::string& server,
             const RunReply& reply,
             Duration latency) {
    router_.OnSent(server);
    router_.OnReply(server, reply, latency, now_);
  }

  void ReplyFromAll(const RunReply& reply, Duration latency) {
    for (const BackendServer& server : service_.backend_servers) {
      Reply(server.name, reply, latency);
    }
  }

  void ReplyFromOthers(const std::string& one, const RunReply& reply) {
    for (const BackendServer& server : service_.backend_servers) {
      if (server.name != one) {
        Reply(server.name, reply, milliseconds(25));
      }
    }
  }

 private:
  ServiceConfig service_;
  Router router_{"nekala"};
  Router::Random random_{7};
  TimePoint now_{seconds(100)};
  std::vector<std::string> tried_;
};

TEST_CASE("near servers are preferred until they are busy", "[router]") {
  RouterUnderTest test(3, 3);
  test.ReplyFromAll(DoneWithLoad(0, 0), milliseconds(25));
  const auto idle = test.ChooseMany(300);
  REQUIRE(idle.size() == 3);
  REQUIRE_FALSE(idle.contains("far-3"));
  for (int index = 0; index < 3; ++index) {
    test.Reply("near-" + std::to_string(index), DoneWithLoad(kSlots, 4),
               milliseconds(75));
  }
  REQUIRE(test.Choose().starts_with("far-"));
  test.Wait(seconds(10));
  REQUIRE(test.Choose().starts_with("near-"));
}

TEST_CASE("one idle server does not attract all requests", "[router]") {
  RouterUnderTest test(20, 0);
  test.ReplyFromAll(DoneWithLoad(kSlots, 1), milliseconds(25));
  test.Reply("near-5", DoneWithLoad(0, 0), milliseconds(25));
  const auto chosen = test.ChooseMany(1000);
  REQUIRE(chosen.at("near-5") < 200);
  REQUIRE(chosen.size() == 20);
}

TEST_CASE("the entry's own requests in flight count as load", "[router]") {
  RouterUnderTest test(2, 0);
  test.ReplyFromAll(DoneWithLoad(0, 0), milliseconds(25));
  test.Send("near-0");
  REQUIRE_FALSE(test.ChooseMany(100).contains("near-0"));
}

TEST_CASE("a short wait near is preferred to a far server", "[router]") {
  RouterUnderTest test(3, 3);
  test.ReplyFromAll(DoneWithLoad(0, 0), milliseconds(2));
  for (int index = 0; index < 3; ++index) {
    test.Reply("near-" + std::to_string(index), DoneWithLoad(kSlots, 0),
               milliseconds(2));
  }
  for (const auto& [name, count] : test.ChooseMany(100)) {
    REQUIRE(name.starts_with("near-"));
  }
}

TEST_CASE("a server that fails is avoided, then tried once", "[router]") {
  RouterUnderTest test(3, 0);
  test.ReplyFromAll(DoneWithLoad(2, 0), milliseconds(25));
  test.Send("near-0");
  test.Fail("near-0");
  REQUIRE_FALSE(test.ChooseMany(100).contains("near-0"));
  test.Wait(milliseconds(200));
  test.ReplyFromOthers("near-0", DoneWithLoad(kSlots, 4));
  REQUIRE(test.ChooseMany(100).contains("near-0"));
  test.Send("near-0");
  REQUIRE_FALSE(test.ChooseMany(100).contains("near-0"));
  test.Fail("near-0");
  test.Wait(milliseconds(399));
  REQUIRE_FALSE(test.ChooseMany(100).contains("near-0"));
}

TEST_CASE("a backend server that times out is avoided", "[router]") {
  RouterUnderTest test(3, 0);
  test.ReplyFromAll(DoneWithLoad(2, 0), milliseconds(25));
  RunReply reply = DoneWithLoad(1, 0);
  reply.outcome = Outcome::kUnknown;
  reply.reason = Reason::kBackendServerTimeout;
  test.Reply("near-1", reply, seconds(1));
  REQUIRE_FALSE(test.ChooseMany(100).contains("near-1"));
}

TEST_CASE("a server that fails fast does not attract requests", "[router]") {
  RouterUnderTest test(4, 0);
  RunReply shed = DoneWithLoad(0, 0);
  shed.outcome = Outcome::kUnknown;
  shed.reason = Reason::kBackendServerShed;
  test.ReplyFromAll(DoneWithLoad(2, 0), milliseconds(25));
  for (int count = 0; count < 10; ++count) {
    test.Reply("near-2", shed, milliseconds(1));
  }
  REQUIRE_FALSE(test.ChooseMany(100).contains("near-2"));
}

TEST_CASE("a server is chosen even when all look bad", "[router]") {
  RouterUnderTest test(3, 3);
  for (const BackendServer& server : test.servers()) {
    test.Send(server.name);
    test.Fail(server.name);
  }
  REQUIRE_FALSE(test.Choose().empty());
  test.SetTried({"near-0", "near-1", "near-2"});
  REQUIRE(test.Choose().starts_with("far-"));
  test.SetTried({"near-0", "near-1", "near-2", "far-3", "far-4", "far-5"});
  REQUIRE(test.Choose().empty());
}

TEST_CASE("a server that takes no work is avoided for a while", "[router]") {
  RouterUnderTest test(2, 0);
  RunReply refusal = DoneWithLoad(0, 0);
  refusal.outcome = Outcome::kNotRun;
  refusal.reason = Reason::kDraining;
  refusal.load.state = ServingState::kDraining;
  test.Reply("near-0", refusal, milliseconds(1));
  REQUIRE_FALSE(test.ChooseMany(100).contains("near-0"));
  test.Wait(seconds(6));
  REQUIRE(test.ChooseMany(100).contains("near-0"));
}

TEST_CASE("failures stay recorded after a change of the service", "[router]") {
  RouterUnderTest test(3, 0);
  test.Send("near-2");
  test.Fail("near-2");
  test.RemoveFirstServer();
  REQUIRE(test.ChooseMany(100) == std::map<std::string, int>{{"near-1", 100}});
}

}  // namespace
}  // namespace vanillafall
