#ifndef DECISION_EXECUTION_GUARD_H_
#define DECISION_EXECUTION_GUARD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/clock.h"
#include "config/fleet_config.h"
#include "message/peer.h"

namespace vanillafall {

// One daemon's memory of the keys that it granted. A key runs only with grants
// from a majority of its guards, and a guard grants a key to one attempt at a
// time, so two attempts can never both hold a majority.
//
// A guard that has just started does not know what its predecessor granted. It
// abstains for the service's retention (see key_retention.h), and until enough
// of the other guards have shown it that its configuration is current. A key
// that carries a time after the guard's own start needs no wait: no predecessor
// can have granted it.
//
// A grant is kept for the retention, whether or not the guard was told how the
// attempt ended: after that no caller may resend the key.
class ExecutionGuard {
 public:
  // The civil time of the start is since the Unix epoch; 0 when it is unknown,
  // which makes every key wait.
  ExecutionGuard(PeerAddress self,
                 std::size_t max_keys,
                 TimePoint started,
                 std::chrono::milliseconds start_wall_time);

  // Notes the service's number, so that votes routed by an older document are
  // refused. Call on every change of configuration.
  void Configure(const FleetConfig& config, TimePoint now);

  // Another daemon has shown that it knows no newer configuration.
  void OnPeerUpToDate(const PeerAddress& peer);

  VoteReply Vote(const VoteRequest& request,
                 const ServiceConfig& service,
                 TimePoint now);

  // The attempt has ended. Outcome kNotRun releases the key; the others keep
  // it for the retention. A release of an attempt that holds nothing is
  // remembered for a while, so that its vote can't arrive after it and take the
  // key for ever.
  void Settle(const SettleNotice& notice,
              const ServiceConfig& service,
              TimePoint now);

  // Forgets keys whose retention has passed.
  void Expire(TimePoint now);

  std::size_t key_count() const { return keys_.size(); }

  // What is remembered of a key: which attempt holds it, at which owner, how
  // that ended if the guard was told, and until when it is kept.
  struct Grant {
    Hash128 fingerprint;
    AttemptId attempt;
    PeerAddress owner;
    std::optional<Outcome> settled;
    TimePoint kept_until;
  };
  std::optional<Grant> Find(const Hash128& key) const;

 private:
  struct ServiceNumber {
    std::uint64_t number = 0;
    TimePoint since;
  };

  struct AttemptOrder {
    bool operator()(const AttemptId& a, const AttemptId& b) const {
      return std::pair(a.incarnation, a.sequence) <
             std::pair(b.incarnation, b.sequence);
    }
  };

  bool MustAbstain(const VoteRequest& request,
                   const ServiceConfig& service,
                   TimePoint now) const;
  bool WasCreatedAfterStart(std::chrono::milliseconds key_time,
                            TimePoint now) const;
  void ExtendRetention(const Hash128& key, Grant& grant, TimePoint until);

  const PeerAddress self_;
  const std::size_t max_keys_;
  const TimePoint started_;
  const std::chrono::milliseconds start_wall_time_;
  std::set<PeerAddress> up_to_date_peers_;
  std::map<std::string, ServiceNumber, std::less<>> service_numbers_;
  std::unordered_map<Hash128, Grant> keys_;
  std::multimap<TimePoint, Hash128> expiries_;
  // Attempts that were released before their vote arrived, and the times at
  // which they are forgotten.
  std::set<AttemptId, AttemptOrder> released_attempts_;
  std::deque<std::pair<TimePoint, AttemptId>> release_expiries_;
};

}  // namespace vanillafall

#endif  // DECISION_EXECUTION_GUARD_H_
