#ifndef DECISION_HEALTH_JUDGE_H_
#define DECISION_HEALTH_JUDGE_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "decision/peer_reference.h"
#include "decision/work_window.h"

namespace vanillafall {

// kSuspect asks for a comparison with other servers; kSick asks for ejection.
enum class Verdict : std::uint8_t { kWell, kSuspect, kSick };

struct Judgement {
  Verdict verdict = Verdict::kWell;
  // For people; may be empty when the server is well.
  std::string evidence;
};

// Decides whether one backend server is sick. Each server has its own judge.
class HealthJudge {
 public:
  struct Case {
    const WorkWindow& window;
    const PeerReference& peers;
    std::uint32_t slots = 0;
    // A server that was just readmitted is judged on little evidence.
    bool on_probation = false;
  };

  virtual ~HealthJudge() = default;

  virtual Judgement Judge(const Case& examined, TimePoint now) = 0;

  // Whether a sample tells anything of the server. One that timed out early
  // does not.
  virtual bool IsTelling(const WorkSample& sample) const;

  // The failure ratio that other servers are told.
  virtual double GetToldFailureRatio(const Case& examined, TimePoint now) const;
};

// Never ejects. A baseline.
class NoEjection final : public HealthJudge {
 public:
  Judgement Judge(const Case& examined, TimePoint now) override;
};

// Ejects after so many failures in a row. A baseline.
class ConsecutiveFailures final : public HealthJudge {
 public:
  explicit ConsecutiveFailures(std::uint32_t limit) : limit_(limit) {}
  Judgement Judge(const Case& examined, TimePoint now) override;

 private:
  const std::uint32_t limit_;
};

// Believes what the server's health endpoint says. A baseline.
class HealthEndpoint final : public HealthJudge {
 public:
  // The latest answer of the endpoint.
  void SetAnswer(bool is_well) { is_well_ = is_well; }
  Judgement Judge(const Case& examined, TimePoint now) override;

 private:
  bool is_well_ = true;
};

}  // namespace vanillafall

#endif  // DECISION_HEALTH_JUDGE_H_
