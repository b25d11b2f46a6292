#include "control/membership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace vanillafall {
namespace {

constexpr std::size_t kWatchersPerDataCentre = 2;
// Watchers at most while the first ones don't reach the platform.
constexpr std::size_t kMostWatchersPerDataCentre = 4;
// Daemons next in line that look after those ahead of them.
constexpr std::size_t kSuccessors = 4;
constexpr std::uint32_t kFailuresUntilSuspected = 2;
constexpr std::chrono::seconds kSilenceUntilForgotten{60};
// One draw in so many goes to a suspected member.
constexpr unsigned kSuspectedShare = 8;

}  // namespace

Membership::Membership(PeerAddress self, std::string data_centre)
    : self_(std::move(self)),
      data_centre_(std::move(data_centre)),
      watch_key_(HashParts({"watch", data_centre_})),
      own_weight_(RendezvousWeight(watch_key_, self_)) {}

void Membership::LearnSeeds(const std::vector<PeerAddress>& seeds) {
  for (const PeerAddress& seed : seeds) {
    if (Member* member = Add(seed)) {
      member->is_seed = true;
    }
  }
}

void Membership::LearnOwners(const FleetConfig& config) {
  for (auto& [address, member] : members_) {
    member.is_owner = false;
    member.is_fellow_owner = false;
  }
  for (const auto& [name, service] : config.services) {
    const auto& servers = service.backend_servers;
    const bool is_ours =
        std::any_of(servers.begin(), servers.end(),
                    [this](const auto& each) { return each.owner == self_; });
    for (const BackendServer& server : servers) {
      Member* member = Add(server.owner);
      if (member == nullptr) {
        continue;
      }
      member->is_owner = true;
      member->is_fellow_owner = member->is_fellow_owner || is_ours;
      if (!member->is_placed && !member->is_listed) {
        member->data_centre = server.data_centre;
      }
    }
  }
}

void Membership::LearnInstances(const std::vector<ListedInstance>& instances) {
  for (auto& [address, member] : members_) {
    member.is_listed = false;
    member.is_leaving = false;
  }
  for (const ListedInstance& listed : instances) {
    Member* member = Add(listed.peer_address);
    if (member == nullptr) {
      continue;
    }
    member->is_listed = true;
    member->is_leaving = listed.state == InstanceState::kLeaving;
    if (!member->is_placed) {
      member->data_centre = listed.data_centre;
    }
  }
}

bool Membership::OnProbe(const ConfigProbe& probe, TimePoint now) {
  Member* member = Add(probe.sender);
  return member != nullptr &&
         Meet(*member, probe.incarnation, probe.data_centre, now);
}

void Membership::OnReply(const PeerAddress& peer,
                         const ConfigProbeReply& reply,
                         TimePoint now) {
  Member* member = Add(peer);
  if (member == nullptr ||
      !Meet(*member, reply.incarnation, reply.data_centre, now)) {
    return;
  }
  member->is_reached = true;
  member->failures_in_row = 0;
  member->is_platform_reached = reply.is_platform_reached;
}

void Membership::OnFailure(const PeerAddress& peer) {
  const auto found = members_.find(peer);
  if (found != members_.end()) {
    ++found->second.failures_in_row;
  }
}

void Membership::Expire(TimePoint now) {
  std::erase_if(members_, [now](const auto& each) {
    const Member& member = each.second;
    return !member.IsNamed() && now - member.heard > kSilenceUntilForgotten;
  });
}

bool Membership::ShouldWatch() const {
  std::size_t alive = 0;
  std::size_t watching = 0;
  for (const Ahead& ahead : GetAhead()) {
    if (ahead.member->IsSuspected()) {
      continue;
    }
    ++alive;
    watching += ahead.member->is_platform_reached ? 1 : 0;
  }
  return alive < kWatchersPerDataCentre ||
         (alive < kMostWatchersPerDataCentre &&
          watching < kWatchersPerDataCentre);
}

std::vector<PeerAddress> Membership::GetMonitored(
    std::mt19937_64& random) const {
  std::vector<PeerAddress> alive;
  std::vector<PeerAddress> suspected;
  for (const Ahead& ahead : GetAhead()) {
    (ahead.member->IsSuspected() ? suspected : alive).push_back(*ahead.address);
  }
  if (alive.size() >= kWatchersPerDataCentre + kSuccessors) {
    return {};
  }
  if (alive.size() > kMostWatchersPerDataCentre) {
    alive.resize(kMostWatchersPerDataCentre);
  }
  std::sample(suspected.begin(), suspected.end(), std::back_inserter(alive), 1,
              random);
  return alive;
}

