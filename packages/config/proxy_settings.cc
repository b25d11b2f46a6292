#include "config/proxy_settings.h"

#include <vector>

#include "config/toml_reader.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using Need = TomlReader::Need;

constexpr char kMode[] = "mode";
constexpr char kProxyMode[] = "proxy";
constexpr milliseconds kMinDrainTimeout{500};
constexpr milliseconds kMaxDrainTimeout{600'000};
constexpr std::int64_t kMinMemoryMb = 16;
constexpr std::int64_t kMaxMemoryMb = 1'000'000;
constexpr double kMaxRequests = 1e6;
// A rate that callers inside the limits of the platform may not reach, such as
// many on one link of 13 Mbit/s, is wrong.
constexpr std::int64_t kMaxReadRate = 65'536;
// The kernel reports what a slow caller has read in steps of its buffer.
constexpr milliseconds kMinReadSpan{1000};
constexpr milliseconds kMaxReadSpan{600'000};
// Connections that would take all of the memory, at 32 KiB for each.
constexpr std::int64_t kMaxConnectionsPerMb = 30;
constexpr std::int64_t kMaxLogLinesPerSecond = 100'000;

}  // namespace

bool IsProxySettings(std::string_view text) {
  std::vector<Problem> problems;
  const toml::table table = ParseToml(text, "", &problems);
  return table[kMode].value_or(std::string_view()) == kProxyMode;
}

Parsed<ProxySettings> ParseProxySettings(std::string_view text,
                                         const std::string& file) {
  Parsed<ProxySettings> parsed;
  const toml::table table = ParseToml(text, file, &parsed.problems);
  if (!parsed.ok()) {
    return parsed;
  }
  ProxySettings& settings = parsed.value;
  TomlReader root(table, "", file, &parsed.problems);
  root.GetString(kMode, Need::kRequired);
  settings.instance = root.GetString("instance", Need::kRequired);
  settings.data_centre = root.GetString("data_centre", Need::kRequired);
  settings.service = root.GetString("service", Need::kRequired);
  settings.caller_address = root.GetAddress("caller_address", Need::kRequired);
  settings.peer_address = root.GetAddress("peer_address", Need::kRequired);
  settings.readiness_address =
      root.GetAddress("readiness_address", Need::kRequired);
  settings.metrics_address =
      root.GetAddress("metrics_address", Need::kOptional);
  settings.backend_address =
      root.GetAddress("backend_address", Need::kRequired);
  settings.platform_address =
      root.GetAddress("platform_address", Need::kRequired);
  settings.drain_timeout =
      root.GetDuration("drain_timeout", settings.drain_timeout,
                       kMinDrainTimeout, kMaxDrainTimeout);
  settings.memory_mb = static_cast<std::uint32_t>(root.GetInteger(
      "memory_mb", settings.memory_mb, kMinMemoryMb, kMaxMemoryMb));
  settings.limit_tolerance = root.GetNumber(
      "limit_tolerance", settings.limit_tolerance, 0, kMaxRequests);
  TomlReader callers(root.GetTable("callers"), "callers", file,
                     &parsed.problems);
  settings.min_read_rate = static_cast<std::uint32_t>(callers.GetInteger(
      "min_read_bytes_per_second", settings.min_read_rate, 1, kMaxReadRate));
  settings.read_span = callers.GetDuration("read_span", settings.read_span,
                                           kMinReadSpan, kMaxReadSpan);
  settings.max_connections = static_cast<std::uint32_t>(
      callers.GetInteger("max_connections", settings.max_connections, 1,
                         settings.memory_mb * kMaxConnectionsPerMb));
  callers.ReportUnknownKeys();
  TomlReader log(root.GetTable("log"), "log", file, &parsed.problems);
  settings.log_format =
      static_cast<LogFormat>(log.GetChoice("format", {"text", "json"}));
  settings.log_level = static_cast<LogLevel>(
      log.GetChoice("level", {"info", "warning", "error"}));
  settings.log_lines_per_second = static_cast<std::uint32_t>(
      log.GetInteger("lines_per_second", settings.log_lines_per_second, 0,
                     kMaxLogLinesPerSecond));
  log.ReportUnknownKeys();
  root.ReportUnknownKeys();
  return parsed;
}

}  // namespace vanillafall
