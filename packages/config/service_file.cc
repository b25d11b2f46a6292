#include "config/service_file.h"

#include <algorithm>
#include <set>

#include "config/toml_reader.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using Need = TomlReader::Need;

constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxBackendServers = 10'000;
constexpr milliseconds kDefaultResendWindow = std::chrono::minutes(15);
constexpr milliseconds kMinResendWindow = std::chrono::seconds(1);
constexpr milliseconds kMaxResendWindow = std::chrono::hours(1);

Route ReadRoute(const toml::table& table,
                const std::string& file,
                std::vector<Problem>* problems) {
  TomlReader reader(table, "route", file, problems);
  Route route;
  route.prefix = reader.GetString("prefix", Need::kRequired);
  if (!route.prefix.empty() && route.prefix.front() != '/') {
    reader.AddProblem("prefix", table.get("prefix"), route.prefix,
                      "a path that starts with /");
  }
  route.request_class = reader.GetString("class", Need::kRequired);
  route.non_idempotent_methods =
      reader.GetStrings("non_idempotent", Need::kOptional);
  if (!table.contains("non_idempotent")) {
    // The methods that HTTP does not define as idempotent. A service whose
    // methods are all idempotent sets the key to an empty list.
    route.non_idempotent_methods = {"POST", "PATCH"};
  }
  reader.ReportUnknownKeys();
  return route;
}

BackendServer ReadBackendServer(const toml::table& table,
                                const std::string& file,
                                std::vector<Problem>* problems) {
  TomlReader reader(table, "backend_server", file, problems);
  BackendServer server;
  server.name = reader.GetString("name", Need::kRequired);
  server.address = reader.GetAddress("address", Need::kRequired);
  server.owner = reader.GetAddress("owner", Need::kRequired);
  server.data_centre = reader.GetString("data_centre", Need::kRequired);
  server.slots = static_cast<std::uint32_t>(
      reader.GetRequiredInteger("slots", 1, kMaxSlots));
  reader.ReportUnknownKeys();
  return server;
}

// Reports names and addresses that occur twice: with two entries for one
// backend server, two owners would send it requests.
void ReportDuplicates(const ServiceConfig& service,
                      TomlReader& reader,
                      const toml::table& table) {
  std::set<std::string> names;
  std::set<std::string> addresses;
  for (const BackendServer& server : service.backend_servers) {
    if (!names.insert(server.name).second) {
      reader.AddProblem("backend_server", table.get("backend_server"),
                        "the name " + server.name + " in two entries",
                        "a unique name");
    }
    if (!addresses.insert(server.address).second) {
      reader.AddProblem("backend_server", table.get("backend_server"),
                        "the address " + server.address + " in two entries",
                        "a unique address");
    }
  }
}

void CheckFloor(const ServiceConfig& service,
                TomlReader& reader,
                const toml::table& table) {
  const std::size_t count = service.backend_servers.size();
  if (count != 0 && service.floor > count) {
    reader.AddProblem(
        "floor", table.get("floor"), std::to_string(service.floor),
        "at most the number of backend servers, " + std::to_string(count));
  }
}

}  // namespace

Parsed<ServiceConfig> ParseServiceFile(std::string_view text,
                                       const std::string& file) {
  Parsed<ServiceConfig> parsed;
  std::vector<Problem>* problems = &parsed.problems;
  const toml::table table = ParseToml(text, file, problems);
  if (!parsed.ok()) {
    return parsed;
  }
  ServiceConfig& service = parsed.value;
  TomlReader root(table, "", file, problems);
  service.name = root.GetString("service", Need::kRequired);
  service.floor = static_cast<std::uint32_t>(
      root.GetRequiredInteger("floor", 1, kMaxBackendServers));
  service.profile = static_cast<EjectionProfile>(
      root.GetChoice("profile", {"careful", "fast"}));
  service.missing_key = static_cast<MissingKeyRule>(
      root.GetChoice("missing_key", {"refuse", "run-once"}));
  service.callers = root.GetStrings("callers", Need::kRequired);
  service.resend_window =
      root.GetDuration("resend_window", kDefaultResendWindow, kMinResendWindow,
                       kMaxResendWindow);
  for (const toml::table* route : root.GetTables("route", Need::kRequired)) {
    service.routes.push_back(ReadRoute(*route, file, problems));
  }
  for (const toml::table* server :
       root.GetTables("backend_server", Need::kRequired)) {
    service.backend_servers.push_back(
        ReadBackendServer(*server, file, problems));
  }
  ReportDuplicates(service, root, table);
  CheckFloor(service, root, table);
  root.ReportUnknownKeys();
  return parsed;
}

}  // namespace vanillafall
