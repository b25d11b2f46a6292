#include "decision/lease_collector.h"

#include <algorithm>

#include "base/hash.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

// Leases to request beyond those that are needed.
constexpr std::size_t kSpareLeases = 2;
// Minimum number of servers to send requests to, because a comparison with
// fewer is unreliable.
constexpr std::size_t kMinServersToCompare = 4;
constexpr milliseconds kInitialInterval{100};
// While the needed leases are not obtained, the interval between requests
// doubles after every fourth round, up to so many times.
constexpr std::uint32_t kMaxDoublings = 3;
// A server that has not answered for this long counts as refusing.
constexpr milliseconds kReplyTimeout{90};
// A lease is renewed when less than this time is left of it.
constexpr milliseconds kRenewalThreshold = kMaxLeaseDuration / 2;

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

std::vector<std::string> LeaseCollector::TakeDueServers(Purpose purpose,
                                                        const LeaseBook& book,
                                                        TimePoint now) {
  std::vector<std::string> candidates = order_;
  const auto first_refusing =
      std::stable_partition(candidates.begin(), candidates.end(),
                            [this, now](const std::string& each) {
                              return AcceptsRequests(each, now);
                            });
  std::stable_partition(candidates.begin(), first_refusing,
                        [&book, now](const std::string& each) {
                          return now < book.GetHeldUntil(each);
                        });
  candidates.resize(std::min(candidates.size(), CountWanted()));
  std::erase_if(candidates, [&](const std::string& each) {
    return !IsDue(purpose, each, book, now);
  });
  for (const std::string& each : candidates) {
    Grantor& grantor = grantors_.at(each);
    grantor.last_request = now;
    grantor.last_purpose = purpose;
    grantor.has_answered = false;
  }
  rounds_ += !candidates.empty() && purpose != Purpose::kRenew ? 1 : 0;
  return candidates;
}

void LeaseCollector::OnAnswer(const std::string& grantor, bool granted) {
  const auto found = grantors_.find(grantor);
  if (found != grantors_.end()) {
    found->second.has_answered = true;
    found->second.accepts_requests = granted;
  }
}

void LeaseCollector::ResetBackoff() {
  rounds_ = 0;
}

bool LeaseCollector::AcceptsRequests(const std::string& grantor,
                                     TimePoint now) const {
  const Grantor& known = grantors_.at(grantor);
  const bool has_timed_out =
      !known.has_answered && now - known.last_request >= kReplyTimeout;
  return known.accepts_requests && !has_timed_out;
}

std::size_t LeaseCollector::CountWanted() const {
  return std::max(leases_needed_ + kSpareLeases, kMinServersToCompare);
}

bool LeaseCollector::IsDue(Purpose purpose,
                           const std::string& grantor,
                           const LeaseBook& book,
                           TimePoint now) const {
  const Grantor& known = grantors_.at(grantor);
  const bool needs_leases_now =
      purpose == Purpose::kCollect && known.last_purpose == Purpose::kCompare;
  if (!needs_leases_now && now - known.last_request < GetInterval(purpose)) {
    return false;
  }
  return purpose != Purpose::kRenew ||
         book.GetHeldUntil(grantor) - now < kRenewalThreshold;
}

milliseconds LeaseCollector::GetInterval(Purpose purpose) const {
  const std::uint32_t doublings =
      purpose == Purpose::kRenew ? 0 : std::min(rounds_ / 4, kMaxDoublings);
  return kInitialInterval * (1U << doublings);
}

}  // namespace vanillafall
