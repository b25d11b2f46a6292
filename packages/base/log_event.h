#ifndef BASE_LOG_EVENT_H_
#define BASE_LOG_EVENT_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace vanillafall {

// Numbers of the log events. docs/EVENTS.md explains each event;
// log_event_test.cc checks that it lists the same events as this file. Numbers
// are never reused.
enum class LogEventId : std::uint16_t {
  kDaemonStarted = 100,
  kDaemonDrainStarted = 101,
  kDaemonDrainAlreadyRunning = 102,
  kDaemonStopped = 103,
  kDaemonCannotStart = 104,
  kReloadIgnored = 105,
  kRingFull = 106,
  kSettingsReloaded = 107,
  kReadinessChanged = 108,
  kLogLinesDropped = 109,
  kUnexpectedError = 110,
  kConfigInForce = 200,
  kConfigRefusedOlder = 201,
  kConfigDamaged = 202,
  kPlatformUnreachable = 203,
  kPlatformReached = 204,
  kConfigConflict = 205,
  kServersListed = 206,
  kListingIgnored = 207,
  kPlatformCallFailed = 208,
  kPlatformRestored = 209,
  kPlatformWatchSilent = 210,
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
  kRequestAnswered = 600,
  kRunEnded = 601,
  kOwnerSilent = 602,
  kOwnerLinkLost = 603,
  kOwnerLinkOpened = 604,
  kOwnServerChanged = 605,
  kOwnServerDown = 606,
  kOwnServerSuspected = 607,
  kOwnServerTrusted = 608,
  kCallerRejected = 609,
  kOwnServerLimited = 610,
  kOverLimit = 611,
  kCallerCut = 615,
};

enum class LogSeverity : std::uint8_t { kInfo, kWarning, kError };

// Fixed properties of an event. The name is the one that is logged.
struct LogEventInfo {
  LogEventId id;
  LogSeverity severity;
  const char* name;
};

// All events, in ascending order of number.
std::span<const LogEventInfo> GetLogEvents();
// The event must be one that GetLogEvents lists.
const LogEventInfo& GetLogEventInfo(LogEventId id);

// A named value that is logged with an event: an input or result of the
// decision that the event reports.
struct LogField {
  std::string name;
  std::string value;
};

// One occurrence of an event.
struct LogEvent {
  LogEventId id = LogEventId::kDaemonStarted;
  // What the event is about, such as a backend server; may be empty.
  std::string subject;
  // Free text for the reader of the log; may be empty.
  std::string detail;
  std::vector<LogField> fields = {};
};

}  // namespace vanillafall

#endif  // BASE_LOG_EVENT_H_
