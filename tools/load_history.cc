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

// Everything that belongs to one key of one tenant.
struct Work {
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

class Checker {
 public:
  Checker(const std::vector<Attempt>& attempts,
          const std::vector<Execution>& executions,
          bool must_answer)
      : attempts_(attempts),
        executions_(executions),
        must_answer_(must_answer) {}

  Verdict Check() {
    verdict_.requests = attempts_.size();
    verdict_.executions = executions_.size();
    for (const Attempt& attempt : attempts_) {
      if (!attempt.key.empty()) {
        works_[{attempt.tenant, attempt.key}].attempts.push_back(&attempt);
      }
    }
    for (const Execution& each : executions_) {
      executed_.insert(each.request_id);
      works_[{each.tenant, each.key}].executions.push_back(&each);
    }
    verdict_.keys = works_.size();
    for (const Attempt& attempt : attempts_) {
      CheckAttempt(attempt);
    }
    for (const auto& [name, work] : works_) {
      CheckWork(name.key, work);
    }
    return std::move(verdict_);
  }

 private:
  struct WorkName {
    std::string tenant;
    std::string key;
    bool operator<(const WorkName& other) const {
      return std::tie(tenant, key) < std::tie(other.tenant, other.key);
    }
  };

  void CheckAttempt(const Attempt& attempt) {
    const bool is_lookup = attempt.key.empty();
    if (is_lookup && attempt.outcome != Outcome::kDone) {
      ++verdict_.lost_lookups;
    }
    if (attempt.end == Attempt::End::kNotSent) {
      ++verdict_.not_sent;
      return;
    }
    if (attempt.end == Attempt::End::kLost) {
      ++verdict_.unanswered;
      if (must_answer_) {
        Add("no answer", attempt);
      }
      return;
    }
    if (!attempt.outcome) {
      ++verdict_.answers_without_outcome;
      Add("no outcome", attempt);
      return;
    }
    verdict_.unknown += attempt.outcome == Outcome::kUnknown ? 1 : 0;
    if (attempt.outcome == Outcome::kNotRun) {
      ++verdict_.not_run;
      CheckNotRun(attempt);
    }
    if (attempt.outcome == Outcome::kDone && !IsOwnAnswer(attempt)) {
      ++verdict_.mixed_up_answers;
      Add("answer is not its own", attempt);
    }
  }

  void CheckNotRun(const Attempt& attempt) {
    if (executed_.contains(attempt.request_id)) {
      ++verdict_.not_run_lies;
      Add("told not run, but ran", attempt);
    }
  }

  bool IsOwnAnswer(const Attempt& attempt) const {
    if (!attempt.has_whole_body || attempt.body_path != attempt.path) {
      return false;
    }
    if (attempt.key.empty()) {
      return attempt.body_request_id == attempt.request_id;
    }
    // A resend gets the answer that the key already has.
    const auto work = works_.find({attempt.tenant, attempt.key});
    return work != works_.end() &&
           work->second.HasRequest(attempt.body_request_id);
  }

  void CheckWork(const std::string& key, const Work& work) {
    if (work.executions.size() > 1) {
      ++verdict_.at_most_once_violations;
      std::string ids;
      for (const Execution* each : work.executions) {
        ids += " " + each->request_id;
      }
      verdict_.evidence.push_back("key " + key + " ran " +
                                  std::to_string(work.executions.size()) +
                                  " times:" + ids);
    }
    const bool is_done = IsToldDone(work);
    if (is_done && work.executions.empty()) {
      ++verdict_.done_lies;
      verdict_.evidence.push_back("key " + key + " told done, but never ran");
    }
    if (IsToldNotRunOnly(work) && !work.executions.empty()) {
      ++verdict_.not_run_lies;
      verdict_.evidence.push_back("key " + key + " only told not run, but ran");
    }
  }

  static bool IsToldDone(const Work& work) {
    for (const Attempt* attempt : work.attempts) {
      if (attempt->outcome == Outcome::kDone) {
        return true;
      }
    }
    return false;
  }

  static bool IsToldNotRunOnly(const Work& work) {
    for (const Attempt* attempt : work.attempts) {
      const bool is_told_not_run = attempt->end == Attempt::End::kNotSent ||
                                   attempt->outcome == Outcome::kNotRun;
      if (!is_told_not_run) {
        return false;
      }
    }
    return !work.attempts.empty();
  }

  void Add(const char* what, const Attempt& attempt) {
    verdict_.evidence.push_back(std::string(what) + ": " + ToJsonLine(attempt));
  }

  const std::vector<Attempt>& attempts_;
  const std::vector<Execution>& executions_;
  const bool must_answer_;
  std::map<WorkName, Work> works_;
  std::set<std::string> executed_;
  Verdict verdict_;
};

}  // namespace

std::vector<Execution> ReadExecutions(std::istream& in) {
  std::vector<Execution> executions;
  std::string line;
  while (std::getline(in, line)) {
    std::istringstream fields(line);
    Execution each;
    fields >> each.tenant >> each.key >> each.request_id >> each.path;
    executions.push_back(std::move(each));
  }
  return executions;
}

Verdict CheckHistory(const std::vector<Attempt>& attempts,
                     const std::vector<Execution>& executions,
                     bool must_answer) {
  return Checker(attempts, executions, must_answer).Check();
}

std::string ToJsonLine(const Attempt& attempt) {
  nlohmann::ordered_json json;
  json["request_id"] = attempt.request_id;
  json["tenant"] = attempt.tenant;
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
