#include "control/config_manager.h"

#include <catch2/catch.hpp>

#include "control/config_fleet_fake.h"

namespace vanillafall {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Mode = ConfigFleetFake::PlatformMode;

ConfigFleetFake::Options MakeOptions(std::size_t daemons,
                                     std::size_t data_centres) {
  ConfigFleetFake::Options options;
  options.daemons = daemons;
  options.data_centres = data_centres;
  return options;
}

// A fleet that has its first publication in force.
class RunningFleet : public ConfigFleetFake {
 public:
  explicit RunningFleet(const Options& options)
      : ConfigFleetFake(options), first(Make(1, {}, {})) {
    Publish(first);
    StartAll();
    Run(seconds(10));
    REQUIRE(AllHold(first.version));
  }

  const FakePublication first;
};

// One ConfigManager; the test itself answers its calls.
class SingleManager {
 public:
  SingleManager() : publisher(MakeOptions(8, 2)), manager_(MakeIdentity()) {
    manager_.Start(now, actions);
    manager_.OnPlatformValue(kInstancesName, std::nullopt, true, now, actions);
    now += seconds(3);
    Advance();
  }

  void Advance() { manager_.Advance(now, actions); }
  void OnProbe(const PeerAddress& sender, const ConfigVersion& version) {
    manager_.OnProbe({version, sender, 1, "dc-0"}, now, actions);
  }
  // Answers at most `limit` of the open document requests to this peer and
  // drops its other document requests. Returns the number answered.
  std::size_t Answer(const PeerAddress& peer,
                     const FakePublication& from,
                     std::size_t limit = 1000) {
    std::size_t answered = 0;
    ControlActions taken;
    taken.swap(actions);
    for (const ControlAction& action : taken) {
      const auto* ask = std::get_if<AskPeer>(&action);
      const auto* request = ask == nullptr
                                ? nullptr
                                : std::get_if<DocumentRequest>(&ask->request);
      if (request == nullptr || ask->peer != peer) {
        actions.push_back(action);
        continue;
      }
      if (answered == limit) {
        continue;
      }
      ++answered;
      manager_.OnPeerReplied(ask->call,
                             DocumentReply{from.documents.at(request->name)},
                             now, actions);
    }
    return answered;
  }
  void AnswerAll(const PeerAddress& peer, const FakePublication& from) {
    while (Answer(peer, from) != 0) {
    }
  }
  std::size_t Count(LogEventId id) const {
    return static_cast<std::size_t>(std::count_if(
        actions.begin(), actions.end(), [id](const ControlAction& action) {
          const auto* event = std::get_if<LogEvent>(&action);
          return event != nullptr && event->id == id;
        }));
  }
  std::size_t CountWatches() const {
    return static_cast<std::size_t>(std::count_if(
        actions.begin(), actions.end(), [](const ControlAction& action) {
          return std::holds_alternative<WatchPlatform>(action);
        }));
  }
  ConfigManager& manager() { return manager_; }

  ConfigFleetFake publisher;
  TimePoint now{hours(1)};
  ControlActions actions;

 private:
  static ConfigManager::Identity MakeIdentity() {
    ConfigManager::Identity identity;
    identity.self = "10.0.9.9:7100";
    identity.data_centre = "dc-0";
    identity.has_platform = true;
    identity.seed = 5;
    identity.incarnation = 6;
    return identity;
  }

