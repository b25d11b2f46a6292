#include "base/log_event.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace vanillafall {
namespace {

using Id = LogEventId;
using Severity = LogSeverity;

constexpr std::array kEvents = {
    LogEventInfo{Id::kDaemonStarted, Severity::kInfo, "daemon-started"},
    LogEventInfo{Id::kDaemonDrainStarted, Severity::kInfo,
                 "daemon-drain-started"},
    LogEventInfo{Id::kDaemonDrainAlreadyRunning, Severity::kInfo,
                 "daemon-drain-already-running"},
    LogEventInfo{Id::kDaemonStopped, Severity::kInfo, "daemon-stopped"},
    LogEventInfo{Id::kDaemonCannotStart, Severity::kError,
                 "daemon-cannot-start"},
    LogEventInfo{Id::kReloadIgnored, Severity::kInfo, "reload-ignored"},
    LogEventInfo{Id::kRingFull, Severity::kWarning, "ring-full"},
    LogEventInfo{Id::kSettingsReloaded, Severity::kInfo, "settings-reloaded"},
    LogEventInfo{Id::kReadinessChanged, Severity::kInfo, "readiness-changed"},
    LogEventInfo{Id::kLogLinesDropped, Severity::kWarning, "log-lines-dropped"},
    LogEventInfo{Id::kUnexpectedError, Severity::kError, "unexpected-error"},
    LogEventInfo{Id::kConfigInForce, Severity::kInfo, "config-in-force"},
    LogEventInfo{Id::kConfigRefusedOlder, Severity::kWarning,
                 "config-refused-older"},
    LogEventInfo{Id::kConfigDamaged, Severity::kError, "config-damaged"},
    LogEventInfo{Id::kPlatformUnreachable, Severity::kWarning,
                 "platform-unreachable"},
    LogEventInfo{Id::kPlatformReached, Severity::kInfo, "platform-reached"},
    LogEventInfo{Id::kConfigConflict, Severity::kError, "config-conflict"},
    LogEventInfo{Id::kServersListed, Severity::kInfo, "servers-listed"},
    LogEventInfo{Id::kListingIgnored, Severity::kWarning, "listing-ignored"},
    LogEventInfo{Id::kPlatformCallFailed, Severity::kInfo,
                 "platform-call-failed"},
    LogEventInfo{Id::kPlatformRestored, Severity::kWarning,
                 "platform-restored"},
    LogEventInfo{Id::kPlatformWatchSilent, Severity::kWarning,
                 "platform-watch-silent"},
    LogEventInfo{Id::kRequestRefused, Severity::kInfo, "request-refused"},
    LogEventInfo{Id::kRequestUnknown, Severity::kWarning, "request-unknown"},
    LogEventInfo{Id::kMalformedPeerMessage, Severity::kWarning,
                 "malformed-peer-message"},
    LogEventInfo{Id::kBackendServerEjected, Severity::kWarning,
                 "backend-server-ejected"},
    LogEventInfo{Id::kBackendServerReadmitted, Severity::kInfo,
                 "backend-server-readmitted"},
    LogEventInfo{Id::kEjectionBlocked, Severity::kWarning, "ejection-blocked"},
    LogEventInfo{Id::kBackendServerDraining, Severity::kInfo,
                 "backend-server-draining"},
    LogEventInfo{Id::kCrashSuspected, Severity::kWarning, "crash-suspected"},
    LogEventInfo{Id::kCrashConvicted, Severity::kWarning, "crash-convicted"},
    LogEventInfo{Id::kKeyContended, Severity::kInfo, "key-contended"},
    LogEventInfo{Id::kKeyNoQuorum, Severity::kWarning, "key-no-quorum"},
    LogEventInfo{Id::kKeyTableFull, Severity::kWarning, "key-table-full"},
    LogEventInfo{Id::kRequestAnswered, Severity::kInfo, "request-answered"},
    LogEventInfo{Id::kRunEnded, Severity::kInfo, "run-ended"},
    LogEventInfo{Id::kOwnerSilent, Severity::kWarning, "owner-silent"},
    LogEventInfo{Id::kOwnerLinkLost, Severity::kWarning, "owner-link-lost"},
    LogEventInfo{Id::kOwnerLinkOpened, Severity::kInfo, "owner-link-opened"},
    LogEventInfo{Id::kOwnServerChanged, Severity::kInfo, "own-server-changed"},
    LogEventInfo{Id::kOwnServerDown, Severity::kWarning, "own-server-down"},
    LogEventInfo{Id::kOwnServerSuspected, Severity::kWarning,
                 "own-server-suspected"},
    LogEventInfo{Id::kOwnServerTrusted, Severity::kInfo, "own-server-trusted"},
    LogEventInfo{Id::kCallerRejected, Severity::kInfo, "caller-rejected"},
    LogEventInfo{Id::kOwnServerLimited, Severity::kInfo, "own-server-limited"},
    LogEventInfo{Id::kOverLimit, Severity::kInfo, "over-limit"},
    LogEventInfo{Id::kCallerCut, Severity::kInfo, "caller-cut"},
};

}  // namespace

std::span<const LogEventInfo> GetLogEvents() {
  return kEvents;
}

const LogEventInfo& GetLogEventInfo(LogEventId id) {
  const auto* found =
      std::find_if(kEvents.begin(), kEvents.end(),
                   [id](const LogEventInfo& info) { return info.id == id; });
  assert(found != kEvents.end() && "add the event to the catalogue");
  return *found;
}

}  // namespace vanillafall
