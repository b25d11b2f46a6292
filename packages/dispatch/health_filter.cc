#include "dispatch/health_filter.h"

#include <algorithm>
#include <cmath>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

// A failing phase is not over before this time after its last failure.
constexpr milliseconds kMinFailingPhase{3000};

// How often each result comes in a failing phase and in a sound one.
struct Likelihood {
  double failing;
  double healthy;
};

constexpr double kFailsWhenFailing = 0.65;
// A sound server fails at its usual rate too, but after doing the work.
constexpr double kFailsWhenHealthy = 0.002;
// Results that sound servers give too, but failing ones more often.
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

// Keeps one result from outweighing all that follow.
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
