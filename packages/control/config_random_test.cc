#include <catch2/catch.hpp>

#include "control/config_fleet_fake.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Mode = ConfigFleetFake::PlatformMode;

constexpr std::size_t kDaemons = 24;
constexpr std::size_t kDataCentres = 4;
constexpr int kSteps = 120;

// Injects random faults into a fleet and publishes meanwhile.
class FaultInjector {
 public:
  explicit FaultInjector(std::uint64_t seed)
      : random_(seed), fleet_(MakeOptions(seed)) {
    latest_ = fleet_.Make(1, {}, {});
    fleet_.Publish(latest_);
    fleet_.StartAll();
  }

  // Brings about one random fault, repair or publication, then runs the fleet
  // for less than 4 s.
  void Step() {
    switch (Draw(12)) {
      case 0:
        fleet_.SetPlatform(Mode::kDown, milliseconds(0));
        break;
      case 1:
        fleet_.SetPlatform(Mode::kStale, milliseconds(0));
        break;
      case 2:
        fleet_.SetPlatform(Mode::kOk, milliseconds(Draw(3000)));
        break;
      case 3:
        fleet_.SetPlatform(Mode::kOk, milliseconds(0));
        break;
      case 4:
        BreakLinksOneWay();
        break;
      case 5:
        fleet_.RepairLinks();
        break;
      case 6:
        fleet_.StartNode(Draw(kDaemons));
        break;
      case 7:
        fleet_.KillNode(Draw(kDaemons));
        break;
      case 8:
        fleet_.Pause(Draw(kDaemons), seconds(Draw(40)));
        break;
      case 9:
        KillWatchers();
        break;
      case 10:
        PublishTwoAtOnce();
        break;
      default:
        PublishNext(1 + Draw(5));
    }
    fleet_.Run(milliseconds(Draw(4000)));
  }

  // Ends all faults and runs until the last paused daemon has resumed.
  void EndFaults() {
    fleet_.RepairLinks();
    fleet_.SetPlatform(Mode::kOk, milliseconds(0));
    TimePoint all_resumed = fleet_.now();
    for (std::size_t i = 0; i < kDaemons; ++i) {
      all_resumed = std::max(all_resumed, fleet_.nodes()[i].paused_until);
      if (!fleet_.nodes()[i].is_up) {
        fleet_.StartNode(i);
      }
    }
    fleet_.Run(all_resumed - fleet_.now());
  }
  ConfigVersion PublishNext(std::uint64_t step) {
    FakePublication next =
        fleet_.Make(latest_.version.number + step, latest_, {Draw(12)});
    fleet_.Publish(next);
    latest_ = std::move(next);
    return latest_.version;
  }
  ConfigFleetFake& fleet() { return fleet_; }
  const ConfigVersion& latest() const { return latest_.version; }

 private:
  static ConfigFleetFake::Options MakeOptions(std::uint64_t seed) {
    ConfigFleetFake::Options options;
    options.daemons = kDaemons;
    options.data_centres = kDataCentres;
    options.seed = seed;
    return options;
  }
  std::size_t Draw(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }
  // Breaks the links in one direction: from one data centre to another, or from
  // one daemon to every second daemon.
  void BreakLinksOneWay() {
    const bool is_data_centre_wide = Draw(2) == 0;
    const std::size_t from = Draw(kDaemons);
    const std::size_t to = Draw(kDaemons);
    for (std::size_t a = 0; a < kDaemons; ++a) {
      for (std::size_t b = 0; b < kDaemons; ++b) {
        const bool is_affected =
            is_data_centre_wide ? a % kDataCentres == from % kDataCentres &&
                                      b % kDataCentres == to % kDataCentres
                                : a == from && b % 2 == to % 2;
        if (is_affected && a != b) {
          fleet_.BreakLink(a, b);
        }
      }
    }
  }
  void KillWatchers() {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      const auto& node = fleet_.nodes()[i];
      if (node.is_up && node.manager->GetReport().is_watching) {
        fleet_.KillNode(i);
      }
    }
    fleet_.Run(milliseconds(Draw(3000)));
    for (std::size_t i = 0; i < kDaemons; ++i) {
      if (!fleet_.nodes()[i].is_up) {
        fleet_.StartNode(i);
      }
    }
  }
  void PublishTwoAtOnce() {
    const std::uint64_t number = latest_.version.number + 1;
    const FakePublication one = fleet_.Make(number, latest_, {1});
    FakePublication other = fleet_.Make(number, latest_, {2});
    fleet_.Publish(one);
    fleet_.Run(milliseconds(Draw(20)));
    fleet_.Publish(other);
    latest_ = std::move(other);
  }

  std::mt19937_64 random_;
  ConfigFleetFake fleet_;
  FakePublication latest_;
};

bool AllAgree(ConfigFleetFake& fleet) {
  return fleet.AllHold(fleet.nodes().front().manager->version());
}

TEST_CASE("no fault puts an older or incomplete configuration in force",
          "[random]") {
  const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5, 6, 7, 8);
  CAPTURE(seed);
  FaultInjector injector(seed);
  for (int step = 0; step < kSteps; ++step) {
    CAPTURE(step);
    REQUIRE_NOTHROW(injector.Step());
  }
  REQUIRE_NOTHROW(injector.EndFaults());
  ConfigFleetFake& fleet = injector.fleet();
  REQUIRE_NOTHROW(fleet.Run(seconds(15)));
  CHECK(AllAgree(fleet));
  CHECK(fleet.nodes().front().manager->version().number ==
        injector.latest().number);
  const ConfigVersion last = injector.PublishNext(1);
  CHECK(fleet.RunUntilAll(last, seconds(10)) <= seconds(5));
}

}  // namespace
}  // namespace vanillafall
