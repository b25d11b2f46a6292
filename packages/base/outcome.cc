#include "base/outcome.h"

#include <cstddef>
#include <iterator>

namespace vanillafall {
namespace {

constexpr ReasonInfo kReasons[] = {
    {Reason::kOk, "ok", 200},
    {Reason::kMalformedRequest, "malformed-request", 400},
    {Reason::kTooLarge, "too-large", 413},
    {Reason::kSlowSender, "slow-sender", 408},
    {Reason::kUnknownRoute, "unknown-route", 404},
    {Reason::kCallerNotAllowed, "caller-not-allowed", 403},
    {Reason::kMissingKey, "missing-idempotency-key", 400},
    {Reason::kKeyOfOtherBody, "key-of-other-body", 422},
    {Reason::kKeyInProgress, "key-in-progress", 409},
    {Reason::kKeyOutcomeLost, "key-outcome-lost", 409},
    {Reason::kKeyTableFull, "key-table-full", 503},
    {Reason::kNoQuorum, "no-quorum", 503},
    {Reason::kDeadlinePassed, "deadline-passed", 504},
    {Reason::kOverloaded, "overloaded", 503},
    {Reason::kCustomerOverShare, "tenant-over-share", 429},
    {Reason::kRetryBudgetSpent, "retry-budget-spent", 503},
    {Reason::kDraining, "draining", 503},
    {Reason::kEjected, "ejected", 503},
    {Reason::kNotOwner, "not-owner", 503},
    {Reason::kStaleConfig, "stale-config", 503},
    {Reason::kNoConfig, "no-config", 503},
    {Reason::kPeerUnreachable, "peer-unreachable", 502},
    {Reason::kPeerLost, "peer-lost", 502},
    {Reason::kBackendServerUnreachable, "backend-server-unreachable", 502},
    {Reason::kBackendServerLost, "backend-server-lost", 502},
    {Reason::kBackendServerCrashed, "backend-server-crashed", 502},
    {Reason::kBackendServerShed, "backend-server-shed", 503},
    {Reason::kAnswerTruncated, "answer-truncated", 502},
    {Reason::kAnswerTooLarge, "answer-too-large", 502},
    {Reason::kBackendServerTimeout, "backend-server-timeout", 504},
    {Reason::kCrashSuspect, "crash-suspect", 422},
    {Reason::kCancelled, "cancelled", 499},
    {Reason::kInternal, "internal", 500},
    {Reason::kUnknownKey, "unknown-key", 401},
    {Reason::kOverLimit, "over-limit", 429},
};

constexpr std::size_t kReasonCount =
    static_cast<std::size_t>(Reason::kOverLimit) + 1;
static_assert(std::size(kReasons) == kReasonCount,
              "every Reason needs its row, in the order of the enum");

}  // namespace

const ReasonInfo& GetReasonInfo(Reason reason) {
  const auto index = static_cast<std::size_t>(reason);
  return index < kReasonCount ? kReasons[index] : kReasons[kReasonCount - 1];
}

const char* ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* ToString(Reason reason) {
  return GetReasonInfo(reason).name;
}

std::optional<Outcome> ParseOutcome(std::string_view text) {
  for (Outcome outcome :
       {Outcome::kDone, Outcome::kNotRun, Outcome::kUnknown}) {
    if (text == ToString(outcome)) {
      return outcome;
    }
  }
  return std::nullopt;
}

}  // namespace vanillafall
