#ifndef DECISION_PEER_RELATIVE_EVALUATOR_H_
#define DECISION_PEER_RELATIVE_EVALUATOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "decision/health_evaluator.h"

namespace vanillafall {

// How much evidence is needed before a server counts as doing worse than
// expected.
struct EvidenceThresholds {
  // The failure ratio counts only with at least so many samples and failures.
  std::uint32_t min_samples = 0;
  std::uint32_t min_failures = 0;
  // Failures in a row that count whatever the failure ratio is.
  std::uint32_t failures_in_row = 0;
  // Excess of the failure ratio over the expected ratio.
  double failure_margin = 0;
  // Latency as a multiple of the expected latency: the mean over the request
  // classes weighted by traffic, and that of one class alone.
  double slow_factor = 0;
  double slow_class_factor = 0;
  // The latency of a class with fewer samples is not compared.
  std::uint32_t min_class_samples = 0;
  // Running work counts as hung once it is as old as the largest of: this age,
  // this multiple of the median latency of its class, and this multiple of the
  // slowest latency of its class.
  std::chrono::milliseconds hang_age{0};
  double hang_median_factor = 0;
  double hang_slowest_factor = 0;
  // How long a suspect server must do worse than the others before it is found
  // unhealthy.
  std::chrono::milliseconds confirmation_time{0};
};

// Evaluates a server by its real work. A server is suspect when it does worse
// than its own history, and unhealthy when it also does worse than the other
// servers for some time. A fault that all servers have makes none of them
// unhealthy; the values seen during it become the history against which the
// next change is measured.
class PeerRelativeEvaluator final : public HealthEvaluator {
 public:
  PeerRelativeEvaluator(const EvidenceThresholds& in_service,
                        const EvidenceThresholds& on_probation);

  Evaluation Evaluate(const Input& input, TimePoint now) override;
  bool IsInformative(const WorkSample& sample) const override;
  // Counts running work as hung at a lower age than Evaluate does, so that
  // servers that begin to hang at the same time report this to each other
  // before one of them is found unhealthy.
  double GetReportedFailureRatio(const Input& input,
                                 TimePoint now) const override;

 private:
  // Usual latency of a request class.
  struct Baseline {
    std::chrono::microseconds median{0};
    std::chrono::microseconds slowest{0};
  };
  // Result of one comparison. A server that still needs its first comparison
  // with other servers counts as doing worse than expected.
  struct Finding {
    bool is_worse_than_expected = false;
    std::string evidence;
  };

  // Counts the running work that is at least as old as this fraction of its
  // hang age.
  std::uint32_t CountHung(const Input& input,
                          const EvidenceThresholds& thresholds,
                          double fraction,
                          TimePoint now) const;
  // Whether work hangs in more than half of the slots.
  bool IsStuck(const Input& input,
               const EvidenceThresholds& thresholds,
               TimePoint now) const;
  // Age from which running work of the class counts as hung.
  std::chrono::microseconds GetHangAge(
      const std::string& request_class,
      const EvidenceThresholds& thresholds) const;
  // Compares hung work, failures in a row and the failure ratio with the
  // expected failure ratio.
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
  // Latency as a multiple of the expected latency: the mean over all classes,
  // weighted by their samples, and the largest of any class.
  struct Slowness {
    double mean = 0;
    double of_worst_class = 0;
  };
  template <typename ExpectedLatency>
  Slowness GetSlowness(const Input& input,
                       const EvidenceThresholds& thresholds,
                       ExpectedLatency expected_latency) const;
  // Compares the slowness with the thresholds. The reference names, in the
  // evidence, what the latency was compared with.
  static Finding FindSlowness(const Slowness& slowness,
                              const EvidenceThresholds& thresholds,
                              const char* reference);
  // Moves the baselines slowly towards the recent latencies of a healthy
  // server.
  void Learn(const WorkWindow& window);
  // Takes the failure ratio and the latencies of the other servers as expected,
  // because they have the same fault.
  void AdoptPeerBaseline(const Input& input, TimePoint now);
  const EvidenceThresholds& GetThresholds(const Input& input) const;

  const EvidenceThresholds in_service_;
  const EvidenceThresholds on_probation_;
  // Whether the server has enough samples but was not compared with other
  // servers yet. Starts the time limit of that comparison.
  bool NeedsFirstComparison(const Input& input, TimePoint now);

  // By request class.
  std::map<std::string, Baseline> baselines_;
  // A server without history is first compared with the others. If none of them
  // has answered by this time, the comparison is left out.
  std::optional<TimePoint> first_comparison_until_;
  bool has_compared_ = false;
  // Failure ratio that the other servers had too, and until when it is taken as
  // the expected one.
  double tolerated_ratio_ = 0;
  TimePoint tolerated_until_;
  // Since when the server has done worse than the others; empty while it does
  // not.
  std::optional<TimePoint> worse_since_;
};

}  // namespace vanillafall

#endif  // DECISION_PEER_RELATIVE_EVALUATOR_H_
