#ifndef OPERATOR_CHANGE_REPORT_H_
#define OPERATOR_CHANGE_REPORT_H_

#include <string>
#include <vector>

#include "config/fleet_config.h"

namespace vanillafall {

// What a publication would change, one line a difference, in the order of the
// services' names.
struct ChangeReport {
  std::vector<std::string> changes;
  // What operators should look at before they publish: a lower floor, a floor
  // that leaves no backend server to spare, a route that another service has
  // too, a backend server that two services name.
  std::vector<std::string> warnings;
};

ChangeReport CompareServices(const std::vector<ServiceConfig>& before,
                             const std::vector<ServiceConfig>& after);

}  // namespace vanillafall

#endif  // OPERATOR_CHANGE_REPORT_H_
