#ifndef DECISION_RETRY_BUDGET_H_
#define DECISION_RETRY_BUDGET_H_

#include "base/clock.h"

namespace vanillafall {

// Holds retries to kShare of first tries, so that a total outage does not
// multiply load. One budget for each service and entry.
//
// Each first try earns kShare of a retry. What is earned and not used is lost
// within a few kHalfLife, so an idle service saves up no burst. kFloor retries
// are kept for ever once earned, and are there at the start, so that a service
// with little traffic can retry at all. Over any span, an entry therefore adds
// at most kShare of the first tries of that span and of those shortly before,
// and kFloor once.
class RetryBudget {
 public:
  static constexpr double kShare = 0.1;
  static constexpr double kFloor = 1.0;
  static constexpr std::chrono::seconds kHalfLife{2};

  // The share and the floor stand for kShare and kFloor.
  explicit RetryBudget(double share = kShare, double floor = kFloor)
      : share_(share), floor_(floor), balance_(floor) {}

  // Counts a first try.
  void OnFirstTry(TimePoint now);

  // Whether TryTake would succeed.
  bool HasRetry(TimePoint now);

  // Takes one retry and returns true, or returns false when none is left.
  bool TryTake(TimePoint now);

 private:
  void Decay(TimePoint now);

  double share_;
  double floor_;
  double balance_;
  TimePoint decayed_at_;
};

}  // namespace vanillafall

#endif  // DECISION_RETRY_BUDGET_H_