std::vector<PeerAddress> Membership::Choose(std::size_t count,
                                            std::mt19937_64& random) {
  std::vector<PeerAddress> near;
  std::vector<PeerAddress> far;
  std::vector<PeerAddress> suspected;
  for (const auto& [address, member] : members_) {
    if (member.IsSuspected()) {
      suspected.push_back(address);
    } else {
      (member.data_centre == data_centre_ ? near : far).push_back(address);
    }
  }
  std::shuffle(near.begin(), near.end(), random);
  std::shuffle(far.begin(), far.end(), random);
  std::vector<PeerAddress> chosen;
  std::size_t from_near = 0;
  std::size_t from_far = 0;
  while (chosen.size() < count &&
         (from_near < near.size() || from_far < far.size())) {
    const bool takes_far =
        from_far < far.size() && (is_far_next_ || from_near == near.size());
    chosen.push_back(takes_far ? far[from_far++] : near[from_near++]);
    is_far_next_ = !is_far_next_;
  }
  const bool tries_suspected =
      chosen.empty() ||
      std::uniform_int_distribution<unsigned>(1, kSuspectedShare)(random) == 1;
  if (tries_suspected && !suspected.empty() && count > 0) {
    if (chosen.size() == count) {
      chosen.pop_back();
    }
    std::sample(suspected.begin(), suspected.end(), std::back_inserter(chosen),
                1, random);
  }
  return chosen;
}

PeerAddress Membership::ChooseUnheardFellow(std::mt19937_64& random) const {
  std::vector<PeerAddress> unheard;
  for (const auto& [address, member] : members_) {
    if (member.is_fellow_owner && !member.is_reached && !member.IsSuspected()) {
      unheard.push_back(address);
    }
  }
  std::vector<PeerAddress> chosen;
  std::sample(unheard.begin(), unheard.end(), std::back_inserter(chosen), 1,
              random);
  return chosen.empty() ? PeerAddress() : chosen.front();
}

bool Membership::IsSuspected(const PeerAddress& peer) const {
  const auto found = members_.find(peer);
  return found != members_.end() && found->second.IsSuspected();
}

bool Membership::IsReached(const PeerAddress& peer) const {
  const auto found = members_.find(peer);
  return found != members_.end() && found->second.is_reached &&
         !found->second.IsSuspected();
}

bool Membership::IsKnown(const PeerAddress& peer) const {
  return members_.contains(peer);
}

Membership::Counts Membership::GetCounts() const {
  Counts counts;
  counts.known = members_.size();
  for (const auto& [address, member] : members_) {
    counts.suspected += member.IsSuspected() ? 1 : 0;
    counts.reached += member.is_reached && !member.IsSuspected() ? 1 : 0;
    counts.leaving += member.is_leaving ? 1 : 0;
  }
  return counts;
}

bool Membership::Member::IsSuspected() const {
  return failures_in_row >= kFailuresUntilSuspected;
}

Membership::Member* Membership::Add(const PeerAddress& address) {
  if (address.empty() || address == self_) {
    return nullptr;
  }
  const auto [found, is_new] = members_.try_emplace(address);
  if (is_new) {
    found->second.watch_weight = RendezvousWeight(watch_key_, address);
  }
  return &found->second;
}

bool Membership::Meet(Member& member,
                      std::uint64_t incarnation,
                      const std::string& data_centre,
                      TimePoint now) {
  if (incarnation == member.replaced && incarnation != 0) {
    return false;
  }
  if (incarnation != member.incarnation) {
    member.replaced = member.incarnation;
    member.incarnation = incarnation;
    member.is_reached = false;
    member.is_platform_reached = true;
  }
  member.data_centre = data_centre;
  member.is_placed = true;
  member.heard = now;
  return true;
}

std::vector<Membership::Ahead> Membership::GetAhead() const {
  std::vector<Ahead> ahead;
  for (const auto& [address, member] : members_) {
    if (member.watch_weight > own_weight_ && !member.is_leaving &&
        member.data_centre == data_centre_) {
      ahead.push_back({&address, &member});
    }
  }
  std::sort(ahead.begin(), ahead.end(), [](const Ahead& a, const Ahead& b) {
    return a.member->watch_weight > b.member->watch_weight;
  });
  return ahead;
}

}  // namespace vanillafall
