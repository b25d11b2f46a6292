#ifndef DECISION_VOTE_ROUND_H_
#define DECISION_VOTE_ROUND_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "config/fleet_config.h"
#include "message/peer.h"

namespace vanillafall {

// Maximum number of guards of one key.
inline constexpr std::size_t kMaxGuardsPerKey = 5;

// Number of grants that make a majority of a group of guards.
constexpr std::size_t MajorityOf(std::size_t group_size) {
  return group_size / 2 + 1;
}

// Maximum number of a key's guards in one data centre while other data centres
// have owners left. With three or more data centres, the loss of one then
// leaves a majority of the guards.
inline constexpr std::size_t kMaxGuardsPerDataCentre = 2;

// Selects the guards of a key among a document's owners: the first
// kMaxGuardsPerKey in rendezvous order that respect kMaxGuardsPerDataCentre
// and, if these are too few, the first of the others.
std::vector<PeerAddress> GuardsOfKey(const Hash128& key,
                                     const GuardSet& owners);

// The document number that each guard of a service last reported to this
// daemon. Shows when the grants of a former guard set no longer matter, so that
// its guards need not be asked.
class GuardVersions {
 public:
  void OnReply(const PeerAddress& guard, const VoteReply& reply);

  // True when a majority of the guards have had a number above the former one
  // for at least the retention. They refuse requests under the former number,
  // and the retention has passed since they could grant one.
  bool IsRetired(const std::vector<PeerAddress>& guards,
                 std::uint64_t former_number,
                 std::chrono::milliseconds retention) const;

 private:
  // Number of the service's document at a guard, and how long the guard has had
  // it.
  struct ServiceVersion {
    std::uint64_t number = 0;
    std::chrono::milliseconds age{0};
  };
  std::map<PeerAddress, ServiceVersion> versions_;
};

// The vote of a key's guards on one attempt. The attempt needs a majority of
// the current guard set and of each former set that may still be in use.
class VoteRound {
 public:
  // kLost: some guard set can no longer reach a majority of grants.
  enum class State : std::uint8_t { kPending, kGranted, kLost };

  VoteRound(const VoteRequest& request,
            const ServiceConfig& service,
            const GuardVersions& versions);

  const VoteRequest& request() const { return request_; }

  // Every guard to ask, each once.
  const std::vector<PeerAddress>& guards() const { return guards_; }

  void OnReply(const PeerAddress& guard, const VoteReply& reply);
  // The guard could not be reached, or its reply was lost.
  void OnFailure(const PeerAddress& guard);

  State state() const;

  // The reason for state kLost.
  Reason reason() const;
  // The guards that may hold a grant of this attempt: all but those that
  // replied with a refusal. They must be notified of the attempt's outcome.
  std::vector<PeerAddress> GuardsToSettle() const;
  // True when a majority of every group has shown that it holds no grant of the
  // key for another attempt with this body. Every other attempt needs a
  // majority of one of these groups, so none was granted before this round
  // began.
  bool ProvesNotRun() const;
  // True when another attempt holds the key and none of the guards has reported
  // its end. A further round may get its answer, or the key if it is released.
  bool IsContended() const;
  // The guard's reply that names another attempt as holder of the key, and that
  // attempt's outcome if known; empty when no guard named one.
  const std::optional<VoteReply>& holder() const { return holder_; }

 private:
  // The key's guards in one guard set, with their votes counted.
  struct Group {
    std::vector<PeerAddress> guards;
    std::size_t granted = 0;
    std::size_t refused = 0;
    // Guards that hold no grant for another attempt with the same body.
    std::size_t free = 0;
  };

  void AddGroup(std::vector<PeerAddress> guards);
  void UpdateHolder(const VoteReply& reply);
  void Count(const PeerAddress& guard, std::size_t Group::*counter);

  VoteRequest request_;
  std::vector<Group> groups_;
  std::vector<PeerAddress> guards_;
  std::vector<PeerAddress> refusing_guards_;
  std::optional<VoteReply> holder_;
  Reason refusal_ = Reason::kNoQuorum;
};

}  // namespace vanillafall

#endif  // DECISION_VOTE_ROUND_H_
