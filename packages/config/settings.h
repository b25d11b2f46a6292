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

// Limits on the resources that callers and peers can make a daemon use.
struct Limits {
  // Header and body of a caller's request.
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint32_t max_body_bytes = 1024 * 1024;
  // Body of a backend server's answer.
  std::uint32_t max_answer_bytes = 4 * 1024 * 1024;
  // Open connections of callers.
  std::uint32_t max_connections = 2000;
  // Requests that callers are waiting for at the same time.
  std::uint32_t max_requests = 5000;
  std::uint32_t max_waiting_per_backend_server = 64;
  // Idempotency keys in memory, in each table of keys.
  std::uint32_t max_keys = 100'000;
  // Customers with a metric label of their own; all others share "other".
  std::uint32_t max_customers_measured = 1000;
  // How long a caller may take to send a whole request.
  std::chrono::milliseconds send_timeout{10'000};
  // Time for a request whose caller sets no time limit, and the maximum for
  // the others.
  std::chrono::milliseconds request_timeout{10'000};
  // How long a stopping daemon waits for unfinished requests.
  std::chrono::milliseconds drain_timeout{20'000};
};

// Settings of one daemon, read from TOML. docs/OPERATING.md lists the keys.
struct Settings {
  std::string instance;
  std::string data_centre;
  std::string region;
  std::string caller_address;
  // Address to which other daemons connect; it also identifies this daemon
  // among them.
  PeerAddress peer_address;
  // Address on which the daemon listens for other daemons. Differs from
  // peer_address only when a relay at peer_address forwards their connections.
  PeerAddress peer_listen_address;
  std::string operator_address;
  // Empty when the daemon gets its configuration from peers only.
  std::string platform_address;
  // Peers to contact when no others are known.
  std::vector<PeerAddress> seeds;
  LogFormat log_format = LogFormat::kText;
  LogLevel log_level = LogLevel::kInfo;
  Limits limits;
};

// Parses settings and reports all their problems. The file name is used in the
// problems only.
Parsed<Settings> ParseSettings(std::string_view text, const std::string& file);

}  // namespace vanillafall

#endif  // CONFIG_SETTINGS_H_
