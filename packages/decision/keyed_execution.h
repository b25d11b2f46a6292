#ifndef DECISION_KEYED_EXECUTION_H_
#define DECISION_KEYED_EXECUTION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include "decision/event.h"
#include "decision/peer_caller.h"
#include "decision/vote_round.h"

namespace vanillafall {

// The asking side of non-idempotent work with a key: asks the key's guards for
// the right to run, tells them how the attempt ended, and keeps the answer for
// a caller that resends.
//
// While another attempt holds the key, it lets go of what it was granted and
// asks again a few times, a little later each time. So a retry does not fail on
// the releases of the try before it, one of two attempts that meet goes on, and
// a resend during a short execution gets that execution's answer.
class KeyedExecution {
 public:
  // Names a piece of work at the owner.
  using Ticket = std::uint64_t;

  // kRun asks in order to run. kProve asks in order to tell the caller kNotRun:
  // a grant that is given back, or a majority that holds nothing, is the proof.
  enum class Purpose : std::uint8_t { kRun, kProveNotRun };

  class Listener {
   public:
    virtual ~Listener() = default;
    // The work may run now, and must end with End or Abandon.
    virtual void OnGranted(Ticket ticket, TimePoint now, Actions& actions) = 0;
    // The work must not run; the reply says why, or repeats the answer of the
    // attempt that ran. With kRun, kNotRun speaks of this attempt alone; with
    // kProve, of every attempt.
    virtual void OnRefused(Ticket ticket,
                           const RunReply& reply,
                           TimePoint now,
                           Actions& actions) = 0;
  };

  KeyedExecution(PeerAddress self,
                 std::uint64_t incarnation,
                 Purpose purpose,
                 std::size_t max_keys,
                 PeerCaller& peers,
                 Listener& listener);
  KeyedExecution(const KeyedExecution&) = delete;
  KeyedExecution& operator=(const KeyedExecution&) = delete;

  // Call on every change of configuration, and before the first Begin.
  void Configure(const FleetConfigPtr& config) { config_ = config; }

  // Asks for the right to run until the deadline. Exactly one call of the
  // listener follows, never before this call has returned, unless Abandon comes
  // first.
  void Begin(Ticket ticket,
             const KeyClaim& claim,
             TimePoint deadline,
             TimePoint now,
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
    KeyClaim claim;
    TimePoint deadline;
    // Empty between two rounds.
    std::optional<VoteRound> round;
    std::chrono::milliseconds retention{0};
    int rounds = 0;
    bool is_granted = false;
  };
  struct VoteCall {
    Ticket ticket = 0;
    AttemptId attempt;
    PeerAddress guard;
  };
  struct SettleCall {
    PeerAddress guard;
    SettleNotice notice;
    int tries = 0;
  };
  struct SettleRetry {
    TimePoint at;
    SettleCall call;
  };
  struct KeptAnswer {
    AttemptId attempt;
    RunReply reply;
    TimePoint until;
  };

  void StartRound(Ticket ticket, TimePoint now, Actions& actions);
  void ScheduleNextRound(Ticket ticket, const Work& work, TimePoint now);
  bool MayStartNextRound(const Work& work, TimePoint now) const;
  void OnVote(const VoteCall& call,
              const std::variant<PeerReply, PeerFailure>& result,
              TimePoint now,
              Actions& actions);
  void OnRecall(Ticket ticket,
                const std::variant<PeerReply, PeerFailure>& result,
                TimePoint now,
                Actions& actions);
  void Refuse(Ticket ticket, TimePoint now, Actions& actions);
  Outcome OutcomeOfLostRound(const VoteRound& round) const;
  void SettleAll(const VoteRound& round, Outcome outcome, Actions& actions);
  void SendSettle(SettleCall call, Actions& actions);

  const PeerAddress self_;
  const std::uint64_t incarnation_;
  const Purpose purpose_;
  const std::size_t max_keys_;
  PeerCaller& peers_;
  Listener& listener_;
  FleetConfigPtr config_;
  std::uint64_t last_sequence_;
  std::unordered_map<Ticket, Work> works_;
  std::unordered_map<PeerCallId, VoteCall> vote_calls_;
  std::unordered_map<PeerCallId, Ticket> recall_calls_;
  std::unordered_map<PeerCallId, SettleCall> settle_calls_;
  std::deque<SettleRetry> settle_retries_;
  std::multimap<TimePoint, Ticket> scheduled_rounds_;
  std::map<std::string, GuardVersions, std::less<>> guard_versions_;
  std::unordered_map<Hash128, KeptAnswer> kept_answers_;
  std::multimap<TimePoint, Hash128> kept_answer_expiries_;
};

}  // namespace vanillafall

#endif  // DECISION_KEYED_EXECUTION_H_
