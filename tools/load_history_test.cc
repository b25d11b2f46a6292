// Guards against a check that overlooks a violation, or reports one in a
// consistent history.

#include "tools/load_history.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace vanillafall {
namespace {

// An answered attempt with this outcome.
Attempt MakeAttempt(const std::string& id,
                    const std::string& key,
                    Outcome outcome) {
  Attempt attempt;
  attempt.request_id = id;
  attempt.customer = "opera";
  attempt.key = key;
  attempt.path = "/restyle/jobs";
  attempt.end = Attempt::End::kAnswered;
  attempt.outcome = outcome;
  attempt.has_whole_body = outcome == Outcome::kDone;
  attempt.body_path = attempt.path;
  attempt.body_request_id = id;
  return attempt;
}

Execution MakeExecution(const std::string& id, const std::string& key) {
  return {"opera", key, id, "/restyle/jobs"};
}

TEST_CASE(
    "a consistent history with resends and lost answers has no violations") {
  Attempt resend = MakeAttempt("r2", "k1", Outcome::kDone);
  resend.body_request_id = "r1";
  Attempt lost = MakeAttempt("r3", "k2", Outcome::kUnknown);
  lost.end = Attempt::End::kLost;
  lost.outcome.reset();
  const HistoryReport report =
      CheckHistory({MakeAttempt("r1", "k1", Outcome::kUnknown), resend, lost,
                    MakeAttempt("r4", "k2", Outcome::kNotRun)},
                   {MakeExecution("r1", "k1"), MakeExecution("r3", "k2")});
  CHECK(report.is_clean());
  CHECK(report.keys == 2);
}

TEST_CASE("each kind of violation is found") {
  SECTION("a key that ran twice") {
    const HistoryReport report =
        CheckHistory({MakeAttempt("r1", "k", Outcome::kUnknown),
                      MakeAttempt("r2", "k", Outcome::kDone)},
                     {MakeExecution("r1", "k"), MakeExecution("r2", "k")});
    CHECK(report.at_most_once_violations == 1);
  }
  SECTION("a request that ran although it was reported as not run") {
    const HistoryReport report =
        CheckHistory({MakeAttempt("r1", "k", Outcome::kUnknown),
                      MakeAttempt("r2", "k", Outcome::kNotRun)},
                     {MakeExecution("r2", "k")});
    CHECK(report.false_not_run == 1);
  }
  SECTION("work that was reported as done but never ran") {
    const HistoryReport report =
        CheckHistory({MakeAttempt("r1", "k", Outcome::kDone)}, {});
    CHECK(report.false_done == 1);
  }
  SECTION("an answer that belongs to another request") {
    Attempt attempt = MakeAttempt("r1", "k", Outcome::kDone);
    attempt.body_request_id = "r9";
    const HistoryReport report =
        CheckHistory({attempt}, {MakeExecution("r1", "k")});
    CHECK(report.mixed_up_answers == 1);
  }
  SECTION("a lookup that got another lookup's answer") {
    Attempt attempt = MakeAttempt("r1", "", Outcome::kDone);
    attempt.body_request_id = "r2";
    const HistoryReport report = CheckHistory({attempt}, {});
    CHECK(report.mixed_up_answers == 1);
  }
  SECTION("a request without an answer when each must have one") {
    Attempt attempt = MakeAttempt("r1", "k", Outcome::kUnknown);
    attempt.end = Attempt::End::kLost;
    CHECK(CheckHistory({attempt}, {}, true).violations.size() == 1);
    CHECK(CheckHistory({attempt}, {}, false).is_clean());
  }
  SECTION("an answer without an outcome") {
    Attempt attempt = MakeAttempt("r1", "k", Outcome::kDone);
    attempt.outcome.reset();
    const HistoryReport report = CheckHistory({attempt}, {});
    CHECK(report.answers_without_outcome == 1);
  }
}

TEST_CASE("the history file of a backend server is read") {
  std::istringstream in("opera k1 r1 /restyle/jobs\nclerk k2 r2 /courts\n");
  const std::vector<Execution> executions = ReadExecutions(in);
  REQUIRE(executions.size() == 2);
  CHECK(executions[1].customer == "clerk");
  CHECK(executions[1].request_id == "r2");
}

}  // namespace
}  // namespace vanillafall
