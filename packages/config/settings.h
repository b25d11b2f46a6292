#ifndef CONFIG_SETTINGS_H_
#define CONFIG_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/problem.h"
#include "message/peer.h"

namespace vanillafall {

enum class LogFormat : std::uint8_t { kText, kJson };
enum class LogLevel : std::uint8_t { kInfo, kWarning, kError };

// Limits on what callers and peers can make a daemon hold.
struct Limits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint32_t max_body_bytes = 1024 * 1024;
  std::uint32_t max_answer_bytes = 4 * 1024 * 1024;
  std::uint32_t max_connections = 2000;
  std::uint32_t max_requests = 5000;
  std::uint32_t max_waiting_per_backend_server = 64;
  std::uint32_t max_keys = 100'000;
  std::uint32_t max_tenants_measured = 1000;
  std::chrono::milliseconds send_timeout{10'000};
  std::chrono::milliseconds request_timeout{10'000};
  std::chrono::milliseconds drain_timeout{20'000};
};

// Settings of one daemon, read from TOML. docs/OPERATING.md lists the keys.
struct Settings {
  std::string instance;
  std::string data_centre;
  std::string region;
  std::string caller_address;
  // Where other daemons reach this one; also its name among them.
  PeerAddress peer_address;
  // Where it listens for them, when something else stands at peer_address and
  // passes their bytes on; otherwise the same as peer_address.
  PeerAddress peer_listen_address;
  std::string operator_address;
  // Empty when the daemon learns the configuration from peers only.
  std::string platform_address;
  // Peers to ask when nothing else is known.
  std::vector<PeerAddress> seeds;
  LogFormat log_format = LogFormat::kText;
  LogLevel log_level = LogLevel::kInfo;
  Limits limits;
};

// Reads settings and lists everything that is wrong with them.
Parsed<Settings> ParseSettings(std::string_view text, const std::string& file);

}  // namespace vanillafall

#endif  // CONFIG_SETTINGS_H_
