#ifndef CONTROL_CONFIG_REPORT_H_
#define CONTROL_CONFIG_REPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "control/membership.h"
#include "message/peer.h"

namespace vanillafall {

// One configuration that came into force here.
struct ConfigArrival {
  ConfigVersion version;
  // The peer that first named it, or "platform".
  std::string source;
  // When this daemon first heard of it, and when it was in force.
  TimePoint heard;
  TimePoint in_force;
};

// What one daemon knows about its configuration, for people.
struct ConfigReport {
  ConfigVersion version;
  // The newest that it has heard of; it lags when this is not the one in
  // force.
  ConfigVersion newest;
  std::string newest_source;
  std::optional<TimePoint> lagging_since;
  // Documents that are still missing for the newer one.
  std::vector<std::string> missing;
  bool is_starting = false;
  bool is_watching = false;
  bool is_platform_reached = true;
  Membership::Counts members;
  // Latest last.
  std::vector<ConfigArrival> arrivals;
};

}  // namespace vanillafall

#endif  // CONTROL_CONFIG_REPORT_H_
