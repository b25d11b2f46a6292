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

// The keys that this daemon has granted as a guard. A keyed request runs only
// with grants from a majority of the key's guards, and a guard grants a key to
// one attempt at a time, so two attempts can never both hold a majority.
//
// Grants are held in memory only, so a guard that has just started does not
// know what the previous process granted. It abstains for the service's
// retention (see key_retention.h), and also until enough of the other guards
// have shown that its configuration is current. A key whose timestamp is later
// than the guard's start is exempt from the wait for the retention, because no
// previous process can have granted it.
//
// A grant is kept for the retention, whether or not the guard was notified of
// the attempt's outcome. After that no caller may resend the key.
class ExecutionGuard {
 public:
  // `start_wall_time` is the wall-clock time of the start since the Unix epoch;
  // 0 when it is unknown, so that the guard abstains for every key until the
  // retention has passed.
  ExecutionGuard(PeerAddress self,
                 std::size_t max_keys,
                 TimePoint started,
                 std::chrono::milliseconds start_wall_time);

  // Records the numbers of the services' documents, so that vote requests
  // routed by an older document are refused. Call on every change of
  // configuration.
  void Configure(const FleetConfig& config, TimePoint now);

  // Another daemon has shown that it has no newer configuration than this one.
  void OnPeerUpToDate(const PeerAddress& peer);

  // Decides on an owner's request for the key. Grants it at most to one attempt
  // at a time; a repeated request of the holder is granted again until its
  // attempt is settled.
  VoteReply Vote(const VoteRequest& request,
                 const ServiceConfig& service,
                 TimePoint now);

  // The attempt has ended. Outcome kNotRun releases the key; every other
  // outcome keeps it for the retention. A release of an attempt that holds no
  // grant here is remembered for a while: if its vote request arrives later, it
  // is not granted, since nobody would release that grant.
  void Settle(const SettleNotice& notice,
              const ServiceConfig& service,
              TimePoint now);

  // Drops the keys whose retention has passed.
  void Expire(TimePoint now);

  std::size_t key_count() const { return keys_.size(); }

  // The grant of a key: the attempt that holds it, that attempt's owner, its
  // outcome if the guard was notified of it, and the time until which the grant
  // is kept.
  struct Grant {
    Hash128 fingerprint;
    AttemptId attempt;
    PeerAddress owner;
    std::optional<Outcome> settled;
    TimePoint kept_until;
  };
  std::optional<Grant> Find(const Hash128& key) const;

 private:
  // Number of a service's document, and since when this daemon has had it.
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

  // True while a previous process may have granted the key, or the guard's own
  // configuration may be old.
  bool MustAbstain(const VoteRequest& request,
                   const ServiceConfig& service,
                   TimePoint now) const;
  // True when the key's timestamp shows that it was created after this process
  // started.
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
  // Attempts that were released before their vote request arrived, and the
  // times at which they are dropped.
  std::set<AttemptId, AttemptOrder> released_attempts_;
  std::deque<std::pair<TimePoint, AttemptId>> release_expiries_;
};

}  // namespace vanillafall

#endif  // DECISION_EXECUTION_GUARD_H_
