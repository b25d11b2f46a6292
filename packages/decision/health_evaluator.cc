#include "decision/health_evaluator.h"

namespace vanillafall {

double HealthEvaluator::GetReportedFailureRatio(const Input& input,
                                                TimePoint /*now*/) const {
  return input.window.failure_ratio();
}

bool HealthEvaluator::IsInformative(const WorkSample& /*sample*/) const {
  return true;
}

Evaluation NoEjection::Evaluate(const Input& /*input*/, TimePoint /*now*/) {
  return {};
}

Evaluation ConsecutiveFailures::Evaluate(const Input& input,
                                         TimePoint /*now*/) {
  const std::uint32_t failures = input.window.failures_in_row();
  if (failures < limit_) {
    return {};
  }
  return {HealthVerdict::kUnhealthy,
          std::to_string(failures) + " failures in a row"};
}

Evaluation HealthEndpoint::Evaluate(const Input& /*input*/, TimePoint /*now*/) {
  if (is_healthy_) {
    return {};
  }
  return {HealthVerdict::kUnhealthy,
          "its health endpoint reports it as unhealthy"};
}

}  // namespace vanillafall
