#include "decision/service_health.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "decision/engine.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};

ServiceConfig MakeConfig(std::size_t servers, std::uint32_t floor) {
  ServiceConfig config;
  config.name = "service";
  config.number = 1;
  config.floor = floor;
  config.profile = EjectionProfile::kFast;
  for (std::size_t i = 0; i < servers; ++i) {
    const std::string number = std::to_string(i);
    config.backend_servers.push_back({"s" + number, "", number, "", 3});
  }
  return config;
}

// The owners of a service's backend servers, all on one clock. Messages between
// them take no time.
class Fleet {
 public:
  explicit Fleet(const ServiceConfig& config) : config_(config) {
    for (const PeerAddress& owner : config.Owners()) {
      owners_[owner] = std::make_unique<ServiceHealth>(owner);
      owners_[owner]->Configure(config, now_);
    }
  }

  void Configure(const ServiceConfig& config) {
    config_ = config;
    for (auto& [address, owner] : owners_) {
      owner->Configure(config, now_);
    }
  }

  // Advances the clock in steps of 10 ms. Each server ends a request every 20
  // ms.
  void PassTime(milliseconds time) {
    const TimePoint end = now_ + time;
    for (; now_ < end; now_ += milliseconds(10)) {
      if ((now_ - kStart) % milliseconds(20) == milliseconds(0)) {
        RecordWork();
      }
      for (auto& [address, owner] : owners_) {
        ExchangeLeases(address, *owner);
      }
    }
  }

  ServiceHealth& OwnerOf(const std::string& server) {
    return *owners_.at(config_.FindBackendServer(server)->owner);
  }
  ServingState StateOf(const std::string& server) {
    return OwnerOf(server).StateOf(server, now_);
  }
  std::uint64_t Count(LogEventId id) const {
    return static_cast<std::uint64_t>(
        std::count_if(events_.begin(), events_.end(),
                      [id](const LogEvent& event) { return event.id == id; }));
  }

  TimePoint now_ = kStart;
  // Servers whose requests fail, and servers whose requests take 200 ms instead
  // of 10 ms.
  std::set<std::string> failing_;
  std::set<std::string> slow_;
  // Owners whose messages, sent or received, are lost.
  std::set<PeerAddress> unreachable_;
  std::uint64_t messages_ = 0;
  std::vector<LogEvent> events_;

 private:
  void RecordWork() {
    for (const BackendServer& server : config_.backend_servers) {
      ServiceHealth& owner = OwnerOf(server.name);
      if (owner.SlotLimitOf(server.name, now_) > 0) {
        owner.Record(
            server.name,
            {"any", milliseconds(slow_.contains(server.name) ? 200 : 10),
             failing_.contains(server.name), false},
            now_);
      }
    }
  }

  void ExchangeLeases(const PeerAddress& address, ServiceHealth& owner) {
    for (const OutgoingLeaseRequest& outgoing : owner.Advance(now_)) {
      ++messages_;
      if (!unreachable_.contains(outgoing.peer) &&
          !unreachable_.contains(address)) {
        const LeaseReply reply =
            owners_.at(outgoing.peer)->Answer(outgoing.request, now_);
        owner.OnReply(outgoing.request, reply, now_, now_);
      }
    }
    for (LogEvent& event : owner.TakeLogEvents()) {
      events_.push_back(std::move(event));
    }
  }

  ServiceConfig config_;
  std::map<PeerAddress, std::unique_ptr<ServiceHealth>> owners_;
};

