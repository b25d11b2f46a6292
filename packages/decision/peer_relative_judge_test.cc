#include "decision/peer_relative_judge.h"

#include <catch2/catch.hpp>
#include <string>

#include "decision/health_profile.h"

namespace vanillafall {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// One server, its judge, and what two other servers say of themselves.
class Bench {
 public:
  explicit Bench(Profile profile)
      : window_(GetHealthProfile(profile).window),
        judge_(GetHealthProfile(profile).in_service,
               GetHealthProfile(profile).on_probation) {}

  void Record(const std::string& name, milliseconds latency, bool failed) {
    const WorkSample sample{name, latency, failed, false};
    if (judge_.IsTelling(sample)) {
      window_.Record(sample, now_);
    }
  }

  void HearPeers(double failure_ratio, milliseconds a, milliseconds b) {
    HealthDigest digest;
    digest.samples = 20;
    digest.failure_ratio = failure_ratio;
    digest.latencies = {{"a", a, 10}, {"b", b, 10}};
    peers_.Update("peer-1", digest, now_);
    peers_.Update("peer-2", digest, now_);
  }

  Verdict Judge() {
    return judge_.Judge({window_, peers_, 3, false}, now_).verdict;
  }

  // Work as usual: class a takes 10 ms and b, one in eight, 100 ms.
  void PassWell() {
    for (int i = 0; i < 200; ++i) {
      now_ += milliseconds(50);
      Record(i % 8 == 0 ? "b" : "a", milliseconds(i % 8 == 0 ? 100 : 10),
             false);
      peers_.Expire(now_);
      HearPeers(0, milliseconds(10), milliseconds(100));
      Judge();
    }
  }

  // The verdict when peers keep saying the same for a second.
  Verdict JudgeForSecond(double failure_ratio, milliseconds a, milliseconds b) {
    Verdict verdict = Verdict::kWell;
    for (int i = 0; i < 20; ++i) {
      now_ += milliseconds(50);
      HearPeers(failure_ratio, a, b);
      verdict = Judge();
    }
    return verdict;
  }

  TimePoint now_{seconds(1000)};
  WorkWindow window_;
  PeerReference peers_;
  PeerRelativeJudge judge_;
};

TEST_CASE("hung work is found although it gives no sample") {
  const Profile profile = GENERATE(Profile::kCareful, Profile::kFast);
  Bench bench(profile);
  bench.PassWell();
  for (WorkWindow::Ticket ticket = 1; ticket <= 3; ++ticket) {
    bench.window_.OnStarted(ticket, "a", bench.now_);
  }
  bench.now_ += seconds(1);
  REQUIRE(bench.JudgeForSecond(0, milliseconds(10), milliseconds(100)) ==
          Verdict::kSick);
}

TEST_CASE("what others suffer too makes no server sick") {
  Bench bench(Profile::kFast);
  bench.PassWell();
  for (int i = 0; i < 12; ++i) {
    bench.Record("a", milliseconds(10), true);
  }
  REQUIRE(bench.JudgeForSecond(0.8, milliseconds(10), milliseconds(100)) ==
          Verdict::kWell);
  REQUIRE(bench.JudgeForSecond(0.0, milliseconds(10), milliseconds(100)) ==
          Verdict::kWell);
  bench.now_ += seconds(5);
  for (int i = 0; i < 12; ++i) {
    bench.Record("a", milliseconds(10), true);
  }
  REQUIRE(bench.JudgeForSecond(0.0, milliseconds(10), milliseconds(100)) ==
          Verdict::kSick);
}

TEST_CASE("the first server to see a common fault waits for the others") {
  const Profile profile = GENERATE(Profile::kCareful, Profile::kFast);
  Bench bench(profile);
  bench.PassWell();
  for (int i = 0; i < 20; ++i) {
    bench.Record("a", milliseconds(10), true);
  }
  bench.HearPeers(0, milliseconds(10), milliseconds(100));
  REQUIRE(bench.Judge() == Verdict::kSuspect);
  bench.now_ += milliseconds(100);
  bench.HearPeers(0.9, milliseconds(10), milliseconds(100));
  REQUIRE(bench.Judge() == Verdict::kWell);
}

TEST_CASE("without a comparison a server is suspect but not sick") {
  Bench bench(Profile::kFast);
  bench.PassWell();
  bench.now_ += seconds(2);
  bench.peers_.Expire(bench.now_);
  for (int i = 0; i < 12; ++i) {
    bench.Record("a", milliseconds(10), true);
  }
  REQUIRE(bench.Judge() == Verdict::kSuspect);
  bench.now_ += seconds(2);
  REQUIRE(bench.Judge() == Verdict::kSuspect);
}

TEST_CASE("a slow class is a fault of the server that alone has it") {
  const Profile profile = GENERATE(Profile::kCareful, Profile::kFast);
  Bench bench(profile);
  bench.PassWell();
  for (int i = 0; i < 88; ++i) {
    const bool is_slow = i % 8 == 0;
    bench.Record(is_slow ? "b" : "a", milliseconds(is_slow ? 1000 : 10), false);
  }
  SECTION("all servers have it") {
    REQUIRE(bench.JudgeForSecond(0, milliseconds(10), milliseconds(1000)) ==
            Verdict::kWell);
  }
  SECTION("this one alone has it") {
    REQUIRE(bench.JudgeForSecond(0, milliseconds(10), milliseconds(100)) ==
            Verdict::kSick);
  }
}

TEST_CASE("more work of a slow class does not make a server slow") {
  Bench bench(Profile::kFast);
  bench.PassWell();
  for (int i = 0; i < 30; ++i) {
    bench.Record("b", milliseconds(100), false);
  }
  REQUIRE(bench.JudgeForSecond(0, milliseconds(10), milliseconds(100)) ==
          Verdict::kWell);
}

TEST_CASE("too little traffic and early timeouts tell nothing") {
  Bench bench(Profile::kFast);
  bench.PassWell();
  bench.now_ += seconds(20);
  bench.window_.Expire(bench.now_);
  for (int i = 0; i < 3; ++i) {
    bench.Record("a", milliseconds(10), true);
  }
  REQUIRE(bench.JudgeForSecond(0, milliseconds(10), milliseconds(100)) ==
          Verdict::kWell);
  const WorkSample early{"a", milliseconds(15), true, true};
  const WorkSample late{"a", milliseconds(500), true, true};
  REQUIRE(!bench.judge_.IsTelling(early));
  REQUIRE(bench.judge_.IsTelling(late));
}

TEST_CASE("a server that is slow from its start is found by comparison") {
  Bench bench(Profile::kFast);
  for (int i = 0; i < 20; ++i) {
    bench.Record("a", milliseconds(100), false);
  }
  REQUIRE(bench.Judge() == Verdict::kSuspect);
  REQUIRE(bench.JudgeForSecond(0, milliseconds(10), milliseconds(100)) ==
          Verdict::kSick);
}

}  // namespace
}  // namespace vanillafall
