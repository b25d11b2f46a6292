#include "daemon/operator_pages.h"

#include <nlohmann/json.hpp>

namespace vanillafall {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kIndent = 2;

OperatorServer::Page JsonPage(const json& value) {
  return {
      kOk, "application/json",
      value.dump(kIndent, ' ', false, json::error_handler_t::replace) + "\n"};
}

json ToJson(const BackendServerStatus& status) {
  return {
      {"service", status.service},     {"backend_server", status.name},
      {"address", status.address},     {"state", ToString(status.load.state)},
      {"slots", status.load.slots},    {"in_use", status.load.in_use},
      {"waiting", status.load.waiting}};
}

json ToJson(const HealthExplanation& health) {
  return {{"evidence", health.evidence},
          {"samples", health.samples},
          {"failure_ratio", health.failure_ratio},
          {"usable_slots", health.slot_limit},
          {"leases_held", health.leases_held},
          {"leases_needed", health.leases_needed},
          {"granted_for_ms", health.granted_time_left.count()},
          {"held_for_ms", health.ejection_time_left.count()},
          {"blocked_by", health.blocked_by}};
}

json ToJson(const ExecutionGuard::Grant& grant) {
  const char* outcome = grant.settled ? ToString(*grant.settled) : "not told";
  return {{"owner", grant.owner},
          {"incarnation", grant.attempt.incarnation},
          {"sequence", grant.attempt.sequence},
          {"outcome", outcome}};
}

// Prefixes of the subjects "tenant/NAME" and "key/SERVICE/CUSTOMER/KEY"; a
// subject without a prefix names a backend server, service or path.
constexpr std::string_view kCustomerSubject = "tenant/";
constexpr std::string_view kKeySubject = "key/";

// The services that accept requests of the customer.
json MakeCallableServices(const FleetConfig& config,
                          std::string_view customer) {
  json services = json::array();
  for (const auto& [name, service] : config.services) {
    if (service.Admits(customer)) {
      services.push_back({{"service", name}});
    }
  }
  return services;
}

// The subject is "SERVICE/CUSTOMER/KEY".
json ExplainKey(const Engine& engine, std::string_view subject) {
  const std::size_t service_end = subject.find('/');
  const std::size_t customer_end = subject.find('/', service_end + 1);
  if (service_end == std::string_view::npos ||
      customer_end == std::string_view::npos) {
    return "write key/SERVICE/TENANT/KEY";
  }
  const std::string_view customer =
      subject.substr(service_end + 1, customer_end - service_end - 1);
  const Hash128 key = HashParts({subject.substr(0, service_end), customer,
                                 subject.substr(customer_end + 1)});
  const std::optional<ExecutionGuard::Grant> grant = engine.FindKey(key);
  return grant ? ToJson(*grant) : json("not granted by this daemon");
}

json ToJson(const ServiceConfig& service) {
  json servers = json::array();
  for (const BackendServer& server : service.backend_servers) {
    servers.push_back({{"name", server.name},
                       {"address", server.address},
                       {"owner", server.owner},
                       {"data_centre", server.data_centre},
                       {"slots", server.slots}});
  }
  return {{"service", service.name},
          {"number", service.number},
          {"floor", service.floor},
          {"profile",
           service.profile == EjectionProfile::kFast ? "fast" : "careful"},
          {"backend_servers", servers}};
}

}  // namespace

OperatorServer::Page MakeStatusPage(const Engine& engine,
                                    const Settings& settings,
                                    TimePoint now) {
  json servers = json::array();
  for (const BackendServerStatus& status : engine.GetStatus(now)) {
    servers.push_back(ToJson(status));
  }
  return JsonPage({{"instance", settings.instance},
                   {"data_centre", settings.data_centre},
                   {"manifest_number", engine.manifest_number()},
                   {"unfinished_requests", engine.unfinished_count()},
                   {"keys", engine.key_count()},
                   {"backend_servers", servers}});
}

OperatorServer::Page MakeExplainPage(const Engine& engine,
                                     const std::string& subject,
                                     TimePoint now) {
  json found = json::array();
  for (const BackendServerStatus& status : engine.GetStatus(now)) {
    if (status.name != subject && status.service != subject) {
      continue;
    }
    json server = ToJson(status);
    if (status.health) {
      server.update(ToJson(*status.health));
    }
    found.push_back(std::move(server));
  }
  json page = {{"subject", subject},
               {"manifest_number", engine.manifest_number()},
               {"backend_servers_here", found}};
  const std::string_view text = subject;
  if (text.starts_with(kKeySubject)) {
    page["key"] = ExplainKey(engine, text.substr(kKeySubject.size()));
  }
  if (engine.config() == nullptr) {
    return JsonPage(page);
  }
  if (text.starts_with(kCustomerSubject)) {
    page["may_call"] = MakeCallableServices(
        *engine.config(), text.substr(kCustomerSubject.size()));
  }
  const FleetConfig::Match match = engine.config()->FindRoute(subject);
  const ServiceConfig* service = engine.config()->FindService(subject);
  if (match.route != nullptr) {
    page["route"] = {{"service", match.service->name},
                     {"class", match.route->request_class},
                     {"prefix", match.route->prefix}};
    service = match.service;
  }
  if (service != nullptr) {
    page["service"] = ToJson(*service);
  }
  return JsonPage(page);
}

OperatorServer::Page MakeEventsPage(const EventHistory& history,
                                    const Settings& settings) {
  json events = json::array();
  for (const EventHistory::Entry& entry : history.GetEntries()) {
    const LogEventInfo& info = GetLogEventInfo(entry.event.id);
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            entry.time.time_since_epoch());
    events.push_back({{"time_ms", milliseconds.count()},
                      {"event", static_cast<int>(entry.event.id)},
                      {"name", info.name},
                      {"subject", entry.event.subject},
                      {"detail", entry.event.detail}});
  }
  return JsonPage({{"instance", settings.instance}, {"events", events}});
}

}  // namespace vanillafall