TEST_CASE("a crashed server is ejected and comes back step by step") {
  Fleet fleet(MakeConfig(6, 4));
  fleet.PassTime(seconds(10));
  const std::uint64_t before = fleet.messages_;
  fleet.PassTime(seconds(10));
  REQUIRE(fleet.messages_ == before);

  fleet.failing_ = {"s0"};
  fleet.PassTime(milliseconds(500));
  REQUIRE(fleet.StateOf("s0") == ServingState::kEjected);
  REQUIRE(fleet.OwnerOf("s0").SlotLimitOf("s0", fleet.now_) == 0);
  const HealthExplanation explanation =
      *fleet.OwnerOf("s0").Explain("s0", fleet.now_);
  REQUIRE(explanation.leases_held >= explanation.leases_needed);
  REQUIRE(explanation.evidence.find("failures in a row") != std::string::npos);

  fleet.failing_ = {};
  std::vector<std::uint32_t> limits;
  while (fleet.StateOf("s0") != ServingState::kInService) {
    fleet.PassTime(milliseconds(10));
    const std::uint32_t limit =
        fleet.OwnerOf("s0").SlotLimitOf("s0", fleet.now_);
    if (limits.empty() || limits.back() != limit) {
      limits.push_back(limit);
    }
  }
  REQUIRE(limits == std::vector<std::uint32_t>{0, 1, 2, 3});
  REQUIRE(fleet.Count(LogEventId::kBackendServerEjected) == 1);
  REQUIRE(fleet.Count(LogEventId::kBackendServerReadmitted) == 1);
}

TEST_CASE(
    "neither of two unhealthy servers is ejected if the floor leaves one to "
    "spare") {
  Fleet fleet(MakeConfig(5, 4));
  fleet.PassTime(seconds(10));
  fleet.failing_ = {"s0", "s1"};
  fleet.PassTime(seconds(25));
  REQUIRE(fleet.Count(LogEventId::kBackendServerEjected) == 0);
  // An event at first and every ten seconds after that, for each server.
  REQUIRE(fleet.Count(LogEventId::kEjectionBlocked) >= 4);
  REQUIRE(fleet.Count(LogEventId::kEjectionBlocked) <= 6);
  REQUIRE(!fleet.OwnerOf("s0").Explain("s0", fleet.now_)->blocked_by.empty());
}

TEST_CASE("a raised floor ends an ejection at once") {
  Fleet fleet(MakeConfig(6, 4));
  fleet.PassTime(seconds(10));
  fleet.failing_ = {"s0", "s1"};
  fleet.PassTime(seconds(2));
  REQUIRE(fleet.StateOf("s0") == ServingState::kEjected);
  REQUIRE(fleet.StateOf("s1") == ServingState::kEjected);
  fleet.Configure(MakeConfig(6, 6));
  REQUIRE(fleet.StateOf("s0") == ServingState::kInService);
  REQUIRE(fleet.StateOf("s1") == ServingState::kInService);
}

TEST_CASE(
    "an ejection ends by itself while its owner is paused or unreachable") {
  Fleet fleet(MakeConfig(6, 4));
  fleet.PassTime(seconds(10));
  fleet.failing_ = {"s0"};
  fleet.PassTime(milliseconds(500));
  REQUIRE(fleet.StateOf("s0") == ServingState::kEjected);
  const TimePoint later = fleet.now_ + milliseconds(2000);
  REQUIRE(fleet.OwnerOf("s0").StateOf("s0", later) == ServingState::kInService);
  fleet.unreachable_ = {"0"};
  fleet.PassTime(milliseconds(2100));
  REQUIRE(fleet.StateOf("s0") == ServingState::kInService);
  REQUIRE(fleet.Count(LogEventId::kBackendServerReadmitted) == 1);
}

TEST_CASE("a fault common to all servers ejects none") {
  Fleet fleet(MakeConfig(6, 2));
  fleet.PassTime(seconds(10));
  fleet.failing_ = {"s0", "s1", "s2", "s3", "s4", "s5"};
  fleet.PassTime(seconds(20));
  REQUIRE(fleet.Count(LogEventId::kBackendServerEjected) == 0);
}

TEST_CASE("the floor also holds among servers of one daemon") {
  ServiceConfig config = MakeConfig(3, 2);
  for (BackendServer& server : config.backend_servers) {
    server.owner = "0";
  }
  Fleet fleet(config);
  fleet.PassTime(seconds(10));
  fleet.failing_ = {"s0"};
  fleet.PassTime(seconds(1));
  REQUIRE(fleet.StateOf("s0") == ServingState::kEjected);
  fleet.failing_ = {"s0", "s1"};
  fleet.PassTime(seconds(20));
  REQUIRE((fleet.StateOf("s1") == ServingState::kInService ||
           fleet.StateOf("s0") == ServingState::kInService));
}

