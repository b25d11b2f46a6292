#ifndef DECISION_HEALTH_PROFILE_H_
#define DECISION_HEALTH_PROFILE_H_

#include <chrono>

#include "config/fleet_config.h"
#include "decision/peer_relative_evaluator.h"
#include "decision/work_window.h"

namespace vanillafall {

// Parameters of health evaluation and ejection. A service chooses between two
// profiles: careful (few false ejections) and fast (fast detection).
struct HealthProfile {
  WorkWindow::Size window;
  EvidenceThresholds in_service;
  EvidenceThresholds on_probation;
  // How long a first ejection lasts. Ejections that soon follow it last longer.
  std::chrono::milliseconds base_ejection_time{0};
};

const HealthProfile& GetHealthProfile(EjectionProfile profile);

}  // namespace vanillafall

#endif  // DECISION_HEALTH_PROFILE_H_
