#include "decision/entry.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kCallerTime{10};

// Records the requests that the entry sends to owners.
class FakePeers final : public PeerCaller {
 public:
  struct SentRequest {
    PeerCallId call = 0;
    RunRequest run;
  };

  PeerCallId Ask(const PeerAddress& /*peer*/,
                 PeerRequest request,
                 milliseconds /*timeout*/,
                 Actions& /*actions*/) override {
    sent_requests.push_back(
        {sent_requests.size() + 1, std::get<RunRequest>(request)});
    return sent_requests.back().call;
  }
  void Reply(PeerCallId /*call*/,
             PeerReply /*reply*/,
             Actions& /*actions*/) override {}

  std::vector<SentRequest> sent_requests;
};

FleetConfigPtr ConfigOf(int server_count) {
  auto config = std::make_shared<FleetConfig>();
  ServiceConfig& service = config->services["restyle"];
  service.name = "restyle";
  service.callers = {"*"};
  service.missing_key = MissingKeyRule::kRunOnce;
  service.routes = {{"/jobs", "job", {"POST"}}};
  for (int index = 0; index < server_count; ++index) {
    const std::string name = "restyle-" + std::to_string(index);
    service.backend_servers.push_back({name, name, name, "nekala", 3});
  }
  return config;
}

RunReply DoneReply(const std::string& body) {
  RunReply reply;
  reply.outcome = Outcome::kDone;
  reply.reason = Reason::kOk;
  reply.response = {200, {}, body};
  return reply;
}

RunReply RefusalWith(Reason reason) {
  RunReply reply;
  reply.reason = reason;
  return reply;
}

// An entry, the requests that it sends to owners, and the test's clock.
class EntryUnderTest {
 public:
  EntryUnderTest() { entry_.Configure(ConfigOf(6)); }

  RequestId Request(const std::string& method,
                    milliseconds time_left = kCallerTime) {
    const RequestId id = ++last_id_;
    entry_.OnRequest({id, {method, "/jobs", {}, ""}, time_left}, random_, now_,
                     actions_);
    return id;
  }
  void Wait(Duration duration) {
    const TimePoint end = now_ + duration;
    while (now_ < end) {
      now_ += kTickPeriod;
      entry_.Advance(random_, now_, actions_);
    }
  }
  // Answers the count-th try that was sent, from 1.
  void Reply(std::size_t count, const RunReply& reply) {
    entry_.OnReply(count, reply, random_, now_, actions_);
  }
  void Fail(std::size_t count, PeerFailure failure) {
    entry_.OnFailure(count, failure, random_, now_, actions_);
  }
  // Serves 50 requests that take this long, so that the entry knows the usual
  // latency of the service.
  void Learn(Duration latency) {
    for (int count = 0; count < 50; ++count) {
      Request("GET");
      Wait(latency);
      Reply(tries(), DoneReply(""));
    }
    actions_.clear();
  }

  std::size_t tries() const { return peers_.sent_requests.size(); }
  const RunRequest& last_try() const { return peers_.sent_requests.back().run; }
  std::size_t answer_count() const { return actions_.size(); }
  const AnswerCaller& answer() const {
    REQUIRE_FALSE(actions_.empty());
    return std::get<AnswerCaller>(actions_.back());
  }

 private:
  FakePeers peers_;
  Entry entry_{"nekala", 1000, peers_};
  Entry::Random random_{3};
  TimePoint now_{seconds(100)};
  Actions actions_;
  RequestId last_id_ = 0;
};

TEST_CASE("a caller is answered soon after its deadline", "[entry]") {
  EntryUnderTest test;
  test.Request("POST");
  test.Wait(kCallerTime);
  REQUIRE(test.answer_count() == 0);
  test.Wait(Entry::kDeadlineGrace);
  REQUIRE(test.answer_count() == 1);
  REQUIRE(test.answer().outcome == Outcome::kUnknown);
  REQUIRE(test.answer().reason == Reason::kDeadlinePassed);
  test.Reply(1, DoneReply("late"));
  REQUIRE(test.answer_count() == 1);
}

TEST_CASE("expired work is refused as not run", "[entry]") {
  EntryUnderTest test;
  test.Request("POST", milliseconds(0));
  REQUIRE(test.tries() == 0);
  REQUIRE(test.answer().outcome == Outcome::kNotRun);
  REQUIRE(test.answer().reason == Reason::kDeadlinePassed);
}

