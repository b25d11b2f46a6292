#ifndef TOOLS_LOAD_HISTORY_H_
#define TOOLS_LOAD_HISTORY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "base/outcome.h"

namespace vanillafall {

// One attempt of a caller to send a request, and its result.
struct Attempt {
  // How the attempt ended: a complete answer was received, no byte of the
  // request was sent, or the request may have arrived but no complete answer
  // was received. The values are those of HttpCaller::End.
  enum class End : std::uint8_t { kAnswered, kNotSent, kLost };

  std::string request_id;
  std::string customer;
  // The idempotency key. Empty for a request that needs none.
  std::string key;
  std::string path;
  // Address of the daemon that the request was sent to.
  std::string daemon;
  // Times since the start of the run.
  std::chrono::microseconds sent{0};
  std::chrono::microseconds answered{0};
  End end = End::kLost;
  // HTTP status; 0 without an answer.
  int status = 0;
  // From the answer's headers. Empty if the answer had no outcome header.
  std::optional<Outcome> outcome;
  std::string reason;
  // From the body of the answer, in which the backend server states the request
  // that it answers.
  bool has_whole_body = false;
  std::string body_path;
  std::string body_request_id;
};

// One execution of a non-idempotent request, as a backend server recorded it.
struct Execution {
  std::string customer;
  std::string key;
  std::string request_id;
  std::string path;
};

// Counts and violations found in the history of a run.
struct HistoryReport {
  std::size_t requests = 0;
  std::size_t keys = 0;
  std::size_t executions = 0;
  std::size_t unknown = 0;
  std::size_t not_run = 0;
  // Sent, but without an answer.
  std::size_t unanswered = 0;
  std::size_t not_sent = 0;
  // Requests without a key whose outcome was not "done".
  std::size_t failed_lookups = 0;
  // The counts below are violations.
  // Keys that ran more than once.
  std::size_t at_most_once_violations = 0;
  // Reported as not run, but executed.
  std::size_t false_not_run = 0;
  // Reported as done, but never executed.
  std::size_t false_done = 0;
  // Answers that belong to another request.
  std::size_t mixed_up_answers = 0;
  std::size_t answers_without_outcome = 0;
  // One line for each violation.
  std::vector<std::string> violations;

  bool is_clean() const { return violations.empty(); }
};

// Reads the history file of a backend server stand-in: one execution per line.
std::vector<Execution> ReadExecutions(std::istream& in);

// Compares the outcomes reported to callers with the executions. Within a run,
// each key of a customer must be used for one piece of work only. With
// must_answer, a request that was sent but got no answer is a violation too.
HistoryReport CheckHistory(const std::vector<Attempt>& attempts,
                           const std::vector<Execution>& executions,
                           bool must_answer = false);

// Formats the attempt as one line of JSON, without a line break.
std::string ToJsonLine(const Attempt& attempt);

}  // namespace vanillafall

#endif  // TOOLS_LOAD_HISTORY_H_
