#include "dispatch/health_filter.h"

#include <algorithm>
#include <cmath>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

// A failing phase is not over before this time after its last failure.
constexpr milliseconds kLeastPhase{3000};

// How often each result comes in a failing phase and in a sound one.
struct Likelihood {
  double failing;
  double sound;
};

constexpr double kFailsWhenFailing = 0.65;
// A sound server fails at its usual rate too, but after doing the work.
constexpr double kFailsWhenSound = 0.002;
// Results that sound servers give too, but failing ones more often.
constexpr double kOddWhenFailing = 0.10;
constexpr double kOddWhenSound = 0.02;

Likelihood LikelihoodOf(HealthFilter::Evidence evidence) {
  switch (evidence) {
    case HealthFilter::Evidence::kSuccess:
      return {1 - kFailsWhenFailing, 1 - kFailsWhenSound};
    case HealthFilter::Evidence::kSlow:
    case HealthFilter::Evidence::kFailure:
      return {kOddWhenFailing, kOddWhenSound};
    case HealthFilter::Evidence::kFastFailure:
      return {kFailsWhenFailing, kFailsWhenSound};
  }
  return {1, 1};
}

// Keeps one result from outweighing all that follow.
constexpr double kMostCertain = 0.95;

}  // namespace

void HealthFilter::Add(Evidence evidence, TimePoint now) {
  const double before = FailingProbability(now);
  const Likelihood likelihood = LikelihoodOf(evidence);
  const double failing = before * likelihood.failing;
  const double sound = (1 - before) * likelihood.sound;
  failing_ =
      std::clamp(failing / (failing + sound), 1 - kMostCertain, kMostCertain);
  updated_ = now;
}

void HealthFilter::Reset() {
  failing_ = kUsual;
}

double HealthFilter::FailingProbability(TimePoint now) const {
  const std::chrono::duration<double> age = now - updated_;
  const bool waits_for_test = is_tested_ && failing_ >= kSuspectThreshold;
  const std::chrono::duration<double> memory =
      waits_for_test ? kTestedMemory : kMemory;
  const std::chrono::duration<double> hold =
      failing_ >= kSuspectThreshold ? kLeastPhase : milliseconds(0);
  const double kept = std::exp(-std::max(0.0, (age - hold) / memory));
  return kUsual + (failing_ - kUsual) * kept;
}

double HealthFilter::FailureProbability(TimePoint now) const {
  const double failing = FailingProbability(now);
  return failing * kFailsWhenFailing + (1 - failing) * kFailsWhenSound;
}

bool HealthFilter::IsSuspect(TimePoint now) const {
  return FailingProbability(now) >= kSuspectThreshold;
}

}  // namespace vanillafall