  ConfigManager manager_;
};

constexpr char kOne[] = "10.1.0.1:7100";
constexpr char kTwo[] = "10.1.0.2:7100";

TEST_CASE("a publication is in force everywhere within five seconds",
          "[keeper]") {
  RunningFleet fleet(MakeOptions(60, 3));
  const FakePublication next = fleet.Make(2, fleet.first, {3});
  fleet.Publish(next);
  CHECK(fleet.RunUntilAll(next.version, seconds(10)) <= seconds(5));
  // Manifest numbers need not be consecutive.
  const FakePublication after_gap = fleet.Make(1'000'000, next, {4});
  fleet.Publish(after_gap);
  CHECK(fleet.RunUntilAll(after_gap.version, seconds(10)) <= seconds(5));
}

TEST_CASE("a new daemon queries peers before it uses a stale platform's values",
          "[keeper]") {
  // Peers answer slowly, so that the stale platform always answers first.
  ConfigFleetFake::Options options = MakeOptions(12, 3);
  options.min_latency = milliseconds(100);
  options.max_latency = milliseconds(200);
  RunningFleet fleet(options);
  const FakePublication next = fleet.Make(2, fleet.first, {});
  fleet.Publish(next);
  REQUIRE(fleet.RunUntilAll(next.version, seconds(10)) <= seconds(5));
  for (const auto& [name, body] : fleet.first.documents) {
    fleet.PutValue(name, body);
  }
  for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
    fleet.StartNode(i);
    fleet.Run(seconds(6));
    const ConfigReport report = fleet.nodes()[i].manager->GetReport();
    REQUIRE(report.arrivals.size() == 1);
    CHECK(report.arrivals.front().version == next.version);
  }
}

TEST_CASE("a stale platform never puts an older configuration in force",
          "[keeper]") {
  RunningFleet fleet(MakeOptions(6, 2));
  const FakePublication next = fleet.Make(2, fleet.first, {});
  fleet.Publish(next);
  REQUIRE(fleet.RunUntilAll(next.version, seconds(10)) <= seconds(5));
  fleet.PutValue(kManifestName, fleet.first.documents.at(kManifestName));
  REQUIRE_NOTHROW(fleet.Run(seconds(30)));
  CHECK(fleet.AllHold(next.version));
  CHECK(fleet.CountEvents(LogEventId::kConfigRefusedOlder) > 0);
}

TEST_CASE("a fleet converges on one of two publications of the same number",
          "[keeper]") {
  RunningFleet fleet(MakeOptions(12, 3));
  const FakePublication one = fleet.Make(2, fleet.first, {1});
  const FakePublication other = fleet.Make(2, fleet.first, {2});
  REQUIRE(one.version.digest != other.version.digest);
  const bool one_first = GENERATE(true, false);
  fleet.Publish(one_first ? one : other);
  fleet.Run(milliseconds(GENERATE(0, 20, 3000)));
  fleet.Publish(one_first ? other : one);
  REQUIRE_NOTHROW(fleet.Run(seconds(15)));
  CHECK(fleet.AllHold(fleet.nodes().front().manager->version()));
  CHECK(fleet.nodes().front().manager->manifest_number() == 2);
  const FakePublication next = fleet.Make(3, one, {});
  fleet.Publish(next);
  CHECK(fleet.RunUntilAll(next.version, seconds(10)) <= seconds(5));
}

TEST_CASE(
    "the greater of two conflicting publications is used and the conflict is "
    "logged",
    "[keeper]") {
  SingleManager single;
  const FakePublication first = single.publisher.Make(1, {}, {});
  const FakePublication one = single.publisher.Make(2, first, {1});
  const FakePublication other = single.publisher.Make(2, first, {2});
  const bool is_one_greater = other.version < one.version;
  const FakePublication& greater = is_one_greater ? one : other;
  const FakePublication& lesser = is_one_greater ? other : one;
  single.OnProbe(kOne, lesser.version);
  single.AnswerAll(kOne, lesser);
  REQUIRE(single.manager().version() == lesser.version);
  single.OnProbe(kTwo, greater.version);
  single.AnswerAll(kTwo, greater);
  CHECK(single.manager().version() == greater.version);
  CHECK(single.Count(LogEventId::kConfigConflict) == 1);
  single.OnProbe(kOne, lesser.version);
  single.AnswerAll(kOne, lesser);
  CHECK(single.manager().version() == greater.version);
  CHECK(single.Count(LogEventId::kConfigConflict) == 2);
}

