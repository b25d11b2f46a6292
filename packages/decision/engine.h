#ifndef DECISION_ENGINE_H_
#define DECISION_ENGINE_H_

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_set>

#include "config/settings.h"
#include "decision/entry.h"
#include "decision/event.h"
#include "decision/execution_guard.h"
#include "decision/key_retention.h"
#include "decision/not_run_verifier.h"
#include "decision/owner.h"
#include "decision/peer_caller.h"

namespace vanillafall {

// All decisions of one daemon. Pass every event to Handle, with the time at
// which it is handled, and carry out the resulting actions in order.
class Engine final : private PeerCaller {
 public:
  struct Identity {
    PeerAddress self;
    std::string data_centre;
    // Random number that identifies this run of the process.
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 0;
    // Wall-clock time of the start, since the Unix epoch; 0 when unknown.
    std::chrono::milliseconds started_at{0};
  };

  Engine(const Identity& identity, const Limits& limits, TimePoint started);
  ~Engine() override = default;
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  // Handles one event and appends the actions that follow from it.
  void Handle(const Event& event, TimePoint now, Actions& actions);

  // Number of the manifest in force; 0 while there is no configuration.
  std::uint64_t manifest_number() const;
  const FleetConfigPtr& config() const { return config_; }
  std::vector<BackendServerStatus> GetStatus(TimePoint now) const;
  // Requests of callers and peers that are not yet answered.
  std::size_t unfinished_count() const;
  std::size_t key_count() const { return guard_.key_count(); }
  // The grant that this daemon holds as a guard of the key; empty when there is
  // none.
  std::optional<ExecutionGuard::Grant> FindKey(const Hash128& key) const {
    return guard_.Find(key);
  }

 private:
  PeerCallId Ask(const PeerAddress& peer,
                 PeerRequest request,
                 std::chrono::milliseconds timeout,
                 Actions& actions) override;
  void Reply(PeerCallId call, PeerReply reply, Actions& actions) override;

  void Dispatch(const Event& event, TimePoint now, Actions& actions);
  void OnPeerAsked(const PeerAsked& asked, TimePoint now, Actions& actions);
  void OnPeerReplied(const PeerReplied& replied,
                     TimePoint now,
                     Actions& actions);
  void OnConfigChanged(const FleetConfigPtr& config,
                       TimePoint now,
                       Actions& actions);
  // Refuses a request with a key that arrives right after a pause of this
  // process, because its age is unknown then. Returns false when the event is
  // to be handled as usual.
  bool RefuseIfAgeUnknown(const Event& event, TimePoint now, Actions& actions);
  VoteReply OnVote(const VoteRequest& request, TimePoint now);
  void OnSettle(const SettleNotice& notice, TimePoint now);

  const PeerAddress self_;
  std::mt19937_64 random_;
  PeerCallId last_call_ = 0;
  FleetConfigPtr config_;
  // Events that this daemon sends to itself; handled before Handle returns.
  std::deque<Event> loopback_;
  std::unordered_set<PeerCallId> loopback_calls_;
  PauseDetector pauses_;
  ExecutionGuard guard_;
  Owner owner_;
  Entry entry_;
  NotRunVerifier not_run_verifier_;
};

}  // namespace vanillafall

#endif  // DECISION_ENGINE_H_
