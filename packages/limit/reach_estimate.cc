#include "limit/reach_estimate.h"

#include <algorithm>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

// Together 16 probes per second, which cost about 1 KB/s.
constexpr milliseconds kProbePeriod{125};
constexpr std::size_t kProbesPerPeriod = 2;
// Probes at the start, so that the estimate is there one round trip later.
constexpr std::size_t kFirstProbes = 10;
constexpr std::size_t kMinSamples = 8;
// Samples of 1.25 s: the time after which a cut shows in full.
constexpr std::size_t kMaxSamples = 20;
// A reply can be behind a large message on a link of 13 Mbit/s: one of 400 KB
// takes 250 ms.
constexpr milliseconds kProbeTimeout{300};
// Minimum time between two probes of one daemon that is not probed at random.
constexpr milliseconds kDirectProbePeriod{300};
// Probes go on for this time after the last use.
constexpr milliseconds kUseTime{3000};
// A daemon that replied within this time is alive, unless it is suspected.
constexpr milliseconds kAliveTime{1000};
// If half of the last samples were lost, only these count. A cut of most of the
// fleet then shows after half a second. With a tenth of the fleet down, this
// happens by chance in 0.5% of the cases.
constexpr std::size_t kLastSamples = 8;
constexpr std::size_t kManyMissed = 4;
// Up to this part of lost probes the whole limit may be given: some daemons are
// always down or restarting. Two sides of a cut are together at most a tenth
// above the limit then.
constexpr double kMaxMissedPart = 0.1;
// Daemons that have left the list count as not reached for this time, and
// lists that were replaced longer ago are forgotten.
constexpr std::chrono::seconds kDelistedTime{30};
// Limits memory; far more changes of the list than a restart of the fleet makes
// in that time.
constexpr std::size_t kMaxFormerSizes = 256;
// A daemon that reaches neither the source nor the whole fleet is probably on
// the smaller side of a cut, and the other side has removed it from its list
// and counts it no longer, kDelistedTime later. What this side gives then has
// to fit into the tolerance of the bound.
constexpr std::chrono::seconds kOldListTime{20};
constexpr double kOldListShare = 0.25;
// Safety factor for the error of the estimate.
constexpr double kPartialShare = 0.8;
// Share while nothing is known.
constexpr double kUnknownShare = 0.25;

}  // namespace

ReachEstimate::ReachEstimate(PeerAddress self, std::uint64_t seed)
    : self_(std::move(self)), random_(seed) {}

void ReachEstimate::SetDaemons(const std::vector<PeerAddress>& daemons,
                               TimePoint now) {
  while (!former_sizes_.empty() &&
         (now >= former_sizes_.front().replaced_at + kDelistedTime ||
          former_sizes_.size() >= kMaxFormerSizes)) {
    former_sizes_.pop_front();
  }
  former_sizes_.push_back({others_.size(), now});
  others_.clear();
  for (const PeerAddress& daemon : daemons) {
    if (daemon != self_) {
      others_.push_back(daemon);
    }
  }
  const auto is_gone = [&daemons](const auto& entry) {
    return !std::binary_search(daemons.begin(), daemons.end(), entry.first);
  };
  std::erase_if(contacts_, is_gone);
  std::erase_if(open_probes_, is_gone);
  std::shuffle(others_.begin(), others_.end(), random_);
  next_ = 0;
}

void ReachEstimate::Use(TimePoint now) {
  if (!is_in_use(now)) {
    ClearSamples();
    next_probe_at_ = now;
  }
  in_use_until_ = now + kUseTime;
}

std::vector<PeerAddress> ReachEstimate::TakeProbes(TimePoint now) {
  for (auto next = open_probes_.begin(); next != open_probes_.end();) {
    const auto open = next++;
    if (now >= open->second) {
      const PeerAddress daemon = open->first;
      OnLost(daemon);
    }
  }
  std::vector<PeerAddress> probes;
  if (!is_in_use(now)) {
    next_probe_at_ = TimePoint::max();
  }
  if (now < next_probe_at_) {
    return probes;
  }
  // Without other daemons the timer goes on: it shows a standstill.
  next_probe_at_ = now + kProbePeriod;
  const bool is_first = samples_.empty() && open_probes_.empty();
  const std::size_t wanted =
      std::min(is_first ? kFirstProbes : kProbesPerPeriod, others_.size());
  for (std::size_t i = 0; i < wanted; ++i) {
    const PeerAddress& daemon = others_[next_ % others_.size()];
    next_ = (next_ + 1) % others_.size();
    if (open_probes_.emplace(daemon, now + kProbeTimeout).second) {
      probes.push_back(daemon);
    }
  }
  return probes;
}

