#ifndef DECISION_RETRY_BUDGET_H_
#define DECISION_RETRY_BUDGET_H_

#include "base/clock.h"

namespace vanillafall {

// Limits retries to kShare of the first tries, so that a total outage does not
// multiply the load. Each entry has one budget for each service.
//
// Each first try adds kShare of a retry to the budget. The part of the budget
// above kFloor halves every kHalfLife, so an idle service does not accumulate a
// burst of retries. The part up to kFloor does not decay and is there at the
// start, so that a service with little traffic can retry at all. Over any span
// of time, an entry therefore adds at most kShare of the first tries of that
// span and of those shortly before, and kFloor once.
class RetryBudget {
 public:
  static constexpr double kShare = 0.1;
  static constexpr double kFloor = 1.0;
  static constexpr std::chrono::seconds kHalfLife{2};

  // The arguments replace kShare and kFloor.
  explicit RetryBudget(double share = kShare, double floor = kFloor)
      : share_(share), floor_(floor), balance_(floor) {}

  // Counts a first try.
  void OnFirstTry(TimePoint now);

  // Takes retries that were made elsewhere and count for this service as well.
  // The budget may fall below zero and then allows no retry until first tries
  // have made up for it.
  void Charge(double retries, TimePoint now);

  // Whether that many retries may be taken now.
  bool HasRetries(double retries, TimePoint now);
  // Whether TryTake would succeed.
  bool HasRetry(TimePoint now) { return HasRetries(1.0, now); }

  // Takes one retry and returns true, or returns false when none is left.
  bool TryTake(TimePoint now);

 private:
  void Decay(TimePoint now);

  double share_;
  double floor_;
  // Retries that may be taken now.
  double balance_;
  TimePoint decayed_at_;
};

}  // namespace vanillafall

#endif  // DECISION_RETRY_BUDGET_H_
