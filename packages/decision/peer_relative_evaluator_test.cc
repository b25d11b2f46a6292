#include "decision/peer_relative_evaluator.h"

#include <catch2/catch.hpp>
#include <string>

#include "decision/health_profile.h"

namespace vanillafall {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// One server, its evaluator, and the health digests of two other servers.
class EvaluatorFixture {
 public:
  explicit EvaluatorFixture(EjectionProfile profile)
      : window_(GetHealthProfile(profile).window),
        evaluator_(GetHealthProfile(profile).in_service,
                   GetHealthProfile(profile).on_probation) {}

  void Record(const std::string& name, milliseconds latency, bool failed) {
    const WorkSample sample{name, latency, failed, false};
    if (evaluator_.IsInformative(sample)) {
      window_.Record(sample, now_);
    }
  }

  // Both peers report this failure ratio and these median latencies of the
  // classes "a" and "b".
  void UpdatePeers(double failure_ratio, milliseconds a, milliseconds b) {
    HealthDigest digest;
    digest.samples = 20;
    digest.failure_ratio = failure_ratio;
    digest.latencies = {{"a", a, 10}, {"b", b, 10}};
    peers_.Update("peer-1", digest, now_);
    peers_.Update("peer-2", digest, now_);
  }

  HealthVerdict Evaluate() {
    return evaluator_.Evaluate({window_, peers_, 3, false}, now_).verdict;
  }

  // Runs healthy work for 10 s: class "a" takes 10 ms; class "b", every eighth
  // request, takes 100 ms.
  void RunHealthyWork() {
    for (int i = 0; i < 200; ++i) {
      now_ += milliseconds(50);
      Record(i % 8 == 0 ? "b" : "a", milliseconds(i % 8 == 0 ? 100 : 10),
             false);
      peers_.Expire(now_);
      UpdatePeers(0, milliseconds(10), milliseconds(100));
      Evaluate();
    }
  }

  // The verdict after both peers have reported the same values for a second.
  HealthVerdict EvaluateForSecond(double failure_ratio,
                                  milliseconds a,
                                  milliseconds b) {
    HealthVerdict verdict = HealthVerdict::kHealthy;
    for (int i = 0; i < 20; ++i) {
      now_ += milliseconds(50);
      UpdatePeers(failure_ratio, a, b);
      verdict = Evaluate();
    }
    return verdict;
  }

