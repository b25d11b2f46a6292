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
          {"profile", service.profile == Profile::kFast ? "fast" : "careful"},
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
    if (status.name == subject || status.service == subject) {
      found.push_back(ToJson(status));
    }
  }
  json page = {{"subject", subject},
               {"manifest_number", engine.manifest_number()},
               {"backend_servers_here", found}};
  if (engine.config() != nullptr) {
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
