#include "decision/route_index.h"

#include <algorithm>

namespace vanillafall {

RouteIndex::RouteIndex(const FleetConfig& config) {
  for (const auto& [name, service] : config.services) {
    for (const Route& route : service.routes) {
      by_prefix_.try_emplace(route.prefix,
                             FleetConfig::Match{&service, &route});
      max_prefix_length_ = std::max(max_prefix_length_, route.prefix.size());
    }
  }
}

FleetConfig::Match RouteIndex::Find(std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  // No route has a longer prefix, so the rest of a long path is not searched.
  std::size_t end = std::min(path.size(), max_prefix_length_ + 1);
  while (end > 0) {
    const bool ends_segment =
        end == path.size() || path[end] == '/' || path[end - 1] == '/';
    if (ends_segment) {
      if (const auto* match = FindPrefix(path.substr(0, end))) {
        return *match;
      }
    }
    --end;
  }
  return {};
}

const FleetConfig::Match* RouteIndex::FindPrefix(
    std::string_view prefix) const {
  const auto found = by_prefix_.find(prefix);
  return found == by_prefix_.end() ? nullptr : &found->second;
}

}  // namespace vanillafall
