#ifndef DISPATCH_HEALTH_FILTER_H_
#define DISPATCH_HEALTH_FILTER_H_

#include "base/clock.h"

namespace vanillafall {

// Estimates from the results of real requests whether a backend server is in a
// failing phase, in which it fails part of its requests. A Bayes filter with
// two states, failing and healthy: each result updates the probability of the
// failing state. Without results the estimate decays to the prior probability,
// because failing phases end by themselves. The estimate of a suspected server
// decays more slowly while there are requests to test it with: these show
// sooner that the phase is over, and since they can be repeated elsewhere, a
// failed test costs no caller its answer.
class HealthFilter {
 public:
  // Result of one request, as evidence for or against a failing phase.
  enum class Evidence {
    kSuccess,
    // The request takes much longer than requests of its route usually do.
    kSlow,
    // The request failed after about the usual processing time: the cause is
    // probably the request itself or a service that it called.
    kFailure,
    // The request failed long before the usual processing time, or without an
    // answer.
    kFastFailure,
  };

  // A backend server is suspected when the probability that it is in a failing
  // phase is at least this.
  static constexpr double kSuspectThreshold = 0.5;

  void Add(Evidence evidence, TimePoint now);
  // Whether there are requests that may test the server if it is suspected.
  void SetHasTestRequests(bool has_test_requests) {
    has_test_requests_ = has_test_requests;
  }
  // Returns to the prior probability, because a new process of the backend
  // server has no results yet.
  void Reset();

  // Probability that the backend server is in a failing phase.
  double FailingProbability(TimePoint now) const;
  // Probability that the next request fails.
  double FailureProbability(TimePoint now) const;
  bool IsSuspect(TimePoint now) const;

 private:
  // Share of time that servers usually spend in failing phases.
  static constexpr double kPriorFailingProbability = 0.12;
  // Time constants of the decay to the prior. Failing phases last from several
  // seconds to half a minute.
  static constexpr std::chrono::milliseconds kDecayTime{4000};
  // The same for a suspected server while there are requests to test it with.
  static constexpr std::chrono::milliseconds kTestedDecayTime{20'000};

  // The estimate at the time updated_.
  double failing_probability_ = kPriorFailingProbability;
  bool has_test_requests_ = false;
  TimePoint updated_;
};

}  // namespace vanillafall

#endif  // DISPATCH_HEALTH_FILTER_H_
