#include "limit/credit_account.h"

#include <algorithm>
#include <cmath>

namespace vanillafall {
namespace {

using Seconds = std::chrono::duration<double>;

// The demand is averaged over about this time.
constexpr Seconds kDemandTime{1};
// Below this demand, in requests per second, most credits in advance would
// expire.
constexpr double kMinDemand = 3;
// Credits in advance cover the demand of this time.
constexpr Seconds kAdvanceTime{0.4};
// More credits are requested when those left cover less than this time.
constexpr Seconds kLowTime{0.1};
// Maximum time for which an unused own share accumulates.
constexpr std::chrono::seconds kOwnShareTime{5};

}  // namespace

void CreditAccount::Add(std::uint32_t count, TimePoint requested_at) {
  if (count == 0) {
    return;
  }
  const Credits added{count, requested_at + kCreditTime};
  credits_.insert(std::upper_bound(credits_.begin(), credits_.end(), added,
                                   [](const Credits& a, const Credits& b) {
                                     return a.expires_at < b.expires_at;
                                   }),
                  added);
}

bool CreditAccount::TryTake(TimePoint now) {
  DropExpired(now);
  if (credits_.empty()) {
    return false;
  }
  if (--credits_.front().count == 0) {
    credits_.erase(credits_.begin());
  }
  return true;
}

void CreditAccount::Return(TimePoint admitted_at, TimePoint now) {
  if (now < admitted_at + kReturnTime) {
    Add(1, admitted_at + kReturnTime - kCreditTime);
  }
}

std::uint32_t CreditAccount::Count(TimePoint now) {
  DropExpired(now);
  std::uint32_t count = 0;
  for (const Credits& credits : credits_) {
    count += credits.count;
  }
  return count;
}

void CreditAccount::OnArrival(TimePoint now) {
  demand_ = Demand(now) + 1 / kDemandTime.count();
  demand_at_ = now;
}

std::uint32_t CreditAccount::WantedInAdvance(TimePoint now) {
  const double demand = Demand(now);
  if (demand < kMinDemand) {
    return 0;
  }
  const auto wanted =
      static_cast<std::uint32_t>(std::ceil(demand * kAdvanceTime.count()));
  return wanted - std::min(wanted, Count(now));
}

bool CreditAccount::IsLow(TimePoint now) {
  const double demand = Demand(now);
  return demand >= kMinDemand && Count(now) < demand * kLowTime.count();
}

bool CreditAccount::TryTakeOwnShare(double per_second, TimePoint now) {
  const Duration unused = now - own_used_at_;
  own_used_at_ = now;
  if (unused > kOwnShareTime) {
    own_tokens_ = 0;
    return false;
  }
  own_tokens_ = std::min(std::max(1.0, per_second),
                         own_tokens_ + Seconds(unused).count() * per_second);
  if (own_tokens_ < 1) {
    return false;
  }
  own_tokens_ -= 1;
  return true;
}

double CreditAccount::Demand(TimePoint now) const {
  const Seconds elapsed = now - demand_at_;
  return demand_ * std::exp(-elapsed.count() / kDemandTime.count());
}

void CreditAccount::DropExpired(TimePoint now) {
  std::erase_if(credits_, [now](const Credits& credits) {
    return credits.expires_at <= now;
  });
}

}  // namespace vanillafall
