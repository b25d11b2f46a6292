#include "tools/load_history.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace vanillafall {
namespace {

Attempt Told(const std::string& id, const std::string& key, Outcome outcome) {
  Attempt attempt;
  attempt.request_id = id;
  attempt.tenant = "opera";
  attempt.key = key;
  attempt.path = "/restyle/jobs";
  attempt.end = Attempt::End::kAnswered;
  attempt.outcome = outcome;
  attempt.has_whole_body = outcome == Outcome::kDone;
  attempt.body_path = attempt.path;
  attempt.body_request_id = id;
  return attempt;
}

Execution Ran(const std::string& id, const std::string& key) {
  return {"opera", key, id, "/restyle/jobs"};
}

TEST_CASE("a true history is clean, with resends and lost answers") {
  Attempt resend = Told("r2", "k1", Outcome::kDone);
  resend.body_request_id = "r1";
  Attempt lost = Told("r3", "k2", Outcome::kUnknown);
  lost.end = Attempt::End::kLost;
  lost.outcome.reset();
  const Verdict verdict =
      CheckHistory({Told("r1", "k1", Outcome::kUnknown), resend, lost,
                    Told("r4", "k2", Outcome::kNotRun)},
                   {Ran("r1", "k1"), Ran("r3", "k2")});
  CHECK(verdict.is_clean());
  CHECK(verdict.keys == 2);
}

TEST_CASE("each kind of violation is found") {
  SECTION("a key that ran twice") {
    const Verdict verdict = CheckHistory(
        {Told("r1", "k", Outcome::kUnknown), Told("r2", "k", Outcome::kDone)},
        {Ran("r1", "k"), Ran("r2", "k")});
    CHECK(verdict.at_most_once_violations == 1);
  }
  SECTION("a request that ran although its caller was told not run") {
    const Verdict verdict = CheckHistory(
        {Told("r1", "k", Outcome::kUnknown), Told("r2", "k", Outcome::kNotRun)},
        {Ran("r2", "k")});
    CHECK(verdict.not_run_lies == 1);
  }
  SECTION("work that is done but never ran") {
    const Verdict verdict = CheckHistory({Told("r1", "k", Outcome::kDone)}, {});
    CHECK(verdict.done_lies == 1);
  }
  SECTION("another request's answer") {
    Attempt attempt = Told("r1", "k", Outcome::kDone);
    attempt.body_request_id = "r9";
    const Verdict verdict = CheckHistory({attempt}, {Ran("r1", "k")});
    CHECK(verdict.mixed_up_answers == 1);
  }
  SECTION("a lookup that got another lookup's answer") {
    Attempt attempt = Told("r1", "", Outcome::kDone);
    attempt.body_request_id = "r2";
    const Verdict verdict = CheckHistory({attempt}, {});
    CHECK(verdict.mixed_up_answers == 1);
  }
  SECTION("a request without an answer where every one must have one") {
    Attempt attempt = Told("r1", "k", Outcome::kUnknown);
    attempt.end = Attempt::End::kLost;
    CHECK(CheckHistory({attempt}, {}, true).evidence.size() == 1);
    CHECK(CheckHistory({attempt}, {}, false).is_clean());
  }
  SECTION("an answer that does not say its outcome") {
    Attempt attempt = Told("r1", "k", Outcome::kDone);
    attempt.outcome.reset();
    const Verdict verdict = CheckHistory({attempt}, {});
    CHECK(verdict.answers_without_outcome == 1);
  }
}

TEST_CASE("the history file of a backend server is read") {
  std::istringstream in("opera k1 r1 /restyle/jobs\nclerk k2 r2 /courts\n");
  const std::vector<Execution> executions = ReadExecutions(in);
  REQUIRE(executions.size() == 2);
  CHECK(executions[1].tenant == "clerk");
  CHECK(executions[1].request_id == "r2");
}

}  // namespace
}  // namespace vanillafall
