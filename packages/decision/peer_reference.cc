#include "decision/peer_reference.h"

#include <algorithm>
#include <vector>

namespace vanillafall {
namespace {

using std::chrono::microseconds;

constexpr std::chrono::milliseconds kMaxDigestAge{1000};
// A report, or a class in it, with fewer samples is not used.
constexpr std::uint32_t kMinSamples = 3;

template <typename T>
T MedianOf(std::vector<T>& values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void PeerReference::Update(const std::string& server,
                           const HealthDigest& digest,
                           TimePoint now) {
  if (digest.samples >= kMinSamples) {
    digests_[server] = {digest, now};
  }
}

void PeerReference::Expire(TimePoint now) {
  std::erase_if(digests_, [now](const auto& entry) {
    return now - entry.second.received > kMaxDigestAge;
  });
}

double PeerReference::failure_ratio() const {
  if (digests_.empty()) {
    return 0;
  }
  std::vector<double> ratios;
  ratios.reserve(digests_.size());
  for (const auto& [server, entry] : digests_) {
    ratios.push_back(entry.digest.failure_ratio);
  }
  return MedianOf(ratios);
}

std::optional<microseconds> PeerReference::FindLatency(
    const std::string& request_class) const {
  std::vector<microseconds> medians;
  for (const auto& [server, entry] : digests_) {
    for (const HealthDigest::ClassLatency& each : entry.digest.latencies) {
      if (each.request_class == request_class && each.samples >= kMinSamples) {
        medians.push_back(each.median);
      }
    }
  }
  return medians.empty() ? std::nullopt : std::optional(MedianOf(medians));
}

}  // namespace vanillafall
