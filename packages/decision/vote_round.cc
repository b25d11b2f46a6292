#include "decision/vote_round.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include "decision/key_retention.h"

namespace vanillafall {
namespace {

bool Contains(const std::vector<PeerAddress>& guards,
              const PeerAddress& guard) {
  return std::find(guards.begin(), guards.end(), guard) != guards.end();
}

Reason ReasonOf(VoteResult result) {
  switch (result) {
    case VoteResult::kTaken:
      return Reason::kKeyInProgress;
    case VoteResult::kOtherBody:
      return Reason::kKeyOfOtherBody;
    case VoteResult::kTableFull:
      return Reason::kKeyTableFull;
    case VoteResult::kStaleConfig:
      return Reason::kStaleConfig;
    case VoteResult::kGranted:
    case VoteResult::kAbstained:
      break;
  }
  return Reason::kNoQuorum;
}

struct Candidate {
  std::uint64_t weight = 0;
  std::string_view owner;
  std::string_view data_centre;
  bool is_within_limit = false;
};

// All owners in rendezvous order.
std::vector<Candidate> RankOwners(const Hash128& key, const GuardSet& owners) {
  std::vector<Candidate> ranked;
  ranked.reserve(owners.guards.size());
  for (std::size_t at = 0; at < owners.guards.size(); ++at) {
    ranked.push_back({RendezvousWeight(key, owners.guards[at]),
                      owners.guards[at], owners.data_centres.at(at)});
  }
  std::sort(
      ranked.begin(), ranked.end(), [](const Candidate& a, const Candidate& b) {
        return std::pair(a.weight, a.owner) > std::pair(b.weight, b.owner);
      });
  return ranked;
}

}  // namespace

std::vector<PeerAddress> GuardsOfKey(const Hash128& key,
                                     const GuardSet& owners) {
  std::vector<Candidate> candidates = RankOwners(key, owners);
  std::map<std::string_view, std::size_t> in_data_centre;
  for (Candidate& each : candidates) {
    each.is_within_limit =
        ++in_data_centre[each.data_centre] <= kMaxGuardsPerDataCentre;
  }
  std::stable_partition(
      candidates.begin(), candidates.end(),
      [](const Candidate& each) { return each.is_within_limit; });
  candidates.resize(std::min(candidates.size(), kMaxGuardsPerKey));
  std::vector<PeerAddress> guards;
  guards.reserve(candidates.size());
  for (const Candidate& each : candidates) {
    guards.emplace_back(each.owner);
  }
  return guards;
}

void GuardVersions::OnReply(const PeerAddress& guard, const VoteReply& reply) {
  versions_[guard] = {reply.service_number, reply.service_number_age};
}

bool GuardVersions::IsRetired(const std::vector<PeerAddress>& guards,
                              std::uint64_t former_number,
                              std::chrono::milliseconds retention) const {
  const auto holds_newer = [&](const PeerAddress& guard) {
    const auto found = versions_.find(guard);
    return found != versions_.end() && found->second.number > former_number &&
           found->second.age >= retention;
  };
  const auto count = static_cast<std::size_t>(
      std::count_if(guards.begin(), guards.end(), holds_newer));
  return count >= MajorityOf(guards.size());
}

VoteRound::VoteRound(const VoteRequest& request,
                     const ServiceConfig& service,
                     const GuardVersions& versions)
    : request_(request) {
  const std::chrono::milliseconds retention = RetentionOf(service);
  AddGroup(GuardsOfKey(request.key, service.CurrentGuards()));
  for (const GuardSet& former : service.former_guards) {
    std::vector<PeerAddress> guards = GuardsOfKey(request.key, former);
    if (!versions.IsRetired(guards, former.service_number, retention)) {
      AddGroup(std::move(guards));
    }
  }
}

void VoteRound::OnReply(const PeerAddress& guard, const VoteReply& reply) {
  if (reply.result == VoteResult::kGranted) {
    Count(guard, &Group::granted);
    Count(guard, &Group::free);
    return;
  }
  refusing_guards_.push_back(guard);
  refusal_ = ReasonOf(reply.result);
  Count(guard, &Group::refused);
  if (reply.result == VoteResult::kTaken ||
      reply.result == VoteResult::kOtherBody) {
    UpdateHolder(reply);
  }
  if (reply.result == VoteResult::kOtherBody ||
      reply.result == VoteResult::kTableFull) {
    Count(guard, &Group::free);
  }
}

void VoteRound::OnFailure(const PeerAddress& guard) {
  Count(guard, &Group::refused);
}

VoteRound::State VoteRound::state() const {
  bool is_granted = true;
  for (const Group& group : groups_) {
    const std::size_t majority = MajorityOf(group.guards.size());
    if (group.refused + majority > group.guards.size()) {
      return State::kLost;
    }
    is_granted = is_granted && group.granted >= majority;
  }
  return is_granted ? State::kGranted : State::kPending;
}

Reason VoteRound::reason() const {
  return holder_ ? ReasonOf(holder_->result) : refusal_;
}

std::vector<PeerAddress> VoteRound::GuardsToSettle() const {
  std::vector<PeerAddress> unsettled;
  for (const PeerAddress& guard : guards_) {
    if (!Contains(refusing_guards_, guard)) {
      unsettled.push_back(guard);
    }
  }
  return unsettled;
}

bool VoteRound::ProvesNotRun() const {
  return std::all_of(groups_.begin(), groups_.end(), [](const Group& group) {
    return group.free >= MajorityOf(group.guards.size());
  });
}

bool VoteRound::IsContended() const {
  return holder_ && holder_->result == VoteResult::kTaken && !holder_->settled;
}

// Guard sets that select the same guards for this key make one group.
void VoteRound::AddGroup(std::vector<PeerAddress> guards) {
  const bool is_duplicate =
      std::any_of(groups_.begin(), groups_.end(),
                  [&](const Group& group) { return group.guards == guards; });
  if (is_duplicate || guards.empty()) {
    return;
  }
  for (const PeerAddress& guard : guards) {
    if (!Contains(guards_, guard)) {
      guards_.push_back(guard);
    }
  }
  groups_.push_back({std::move(guards)});
}

// Replies that name an attempt with the same body are preferred, because the
// caller needs the answer of that attempt; among these, replies with a known
// outcome.
void VoteRound::UpdateHolder(const VoteReply& reply) {
  const auto rank = [](const VoteReply& each) {
    return std::pair(each.result == VoteResult::kTaken,
                     each.settled.has_value());
  };
  if (!holder_ || rank(reply) > rank(*holder_)) {
    holder_ = reply;
  }
}

void VoteRound::Count(const PeerAddress& guard, std::size_t Group::*counter) {
  for (Group& group : groups_) {
    group.*counter += Contains(group.guards, guard) ? 1 : 0;
  }
}

}  // namespace vanillafall
