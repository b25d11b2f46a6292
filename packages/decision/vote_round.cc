#include "decision/vote_round.h"

#include <algorithm>
#include <utility>

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

}  // namespace

std::vector<PeerAddress> GuardsOfKey(const Hash128& key,
                                     std::vector<PeerAddress> owners) {
  std::sort(owners.begin(), owners.end(),
            [&key](const PeerAddress& a, const PeerAddress& b) {
              return std::pair(RendezvousWeight(key, a), a) >
                     std::pair(RendezvousWeight(key, b), b);
            });
  owners.resize(std::min(owners.size(), kGuardsPerKey));
  return owners;
}

void GuardVersions::OnReply(const PeerAddress& guard, const VoteReply& reply) {
  held_[guard] = {reply.service_number, reply.service_number_age};
}

bool GuardVersions::IsRetired(const std::vector<PeerAddress>& guards,
                              std::uint64_t former_number,
                              std::chrono::milliseconds resend_window) const {
  const auto moved_on = [&](const PeerAddress& guard) {
    const auto found = held_.find(guard);
    return found != held_.end() && found->second.number > former_number &&
           found->second.age >= resend_window;
  };
  const auto count = static_cast<std::size_t>(
      std::count_if(guards.begin(), guards.end(), moved_on));
  return count >= MajorityOf(guards.size());
}

VoteRound::VoteRound(const VoteRequest& request,
                     const ServiceConfig& service,
                     const GuardVersions& versions)
    : request_(request) {
  groups_.push_back({GuardsOfKey(request.key, service.Owners())});
  for (const GuardSet& former : service.former_guards) {
    std::vector<PeerAddress> guards = GuardsOfKey(request.key, former.guards);
    if (!versions.IsRetired(guards, former.service_number,
                            service.resend_window)) {
      groups_.push_back({std::move(guards)});
    }
  }
  for (const Group& group : groups_) {
    for (const PeerAddress& guard : group.guards) {
      if (!Contains(guards_, guard)) {
        guards_.push_back(guard);
      }
    }
  }
}

void VoteRound::OnReply(const PeerAddress& guard, const VoteReply& reply) {
  if (reply.result != VoteResult::kGranted) {
    if (reply.result == VoteResult::kTaken ||
        reply.result == VoteResult::kOtherBody) {
      holder_ = reply;
    }
    refusal_ = ReasonOf(reply.result);
    CountRefusal(guard);
    return;
  }
  for (Group& group : groups_) {
    group.granted += Contains(group.guards, guard) ? 1 : 0;
  }
}

void VoteRound::OnFailure(const PeerAddress& guard) {
  CountRefusal(guard);
}

VoteRound::State VoteRound::state() const {
  bool is_granted = true;
  for (const Group& group : groups_) {
    const std::size_t size = group.guards.size();
    if (group.refused > size - MajorityOf(size)) {
      return State::kLost;
    }
    is_granted = is_granted && group.granted >= MajorityOf(size);
  }
  return is_granted ? State::kGranted : State::kPending;
}

Reason VoteRound::reason() const {
  return holder_ ? ReasonOf(holder_->result) : refusal_;
}

Outcome VoteRound::outcome() const {
  const bool other_attempt_may_run =
      holder_ && holder_->result == VoteResult::kTaken;
  return other_attempt_may_run ? Outcome::kUnknown : Outcome::kNotRun;
}

void VoteRound::CountRefusal(const PeerAddress& guard) {
  for (Group& group : groups_) {
    group.refused += Contains(group.guards, guard) ? 1 : 0;
  }
}

}  // namespace vanillafall