TEST_CASE(
    "an incomplete publication is put in force only when the rest has arrived",
    "[keeper]") {
  RunningFleet fleet(MakeOptions(6, 2));
  const FakePublication next = fleet.Make(2, fleet.first, {1, 2});
  const std::string late = ServiceDocumentName("service-1");
  fleet.Register(next);
  const bool is_damaged = GENERATE(true, false);
  for (const auto& [name, body] : next.documents) {
    if (name != late) {
      fleet.PutValue(name, body);
    } else if (is_damaged) {
      fleet.PutValue(name, body.substr(0, body.size() / 2));
    } else {
      fleet.RemoveValue(name);
    }
  }
  REQUIRE_NOTHROW(fleet.Run(seconds(20)));
  CHECK(fleet.AllHold(fleet.first.version));
  CHECK(fleet.CountEvents(LogEventId::kConfigDamaged) > 0);
  fleet.PutValue(late, next.documents.at(late));
  CHECK(fleet.RunUntilAll(next.version, seconds(10)) <= seconds(5));
}

TEST_CASE("a damaged or missing answer is replaced by another peer's",
          "[keeper]") {
  SingleManager single;
  const FakePublication first = single.publisher.Make(1, {}, {});
  FakePublication damaged = first;
  for (auto& [name, body] : damaged.documents) {
    body = name == kManifestName ? body : body.substr(1);
  }
  single.OnProbe(kOne, first.version);
  single.OnProbe(kTwo, first.version);
  std::size_t damaged_answers = 0;
  for (int i = 0; i < 40 && single.manager().version() != first.version; ++i) {
    damaged_answers += single.Answer(kOne, damaged);
    single.Answer(kTwo, first);
  }
  CHECK(single.manager().version() == first.version);
  // Each document is requested from each source once before it is requested
  // from any of them again.
  CHECK(damaged_answers <= first.documents.size());
}

TEST_CASE("a publication with a document that can't be read is refused once",
          "[keeper]") {
  SingleManager single;
  const FakePublication first = single.publisher.Make(1, {}, {});
  FakePublication unreadable = single.publisher.Make(2, first, {});
  std::string& document = unreadable.documents.at("service-service-1");
  Manifest manifest =
      DecodeManifest(unreadable.documents.at(kManifestName)).value();
  document = document.substr(1);
  manifest.entries.at(1).digest = DigestOf(document);
  const std::string body = EncodeManifest(manifest);
  unreadable.documents[kManifestName] = body;
  single.OnProbe(kOne, first.version);
  single.AnswerAll(kOne, first);
  single.OnProbe(kOne, {2, DigestOf(body)});
  single.AnswerAll(kOne, unreadable);
  CHECK(single.manager().version() == first.version);
  CHECK(single.Count(LogEventId::kConfigDamaged) == 1);
  single.OnProbe(kTwo, {2, DigestOf(body)});
  CHECK(single.Answer(kTwo, unreadable) == 0);
  const FakePublication next = single.publisher.Make(3, first, {});
  single.OnProbe(kOne, next.version);
  single.AnswerAll(kOne, next);
  CHECK(single.manager().version() == next.version);
}

TEST_CASE("a peer that never answers does not block a publication",
          "[keeper]") {
  SingleManager single;
  const FakePublication first = single.publisher.Make(1, {}, {});
  single.OnProbe(kOne, first.version);
  single.OnProbe(kTwo, first.version);
  for (int i = 0; i < 400 && single.manager().version() != first.version; ++i) {
    single.Answer(kTwo, first);
    single.now += milliseconds(100);
    single.Advance();
  }
  CHECK(single.manager().version() == first.version);
}

TEST_CASE(
    "a stream of newer publications does not starve the one being fetched",
    "[keeper]") {
  SingleManager single;
  FakePublication latest = single.publisher.Make(1, {}, {});
  const FakePublication first = latest;
  single.OnProbe(kOne, first.version);
  REQUIRE(single.Answer(kOne, first) == 1);  // the manifest
  for (std::uint64_t number = 2; number < 30; ++number) {
    latest = single.publisher.Make(number, latest, {});
    single.OnProbe(kTwo, latest.version);
    single.now += milliseconds(100);
    single.Advance();
    single.Answer(kOne, first);
  }
  CHECK(single.manager().version() == first.version);
  single.AnswerAll(kTwo, latest);
  CHECK(single.manager().version() == latest.version);
}

