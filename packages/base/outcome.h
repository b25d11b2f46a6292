#ifndef BASE_OUTCOME_H_
#define BASE_OUTCOME_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace vanillafall {

// What is known about the execution of a request. kNotRun is reported only with
// proof that no byte of the request reached a backend server.
enum class Outcome : std::uint8_t { kDone, kNotRun, kUnknown };

// Why a request ended as it did. Sent between daemons as a number, so the order
// must not change, and to the caller as text in the header kReasonHeader.
enum class Reason : std::uint8_t {
  kOk,
  kMalformedRequest,
  kTooLarge,
  // The caller took too long to send its request.
  kSlowSender,
  kUnknownRoute,
  kCallerNotAllowed,
  // The request is not idempotent, carries no idempotency key, and its service
  // refuses such requests.
  kMissingKey,
  // The idempotency key was used before with another method, target or body.
  kKeyOfOtherBody,
  // Another request with this key is being executed.
  kKeyInProgress,
  // A request with this key has ended, but its answer is no longer available.
  kKeyOutcomeLost,
  // A guard of the key holds its maximum number of keys.
  kKeyTableFull,
  // No majority of the key's guards granted the key.
  kNoQuorum,
  kDeadlinePassed,
  kOverloaded,
  // The queue is full, and this customer has the most requests waiting in it.
  kCustomerOverShare,
  kRetryBudgetSpent,
  kDraining,
  // The backend server is ejected for its bad health.
  kEjected,
  // The request reached a daemon or instance that does not serve the backend
  // server.
  kNotOwner,
  // The request was routed by an older configuration than a guard of its key
  // has.
  kStaleConfig,
  // The daemon has not received a configuration yet.
  kNoConfig,
  // The request was not sent to the other daemon.
  kPeerUnreachable,
  // The request may have reached the other daemon, but no answer came back.
  kPeerLost,
  // No connection to the backend server could be opened.
  kBackendServerUnreachable,
  // The connection closed before the backend server answered.
  kBackendServerLost,
  // As kBackendServerLost, and the server refused connections afterwards.
  kBackendServerCrashed,
  // The backend server answered with a server error or refused to execute the
  // request.
  kBackendServerShed,
  // The answer is incomplete or cannot be matched to the request.
  kAnswerTruncated,
  kAnswerTooLarge,
  kBackendServerTimeout,
  // An equal request crashed a backend server, or is suspected of it.
  kCrashSuspect,
  kCancelled,
  kInternal,
  // The request carries no key of a customer, and its route needs one.
  kUnknownKey,
  // The customer has used up its limit of requests per second.
  kOverLimit,
};

// How a reason is shown to callers and in logs.
struct ReasonInfo {
  Reason reason;
  // Text in headers, logs and metrics.
  const char* name;
  // Status of an answer that does not come from a backend server.
  int http_status;
};

// A value outside of the enum gets the info of kInternal.
const ReasonInfo& GetReasonInfo(Reason reason);
const char* ToString(Outcome outcome);
const char* ToString(Reason reason);

// Parses the value of kOutcomeHeader; empty when it is not an outcome.
std::optional<Outcome> ParseOutcome(std::string_view text);

// Response headers that a daemon adds to each answer.
inline constexpr char kOutcomeHeader[] = "Vanillafall-Outcome";
inline constexpr char kReasonHeader[] = "Vanillafall-Reason";

}  // namespace vanillafall

#endif  // BASE_OUTCOME_H_
