#include "limit/allocator_order.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

#include "base/hash.h"

namespace vanillafall {

bool AllocatorOrder::SetMembers(const std::vector<LimitMember>& members,
                                TimePoint now) {
  if (members_ == members) {
    return false;
  }
  members_ = members;
  daemons_.clear();
  for (const LimitMember& member : members_) {
    daemons_.push_back(member.daemon);
  }
  std::sort(daemons_.begin(), daemons_.end());
  daemons_.erase(std::unique(daemons_.begin(), daemons_.end()), daemons_.end());
  next_change_ = TimePoint::min();
  Update(now);
  return true;
}

bool AllocatorOrder::Update(TimePoint now) {
  if (now < next_change_) {
    return false;
  }
  next_change_ = TimePoint::max();
  std::vector<PeerAddress> ready;
  std::vector<PeerAddress> established;
  for (const LimitMember& member : members_) {
    if (member.is_leaving) {
      continue;
    }
    ready.push_back(member.daemon);
    const TimePoint from =
        TimePoint(member.started_at - unix_offset_ + Duration(kMinAge));
    if (member.started_at.count() == 0 || now >= from) {
      established.push_back(member.daemon);
    } else {
      next_change_ = std::min(next_change_, from);
    }
  }
  // In a fleet that has just started, few daemons would be the allocators of
  // all limits, and each further one would change the order.
  std::vector<PeerAddress> candidates = 2 * established.size() > ready.size()
                                            ? std::move(established)
                                            : std::move(ready);
  if (candidates.empty()) {
    candidates = daemons_;
  }
  std::sort(candidates.begin(), candidates.end());
  candidates.erase(std::unique(candidates.begin(), candidates.end()),
                   candidates.end());
  if (candidates == candidates_) {
    return false;
  }
  if (known_since_ == TimePoint::max()) {
    known_since_ = now;
  }
  std::erase_if(former_, [now](const FormerCandidate& former) {
    return former.left_at + kMemory < now;
  });
  for (const PeerAddress& daemon : candidates_) {
    if (!std::binary_search(candidates.begin(), candidates.end(), daemon)) {
      former_.push_back({daemon, now});
    }
  }
  if (!std::binary_search(candidates.begin(), candidates.end(), self_)) {
    joined_at_.reset();
  } else if (!joined_at_) {
    joined_at_ = now;
  }
  candidates_ = std::move(candidates);
  ++epoch_;
  return true;
}

std::vector<PeerAddress> AllocatorOrder::Find(std::string_view limit) const {
  const Hash128 key = HashParts({limit});
  std::vector<std::pair<std::uint64_t, const PeerAddress*>> weighted;
  weighted.reserve(candidates_.size());
  for (const PeerAddress& daemon : candidates_) {
    weighted.emplace_back(RendezvousWeight(key, daemon), &daemon);
  }
  const std::size_t count = std::min(kMaxCandidates, weighted.size());
  std::partial_sort(weighted.begin(),
                    weighted.begin() + static_cast<std::ptrdiff_t>(count),
                    weighted.end(), std::greater<>());
  std::vector<PeerAddress> found;
  for (std::size_t i = 0; i < count; ++i) {
    found.push_back(*weighted[i].second);
  }
  return found;
}

bool AllocatorOrder::IsFirstSince(std::string_view limit,
                                  TimePoint since) const {
  if (since < known_since_ || !joined_at_ || *joined_at_ > since) {
    return false;
  }
  const Hash128 key = HashParts({limit});
  const std::uint64_t own = RendezvousWeight(key, self_);
  return std::none_of(candidates_.begin(), candidates_.end(),
                      [&](const PeerAddress& candidate) {
                        return RendezvousWeight(key, candidate) > own;
                      }) &&
         std::none_of(former_.begin(), former_.end(),
                      [&](const FormerCandidate& former) {
                        return former.left_at > since &&
                               RendezvousWeight(key, former.daemon) > own;
                      });
}

std::vector<PeerAddress> AllocatorOrder::FindRivals(std::string_view limit,
                                                    const PeerAddress& daemon,
                                                    TimePoint now) const {
  const Hash128 key = HashParts({limit});
  const std::uint64_t own = RendezvousWeight(key, daemon);
  std::map<std::uint64_t, PeerAddress, std::greater<>> rivals;
  const auto include = [&](const PeerAddress& candidate) {
    const std::uint64_t weight = RendezvousWeight(key, candidate);
    if (weight > own) {
      rivals.emplace(weight, candidate);
    }
  };
  std::for_each(candidates_.begin(), candidates_.end(), include);
  for (const FormerCandidate& former : former_) {
    if (now < former.left_at + kMemory) {
      include(former.daemon);
    }
  }
  std::vector<PeerAddress> found;
  for (const auto& [weight, rival] : rivals) {
    if (found.size() < 2 * kMaxCandidates) {
      found.push_back(rival);
    }
  }
  return found;
}

}  // namespace vanillafall
