#include "daemon/config_page.h"

#include <nlohmann/json.hpp>

namespace vanillafall {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kIndent = 2;

std::int64_t AgeMs(TimePoint time, TimePoint now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - time)
      .count();
}

json MakeArrivals(const ConfigReport& report, TimePoint now) {
  json arrivals = json::array();
  for (const ConfigArrival& arrival : report.arrivals) {
    arrivals.push_back({{"number", arrival.version.number},
                        {"digest", arrival.version.digest.ToHex()},
                        {"source", arrival.source},
                        {"heard_age_ms", AgeMs(arrival.first_seen, now)},
                        {"in_force_age_ms", AgeMs(arrival.in_force, now)}});
  }
  return arrivals;
}

json MakeServices(const FleetConfigPtr& config) {
  json services = json::array();
  if (config != nullptr) {
    for (const auto& [name, service] : config->services) {
      services.push_back({{"service", name}, {"number", service.number}});
    }
  }
  return services;
}

}  // namespace

OperatorServer::Page MakeConfigPage(const ConfigReport& report,
                                    const FleetConfigPtr& config,
                                    const Settings& settings,
                                    TimePoint now) {
  json page = {{"instance", settings.instance},
               {"data_centre", settings.data_centre},
               {"manifest_number", report.version.number},
               {"manifest_digest", report.version.digest.ToHex()},
               {"newest_number", report.newest.number},
               {"newest_digest", report.newest.digest.ToHex()},
               {"newest_source", report.newest_source},
               {"missing_documents", report.missing},
               {"is_starting", report.is_starting},
               {"is_watching_platform", report.is_watching},
               {"is_platform_reached", report.is_platform_reached},
               {"members",
                {{"known", report.members.known},
                 {"reached", report.members.reached},
                 {"suspected", report.members.suspected},
                 {"leaving", report.members.leaving}}},
               {"arrivals", MakeArrivals(report, now)},
               {"services", MakeServices(config)}};
  if (report.lagging_since) {
    page["lagging_ms"] = AgeMs(*report.lagging_since, now);
  }
  return {
      kOk, "application/json",
      page.dump(kIndent, ' ', false, json::error_handler_t::replace) + "\n"};
}

}  // namespace vanillafall
