#ifndef DECISION_KEYED_EXECUTION_H_
#define DECISION_KEYED_EXECUTION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>

#include "decision/event.h"
#include "decision/peer_caller.h"
#include "decision/vote_round.h"

namespace vanillafall {

// An owner's side of non-idempotent work with a key: asks the key's guards for
// the right to run, tells them how the attempt ended, and keeps the answer for
// a caller that resends.
class KeyedExecution {
 public:
  // Names a piece of work at the owner.
  using Ticket = std::uint64_t;

  class Listener {
   public:
    virtual ~Listener() = default;
    // The work may run now, and must end with End or Abandon.
    virtual void OnGranted(Ticket ticket, TimePoint now, Actions& actions) = 0;
    // The work must not run; the reply says why, or repeats the answer of the
    // attempt that ran.
    virtual void OnRefused(Ticket ticket,
                           const RunReply& reply,
                           TimePoint now,
                           Actions& actions) = 0;
  };

  KeyedExecution(PeerAddress self,
                 std::uint64_t incarnation,
                 std::size_t max_keys,
                 PeerCaller& peers,
                 Listener& listener);
  KeyedExecution(const KeyedExecution&) = delete;
  KeyedExecution& operator=(const KeyedExecution&) = delete;

  // Asks for the right to run. Exactly one call of the listener follows,
  // unless Abandon comes first.
  void Begin(Ticket ticket,
             const RunRequest& run,
             const ServiceConfig& service,
             Actions& actions);

  // Gives up work that has not been granted; releases its grants.
  void Abandon(Ticket ticket, Actions& actions);

  // Granted work has ended: settles the key and keeps the answer.
  void End(Ticket ticket,
           const RunReply& reply,
           TimePoint now,
           Actions& actions);

  // Takes the result of a call that this object made; false when the call is
  // not its own.
  bool OnPeerReply(PeerCallId call,
                   const std::variant<PeerReply, PeerFailure>& result,
                   TimePoint now,
                   Actions& actions);

  // The answer of an attempt that ran here, if it is still kept.
  RecallReply Recall(const RecallRequest& request) const;

  // Sends again what was lost and forgets what has expired.
  void Advance(TimePoint now, Actions& actions);

 private:
  struct Work {
    VoteRound round;
    std::chrono::milliseconds resend_window{0};
    bool is_granted = false;
  };
  struct VoteCall {
    Ticket ticket = 0;
    PeerAddress guard;
  };
  struct SettleCall {
    PeerAddress guard;
    SettleNotice notice;
    int tries = 0;
  };
  struct Resend {
    TimePoint at;
    SettleCall call;
  };
  struct Kept {
    AttemptId attempt;
    RunReply reply;
    TimePoint until;
  };

  void OnVote(const VoteCall& call,
              const std::variant<PeerReply, PeerFailure>& result,
              TimePoint now,
              Actions& actions);
  void OnRecall(Ticket ticket,
                const std::variant<PeerReply, PeerFailure>& result,
                TimePoint now,
                Actions& actions);
  void Refuse(Ticket ticket, Work& work, TimePoint now, Actions& actions);
  void SettleAll(const VoteRound& round, Outcome outcome, Actions& actions);
  void SendSettle(SettleCall call, Actions& actions);

  const PeerAddress self_;
  const std::uint64_t incarnation_;
  const std::size_t max_keys_;
  PeerCaller& peers_;
  Listener& listener_;
  std::uint64_t last_sequence_ = 0;
  std::unordered_map<Ticket, Work> works_;
  std::unordered_map<PeerCallId, VoteCall> vote_calls_;
  std::unordered_map<PeerCallId, Ticket> recall_calls_;
  std::unordered_map<PeerCallId, SettleCall> settle_calls_;
  std::deque<Resend> resends_;
  std::map<std::string, GuardVersions, std::less<>> versions_;
  std::unordered_map<Hash128, Kept> kept_;
};

}  // namespace vanillafall

#endif  // DECISION_KEYED_EXECUTION_H_
