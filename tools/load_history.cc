#include "tools/load_history.h"

#include <istream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <tuple>

namespace vanillafall {
namespace {

const char* ToString(Attempt::End end) {
  switch (end) {
    case Attempt::End::kAnswered:
      return "answered";
    case Attempt::End::kNotSent:
      return "not sent";
    case Attempt::End::kLost:
      return "lost";
  }
  return "lost";
}

// All attempts and executions of one key of one customer.
struct KeyHistory {
  std::vector<const Attempt*> attempts;
  std::vector<const Execution*> executions;

  bool HasRequest(const std::string& id) const {
    for (const Attempt* attempt : attempts) {
      if (attempt->request_id == id) {
        return true;
      }
    }
    return false;
  }
};

// Compares the attempts of the callers with the executions of the backend
// servers. Use each object for one check.
class Checker {
 public:
  Checker(const std::vector<Attempt>& attempts,
          const std::vector<Execution>& executions,
          bool must_answer)
      : attempts_(attempts),
        executions_(executions),
        must_answer_(must_answer) {}

  HistoryReport Check() {
    report_.requests = attempts_.size();
    report_.executions = executions_.size();
    for (const Attempt& attempt : attempts_) {
      if (!attempt.key.empty()) {
        histories_[{attempt.customer, attempt.key}].attempts.push_back(
            &attempt);
      }
    }
    for (const Execution& each : executions_) {
      executed_.insert(each.request_id);
      histories_[{each.customer, each.key}].executions.push_back(&each);
    }
    report_.keys = histories_.size();
    for (const Attempt& attempt : attempts_) {
      CheckAttempt(attempt);
    }
    for (const auto& [key_name, history] : histories_) {
      CheckKey(key_name.key, history);
    }
    return std::move(report_);
  }

 private:
  struct KeyName {
    std::string customer;
    std::string key;
    bool operator<(const KeyName& other) const {
      return std::tie(customer, key) < std::tie(other.customer, other.key);
    }
  };

  void CheckAttempt(const Attempt& attempt) {
    const bool is_lookup = attempt.key.empty();
    if (is_lookup && attempt.outcome != Outcome::kDone) {
      ++report_.failed_lookups;
    }
    if (attempt.end == Attempt::End::kNotSent) {
      ++report_.not_sent;
      return;
    }
    if (attempt.end == Attempt::End::kLost) {
      ++report_.unanswered;
      if (must_answer_) {
        AddViolation("no answer", attempt);
      }
      return;
    }
    if (!attempt.outcome) {
      ++report_.answers_without_outcome;
      AddViolation("no outcome", attempt);
      return;
    }
    report_.unknown += attempt.outcome == Outcome::kUnknown ? 1 : 0;
    if (attempt.outcome == Outcome::kNotRun) {
      ++report_.not_run;
      CheckNotRun(attempt);
    }
    if (attempt.outcome == Outcome::kDone && !IsOwnAnswer(attempt)) {
      ++report_.mixed_up_answers;
      AddViolation("answer is not its own", attempt);
    }
  }

  // Checks that an attempt reported as not run was not executed.
  void CheckNotRun(const Attempt& attempt) {
    if (executed_.contains(attempt.request_id)) {
      ++report_.false_not_run;
      AddViolation("told not run, but ran", attempt);
    }
  }

  // Whether the answer belongs to this request, or to another one with its key.
  bool IsOwnAnswer(const Attempt& attempt) const {
    if (!attempt.has_whole_body || attempt.body_path != attempt.path) {
      return false;
    }
    if (attempt.key.empty()) {
      return attempt.body_request_id == attempt.request_id;
    }
    // A resend gets the stored answer of the request that ran under its key.
    const auto history = histories_.find({attempt.customer, attempt.key});
    return history != histories_.end() &&
           history->second.HasRequest(attempt.body_request_id);
  }

  // Checks that a key ran at most once, and that this agrees with the outcomes
  // reported to its callers.
  void CheckKey(const std::string& key, const KeyHistory& history) {
    if (history.executions.size() > 1) {
      ++report_.at_most_once_violations;
      std::string ids;
      for (const Execution* each : history.executions) {
        ids += " " + each->request_id;
      }
      report_.violations.push_back("key " + key + " ran " +
                                   std::to_string(history.executions.size()) +
                                   " times:" + ids);
    }
    const bool is_done = IsReportedDone(history);
    if (is_done && history.executions.empty()) {
      ++report_.false_done;
      report_.violations.push_back("key " + key + " told done, but never ran");
    }
    if (IsReportedOnlyNotRun(history) && !history.executions.empty()) {
      ++report_.false_not_run;
      report_.violations.push_back("key " + key +
                                   " only told not run, but ran");
    }
  }

  // Whether an answer to any attempt said that the work is done.
  static bool IsReportedDone(const KeyHistory& history) {
    for (const Attempt* attempt : history.attempts) {
      if (attempt->outcome == Outcome::kDone) {
        return true;
      }
    }
    return false;
  }

  // Whether each attempt was either not sent or answered as not run.
  static bool IsReportedOnlyNotRun(const KeyHistory& history) {
    for (const Attempt* attempt : history.attempts) {
      const bool is_reported_not_run = attempt->end == Attempt::End::kNotSent ||
                                       attempt->outcome == Outcome::kNotRun;
      if (!is_reported_not_run) {
        return false;
      }
    }
    return !history.attempts.empty();
  }

  void AddViolation(const char* what, const Attempt& attempt) {
    report_.violations.push_back(std::string(what) + ": " +
                                 ToJsonLine(attempt));
  }

  const std::vector<Attempt>& attempts_;
  const std::vector<Execution>& executions_;
  const bool must_answer_;
  std::map<KeyName, KeyHistory> histories_;
  // IDs of requests that ran.
  std::set<std::string> executed_;
  HistoryReport report_;
};

}  // namespace

std::vector<Execution> ReadExecutions(std::istream& in) {
  std::vector<Execution> executions;
  std::string line;
  while (std::getline(in, line)) {
    std::istringstream fields(line);
    Execution each;
    fields >> each.customer >> each.key >> each.request_id >> each.path;
    executions.push_back(std::move(each));
  }
  return executions;
}

HistoryReport CheckHistory(const std::vector<Attempt>& attempts,
                           const std::vector<Execution>& executions,
                           bool must_answer) {
  return Checker(attempts, executions, must_answer).Check();
}

std::string ToJsonLine(const Attempt& attempt) {
  nlohmann::ordered_json json;
  json["request_id"] = attempt.request_id;
  json["tenant"] = attempt.customer;
  json["key"] = attempt.key;
  json["path"] = attempt.path;
  json["daemon"] = attempt.daemon;
  json["sent_us"] = attempt.sent.count();
  json["answered_us"] = attempt.answered.count();
  json["end"] = ToString(attempt.end);
  json["status"] = attempt.status;
  json["outcome"] =
      attempt.outcome ? vanillafall::ToString(*attempt.outcome) : "";
  json["reason"] = attempt.reason;
  json["body_path"] = attempt.body_path;
  json["body_request_id"] = attempt.body_request_id;
  return json.dump();
}

}  // namespace vanillafall
