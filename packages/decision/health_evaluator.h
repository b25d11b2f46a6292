#ifndef DECISION_HEALTH_EVALUATOR_H_
#define DECISION_HEALTH_EVALUATOR_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "decision/peer_reference.h"
#include "decision/work_window.h"

namespace vanillafall {

// Result of a health evaluation. A kSuspect server still has to be compared
// with other servers; a kUnhealthy one is to be ejected.
enum class HealthVerdict : std::uint8_t { kHealthy, kSuspect, kUnhealthy };

struct Evaluation {
  HealthVerdict verdict = HealthVerdict::kHealthy;
  // Reason for the verdict, as text for operators; may be empty when the server
  // is healthy.
  std::string evidence;
};

// Decides from recent work whether one backend server is healthy. Each server
// has its own evaluator, which may keep state between calls. Not thread-safe.
class HealthEvaluator {
 public:
  struct Input {
    // Recent work of the evaluated server.
    const WorkWindow& window;
    // What the other backend servers of the service report.
    const PeerReference& peers;
    // Slots that the evaluated server may use now.
    std::uint32_t slots = 0;
    // Whether the server is on probation after an ejection. Less evidence is
    // then enough to eject it again.
    bool on_probation = false;
  };

  virtual ~HealthEvaluator() = default;

  virtual Evaluation Evaluate(const Input& input, TimePoint now) = 0;

  // Whether a sample says anything about the health of the server. A sample
  // that timed out early, before its work could count as hung, does not. Only
  // samples for which this returns true belong in the window of the server.
  virtual bool IsInformative(const WorkSample& sample) const;

  // The failure ratio, from 0 to 1, to report to other servers.
  virtual double GetReportedFailureRatio(const Input& input,
                                         TimePoint now) const;
};

// Finds every server healthy. Used for comparison in benchmarks.
class NoEjection final : public HealthEvaluator {
 public:
  Evaluation Evaluate(const Input& input, TimePoint now) override;
};

// Finds a server unhealthy after a fixed number of failures in a row. Used for
// comparison in benchmarks and tests.
class ConsecutiveFailures final : public HealthEvaluator {
 public:
  explicit ConsecutiveFailures(std::uint32_t limit) : limit_(limit) {}
  Evaluation Evaluate(const Input& input, TimePoint now) override;

 private:
  const std::uint32_t limit_;
};

// Takes the latest answer of the server's health endpoint as its health. Used
// for comparison in benchmarks.
class HealthEndpoint final : public HealthEvaluator {
 public:
  // Sets the latest answer of the endpoint.
  void SetAnswer(bool is_healthy) { is_healthy_ = is_healthy; }
  Evaluation Evaluate(const Input& input, TimePoint now) override;

 private:
  bool is_healthy_ = true;
};

}  // namespace vanillafall

#endif  // DECISION_HEALTH_EVALUATOR_H_
