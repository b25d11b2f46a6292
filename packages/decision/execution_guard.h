#ifndef DECISION_EXECUTION_GUARD_H_
#define DECISION_EXECUTION_GUARD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "config/fleet_config.h"
#include "message/peer.h"

namespace vanillafall {

// One daemon's memory of the keys that it granted. A key runs only with grants
// from a majority of its guards, and a guard grants a key to one attempt at a
// time, so two attempts can never both hold a majority.
//
// A guard that has just started does not know what its predecessor granted. It
// abstains for the service's resend window, and until enough of the other
// guards have shown it that its configuration is current.
class ExecutionGuard {
 public:
  ExecutionGuard(PeerAddress self, std::size_t max_keys, TimePoint started);

  // Notes the service's number, so that votes routed by an older document are
  // refused. Call on every change of configuration.
  void Configure(const FleetConfig& config, TimePoint now);

  // Another daemon has shown that it knows no newer configuration.
  void OnPeerUpToDate(const PeerAddress& peer);

  VoteReply Vote(const VoteRequest& request,
                 const ServiceConfig& service,
                 TimePoint now);

  // The attempt has ended. Outcome kNotRun releases the key; the others keep
  // it for the resend window.
  void Settle(const SettleNotice& notice,
              const ServiceConfig& service,
              TimePoint now);

  // Forgets settled keys whose resend window has passed.
  void Expire(TimePoint now);

  std::size_t key_count() const { return keys_.size(); }

 private:
  struct Grant {
    Hash128 fingerprint;
    AttemptId attempt;
    PeerAddress owner;
    std::optional<Outcome> settled;
  };
  struct Expiry {
    TimePoint at;
    Hash128 key;
    AttemptId attempt;
  };
  struct ServiceNumber {
    std::uint64_t number = 0;
    TimePoint since;
  };

  bool IsAbstaining(const Hash128& key,
                    const ServiceConfig& service,
                    TimePoint now) const;

  const PeerAddress self_;
  const std::size_t max_keys_;
  const TimePoint started_;
  std::set<PeerAddress> up_to_date_peers_;
  std::map<std::string, ServiceNumber, std::less<>> service_numbers_;
  std::unordered_map<Hash128, Grant> keys_;
  std::deque<Expiry> expiries_;
};

}  // namespace vanillafall

#endif  // DECISION_EXECUTION_GUARD_H_
