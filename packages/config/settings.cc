#include "config/settings.h"

#include "config/toml_reader.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using Need = TomlReader::Need;

constexpr std::int64_t kKilobyte = 1024;
constexpr std::int64_t kMegabyte = 1024 * kKilobyte;
constexpr milliseconds kMinTimeout{100};
constexpr milliseconds kMaxTimeout{600'000};

// Reads the addresses on which the daemon listens.
void ReadPorts(TomlReader& root, Settings* settings) {
  settings->caller_address = root.GetAddress("caller_address", Need::kRequired);
  settings->peer_address = root.GetAddress("peer_address", Need::kRequired);
  settings->peer_listen_address =
      root.GetAddress("peer_listen_address", Need::kOptional);
  if (settings->peer_listen_address.empty()) {
    settings->peer_listen_address = settings->peer_address;
  }
  settings->operator_address =
      root.GetAddress("operator_address", Need::kOptional);
  if (settings->operator_address.empty()) {
    settings->operator_address = "127.0.0.1:7300";
  }
}

void ReadLog(const toml::table& table,
             const std::string& file,
             Settings* settings,
             std::vector<Problem>* problems) {
  TomlReader log(table, "log", file, problems);
  settings->log_format =
      static_cast<LogFormat>(log.GetChoice("format", {"text", "json"}));
  settings->log_level = static_cast<LogLevel>(
      log.GetChoice("level", {"info", "warning", "error"}));
  log.ReportUnknownKeys();
}

void ReadSizes(TomlReader& reader, Limits* limits) {
  const auto read = [&reader](const char* key, std::uint32_t* value,
                              std::int64_t min, std::int64_t max) {
    *value =
        static_cast<std::uint32_t>(reader.GetInteger(key, *value, min, max));
  };
  read("max_header_bytes", &limits->max_header_bytes, kKilobyte, kMegabyte);
  read("max_body_bytes", &limits->max_body_bytes, 0, 64 * kMegabyte);
  read("max_answer_bytes", &limits->max_answer_bytes, 0, 64 * kMegabyte);
  read("max_connections", &limits->max_connections, 1, 100'000);
  read("max_requests", &limits->max_requests, 1, 100'000);
  read("max_waiting_per_backend_server",
       &limits->max_waiting_per_backend_server, 0, 10'000);
  read("max_keys", &limits->max_keys, 100, 10'000'000);
  read("max_tenants_measured", &limits->max_customers_measured, 1, 100'000);
}

void ReadTimes(TomlReader& reader, Limits* limits) {
  const auto read = [&reader](const char* key, milliseconds* value) {
    *value = reader.GetDuration(key, *value, kMinTimeout, kMaxTimeout);
  };
  read("send_timeout", &limits->send_timeout);
  read("request_timeout", &limits->request_timeout);
  read("drain_timeout", &limits->drain_timeout);
}

}  // namespace

Parsed<Settings> ParseSettings(std::string_view text, const std::string& file) {
  Parsed<Settings> parsed;
  const toml::table table = ParseToml(text, file, &parsed.problems);
  if (!parsed.ok()) {
    return parsed;
  }
  Settings& settings = parsed.value;
  TomlReader root(table, "", file, &parsed.problems);
  settings.instance = root.GetString("instance", Need::kRequired);
  settings.data_centre = root.GetString("data_centre", Need::kRequired);
  settings.region = root.GetString("region", Need::kRequired);
  ReadPorts(root, &settings);
  settings.platform_address =
      root.GetAddress("platform_address", Need::kOptional);
  settings.seeds = root.GetAddresses("seeds");
  ReadLog(root.GetTable("log"), file, &settings, &parsed.problems);
  TomlReader limits(root.GetTable("limits"), "limits", file, &parsed.problems);
  ReadSizes(limits, &settings.limits);
  ReadTimes(limits, &settings.limits);
  limits.ReportUnknownKeys();
  root.ReportUnknownKeys();
  return parsed;
}

}  // namespace vanillafall
