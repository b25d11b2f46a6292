#include "decision/lease_collector.h"

#include <algorithm>

#include "base/hash.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kSpareLeases = 2;
// Fewer servers than this are no good comparison.
constexpr std::size_t kLeastCompared = 4;
constexpr milliseconds kFirstInterval{100};
// A server that collects in vain asks ever more rarely, down to this.
constexpr std::uint32_t kMostDoublings = 3;
constexpr milliseconds kSilence{90};
// A lease is renewed when less than this is left of it.
constexpr milliseconds kRenewalTime = kLongestLease / 2;

}  // namespace

void LeaseCollector::Configure(const EjectionCell& cell) {
  leases_needed_ = cell.leases_needed;
  order_ = cell.others;
  const Hash128 key = HashParts({server_});
  std::sort(order_.begin(), order_.end(),
            [&key](const std::string& a, const std::string& b) {
              return RendezvousWeight(key, a) > RendezvousWeight(key, b);
            });
  std::map<std::string, Grantor> kept;
  for (const std::string& each : order_) {
    kept[each] = grantors_[each];
  }
  grantors_ = std::move(kept);
}

std::vector<std::string> LeaseCollector::TakeDue(Aim aim,
                                                 const LeaseBook& book,
                                                 TimePoint now) {
  std::vector<std::string> candidates = order_;
  const auto unwilling = std::stable_partition(
      candidates.begin(), candidates.end(),
      [this, now](const std::string& each) { return IsWilling(each, now); });
  std::stable_partition(
      candidates.begin(), unwilling,
      [&book, now](const std::string& each) { return now < book.EndOf(each); });
  candidates.resize(std::min(candidates.size(), CountWanted()));
  std::erase_if(candidates, [&](const std::string& each) {
    return !IsDue(aim, each, book, now);
  });
  for (const std::string& each : candidates) {
    Grantor& grantor = grantors_.at(each);
    grantor.asked = now;
    grantor.asked_for = aim;
    grantor.has_answered = false;
  }
  rounds_ += !candidates.empty() && aim != Aim::kRenew ? 1 : 0;
  return candidates;
}

void LeaseCollector::OnAnswer(const std::string& grantor, bool granted) {
  const auto found = grantors_.find(grantor);
  if (found != grantors_.end()) {
    found->second.has_answered = true;
    found->second.is_willing = granted;
  }
}

void LeaseCollector::Rest() {
  rounds_ = 0;
}

bool LeaseCollector::IsWilling(const std::string& grantor,
                               TimePoint now) const {
  const Grantor& known = grantors_.at(grantor);
  const bool is_silent = !known.has_answered && now - known.asked >= kSilence;
  return known.is_willing && !is_silent;
}

std::size_t LeaseCollector::CountWanted() const {
  return std::max(leases_needed_ + kSpareLeases, kLeastCompared);
}

bool LeaseCollector::IsDue(Aim aim,
                           const std::string& grantor,
                           const LeaseBook& book,
                           TimePoint now) const {
  const Grantor& known = grantors_.at(grantor);
  const bool wants_more =
      aim == Aim::kCollect && known.asked_for == Aim::kCompare;
  if (!wants_more && now - known.asked < GetInterval(aim)) {
    return false;
  }
  return aim != Aim::kRenew || book.EndOf(grantor) - now < kRenewalTime;
}

milliseconds LeaseCollector::GetInterval(Aim aim) const {
  const std::uint32_t doublings =
      aim == Aim::kRenew ? 0 : std::min(rounds_ / 4, kMostDoublings);
  return kFirstInterval * (1U << doublings);
}

}  // namespace vanillafall