TEST_CASE("time left shrinks with each try", "[entry]") {
  EntryUnderTest test;
  test.Request("POST");
  REQUIRE(test.last_try().time_left == kCallerTime);
  test.Wait(seconds(1));
  test.Reply(1, RefusalWith(Reason::kOverloaded));
  REQUIRE(test.tries() == 2);
  REQUIRE(test.last_try().time_left == kCallerTime - seconds(1));
}

TEST_CASE("a hung try is followed by one on another server", "[entry]") {
  EntryUnderTest test;
  test.Learn(milliseconds(20));
  test.Request("GET");
  const std::string hung = test.last_try().backend_server;
  const std::size_t sent = test.tries();
  test.Wait(milliseconds(100));
  REQUIRE(test.tries() == sent + 1);
  REQUIRE(test.last_try().backend_server != hung);
  test.Reply(sent + 1, DoneReply("second"));
  REQUIRE(test.answer().outcome == Outcome::kDone);
  // The next requests avoid the server that hung.
  for (int count = 0; count < 20; ++count) {
    test.Request("GET");
    REQUIRE(test.last_try().backend_server != hung);
  }
}

TEST_CASE("slow tries do not make a slow service fail", "[entry]") {
  EntryUnderTest test;
  test.Learn(milliseconds(20));
  std::size_t sent = 0;
  constexpr std::size_t kRequests = 30;
  const std::size_t tries_before = test.tries();
  for (; sent < kRequests; ++sent) {
    test.Request("GET");
  }
  test.Wait(seconds(2));
  const std::size_t all = test.tries();
  REQUIRE(all - tries_before - sent <= 10);
  for (std::size_t count = tries_before + 1; count <= all; ++count) {
    test.Reply(count, DoneReply("slow"));
  }
  REQUIRE(test.answer_count() == kRequests);
  REQUIRE(test.answer().outcome == Outcome::kDone);
}

TEST_CASE("non-idempotent work is sent once unless proved not run", "[entry]") {
  EntryUnderTest test;
  test.Learn(milliseconds(20));
  const std::size_t tries_before = test.tries();
  test.Request("POST");
  test.Wait(seconds(5));
  REQUIRE(test.tries() == tries_before + 1);
  test.Fail(tries_before + 1, PeerFailure::kNotSent);
  REQUIRE(test.tries() == tries_before + 2);
  test.Fail(tries_before + 2, PeerFailure::kLost);
  REQUIRE(test.tries() == tries_before + 2);
  REQUIRE(test.answer().outcome == Outcome::kUnknown);
}

TEST_CASE("a refusal after an unknown try leaves the outcome unknown",
          "[entry]") {
  EntryUnderTest test;
  test.Request("GET");
  test.Fail(1, PeerFailure::kLost);
  test.Reply(2, RefusalWith(Reason::kOverloaded));
  REQUIRE(test.answer().outcome == Outcome::kUnknown);
  REQUIRE(test.answer().reason == Reason::kPeerLost);
}

TEST_CASE("a refusal does not end a request while a try is open", "[entry]") {
  EntryUnderTest test;
  test.Learn(milliseconds(20));
  const std::size_t tries_before = test.tries();
  test.Request("GET");
  test.Wait(milliseconds(100));
  REQUIRE(test.tries() == tries_before + 2);
  test.Reply(tries_before + 2, RefusalWith(Reason::kDeadlinePassed));
  REQUIRE(test.answer_count() == 0);
  test.Reply(tries_before + 1, DoneReply("first"));
  REQUIRE(test.answer().response.body == "first");
}

TEST_CASE("a total outage adds no more retries than the budget allows",
          "[entry][run]") {
  constexpr int kEntries = 50;
  constexpr int kRequestsOfEntry = 600;
  std::size_t tries = 0;
  for (int index = 0; index < kEntries; ++index) {
    EntryUnderTest test;
    for (int count = 0; count < kRequestsOfEntry; ++count) {
      test.Wait(milliseconds(50));
      std::size_t failed = test.tries();
      test.Request("GET");
      while (failed < test.tries()) {
        test.Fail(++failed, PeerFailure::kNotSent);
      }
    }
    REQUIRE(test.answer_count() == kRequestsOfEntry);
    tries += test.tries();
  }
  constexpr double kFirstTries = kEntries * kRequestsOfEntry;
  const double max_retries =
      kFirstTries * RetryBudget::kShare + kEntries * RetryBudget::kFloor;
  REQUIRE(static_cast<double>(tries) - kFirstTries <= max_retries);
}

}  // namespace
}  // namespace vanillafall
