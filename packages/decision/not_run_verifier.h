#ifndef DECISION_NOT_RUN_VERIFIER_H_
#define DECISION_NOT_RUN_VERIFIER_H_

#include <unordered_map>
#include <variant>

#include "decision/event.h"
#include "decision/key_retention.h"
#include "decision/keyed_execution.h"
#include "decision/peer_caller.h"

namespace vanillafall {

// Verifies `not run` with the key's guards before an entry answers a keyed
// request with it. An entry knows the outcome of its own tries only: another
// daemon may have run the same key for an earlier request. If the guards do not
// prove `not run`, the caller gets the answer of the attempt that ran, or
// `unknown`. Right after a pause of this process nothing counts as proof: the
// guards' replies may be old, and the guards may have forgotten the key since.
class NotRunVerifier final : private KeyedExecution::Listener {
 public:
  NotRunVerifier(PeerAddress self,
                 std::uint64_t incarnation,
                 std::size_t max_keys,
                 const PauseDetector& pauses,
                 PeerCaller& peers);
  NotRunVerifier(const NotRunVerifier&) = delete;
  NotRunVerifier& operator=(const NotRunVerifier&) = delete;

  // Call on every change of configuration.
  void Configure(const FleetConfigPtr& config) { keyed_.Configure(config); }

  // Takes each answer that needs a proof out of the actions from index `first`
  // on, and appends requests to the key's guards instead. The answer is sent
  // once the guards have replied or the proof has timed out.
  void HoldUnprovenAnswers(std::size_t first, TimePoint now, Actions& actions);

  // Handles the result of a call to a peer. Returns false, and does nothing,
  // when this object did not make the call.
  bool OnPeerReply(PeerCallId call,
                   const std::variant<PeerReply, PeerFailure>& result,
                   TimePoint now,
                   Actions& actions) {
    return keyed_.OnPeerReply(call, result, now, actions);
  }

  // Starts and repeats the requests that are due. Call on every tick.
  void Advance(TimePoint now, Actions& actions) {
    keyed_.Advance(now, actions);
  }

  // Number of answers that wait for their proof.
  std::size_t held_count() const { return held_.size(); }

 private:
  using Ticket = KeyedExecution::Ticket;

  void OnGranted(Ticket ticket, TimePoint now, Actions& actions) override;
  void OnRefused(Ticket ticket,
                 const RunReply& reply,
                 TimePoint now,
                 Actions& actions) override;
  // Sends a held answer without a further proof.
  void Send(Ticket ticket,
            AnswerCaller answer,
            TimePoint now,
            Actions& actions);

  const PauseDetector& pauses_;
  KeyedExecution keyed_;
  Ticket last_ticket_ = 0;
  std::unordered_map<Ticket, AnswerCaller> held_;
};

}  // namespace vanillafall

#endif  // DECISION_NOT_RUN_VERIFIER_H_