TEST_CASE("flapping lengthens the ejection time up to a bound") {
  Fleet fleet(MakeConfig(6, 4));
  fleet.PassTime(seconds(10));
  fleet.failing_ = {"s0"};
  fleet.PassTime(seconds(300));
  // The ejections last 3, 6, 12, 24 and then always 48 seconds.
  const std::uint64_t ejections =
      fleet.Count(LogEventId::kBackendServerEjected);
  REQUIRE(ejections >= 8);
  REQUIRE(ejections <= 10);
}

TEST_CASE("a slow server on probation is ejected again") {
  Fleet fleet(MakeConfig(6, 4));
  fleet.PassTime(seconds(10));
  fleet.slow_ = {"s0"};
  fleet.PassTime(seconds(5));
  REQUIRE(fleet.Count(LogEventId::kBackendServerEjected) >= 1);
  fleet.PassTime(seconds(60));
  REQUIRE(fleet.Count(LogEventId::kBackendServerEjected) >= 4);
  REQUIRE(fleet.Count(LogEventId::kBackendServerReadmitted) == 0);
}

TEST_CASE("a draining, unhealthy or new server grants no lease") {
  ServiceHealth owner("0");
  const ServiceConfig config = MakeConfig(3, 1);
  owner.Configure(config, kStart);
  const LeaseRequest request{"service", "s1", {"s0"}, milliseconds(2000)};
  const auto grants = [&](TimePoint now) {
    return owner.Answer(request, now).grants.front().granted;
  };
  REQUIRE(!grants(kStart + seconds(1)));
  const TimePoint taken_over = kStart + seconds(7);
  REQUIRE(grants(taken_over));
  owner.SetDraining("s0", true);
  REQUIRE(!grants(taken_over));
  owner.SetDraining("s0", false);
  for (int i = 0; i < 10; ++i) {
    owner.Record("s0", {"any", milliseconds(10), true, false}, taken_over);
  }
  REQUIRE(!grants(taken_over + seconds(1)));
}

TEST_CASE("a lease that is too long or for the grantor itself is not granted") {
  ServiceHealth owner("0");
  owner.Configure(MakeConfig(3, 1), kStart);
  const TimePoint now = kStart + seconds(7);
  REQUIRE(!owner.Answer({"service", "s1", {"s0"}, milliseconds(2001)}, now)
               .grants.front()
               .granted);
  REQUIRE(!owner.Answer({"service", "s0", {"s0"}, milliseconds(2000)}, now)
               .grants.front()
               .granted);
}

TEST_CASE("a late answer gives only the rest of the lease") {
  ServiceHealth owner("0");
  owner.Configure(MakeConfig(3, 1), kStart);
  const TimePoint sent = kStart + seconds(7);
  const LeaseRequest request{"service", "s0", {"s1"}, milliseconds(2000)};
  const LeaseReply reply{{{"s1", true, {}}}};
  owner.OnReply(request, reply, sent, sent + milliseconds(1500));
  const auto held = [&](milliseconds age) {
    return owner.Explain("s0", sent + age)->leases_held;
  };
  REQUIRE(held(milliseconds(1999)) == 1);
  REQUIRE(held(milliseconds(2000)) == 0);
}

TEST_CASE("a daemon that no longer owns a service grants no leases for it") {
  Engine engine({"0", "", 1, 1}, Limits{}, kStart);
  auto fleet = std::make_shared<FleetConfig>();
  fleet->manifest_number = 1;
  fleet->services["service"] = MakeConfig(3, 1);
  Actions actions;
  engine.Handle(ConfigChanged{fleet}, kStart, actions);
  const LeaseRequest request{"service", "s1", {"s0"}, milliseconds(2000)};
  const TimePoint now = kStart + seconds(10);
  const auto grants = [&] {
    Actions replies;
    engine.Handle(PeerAsked{1, request}, now, replies);
    return std::get<LeaseReply>(std::get<ReplyPeer>(replies.front()).reply)
        .grants.front()
        .granted;
  };
  REQUIRE(grants());
  auto moved = std::make_shared<FleetConfig>(*fleet);
  moved->manifest_number = 2;
  moved->services["service"].backend_servers[0].owner = "9";
  engine.Handle(ConfigChanged{moved}, now, actions);
  REQUIRE(!grants());
}

}  // namespace
}  // namespace vanillafall
