#ifndef LIMIT_CREDIT_ACCOUNT_H_
#define LIMIT_CREDIT_ACCOUNT_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "base/clock.h"

namespace vanillafall {

// The credits that one daemon has of one limit, and its demand for more. Each
// credit is spent at most once and expires soon, so that the requests that run
// in a span of time are at most a little more than the credits given in it.
class CreditAccount {
 public:
  // Credits expire this time after they were requested.
  static constexpr std::chrono::milliseconds kCreditTime{500};
  // The credit of a request that did not run can be used again until this time
  // after it was spent.
  static constexpr std::chrono::milliseconds kReturnTime{1000};

  // Credits that were requested at this time.
  void Add(std::uint32_t count, TimePoint requested_at);
  // Spends a credit; false when there is none.
  bool TryTake(TimePoint now);
  // The request that was admitted at this time has not run and never will.
  void Return(TimePoint admitted_at, TimePoint now);
  std::uint32_t Count(TimePoint now);

  // A request has arrived; counts toward the demand.
  void OnArrival(TimePoint now);
  // Credits to request in advance; 0 while requests come rarely.
  std::uint32_t WantedInAdvance(TimePoint now);
  // Whether so few credits are left that more should be requested.
  bool IsLow(TimePoint now);

  // Spends from this daemon's equal share of the limit, which counts while no
  // allocator can be reached. The share is empty at the start.
  bool TryTakeOwnShare(double per_second, TimePoint now);

 private:
  struct Credits {
    std::uint32_t count = 0;
    TimePoint expires_at;
  };

  // Requests per second, lately.
  double Demand(TimePoint now) const;
  void DropExpired(TimePoint now);

  // The first to expire comes first.
  std::vector<Credits> credits_;
  double demand_ = 0;
  TimePoint demand_at_;
  double own_tokens_ = 0;
  TimePoint own_used_at_;
};

}  // namespace vanillafall

#endif  // LIMIT_CREDIT_ACCOUNT_H_