TEST_CASE("a stalled publication is given up for a newer one", "[keeper]") {
  SingleManager single;
  const FakePublication first = single.publisher.Make(1, {}, {});
  const FakePublication next = single.publisher.Make(2, first, {});
  single.OnProbe(kOne, first.version);
  REQUIRE(single.Answer(kOne, first) == 1);
  single.OnProbe(kTwo, next.version);
  for (int i = 0; i < 50 && single.manager().version() != next.version; ++i) {
    single.now += milliseconds(100);
    single.Advance();
    single.Answer(kTwo, next);
  }
  CHECK(single.manager().version() == next.version);
}

TEST_CASE("documents collected for a stalled publication are reused",
          "[keeper]") {
  SingleManager single;
  const FakePublication first = single.publisher.Make(1, {}, {});
  const FakePublication next = single.publisher.Make(2, first, {});
  single.OnProbe(kOne, first.version);
  REQUIRE(single.Answer(kOne, first) == 1);
  REQUIRE(single.Answer(kOne, first, 4) == 4);
  single.OnProbe(kTwo, next.version);
  std::size_t answers = 0;
  for (int i = 0; i < 50 && single.manager().version() != next.version; ++i) {
    single.now += milliseconds(100);
    single.Advance();
    answers += single.Answer(kTwo, next);
  }
  CHECK(single.manager().version() == next.version);
  // The manifest, the changed document and the eight that had not arrived; the
  // changed one may be among the four that had.
  CHECK(answers <= 10);
}

TEST_CASE("only changed documents are requested", "[keeper]") {
  SingleManager single;
  const FakePublication first = single.publisher.Make(1, {}, {});
  const FakePublication next = single.publisher.Make(2, first, {5});
  single.OnProbe(kOne, first.version);
  single.AnswerAll(kOne, first);
  REQUIRE(single.manager().version() == first.version);
  single.OnProbe(kOne, next.version);
  CHECK(single.Answer(kOne, next) == 1);  // the manifest
  CHECK(single.Answer(kOne, next) == 2);  // services 0 and 5
  CHECK(single.manager().version() == next.version);
}

TEST_CASE("few daemons watch the platform, and others take over when they fail",
          "[keeper]") {
  RunningFleet fleet(MakeOptions(80, 1));
  CHECK(fleet.CountWatchers() == 2);
  for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
    if (fleet.nodes()[i].manager->GetReport().is_watching) {
      fleet.KillNode(i);
    }
  }
  const FakePublication next = fleet.Make(2, fleet.first, {});
  fleet.Publish(next);
  CHECK(fleet.RunUntilAll(next.version, seconds(10)) <= seconds(5));
}

TEST_CASE(
    "a fleet works while the platform is down and makes few calls afterwards",
    "[keeper]") {
  RunningFleet fleet(MakeOptions(40, 4));
  fleet.SetPlatform(Mode::kDown, milliseconds(0));
  fleet.Run(hours(1));
  for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
    fleet.StartNode(i);
    fleet.Run(seconds(5));
    REQUIRE(fleet.nodes()[i].manager->version() == fleet.first.version);
  }
  const FakePublication next = fleet.Make(2, fleet.first, {});
  fleet.Publish(next);
  fleet.GetAndResetMaxCallsInSecond();
  fleet.SetPlatform(Mode::kOk, milliseconds(0));
  CHECK(fleet.RunUntilAll(next.version, seconds(10)) <= seconds(5));
  // Four data centres have at most 16 watchers; in its first second each makes
  // one watch and reads the two changed documents.
  CHECK(fleet.GetAndResetMaxCallsInSecond() <= 64);
}

TEST_CASE("a fleet that starts all at once limits its calls to the platform",
          "[keeper]") {
  ConfigFleetFake fleet(MakeOptions(100, 4));
  const FakePublication first = fleet.Make(1, {}, {}, 300);
  fleet.Publish(first);
  fleet.StartAll();
  CHECK(fleet.RunUntilAll(first.version, seconds(60)) <= seconds(20));
  // Each daemon reads the list of instances once. Two watchers per data centre
  // read the documents, each 10 at once and then 70 per second.
  CHECK(fleet.platform_calls() <= 100 + 8 * 310);
  CHECK(fleet.GetAndResetMaxCallsInSecond() <= 100 + 8 * 85);
}

