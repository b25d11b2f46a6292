#ifndef DECISION_ROUTE_INDEX_H_
#define DECISION_ROUTE_INDEX_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

#include "config/fleet_config.h"

namespace vanillafall {

// Finds the route of a request in time that depends on the length of its path
// and not on the number of routes. Gives the same results as
// FleetConfig::FindRoute.
class RouteIndex {
 public:
  RouteIndex() = default;
  // Keeps pointers into the configuration, which must outlive the index.
  explicit RouteIndex(const FleetConfig& config);

  // The route with the longest prefix that matches the target's path; null
  // pointers when there is none.
  FleetConfig::Match Find(std::string_view target) const;

 private:
  const FleetConfig::Match* FindPrefix(std::string_view prefix) const;

  std::unordered_map<std::string_view, FleetConfig::Match> by_prefix_;
  std::size_t max_prefix_length_ = 0;
};

}  // namespace vanillafall

#endif  // DECISION_ROUTE_INDEX_H_
