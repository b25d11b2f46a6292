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

// Most guards that one key has.
inline constexpr std::size_t kMaxGuardsPerKey = 5;

// Grants that make a majority of a group.
constexpr std::size_t MajorityOf(std::size_t group_size) {
  return group_size / 2 + 1;
}

// Most of them in one data centre while others have owners left, so that the
// loss of a data centre leaves a majority when there are three or more.
inline constexpr std::size_t kMaxGuardsPerDataCentre = 2;

// The guards of a key among a document's owners: the first kGuardsPerKey in
// rendezvous order that keep to kGuardsPerDataCentre, then, if these are too
// few, the first of the rest.
std::vector<PeerAddress> GuardsOfKey(const Hash128& key,
                                     const GuardSet& owners);

// What one daemon has heard of the configuration that a service's guards hold.
// Tells when a former guard set can no longer grant anything, so that it need
// not be asked.
class GuardVersions {
 public:
  void OnReply(const PeerAddress& guard, const VoteReply& reply);

  // True when a majority of the guards hold a number above the former one for
  // at least the retention, so that no grant under it can matter any more.
  bool IsRetired(const std::vector<PeerAddress>& guards,
                 std::uint64_t former_number,
                 std::chrono::milliseconds retention) const;

 private:
  struct ServiceVersion {
    std::uint64_t number = 0;
    std::chrono::milliseconds age{0};
  };
  std::map<PeerAddress, ServiceVersion> versions_;
};

// One owner's request for the right to run a key: a majority of the current
// guard set and of each former set that may still be in use.
class VoteRound {
 public:
  enum class State : std::uint8_t { kPending, kGranted, kLost };

  VoteRound(const VoteRequest& request,
            const ServiceConfig& service,
            const GuardVersions& versions);

  const VoteRequest& request() const { return request_; }

  // Every guard to ask, each once.
  const std::vector<PeerAddress>& guards() const { return guards_; }

  void OnReply(const PeerAddress& guard, const VoteReply& reply);
  // The guard can't be asked, or its answer was lost.
  void OnFailure(const PeerAddress& guard);

  State state() const;

  // With kLost: why.
  Reason reason() const;
  // The guards that may hold a grant of this attempt: all but those that
  // answered with a refusal. They must be told how it ended.
  std::vector<PeerAddress> GuardsToSettle() const;
  // True when a majority of every group has shown that it holds no grant of the
  // key for another attempt with this body. Every other attempt needs a
  // majority of one of these groups, so none has been granted before this
  // round began.
  bool ProvesNotRun() const;
  // True when another attempt holds the key and has not ended as far as is
  // known; asking again may bring its answer, or the key if it is released.
  bool IsContended() const;
  // With kLost because another attempt holds the key: its reply, with the
  // holder and how that attempt ended.
  const std::optional<VoteReply>& holder() const { return holder_; }

 private:
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
