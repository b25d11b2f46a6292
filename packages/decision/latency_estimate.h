#ifndef DECISION_LATENCY_ESTIMATE_H_
#define DECISION_LATENCY_ESTIMATE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace vanillafall {

// Estimates quantiles of recent latencies from a histogram. The upper bound of
// each bucket is 1.125 times that of the bucket before it. Older samples lose
// weight as newer ones are recorded.
class LatencyEstimate {
 public:
  // Fewer samples give no estimate.
  static constexpr double kMinSamples = 20;

  void Record(Duration latency);

  // The latency that this share (0 to 1) of recent requests did not exceed,
  // rounded up to the bound of its bucket; empty while there are fewer than
  // kMinSamples samples.
  std::optional<Duration> Quantile(double share) const;

 private:
  static constexpr std::size_t kBuckets = 112;

  std::array<float, kBuckets> counts_{};
  double total_ = 0;
};

}  // namespace vanillafall

#endif  // DECISION_LATENCY_ESTIMATE_H_