void ReachEstimate::OnHeard(const PeerAddress& daemon, TimePoint now) {
  Contact& contact = contacts_[daemon];
  contact.heard_at = now;
  contact.is_suspected = false;
  if (open_probes_.erase(daemon) > 0) {
    AddSample(true);
  }
}

void ReachEstimate::SetServing(const PeerAddress& daemon, bool is_serving) {
  contacts_[daemon].is_serving = is_serving;
}

void ReachEstimate::Suspect(const PeerAddress& daemon) {
  contacts_[daemon].is_suspected = true;
}

bool ReachEstimate::TryTakeProbe(const PeerAddress& daemon, TimePoint now) {
  std::optional<TimePoint>& probed_at = contacts_[daemon].probed_at;
  if (probed_at && now < *probed_at + kDirectProbePeriod) {
    return false;
  }
  probed_at = now;
  return true;
}

void ReachEstimate::OnLost(const PeerAddress& daemon) {
  Suspect(daemon);
  if (open_probes_.erase(daemon) > 0) {
    AddSample(false);
  }
}

void ReachEstimate::Reset() {
  contacts_.clear();
  ClearSamples();
}

void ReachEstimate::ClearSamples() {
  open_probes_.clear();
  samples_.clear();
  missed_ = 0;
}

void ReachEstimate::SetSourceReachable(bool is_reachable, TimePoint now) {
  if (is_reachable) {
    source_lost_at_.reset();
  } else if (!source_lost_at_) {
    source_lost_at_ = now;
  }
}

std::size_t ReachEstimate::FleetSize(TimePoint now) const {
  std::size_t others = others_.size();
  for (const FormerSize& former : former_sizes_) {
    if (now < former.replaced_at + kDelistedTime) {
      others = std::max(others, former.others);
    }
  }
  return others + 1;
}

double ReachEstimate::Share(TimePoint now) const {
  const double others = static_cast<double>(FleetSize(now) - 1);
  if (others == 0) {
    return 1;
  }
  if (samples_.size() < std::min(kMinSamples, others_.size())) {
    return kUnknownShare;
  }
  const auto last = static_cast<std::size_t>(std::count(
      samples_.end() -
          static_cast<std::ptrdiff_t>(std::min(kLastSamples, samples_.size())),
      samples_.end(), false));
  double missed = 0;
  if (last >= kManyMissed) {
    missed = static_cast<double>(last) / static_cast<double>(kLastSamples);
  } else if (!samples_.empty()) {
    missed =
        static_cast<double>(missed_) / static_cast<double>(samples_.size());
  }
  missed = 1 - (1 - missed) * static_cast<double>(others_.size()) / others;
  if (missed <= kMaxMissedPart) {
    return 1;
  }
  const double share =
      kPartialShare * (1 + others * (1 - missed)) / (1 + others);
  const bool is_list_old =
      source_lost_at_ && now >= *source_lost_at_ + kOldListTime;
  return is_list_old ? share * kOldListShare : share;
}

bool ReachEstimate::IsAvoided(const PeerAddress& daemon) const {
  const auto found = contacts_.find(daemon);
  return found != contacts_.end() &&
         (found->second.is_suspected || !found->second.is_serving);
}

bool ReachEstimate::IsAlive(const PeerAddress& daemon, TimePoint now) const {
  const auto found = contacts_.find(daemon);
  return !IsAvoided(daemon) && found != contacts_.end() &&
         found->second.heard_at && now <= *found->second.heard_at + kAliveTime;
}

std::optional<TimePoint> ReachEstimate::NextWake() const {
  if (next_probe_at_ == TimePoint::max()) {
    return std::nullopt;
  }
  return next_probe_at_;
}

void ReachEstimate::AddSample(bool has_replied) {
  samples_.push_back(has_replied);
  missed_ += has_replied ? 0 : 1;
  if (samples_.size() > kMaxSamples) {
    missed_ -= samples_.front() ? 0 : 1;
    samples_.pop_front();
  }
}

}  // namespace vanillafall
