#include "config/fleet_config.h"

#include <algorithm>
#include <map>

namespace vanillafall {
namespace {

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

// A prefix ends at a path segment: "/jobs" matches "/jobs/7" but not "/jobsx".
bool HasPathPrefix(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return path.size() == prefix.size() || prefix.ends_with('/') ||
         path[prefix.size()] == '/';
}

}  // namespace

bool Route::IsIdempotent(std::string_view method) const {
  return std::find(non_idempotent_methods.begin(), non_idempotent_methods.end(),
                   method) == non_idempotent_methods.end();
}

bool ServiceConfig::Admits(std::string_view customer) const {
  return std::any_of(callers.begin(), callers.end(),
                     [customer](const std::string& caller) {
                       return caller == "*" || caller == customer;
                     });
}

const BackendServer* ServiceConfig::FindBackendServer(
    std::string_view server) const {
  const auto found = std::find_if(
      backend_servers.begin(), backend_servers.end(),
      [server](const BackendServer& each) { return each.name == server; });
  return found == backend_servers.end() ? nullptr : &*found;
}

std::vector<PeerAddress> ServiceConfig::Owners() const {
  std::vector<PeerAddress> owners;
  owners.reserve(backend_servers.size());
  for (const BackendServer& server : backend_servers) {
    owners.push_back(server.owner);
  }
  std::sort(owners.begin(), owners.end());
  owners.erase(std::unique(owners.begin(), owners.end()), owners.end());
  return owners;
}

GuardSet ServiceConfig::CurrentGuards() const {
  std::map<std::string_view, std::string_view> data_centre_of;
  for (const BackendServer& server : backend_servers) {
    data_centre_of.emplace(server.owner, server.data_centre);
  }
  GuardSet set;
  set.service_number = number;
  set.resend_window = resend_window;
  for (const auto& [owner, data_centre] : data_centre_of) {
    set.guards.emplace_back(owner);
    set.data_centres.emplace_back(data_centre);
  }
  return set;
}

FleetConfig::Match FleetConfig::FindRoute(std::string_view target) const {
  const std::string_view path = PathOf(target);
  Match best;
  for (const auto& [name, service] : services) {
    for (const Route& route : service.routes) {
      const bool is_longer = best.route == nullptr ||
                             route.prefix.size() > best.route->prefix.size();
      if (is_longer && HasPathPrefix(path, route.prefix)) {
        best = {&service, &route};
      }
    }
  }
  return best;
}

const ServiceConfig* FleetConfig::FindService(std::string_view name) const {
  const auto found = services.find(name);
  return found == services.end() ? nullptr : &found->second;
}

}  // namespace vanillafall
