#include "control/membership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace vanillafall {
namespace {

constexpr std::size_t kWatchersPerDataCentre = 2;
// Maximum number of watchers while some of the first watchers don't reach the
// platform.
constexpr std::size_t kMaxWatchersPerDataCentre = 4;
// Number of daemons, next in order after the watchers, that probe the daemons
// ahead of them, to take over when one fails.
constexpr std::size_t kSuccessors = 4;
constexpr std::uint32_t kFailuresUntilSuspected = 2;
constexpr std::chrono::seconds kSilenceUntilRemoved{60};
// One choice in this many includes a suspected member.
constexpr unsigned kDrawsPerSuspected = 8;

}  // namespace

Membership::Membership(PeerAddress self, std::string data_centre)
    : self_(std::move(self)),
      data_centre_(std::move(data_centre)),
      watch_key_(HashParts({"watch", data_centre_})),
      own_watch_weight_(RendezvousWeight(watch_key_, self_)) {}

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
    member.is_co_owner = false;
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
      member->is_co_owner = member->is_co_owner || is_ours;
      if (!member->has_reported_data_centre && !member->is_listed) {
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
    if (!member->has_reported_data_centre) {
      member->data_centre = listed.data_centre;
    }
  }
}

bool Membership::OnProbe(const ConfigProbe& probe, TimePoint now) {
  Member* member = Add(probe.sender);
  return member != nullptr &&
         RecordContact(*member, probe.incarnation, probe.data_centre, now);
}

void Membership::OnReply(const PeerAddress& peer,
                         const ConfigProbeReply& reply,
                         TimePoint now) {
  Member* member = Add(peer);
  if (member == nullptr ||
      !RecordContact(*member, reply.incarnation, reply.data_centre, now)) {
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
    return !member.HasSource() &&
           now - member.last_received > kSilenceUntilRemoved;
  });
}

bool Membership::ShouldWatch() const {
  std::size_t alive = 0;
  std::size_t watching = 0;
  for (const RankedMember& ahead : GetMembersAhead()) {
    if (ahead.member->IsSuspected()) {
      continue;
    }
    ++alive;
    watching += ahead.member->is_platform_reached ? 1 : 0;
  }
  return alive < kWatchersPerDataCentre || (alive < kMaxWatchersPerDataCentre &&
                                            watching < kWatchersPerDataCentre);
}

std::vector<PeerAddress> Membership::GetMonitored(
    std::mt19937_64& random) const {
  std::vector<PeerAddress> alive;
  std::vector<PeerAddress> suspected;
  for (const RankedMember& ahead : GetMembersAhead()) {
    (ahead.member->IsSuspected() ? suspected : alive).push_back(*ahead.address);
  }
  if (alive.size() >= kWatchersPerDataCentre + kSuccessors) {
    return {};
  }
  if (alive.size() > kMaxWatchersPerDataCentre) {
    alive.resize(kMaxWatchersPerDataCentre);
  }
  std::sample(suspected.begin(), suspected.end(), std::back_inserter(alive), 1,
              random);
  return alive;
}

std::vector<PeerAddress> Membership::Choose(std::size_t count,
                                            std::mt19937_64& random) {
  std::vector<PeerAddress> local;
  std::vector<PeerAddress> remote;
  std::vector<PeerAddress> suspected;
  for (const auto& [address, member] : members_) {
    if (member.IsSuspected()) {
      suspected.push_back(address);
    } else {
      (member.data_centre == data_centre_ ? local : remote).push_back(address);
    }
  }
  std::shuffle(local.begin(), local.end(), random);
  std::shuffle(remote.begin(), remote.end(), random);
  std::vector<PeerAddress> chosen;
  std::size_t next_local = 0;
  std::size_t next_remote = 0;
  while (chosen.size() < count &&
         (next_local < local.size() || next_remote < remote.size())) {
    const bool takes_remote = next_remote < remote.size() &&
                              (is_remote_next_ || next_local == local.size());
    chosen.push_back(takes_remote ? remote[next_remote++]
                                  : local[next_local++]);
    is_remote_next_ = !is_remote_next_;
  }
  const bool tries_suspected =
      chosen.empty() || std::uniform_int_distribution<unsigned>(
                            1, kDrawsPerSuspected)(random) == 1;
  if (tries_suspected && !suspected.empty() && count > 0) {
    if (chosen.size() == count) {
      chosen.pop_back();
    }
    std::sample(suspected.begin(), suspected.end(), std::back_inserter(chosen),
                1, random);
  }
  return chosen;
}

PeerAddress Membership::ChooseUnreachedCoOwner(std::mt19937_64& random) const {
  std::vector<PeerAddress> unreached;
  for (const auto& [address, member] : members_) {
    if (member.is_co_owner && !member.is_reached && !member.IsSuspected()) {
      unreached.push_back(address);
    }
  }
  std::vector<PeerAddress> chosen;
  std::sample(unreached.begin(), unreached.end(), std::back_inserter(chosen), 1,
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

bool Membership::RecordContact(Member& member,
                               std::uint64_t incarnation,
                               const std::string& data_centre,
                               TimePoint now) {
  if (incarnation == member.replaced_incarnation && incarnation != 0) {
    return false;
  }
  if (incarnation != member.incarnation) {
    member.replaced_incarnation = member.incarnation;
    member.incarnation = incarnation;
    member.is_reached = false;
    member.is_platform_reached = true;
  }
  member.data_centre = data_centre;
  member.has_reported_data_centre = true;
  member.last_received = now;
  return true;
}

std::vector<Membership::RankedMember> Membership::GetMembersAhead() const {
  std::vector<RankedMember> ahead;
  for (const auto& [address, member] : members_) {
    if (member.watch_weight > own_watch_weight_ && !member.is_leaving &&
        member.data_centre == data_centre_) {
      ahead.push_back({&address, &member});
    }
  }
  std::sort(ahead.begin(), ahead.end(),
            [](const RankedMember& a, const RankedMember& b) {
              return a.member->watch_weight > b.member->watch_weight;
            });
  return ahead;
}

}  // namespace vanillafall
