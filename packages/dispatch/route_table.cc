#include "dispatch/route_table.h"

#include <algorithm>
#include <cassert>
#include <cctype>
#include <numeric>
#include <utility>

namespace vanillafall {
namespace {

std::string NormalizeHost(std::string_view host) {
  std::string normal(host.substr(0, host.find(':')));
  std::transform(normal.begin(), normal.end(), normal.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return normal;
}

}  // namespace

const std::string& DispatchRoute::DrawService(std::mt19937_64& random) const {
  assert(!services.empty() && "a route needs a service");
  const double total =
      std::accumulate(services.begin(), services.end(), 0.0,
                      [](double sum, const WeightedService& part) {
                        return sum + part.weight;
                      });
  if (services.size() == 1 || total <= 0) {
    return services.front().service;
  }
  double drawn = std::uniform_real_distribution<double>(0, total)(random);
  for (const WeightedService& part : services) {
    drawn -= part.weight;
    if (drawn < 0) {
      return part.service;
    }
  }
  return services.back().service;
}

RouteTable::RouteTable(std::uint64_t version,
                       std::vector<DispatchRoute> routes,
                       CallerLimits limits,
                       CustomerTable customers)
    : version_(version),
      limits_(limits),
      customers_(std::move(customers)),
      size_(routes.size()) {
  for (DispatchRoute& route : routes) {
    ByPrefix& prefixes = hosts_[NormalizeHost(route.host)];
    const std::string prefix = route.prefix;
    prefixes[prefix] = std::make_shared<DispatchRoute>(std::move(route));
  }
}

DispatchRoutePtr RouteTable::Find(std::string_view host,
                                  std::string_view target) const {
  const auto found = hosts_.find(NormalizeHost(host));
  if (found == hosts_.end()) {
    return nullptr;
  }
  std::string_view path = target.substr(0, target.find('?'));
  // Prefixes end with a slash, so only the path up to a slash can match.
  while (!path.empty()) {
    const std::size_t slash = path.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    const auto route = found->second.find(path.substr(0, slash + 1));
    if (route != found->second.end()) {
      return route->second;
    }
    path = path.substr(0, slash);
  }
  return nullptr;
}

CustomerPtr RouteTable::FindCustomer(const CallerKey& key) const {
  return key.state == CallerKey::State::kPresent
             ? customers_.FindByKey(key.text)
             : nullptr;
}

}  // namespace vanillafall