  TimePoint now_{seconds(1000)};
  WorkWindow window_;
  PeerReference peers_;
  PeerRelativeEvaluator evaluator_;
};

TEST_CASE("hung work is found although it gives no sample") {
  const EjectionProfile profile =
      GENERATE(EjectionProfile::kCareful, EjectionProfile::kFast);
  EvaluatorFixture fixture(profile);
  fixture.RunHealthyWork();
  for (WorkWindow::Ticket ticket = 1; ticket <= 3; ++ticket) {
    fixture.window_.OnStarted(ticket, "a", fixture.now_);
  }
  fixture.now_ += seconds(1);
  REQUIRE(fixture.EvaluateForSecond(0, milliseconds(10), milliseconds(100)) ==
          HealthVerdict::kUnhealthy);
}

TEST_CASE("a fault that other servers have too makes no server unhealthy") {
  EvaluatorFixture fixture(EjectionProfile::kFast);
  fixture.RunHealthyWork();
  for (int i = 0; i < 12; ++i) {
    fixture.Record("a", milliseconds(10), true);
  }
  REQUIRE(fixture.EvaluateForSecond(0.8, milliseconds(10), milliseconds(100)) ==
          HealthVerdict::kHealthy);
  REQUIRE(fixture.EvaluateForSecond(0.0, milliseconds(10), milliseconds(100)) ==
          HealthVerdict::kHealthy);
  fixture.now_ += seconds(5);
  for (int i = 0; i < 12; ++i) {
    fixture.Record("a", milliseconds(10), true);
  }
  REQUIRE(fixture.EvaluateForSecond(0.0, milliseconds(10), milliseconds(100)) ==
          HealthVerdict::kUnhealthy);
}

TEST_CASE("the first server to see a common fault waits for the others") {
  const EjectionProfile profile =
      GENERATE(EjectionProfile::kCareful, EjectionProfile::kFast);
  EvaluatorFixture fixture(profile);
  fixture.RunHealthyWork();
  for (int i = 0; i < 20; ++i) {
    fixture.Record("a", milliseconds(10), true);
  }
  fixture.UpdatePeers(0, milliseconds(10), milliseconds(100));
  REQUIRE(fixture.Evaluate() == HealthVerdict::kSuspect);
  fixture.now_ += milliseconds(100);
  fixture.UpdatePeers(0.9, milliseconds(10), milliseconds(100));
  REQUIRE(fixture.Evaluate() == HealthVerdict::kHealthy);
}

TEST_CASE("without a comparison a server is suspect but not unhealthy") {
  EvaluatorFixture fixture(EjectionProfile::kFast);
  fixture.RunHealthyWork();
  fixture.now_ += seconds(2);
  fixture.peers_.Expire(fixture.now_);
  for (int i = 0; i < 12; ++i) {
    fixture.Record("a", milliseconds(10), true);
  }
  REQUIRE(fixture.Evaluate() == HealthVerdict::kSuspect);
  fixture.now_ += seconds(2);
  REQUIRE(fixture.Evaluate() == HealthVerdict::kSuspect);
}

TEST_CASE("a slow class is a fault if only one server has it") {
  const EjectionProfile profile =
      GENERATE(EjectionProfile::kCareful, EjectionProfile::kFast);
  EvaluatorFixture fixture(profile);
  fixture.RunHealthyWork();
  for (int i = 0; i < 88; ++i) {
    const bool is_slow = i % 8 == 0;
    fixture.Record(is_slow ? "b" : "a", milliseconds(is_slow ? 1000 : 10),
                   false);
  }
  SECTION("all servers have it") {
    REQUIRE(
        fixture.EvaluateForSecond(0, milliseconds(10), milliseconds(1000)) ==
        HealthVerdict::kHealthy);
  }
  SECTION("this one alone has it") {
    REQUIRE(fixture.EvaluateForSecond(0, milliseconds(10), milliseconds(100)) ==
            HealthVerdict::kUnhealthy);
  }
}

TEST_CASE("more work of a slow class does not make a server slow") {
  EvaluatorFixture fixture(EjectionProfile::kFast);
  fixture.RunHealthyWork();
  for (int i = 0; i < 30; ++i) {
    fixture.Record("b", milliseconds(100), false);
  }
  REQUIRE(fixture.EvaluateForSecond(0, milliseconds(10), milliseconds(100)) ==
          HealthVerdict::kHealthy);
}

TEST_CASE("too little traffic and early timeouts are no evidence of a fault") {
  EvaluatorFixture fixture(EjectionProfile::kFast);
  fixture.RunHealthyWork();
  fixture.now_ += seconds(20);
  fixture.window_.Expire(fixture.now_);
  for (int i = 0; i < 3; ++i) {
    fixture.Record("a", milliseconds(10), true);
  }
  REQUIRE(fixture.EvaluateForSecond(0, milliseconds(10), milliseconds(100)) ==
          HealthVerdict::kHealthy);
  const WorkSample early{"a", milliseconds(15), true, true};
  const WorkSample late{"a", milliseconds(500), true, true};
  REQUIRE(!fixture.evaluator_.IsInformative(early));
  REQUIRE(fixture.evaluator_.IsInformative(late));
}

TEST_CASE("a server that is slow from its start is found by comparison") {
  EvaluatorFixture fixture(EjectionProfile::kFast);
  for (int i = 0; i < 20; ++i) {
    fixture.Record("a", milliseconds(100), false);
  }
  REQUIRE(fixture.Evaluate() == HealthVerdict::kSuspect);
  REQUIRE(fixture.EvaluateForSecond(0, milliseconds(10), milliseconds(100)) ==
          HealthVerdict::kUnhealthy);
}

}  // namespace
}  // namespace vanillafall
