#ifndef BASE_OUTCOME_H_
#define BASE_OUTCOME_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace vanillafall {

// What is known about the execution of a request. kNotRun is claimed only with
// proof that no byte of the request reached a backend server.
enum class Outcome : std::uint8_t { kDone, kNotRun, kUnknown };

// Why a request ended as it did. Travels between daemons and, as text, to the
// caller in the header kReasonHeader.
enum class Reason : std::uint8_t {
  kOk,
  kMalformedRequest,
  kTooLarge,
  kSlowSender,
  kUnknownRoute,
  kCallerNotAllowed,
  kMissingKey,
  kKeyOfOtherBody,
  kKeyInProgress,
  kKeyOutcomeLost,
  kKeyTableFull,
  kNoQuorum,
  kDeadlinePassed,
  kOverloaded,
  kTenantOverShare,
  kRetryBudgetSpent,
  kDraining,
  kEjected,
  kNotOwner,
  kStaleConfig,
  kNoConfig,
  kPeerUnreachable,
  kPeerLost,
  kBackendServerUnreachable,
  kBackendServerLost,
  kBackendServerCrashed,
  kBackendServerShed,
  kAnswerTruncated,
  kAnswerTooLarge,
  kBackendServerTimeout,
  kCrashSuspect,
  kCancelled,
  kInternal,
};

// How a reason is shown: its name in headers and logs, and the HTTP status of
// an answer that has no backend server's status of its own.
struct ReasonInfo {
  Reason reason;
  const char* name;
  int http_status;
};

const ReasonInfo& GetReasonInfo(Reason reason);
const char* ToString(Outcome outcome);
const char* ToString(Reason reason);

// Parses the text of kOutcomeHeader; empty on other text.
std::optional<Outcome> ParseOutcome(std::string_view text);

// Response headers that every answer of the fleet carries.
inline constexpr char kOutcomeHeader[] = "Vanillafall-Outcome";
inline constexpr char kReasonHeader[] = "Vanillafall-Reason";

}  // namespace vanillafall

#endif  // BASE_OUTCOME_H_