TEST_CASE("a fleet without any configuration limits its calls to the platform",
          "[keeper]") {
  ConfigFleetFake fleet(MakeOptions(100, 4));
  const FakePublication first = fleet.Make(1, {}, {}, 300);
  fleet.Publish(first);
  fleet.SetPlatform(Mode::kDown, milliseconds(0));
  fleet.StartAll();
  fleet.Run(std::chrono::minutes(3));
  fleet.GetAndResetMaxCallsInSecond();
  fleet.SetPlatform(Mode::kOk, milliseconds(0));
  CHECK(fleet.RunUntilAll(first.version, seconds(60)) <= seconds(20));
  // At most four watchers per data centre, and a few other daemons that have no
  // configuration and read the platform themselves.
  CHECK(fleet.GetAndResetMaxCallsInSecond() <= 16 * 85 + 100);
}

TEST_CASE("a platform that ends watches at once is not called again at once",
          "[keeper]") {
  SingleManager single;
  single.Advance();
  for (int i = 0; i < 100; ++i) {
    single.manager().OnPlatformValue(kManifestName, std::nullopt, true,
                                     single.now, single.actions);
    single.now += milliseconds(100);
    single.Advance();
  }
  CHECK(single.CountWatches() >= 2);
  CHECK(single.CountWatches() <= 14);
}

TEST_CASE("a platform that restarts its count of revisions is read again",
          "[keeper]") {
  RunningFleet fleet(MakeOptions(4, 1));
  SingleManager single;
  const FakePublication first = single.publisher.Make(1, {}, {});
  single.Advance();
  single.manager().OnPlatformValue(
      kManifestName, PlatformValue{900, first.documents.at(kManifestName)},
      true, single.now, single.actions);
  bool is_any_revision_read = false;
  for (int i = 0; i < 10; ++i) {
    single.now += seconds(1);
    single.Advance();
    single.actions.clear();
    single.now += seconds(20);
    single.manager().OnPlatformValue(kManifestName, std::nullopt, true,
                                     single.now, single.actions);
    single.Advance();
    for (const ControlAction& action : single.actions) {
      const auto* watch = std::get_if<WatchPlatform>(&action);
      is_any_revision_read =
          is_any_revision_read || (watch != nullptr && watch->after == 0);
    }
  }
  CHECK(is_any_revision_read);
}

TEST_CASE("a paused daemon catches up without an older configuration in force",
          "[keeper]") {
  RunningFleet fleet(MakeOptions(12, 3));
  fleet.Pause(5, seconds(30));
  FakePublication latest = fleet.first;
  for (std::uint64_t number = 2; number <= 4; ++number) {
    latest = fleet.Make(number, latest, {});
    fleet.Publish(latest);
    fleet.Run(seconds(8));
  }
  REQUIRE_NOTHROW(fleet.Run(seconds(11)));
  CHECK(fleet.nodes()[5].manager->version() == latest.version);
}

constexpr seconds kMaxSpreadTime{5};

// Time until a change is in force everywhere while daemon 1 is the only one of
// data centres 1 and 2 whose messages reach data centre 0.
Duration SpreadTimeAcrossPartition(std::uint64_t seed) {
  ConfigFleetFake::Options options = MakeOptions(30, 3);
  options.seed = seed;
  RunningFleet fleet(options);
  for (std::size_t from = 0; from < 30; ++from) {
    for (std::size_t to = 0; to < 30; to += 3) {
      if (from % 3 != 0 && from != 1) {
        fleet.BreakLink(from, to);
      }
    }
  }
  fleet.Run(seconds(20));
  const FakePublication next = fleet.Make(2, fleet.first, {});
  fleet.Publish(next);
  return fleet.RunUntilAll(next.version, seconds(20));
}

TEST_CASE(
    "a change reaches a data centre that only one outside daemon can reach",
    "[keeper]") {
  const auto seed = static_cast<std::uint64_t>(GENERATE(range(1, 60)));
  CAPTURE(seed);
  CHECK(SpreadTimeAcrossPartition(seed) <= kMaxSpreadTime);
}

}  // namespace
}  // namespace vanillafall
