#include "decision/health_judge.h"

namespace vanillafall {

double HealthJudge::GetToldFailureRatio(const Case& examined,
                                        TimePoint /*now*/) const {
  return examined.window.failure_ratio();
}

bool HealthJudge::IsTelling(const WorkSample& /*sample*/) const {
  return true;
}

Judgement NoEjection::Judge(const Case& /*examined*/, TimePoint /*now*/) {
  return {};
}

Judgement ConsecutiveFailures::Judge(const Case& examined, TimePoint /*now*/) {
  const std::uint32_t failures = examined.window.failures_in_row();
  if (failures < limit_) {
    return {};
  }
  return {Verdict::kSick, std::to_string(failures) + " failures in a row"};
}

Judgement HealthEndpoint::Judge(const Case& /*examined*/, TimePoint /*now*/) {
  if (is_well_) {
    return {};
  }
  return {Verdict::kSick, "its health endpoint says so"};
}

}  // namespace vanillafall
