#ifndef DECISION_HEALTH_JUDGE_H_
#define DECISION_HEALTH_JUDGE_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "decision/peer_reference.h"
#include "decision/work_window.h"

namespace vanillafall {

// kSuspect asks for a comparison with other servers; kSick asks for ejection.
enum class HealthVerdict : std::uint8_t { kHealthy, kSuspect, kUnhealthy };

struct Evaluation {
  HealthVerdict verdict = HealthVerdict::kHealthy;
  // For people; may be empty when the server is well.
  std::string evidence;
};

// Decides whether one backend server is sick. Each server has its own judge.
class HealthEvaluator {
 public:
  struct Input {
    const WorkWindow& window;
    const PeerReference& peers;
    std::uint32_t slots = 0;
    // A server that was just readmitted is judged on little evidence.
    bool on_probation = false;
  };

  virtual ~HealthEvaluator() = default;

  virtual Evaluation Evaluate(const Input& input, TimePoint now) = 0;

  // Whether a sample tells anything of the server. One that timed out early
  // does not.
  virtual bool IsInformative(const WorkSample& sample) const;

  // The failure ratio that other servers are told.
  virtual double GetReportedFailureRatio(const Input& input,
                                         TimePoint now) const;
};

// Never ejects. A baseline.
class NoEjection final : public HealthEvaluator {
 public:
  Evaluation Evaluate(const Input& input, TimePoint now) override;
};

// Ejects after so many failures in a row. A baseline.
class ConsecutiveFailures final : public HealthEvaluator {
 public:
  explicit ConsecutiveFailures(std::uint32_t limit) : limit_(limit) {}
  Evaluation Evaluate(const Input& input, TimePoint now) override;

 private:
  const std::uint32_t limit_;
};

// Believes what the server's health endpoint says. A baseline.
class HealthEndpoint final : public HealthEvaluator {
 public:
  // The latest answer of the endpoint.
  void SetAnswer(bool is_healthy) { is_healthy_ = is_healthy; }
  Evaluation Evaluate(const Input& input, TimePoint now) override;

 private:
  bool is_healthy_ = true;
};

}  // namespace vanillafall

#endif  // DECISION_HEALTH_JUDGE_H_
