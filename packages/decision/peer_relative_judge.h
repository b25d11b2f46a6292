#ifndef DECISION_PEER_RELATIVE_JUDGE_H_
#define DECISION_PEER_RELATIVE_JUDGE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "decision/health_judge.h"

namespace vanillafall {

// How much evidence is enough.
struct EvidenceThresholds {
  std::uint32_t min_samples = 0;
  std::uint32_t min_failures = 0;
  std::uint32_t failures_in_row = 0;
  // Excess of the failure ratio over that of other servers.
  double failure_margin = 0;
  // Latency over that of other servers: as a mean over the request classes
  // weighted by traffic, and of one class alone.
  double slow_factor = 0;
  double slow_class_factor = 0;
  // A class with fewer samples is not compared.
  std::uint32_t min_class_samples = 0;
  // Running work is hung from this age, and from these multiples of what its
  // class usually takes: the median, and the slowest.
  std::chrono::milliseconds hang_age{0};
  double hang_median_factor = 0;
  double hang_slowest_factor = 0;
  // How long the evidence must stand before the server is sick.
  std::chrono::milliseconds confirmation_time{0};
};

// Judges a server by its real work. It is suspect when it does worse than its
// own history, and sick when it also does worse than the other servers for
// some time. What all servers suffer makes none of them sick, and becomes the
// history by which the next change is noticed.
class PeerRelativeEvaluator final : public HealthEvaluator {
 public:
  PeerRelativeEvaluator(const EvidenceThresholds& in_service,
                        const EvidenceThresholds& on_probation);

  Evaluation Evaluate(const Input& input, TimePoint now) override;
  bool IsInformative(const WorkSample& sample) const override;
  // Looks stuck to others earlier than it accuses itself, so that servers that
  // hang together see it of each other.
  double GetReportedFailureRatio(const Input& input,
                                 TimePoint now) const override;

 private:
  // What a class usually takes.
  struct Baseline {
    std::chrono::microseconds median{0};
    std::chrono::microseconds slowest{0};
  };
  // What is wrong, and by how much.
  struct Finding {
    bool is_bad = false;
    std::string evidence;
  };

  // Running work that has reached this part of its hang age.
  std::uint32_t CountHung(const Input& input,
                          const EvidenceThresholds& thresholds,
                          double fraction,
                          TimePoint now) const;
  // More than half of the slots hang.
  bool IsStuck(const Input& input,
               const EvidenceThresholds& thresholds,
               TimePoint now) const;
  // Age from which work of the class is hung.
  std::chrono::microseconds GetHangAge(
      const std::string& request_class,
      const EvidenceThresholds& thresholds) const;
  Finding CompareFailures(const Input& input,
                          const EvidenceThresholds& thresholds,
                          double expected,
                          TimePoint now) const;
  Finding CompareWithHistory(const Input& input,
                             const EvidenceThresholds& thresholds,
                             TimePoint now);
  Finding CompareWithPeers(const Input& input,
                           const EvidenceThresholds& thresholds,
                           TimePoint now) const;
  // Latency against what is expected of each class, as the evidence limits
  // weigh it.
  struct Slowness {
    double mean = 0;
    double of_worst_class = 0;
  };
  template <typename ExpectedLatency>
  Slowness GetSlowness(const Input& input,
                       const EvidenceThresholds& thresholds,
                       ExpectedLatency expected_latency) const;
  static Finding FindSlowness(const Slowness& slowness,
                              const EvidenceThresholds& thresholds,
                              const char* than);
  void Learn(const WorkWindow& window);
  void AdoptPeerBaseline(const Input& input, TimePoint now);
  const EvidenceThresholds& GetThresholds(const Input& input) const;

  const EvidenceThresholds in_service_;
  const EvidenceThresholds on_probation_;
  bool NeedsFirstComparison(const Input& input, TimePoint now);

  std::map<std::string, Baseline> baselines_;
  // A server without history is first compared with others, if they answer
  // until this time.
  std::optional<TimePoint> first_comparison_until_;
  bool has_compared_ = false;
  // Failure ratio that other servers had too, and until when it counts.
  double tolerated_ratio_ = 0;
  TimePoint tolerated_until_;
  std::optional<TimePoint> worse_since_;
};

}  // namespace vanillafall

#endif  // DECISION_PEER_RELATIVE_JUDGE_H_
