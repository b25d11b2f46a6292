#include "operator/change_report.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace vanillafall {
namespace {

using ServicesByName = std::map<std::string, const ServiceConfig*>;

ServicesByName ByName(const std::vector<ServiceConfig>& services) {
  ServicesByName by_name;
  for (const ServiceConfig& service : services) {
    by_name[service.name] = &service;
  }
  return by_name;
}

// Adds the differences between two versions of one service to a report.
class ServiceComparison {
 public:
  ServiceComparison(const ServiceConfig& before,
                    const ServiceConfig& after,
                    ChangeReport& report)
      : before_(before), after_(after), report_(report) {}

  void Run() {
    CompareFloor();
    CompareRules();
    CompareServers();
    CompareRoutes();
  }

 private:
  void Add(const std::string& change) {
    report_.changes.push_back(after_.name + ": " + change);
  }

  void CompareFloor() {
    if (before_.floor == after_.floor) {
      return;
    }
    const bool is_raised = after_.floor > before_.floor;
    const std::string text =
        std::string("floor ") + (is_raised ? "raised" : "lowered") + " from " +
        std::to_string(before_.floor) + " to " + std::to_string(after_.floor);
    Add(text);
    if (!is_raised) {
      report_.warnings.push_back(after_.name + ": " + text);
    }
  }

  void CompareRules() {
    if (before_.profile != after_.profile) {
      Add("profile changed");
    }
    if (before_.missing_key != after_.missing_key) {
      Add("missing_key changed");
    }
    if (before_.resend_window != after_.resend_window) {
      Add("resend_window changed from " +
          std::to_string(before_.resend_window.count()) + "ms to " +
          std::to_string(after_.resend_window.count()) + "ms");
    }
    const std::set<std::string> old(before_.callers.begin(),
                                    before_.callers.end());
    const std::set<std::string> current(after_.callers.begin(),
                                        after_.callers.end());
    const auto count_missing = [](const auto& values, const auto& others) {
      return std::count_if(
          values.begin(), values.end(),
          [&others](const auto& each) { return !others.contains(each); });
    };
    const auto added = count_missing(current, old);
    const auto removed = count_missing(old, current);
    if (added + removed != 0) {
      Add("callers: " + std::to_string(added) + " added, " +
          std::to_string(removed) + " removed");
    }
  }

  void CompareServers() {
    for (const BackendServer& server : after_.backend_servers) {
      const BackendServer* old = before_.FindBackendServer(server.name);
      if (old == nullptr) {
        Add("backend server " + server.name + " added, owner " + server.owner);
        continue;
      }
      CompareServer(*old, server);
    }
    for (const BackendServer& server : before_.backend_servers) {
      if (after_.FindBackendServer(server.name) == nullptr) {
        Add("backend server " + server.name + " removed");
      }
    }
  }

  void CompareServer(const BackendServer& old, const BackendServer& current) {
    const std::string name = "backend server " + current.name;
    const auto compare = [&](const char* field, const std::string& old_value,
                             const std::string& new_value) {
      if (old_value != new_value) {
        Add(name + " moved to another " + field + ", " + old_value + " to " +
            new_value);
      }
    };
    compare("owner", old.owner, current.owner);
    compare("address", old.address, current.address);
    compare("data centre", old.data_centre, current.data_centre);
    if (old.slots != current.slots) {
      Add(name + " slots changed from " + std::to_string(old.slots) + " to " +
          std::to_string(current.slots));
    }
  }

  void CompareRoutes() {
    for (const Route& route : after_.routes) {
      const Route* old = FindRoute(before_, route.prefix);
      if (old == nullptr) {
        Add("route " + route.prefix + " added");
      } else if (old->non_idempotent_methods != route.non_idempotent_methods ||
                 old->request_class != route.request_class) {
        Add("route " + route.prefix + " changed");
      }
    }
    for (const Route& route : before_.routes) {
      if (FindRoute(after_, route.prefix) == nullptr) {
        Add("route " + route.prefix + " removed");
      }
    }
  }

  static const Route* FindRoute(const ServiceConfig& service,
                                std::string_view prefix) {
    const auto found = std::find_if(
        service.routes.begin(), service.routes.end(),
        [prefix](const Route& each) { return each.prefix == prefix; });
    return found == service.routes.end() ? nullptr : &*found;
  }

  const ServiceConfig& before_;
  const ServiceConfig& after_;
  ChangeReport& report_;
};

// Warns when a second service uses a value that must belong to one service
// only, such as a route prefix or an address.
class UniquenessCheck {
 public:
  UniquenessCheck(std::string what, ChangeReport& report)
      : what_(std::move(what)), report_(report) {}

  void Record(const std::string& value, const std::string& service) {
    const auto [first, is_new] = first_services_.try_emplace(value, service);
    if (!is_new && first->second != service) {
      report_.warnings.push_back(service + ": " + what_ + " " + value +
                                 " is also named by " + first->second);
    }
  }

 private:
  const std::string what_;
  ChangeReport& report_;
  std::map<std::string, std::string> first_services_;
};

void CheckDuplicates(const ServicesByName& services, ChangeReport& report) {
  UniquenessCheck routes("route", report);
  UniquenessCheck names("backend server", report);
  UniquenessCheck addresses("address", report);
  for (const auto& [name, service] : services) {
    for (const Route& route : service->routes) {
      routes.Record(route.prefix, name);
    }
    for (const BackendServer& server : service->backend_servers) {
      names.Record(server.name, name);
      addresses.Record(server.address, name);
    }
  }
}

void CheckFloors(const ServicesByName& services, ChangeReport& report) {
  for (const auto& [name, service] : services) {
    const std::size_t count = service->backend_servers.size();
    if (service->floor > count) {
      report.warnings.push_back(
          name + ": the floor " + std::to_string(service->floor) +
          " can't be met by " + std::to_string(count) + " backend servers");
    } else if (service->floor == count) {
      report.warnings.push_back(name +
                                ": the floor equals the number of backend "
                                "servers, so none is ever ejected");
    }
  }
}

}  // namespace

ChangeReport CompareServices(const std::vector<ServiceConfig>& before,
                             const std::vector<ServiceConfig>& after) {
  ChangeReport report;
  const ServicesByName old = ByName(before);
  const ServicesByName current = ByName(after);
  for (const auto& [name, service] : current) {
    const auto found = old.find(name);
    if (found == old.end()) {
      report.changes.push_back(name + ": added with " +
                               std::to_string(service->backend_servers.size()) +
                               " backend servers");
      continue;
    }
    ServiceComparison(*found->second, *service, report).Run();
  }
  for (const auto& [name, service] : old) {
    if (!current.contains(name)) {
      report.changes.push_back(name + ": removed");
      report.warnings.push_back(name + ": removed");
    }
  }
  CheckDuplicates(current, report);
  CheckFloors(current, report);
  return report;
}

}  // namespace vanillafall
