#include "dispatch/work_estimate.h"

#include <algorithm>

namespace vanillafall {
namespace {

// An average of fewer samples is not used.
constexpr std::uint32_t kMinSamples = 3;
// The newest sample has at least a weight of 1 / kMaxSamples.
constexpr std::uint32_t kMaxSamples = 20;

}  // namespace

void WorkEstimate::Add(const std::string& route, Duration work) {
  AddTo(all_, work);
  const auto found = routes_.find(route);
  if (found != routes_.end()) {
    AddTo(found->second, work);
  } else if (routes_.size() < kMaxRoutes) {
    AddTo(routes_[route], work);
  }
}

Duration WorkEstimate::Expected(std::string_view route,
                                Duration fallback) const {
  const auto found = routes_.find(route);
  const bool is_known =
      found != routes_.end() && found->second.samples >= kMinSamples;
  return is_known ? found->second.value : fallback;
}

Duration WorkEstimate::ExpectedForAnyRoute(Duration fallback) const {
  return all_.samples >= kMinSamples ? all_.value : fallback;
}

void WorkEstimate::AddTo(Average& average, Duration work) {
  average.samples = std::min(average.samples + 1, kMaxSamples);
  average.value += (work - average.value) / average.samples;
}

}  // namespace vanillafall
