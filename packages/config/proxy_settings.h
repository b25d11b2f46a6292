#ifndef CONFIG_PROXY_SETTINGS_H_
#define CONFIG_PROXY_SETTINGS_H_

#include <chrono>
#include <string>
#include <string_view>

#include "config/problem.h"
#include "config/settings.h"
#include "message/peer.h"

namespace vanillafall {

// Settings of a daemon in proxy mode: it serves one backend server and the
// callers on the same instance, and learns routes and servers from the
// platform. Read from TOML; docs/operating/platform.md lists the keys.
struct ProxySettings {
  std::string instance;
  std::string data_centre;
  // Service of the backend server on this instance. Callers on the instance
  // are identified by the same name.
  std::string service;
  std::string caller_address;
  PeerAddress peer_address;
  std::string readiness_address;
  // Empty when the daemon serves no metrics.
  std::string metrics_address;
  std::string backend_address;
  std::string platform_address;
  // Longest time from SIGTERM to the end of the process.
  std::chrono::milliseconds drain_timeout{6000};
  // Memory that the process may use, in units of 1,000,000 bytes.
  std::uint32_t memory_mb = 256;
  // Requests by which the limit of a customer may be exceeded within a few
  // seconds.
  double limit_tolerance = 0;
  // A caller is disconnected that reads less than this many bytes a second on
  // average over the span, while its answer waits.
  std::uint32_t min_read_rate = 4096;
  std::chrono::milliseconds read_span{30'000};
  // Most connections of callers; 0 for as many as the descriptors and the
  // memory allow.
  std::uint32_t max_connections = 0;
  LogFormat log_format = LogFormat::kJson;
  LogLevel log_level = LogLevel::kInfo;
  // Average number of log lines written per second; further lines are dropped
  // and counted.
  std::uint32_t log_lines_per_second = 50;
};

// Parses settings and reports all their problems. The file name is used in the
// problems only.
Parsed<ProxySettings> ParseProxySettings(std::string_view text,
                                         const std::string& file);

// True when the text selects proxy mode (mode = "proxy"), so that
// ParseProxySettings applies instead of ParseSettings.
bool IsProxySettings(std::string_view text);

}  // namespace vanillafall

#endif  // CONFIG_PROXY_SETTINGS_H_
