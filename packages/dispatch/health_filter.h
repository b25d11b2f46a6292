#ifndef DISPATCH_HEALTH_FILTER_H_
#define DISPATCH_HEALTH_FILTER_H_

#include "base/clock.h"

namespace vanillafall {

// Estimates from the results of real requests whether a backend server is in a
// phase in which it fails part of them. A two-state Bayes filter: each result
// shifts the odds. Without results the estimate returns to what is usual,
// because such phases end by themselves; slowly while requests that may be
// repeated test a suspected server, since they tell sooner and harm nobody.
class HealthFilter {
 public:
  enum class Evidence {
    kSuccess,
    // Answered, but far later than work of its route takes.
    kSlow,
    // Failed after about the time that the work takes: likely a fault of the
    // request, or of what it called.
    kFailure,
    // Failed at once, without doing the work, or without an answer.
    kFastFailure,
  };

  // From this probability on a backend server is suspected.
  static constexpr double kSuspectThreshold = 0.5;

  void Add(Evidence evidence, TimePoint now);
  // Whether repeatable requests are at hand to test the server.
  void SetHasTestRequests(bool has_test_requests) {
    has_test_requests_ = has_test_requests;
  }
  // Forgets everything: another process serves now.
  void Reset();

  // Probability that the backend server is in a failing phase.
  double FailingProbability(TimePoint now) const;
  // Probability that the next request fails.
  double FailureProbability(TimePoint now) const;
  bool IsSuspect(TimePoint now) const;

 private:
  // Share of time that servers spend in failing phases.
  static constexpr double kPriorFailingProbability = 0.12;
  // Failing phases last from several seconds to half a minute.
  static constexpr std::chrono::milliseconds kDecayTime{4000};
  static constexpr std::chrono::milliseconds kTestedDecayTime{20'000};

  double failing_probability_ = kPriorFailingProbability;
  bool has_test_requests_ = false;
  TimePoint updated_;
};

}  // namespace vanillafall

#endif  // DISPATCH_HEALTH_FILTER_H_
