#ifndef OPERATOR_CHANGE_REPORT_H_
#define OPERATOR_CHANGE_REPORT_H_

#include <string>
#include <vector>

#include "config/fleet_config.h"

namespace vanillafall {

// Text lines on the differences between two configurations.
struct ChangeReport {
  // One line for each difference: first the services that are new or changed,
  // then those that were removed, each in the order of their names.
  std::vector<std::string> changes;
  // What operators should check before they publish: a lowered floor, a floor
  // so high that no backend server can be ejected, a removed service, and a
  // route, backend server name or address that two services share.
  std::vector<std::string> warnings;
};

// Compares the services in force with those to be published.
ChangeReport CompareServices(const std::vector<ServiceConfig>& before,
                             const std::vector<ServiceConfig>& after);

}  // namespace vanillafall

#endif  // OPERATOR_CHANGE_REPORT_H_
