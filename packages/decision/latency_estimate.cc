#include "decision/latency_estimate.h"

#include <algorithm>
#include <cmath>

namespace vanillafall {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

// Upper bound of the first bucket.
constexpr Milliseconds kFirstBound{0.1};
// Ratio of the upper bounds of two neighbouring buckets.
constexpr double kGrowth = 1.125;
// When the total weight reaches this, all weights are halved.
constexpr double kMaxSamples = 512;

std::size_t BucketOf(Duration latency, std::size_t buckets) {
  const double ratio = Milliseconds(latency) / kFirstBound;
  if (ratio <= 1.0) {
    return 0;
  }
  const double steps = std::ceil(std::log(ratio) / std::log(kGrowth));
  return std::min(buckets - 1, static_cast<std::size_t>(steps));
}

Duration BoundOf(std::size_t bucket) {
  const Milliseconds bound =
      kFirstBound * std::pow(kGrowth, static_cast<double>(bucket));
  return std::chrono::duration_cast<Duration>(bound);
}

}  // namespace

void LatencyEstimate::Record(Duration latency) {
  counts_.at(BucketOf(latency, kBuckets)) += 1.0F;
  total_ += 1.0;
  if (total_ < kMaxSamples) {
    return;
  }
  for (float& count : counts_) {
    count /= 2.0F;
  }
  total_ /= 2.0;
}

std::optional<Duration> LatencyEstimate::Quantile(double share) const {
  if (total_ < kMinSamples) {
    return std::nullopt;
  }
  double seen = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    seen += counts_.at(bucket);
    if (seen >= share * total_) {
      return BoundOf(bucket);
    }
  }
  return BoundOf(kBuckets - 1);
}

}  // namespace vanillafall
