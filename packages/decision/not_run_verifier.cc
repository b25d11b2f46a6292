#include "decision/not_run_verifier.h"

#include <iterator>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

// Bounds the time that a proof delays the answer to a refused caller.
constexpr milliseconds kProofTimeout{500};

bool NeedsProof(const Action& action) {
  const auto* answer = std::get_if<AnswerCaller>(&action);
  return answer != nullptr && answer->claim &&
         answer->outcome == Outcome::kNotRun;
}

}  // namespace

NotRunVerifier::NotRunVerifier(PeerAddress self,
                               std::uint64_t incarnation,
                               std::size_t max_keys,
                               const PauseDetector& pauses,
                               PeerCaller& peers)
    : pauses_(pauses),
      keyed_(std::move(self),
             incarnation,
             KeyedExecution::Purpose::kProveNotRun,
             max_keys,
             peers,
             *this) {}

void NotRunVerifier::HoldUnprovenAnswers(std::size_t first,
                                         TimePoint now,
                                         Actions& actions) {
  Actions proof_requests;
  for (std::size_t at = first; at < actions.size();) {
    if (!NeedsProof(actions[at])) {
      ++at;
      continue;
    }
    if (pauses_.WasRecentlyPaused(now)) {
      std::get<AnswerCaller>(actions[at]).outcome = Outcome::kUnknown;
      continue;
    }
    const Ticket ticket = ++last_ticket_;
    AnswerCaller answer = std::get<AnswerCaller>(std::move(actions[at]));
    actions.erase(std::next(actions.begin(), static_cast<std::ptrdiff_t>(at)));
    const KeyClaim claim = *answer.claim;
    held_[ticket] = std::move(answer);
    keyed_.Begin(ticket, claim, now + kProofTimeout, now, proof_requests);
  }
  std::move(proof_requests.begin(), proof_requests.end(),
            std::back_inserter(actions));
}

void NotRunVerifier::OnGranted(Ticket ticket, TimePoint now, Actions& actions) {
  RunReply released;
  released.outcome = Outcome::kNotRun;
  keyed_.End(ticket, released, now, actions);
  Send(ticket, std::move(held_.at(ticket)), now, actions);
}

void NotRunVerifier::OnRefused(Ticket ticket,
                               const RunReply& reply,
                               TimePoint now,
                               Actions& actions) {
  AnswerCaller answer = std::move(held_.at(ticket));
  answer.outcome = reply.outcome;
  if (reply.outcome == Outcome::kDone) {
    answer.reason = reply.reason;
    answer.response = reply.response;
  }
  const bool is_other_body = reply.reason == Reason::kKeyOfOtherBody;
  if (is_other_body && reply.outcome == Outcome::kNotRun) {
    answer.reason = reply.reason;
  }
  Send(ticket, std::move(answer), now, actions);
}

void NotRunVerifier::Send(Ticket ticket,
                          AnswerCaller answer,
                          TimePoint now,
                          Actions& actions) {
  if (answer.outcome == Outcome::kNotRun && pauses_.WasRecentlyPaused(now)) {
    answer.outcome = Outcome::kUnknown;
  }
  held_.erase(ticket);
  answer.claim.reset();
  actions.emplace_back(std::move(answer));
}

}  // namespace vanillafall
