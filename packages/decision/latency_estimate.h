#ifndef DECISION_LATENCY_ESTIMATE_H_
#define DECISION_LATENCY_ESTIMATE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/clock.h"

namespace vanillafall {

// Quantiles of recent latency, in buckets of which each is an eighth wider
// than the one before. Older samples lose weight as newer ones come.
class LatencyEstimate {
 public:
  // Below this number of samples nothing is known.
  static constexpr double kMinSamples = 20;

  void Record(Duration latency);

  // The latency that this share of recent requests did not exceed, rounded up
  // to the bound of its bucket; empty while too little is known.
  std::optional<Duration> Quantile(double share) const;

 private:
  static constexpr std::size_t kBuckets = 112;

  std::array<float, kBuckets> counts_{};
  double total_ = 0;
};

}  // namespace vanillafall

#endif  // DECISION_LATENCY_ESTIMATE_H_
