#ifndef DECISION_KEY_PROOF_H_
#define DECISION_KEY_PROOF_H_

#include <unordered_map>
#include <variant>

#include "decision/event.h"
#include "decision/key_retention.h"
#include "decision/keyed_execution.h"
#include "decision/peer_caller.h"

namespace vanillafall {

// Stands between an entry's last word on a request with a key and its caller.
// An entry knows what became of its own tries; it does not know whether the
// same key ran on behalf of an earlier request, through any daemon. So
// `not run` goes out only once the key's guards have proved it; otherwise the
// caller gets the answer of the attempt that ran, or `unknown`. Right after a
// pause of this process nothing counts as proof: the guards may have forgotten
// the key since, or have spoken long ago.
class KeyProof final : private KeyedExecution::Listener {
 public:
  KeyProof(PeerAddress self,
           std::uint64_t incarnation,
           std::size_t max_keys,
           const PauseDetector& pauses,
           PeerCaller& peers);
  KeyProof(const KeyProof&) = delete;
  KeyProof& operator=(const KeyProof&) = delete;

  void Configure(const FleetConfigPtr& config) { keyed_.Configure(config); }

  // Replaces, among the actions from the given place on, each answer that needs
  // a proof by the questions to the key's guards. The answer follows later.
  void Hold(std::size_t first, TimePoint now, Actions& actions);

  // Takes the result of a call that this object made; false when the call is
  // not its own.
  bool OnPeerReply(PeerCallId call,
                   const std::variant<PeerReply, PeerFailure>& result,
                   TimePoint now,
                   Actions& actions) {
    return keyed_.OnPeerReply(call, result, now, actions);
  }

  void Advance(TimePoint now, Actions& actions) {
    keyed_.Advance(now, actions);
  }

  // Answers that wait for their proof.
  std::size_t held_count() const { return held_.size(); }

 private:
  using Ticket = KeyedExecution::Ticket;

  void OnGranted(Ticket ticket, TimePoint now, Actions& actions) override;
  void OnRefused(Ticket ticket,
                 const RunReply& reply,
                 TimePoint now,
                 Actions& actions) override;
  // Sends a held answer; it needs no further proof.
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

#endif  // DECISION_KEY_PROOF_H_
