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

// One sending of a request, as its caller saw it.
struct Attempt {
  // How the sending ended for the caller.
  enum class End : std::uint8_t { kAnswered, kNotSent, kLost };

  std::string request_id;
  std::string customer;
  // Empty for a request that needs none.
  std::string key;
  std::string path;
  std::string daemon;
  // Time since the run began.
  std::chrono::microseconds sent{0};
  std::chrono::microseconds answered{0};
  End end = End::kLost;
  int status = 0;
  // Empty when the answer did not say.
  std::optional<Outcome> outcome;
  std::string reason;
  // From the body of a backend server's answer: whose answer it is.
  bool has_whole_body = false;
  std::string body_path;
  std::string body_request_id;
};

// One execution of non-idempotent work, as a backend server noted it.
struct Execution {
  std::string customer;
  std::string key;
  std::string request_id;
  std::string path;
};

// What the history of a run shows.
struct HistoryReport {
  std::size_t requests = 0;
  std::size_t keys = 0;
  std::size_t executions = 0;
  std::size_t unknown = 0;
  std::size_t not_run = 0;
  std::size_t unanswered = 0;
  std::size_t not_sent = 0;
  std::size_t failed_lookups = 0;
  // These are violations.
  std::size_t at_most_once_violations = 0;
  std::size_t false_not_run = 0;
  std::size_t false_done = 0;
  std::size_t mixed_up_answers = 0;
  std::size_t answers_without_outcome = 0;
  // One line for each violation.
  std::vector<std::string> violations;

  bool is_clean() const { return violations.empty(); }
};

// Reads the lines that a backend server stand-in writes.
std::vector<Execution> ReadExecutions(std::istream& in);

// Holds what callers were told against what ran. Keys must be unique to one
// piece of work within the whole run. With must_answer, a request that was sent
// and got no answer is a violation too.
HistoryReport CheckHistory(const std::vector<Attempt>& attempts,
                           const std::vector<Execution>& executions,
                           bool must_answer = false);

// The attempt as one line of JSON.
std::string ToJsonLine(const Attempt& attempt);

}  // namespace vanillafall

#endif  // TOOLS_LOAD_HISTORY_H_
