#include "dispatch/health_filter.h"

#include <algorithm>
#include <cmath>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

// A failing phase lasts at least this long after its last failure. Therefore
// the estimate for a suspected server starts to decay only this long after the
// last result.
constexpr milliseconds kMinFailingPhase{3000};

// Probability of a result in the failing and in the healthy state.
struct Likelihood {
  double failing;
  double healthy;
};

constexpr double kFailsWhenFailing = 0.65;
// Fast failures of a healthy server are rare: its failures usually come after
// it has done the work.
constexpr double kFailsWhenHealthy = 0.002;
// Slow answers and slow failures: healthy servers have them too, but failing
// servers have them more often.
constexpr double kAmbiguousWhenFailing = 0.10;
constexpr double kAmbiguousWhenHealthy = 0.02;

Likelihood LikelihoodOf(HealthFilter::Evidence evidence) {
  switch (evidence) {
    case HealthFilter::Evidence::kSuccess:
      return {1 - kFailsWhenFailing, 1 - kFailsWhenHealthy};
    case HealthFilter::Evidence::kSlow:
    case HealthFilter::Evidence::kFailure:
      return {kAmbiguousWhenFailing, kAmbiguousWhenHealthy};
    case HealthFilter::Evidence::kFastFailure:
      return {kFailsWhenFailing, kFailsWhenHealthy};
  }
  return {1, 1};
}

// The estimate stays between 1 - kMaxFailingProbability and this. Closer to 0
// or 1, one result could outweigh all that follow.
constexpr double kMaxFailingProbability = 0.95;

}  // namespace

void HealthFilter::Add(Evidence evidence, TimePoint now) {
  const double before = FailingProbability(now);
  const Likelihood likelihood = LikelihoodOf(evidence);
  const double failing = before * likelihood.failing;
  const double healthy = (1 - before) * likelihood.healthy;
  failing_probability_ =
      std::clamp(failing / (failing + healthy), 1 - kMaxFailingProbability,
                 kMaxFailingProbability);
  updated_ = now;
}

void HealthFilter::Reset() {
  failing_probability_ = kPriorFailingProbability;
}

double HealthFilter::FailingProbability(TimePoint now) const {
  const std::chrono::duration<double> age = now - updated_;
  const bool waits_for_test =
      has_test_requests_ && failing_probability_ >= kSuspectThreshold;
  const std::chrono::duration<double> decay_time =
      waits_for_test ? kTestedDecayTime : kDecayTime;
  const std::chrono::duration<double> decay_delay =
      failing_probability_ >= kSuspectThreshold ? kMinFailingPhase
                                                : milliseconds(0);
  const double remaining =
      std::exp(-std::max(0.0, (age - decay_delay) / decay_time));
  return kPriorFailingProbability +
         (failing_probability_ - kPriorFailingProbability) * remaining;
}

double HealthFilter::FailureProbability(TimePoint now) const {
  const double failing = FailingProbability(now);
  return failing * kFailsWhenFailing + (1 - failing) * kFailsWhenHealthy;
}

bool HealthFilter::IsSuspect(TimePoint now) const {
  return FailingProbability(now) >= kSuspectThreshold;
}

}  // namespace vanillafall
