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

// Requests grants for non-idempotent work with a key. For each piece of work it
// asks the key's guards for the right to run, settles the key with them when
// the attempt has ended, and keeps the answer for a caller that resends.
//
// While another attempt holds the key, this attempt releases the grants that it
// got and requests the key again in a few more rounds with growing delays. So a
// retry does not fail because the releases of the previous try are still on
// their way, one of two competing attempts gets the key, and a resend during a
// short execution gets that execution's answer.
class KeyedExecution {
 public:
  // Identifies a piece of work; chosen by the user of this class.
  using Ticket = std::uint64_t;

  // Why grants are requested. kRun: to run the work. kProveNotRun: to answer
  // the caller with kNotRun. The proof is a majority of grants, which are
  // released again, or a majority of guards that hold no grant for the key.
  enum class Purpose : std::uint8_t { kRun, kProveNotRun };

  // Receives the result for each piece of work.
  class Listener {
   public:
    virtual ~Listener() = default;
    // The work may run now. Call End when it has ended, also when it did not
    // run after all.
    virtual void OnGranted(Ticket ticket, TimePoint now, Actions& actions) = 0;
    // The work must not run. The reply gives the reason, or repeats the answer
    // of the attempt that ran. The outcome kNotRun covers only this attempt
    // with kRun, and every attempt with kProveNotRun.
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

  // Requests the right to run, until the deadline at most. The listener is
  // called exactly once, after this call has returned, unless Abandon is called
  // first.
  void Begin(Ticket ticket,
             const KeyClaim& claim,
             TimePoint deadline,
             TimePoint now,
             Actions& actions);

  // Cancels work that has not been granted, and releases the grants that it got
  // so far. Does nothing once the work has been refused; while the answer of
  // the attempt that ran is being fetched, the listener is still called.
  void Abandon(Ticket ticket, Actions& actions);

  // Granted work has ended: settles the key with the guards and, with outcome
  // kDone, keeps the answer for the retention.
  void End(Ticket ticket,
           const RunReply& reply,
           TimePoint now,
           Actions& actions);

  // Handles the result of a call to a peer. Returns false, and does nothing,
  // when this object did not make the call.
  bool OnPeerReply(PeerCallId call,
                   const std::variant<PeerReply, PeerFailure>& result,
                   TimePoint now,
                   Actions& actions);

  // Returns the answer of an attempt that ran here, if it is still kept.
  RecallReply Recall(const RecallRequest& request) const;

  // Repeats lost settle notices, starts the rounds that are due, and drops
  // answers whose retention has passed. Call on every tick.
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
  // A vote request to one guard that has no reply yet.
  struct VoteCall {
    Ticket ticket = 0;
    AttemptId attempt;
    PeerAddress guard;
  };
  // A settle notice to one guard that has no reply yet.
  struct SettleCall {
    PeerAddress guard;
    SettleNotice notice;
    int tries = 0;
  };
  // A lost settle notice and the time at which it is sent again.
  struct SettleRetry {
    TimePoint at;
    SettleCall call;
  };
  // The answer of an attempt that ran here, kept for resends.
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
  // Ends work that got no majority: refuses it, or fetches the answer of the
  // attempt that ran.
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
