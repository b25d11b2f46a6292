#ifndef DECISION_RETRY_BUDGET_H_
#define DECISION_RETRY_BUDGET_H_

namespace vanillafall {

// Holds retries to a share of first tries, so that a total outage does not
// multiply load. One budget for each service and entry.
class RetryBudget {
 public:
  // Counts a first try; each earns a part of a retry.
  void OnFirstTry();

  // Takes one retry and returns true, or returns false when none is left.
  bool TryTake();

 private:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kMostSaved = 10.0;

  double saved_ = kMostSaved;
};

}  // namespace vanillafall

#endif  // DECISION_RETRY_BUDGET_H_
