#ifndef BASE_LOG_EVENT_H_
#define BASE_LOG_EVENT_H_

#include <cstdint>
#include <span>
#include <string>

namespace vanillafall {

// Numbered events of the log. docs/EVENTS.md explains each, and a test holds
// the two together. Numbers are never reused.
enum class LogEventId : std::uint16_t {
  kDaemonStarted = 100,
  kDaemonDrainStarted = 101,
  kDaemonDrainAlreadyRunning = 102,
  kDaemonStopped = 103,
  kDaemonCannotStart = 104,
  kReloadIgnored = 105,
  kRingFull = 106,
  kConfigInForce = 200,
  kConfigRefusedOlder = 201,
  kConfigDamaged = 202,
  kPlatformUnreachable = 203,
  kPlatformReached = 204,
  kConfigConflict = 205,
  kRequestRefused = 300,
  kRequestUnknown = 301,
  kMalformedPeerMessage = 302,
  kBackendServerEjected = 400,
  kBackendServerReadmitted = 401,
  kEjectionBlocked = 402,
  kBackendServerDraining = 403,
  kCrashSuspected = 404,
  kCrashConvicted = 405,
  kKeyContended = 500,
  kKeyNoQuorum = 501,
  kKeyTableFull = 502,
};

enum class LogSeverity : std::uint8_t { kInfo, kWarning, kError };

struct LogEventInfo {
  LogEventId id;
  LogSeverity severity;
  const char* name;
};

// The whole catalogue, in ascending order of number.
std::span<const LogEventInfo> GetLogEvents();
const LogEventInfo& GetLogEventInfo(LogEventId id);

// One occurrence of an event: what it is about, and the details for people.
struct LogEvent {
  LogEventId id = LogEventId::kDaemonStarted;
  std::string subject;
  std::string detail;
};

}  // namespace vanillafall

#endif  // BASE_LOG_EVENT_H_
