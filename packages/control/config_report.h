#ifndef CONTROL_CONFIG_REPORT_H_
#define CONTROL_CONFIG_REPORT_H_

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "control/membership.h"
#include "message/peer.h"

namespace vanillafall {

// One configuration that this daemon has put in force.
struct ConfigArrival {
  ConfigVersion version;
  // Address of the peer that first reported the version, or "platform".
  std::string source;
  // When this daemon first learned of the version, and when it put it in force.
  TimePoint first_seen;
  TimePoint in_force;
};

// What one daemon knows about its configuration, for operators.
struct ConfigReport {
  ConfigVersion version;
  // The newest version that a peer or the platform has reported; the daemon
  // lags while this is not the version in force.
  ConfigVersion newest;
  std::string newest_source;
  // When the daemon first learned of a version newer than the one in force.
  std::optional<TimePoint> lagging_since;
  // Names of the documents still missing for the version being fetched.
  std::vector<std::string> missing;
  // Whether the daemon still waits for the first answers after its start and
  // puts nothing in force.
  bool is_starting = false;
  // Whether the daemon is one of its data centre's platform watchers.
  bool is_watching = false;
  // Whether the last call reached the platform; true before the first call.
  bool is_platform_reached = true;
  Membership::Counts members;
  // Configurations put in force, the latest last.
  std::vector<ConfigArrival> arrivals;
};

}  // namespace vanillafall

#endif  // CONTROL_CONFIG_REPORT_H_
