#include "decision/peer_relative_evaluator.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// How long the failure ratio of a common fault is taken as the expected one.
constexpr milliseconds kToleranceTime{5000};
// How long a server without history waits for its first comparison.
constexpr milliseconds kFirstComparisonTime{3000};
// Hang age of a class that has no baseline, because too little of its work has
// succeeded on this server.
constexpr milliseconds kHangAgeWithoutHistory{2000};
// Bound on the slowness of one class in the mean over all classes, so that one
// class cannot outweigh all others.
constexpr double kMaxSlowness = 20.0;
// Work is reported to other servers as hung from this fraction of its hang age.
constexpr double kReportedHangFraction = 0.35;
// From so many failures in a row, a failure ratio of 1 is reported; fewer are
// reported in proportion.
constexpr double kReportedStreak = 4;
// Failures in a row count when their probability by chance is below this.
constexpr double kUnlikelyProbability = 1e-6;
// Lower bound of the probability that is assumed for a single failure.
constexpr double kMinFailureProbability = 0.01;
// Standard deviations of the failure ratio that are added to the margin to
// allow for chance.
constexpr double kSpreadFactor = 1.5;
// Each evaluation moves a baseline median by this part (1/256) of its
// difference from the recent median.
constexpr int kLearningDivisor = 256;
// A median above this multiple of its baseline is not learned.
constexpr int kMaxLearnedGrowth = 2;
// Each evaluation lowers the slowest latency of a baseline by this part
// (1/512).
constexpr int kDecayDivisor = 512;
// A class with fewer samples does not change its baseline.
constexpr std::uint32_t kMinSamplesToLearn = 5;

bool IsUnlikelyStreak(std::uint32_t streak,
                      const EvidenceThresholds& thresholds,
                      double failure_chance) {
  const double chance =
      std::pow(std::max(failure_chance, kMinFailureProbability), streak);
  return streak >= thresholds.failures_in_row && chance < kUnlikelyProbability;
}

std::string Format(const char* format, double first, double second) {
  char text[96];
  std::snprintf(text, sizeof(text), format, first, second);
  return text;
}

microseconds Scale(microseconds value, double factor) {
  return microseconds(
      std::llround(static_cast<double>(value.count()) * factor));
}

}  // namespace

PeerRelativeEvaluator::PeerRelativeEvaluator(
    const EvidenceThresholds& in_service,
    const EvidenceThresholds& on_probation)
    : in_service_(in_service), on_probation_(on_probation) {}

Evaluation PeerRelativeEvaluator::Evaluate(const Input& input, TimePoint now) {
  const EvidenceThresholds& thresholds = GetThresholds(input);
  const Finding history = CompareWithHistory(input, thresholds, now);
  if (!history.is_worse_than_expected) {
    worse_since_.reset();
    if (!input.on_probation) {
      Learn(input.window);
    }
    return {};
  }
  if (input.peers.size() == 0) {
    return {HealthVerdict::kSuspect,
            history.evidence + "; no other server to compare with"};
  }
  const Finding peers = CompareWithPeers(input, thresholds, now);
  if (!peers.is_worse_than_expected) {
    worse_since_.reset();
    AdoptPeerBaseline(input, now);
    return {};
  }
  if (!worse_since_) {
    worse_since_ = now;
  }
  const bool is_confirmed = now - *worse_since_ >= thresholds.confirmation_time;
  return {is_confirmed ? HealthVerdict::kUnhealthy : HealthVerdict::kSuspect,
          peers.evidence};
}

bool PeerRelativeEvaluator::IsInformative(const WorkSample& sample) const {
  return !sample.timed_out ||
         sample.latency >= GetHangAge(sample.request_class, in_service_);
}

double PeerRelativeEvaluator::GetReportedFailureRatio(const Input& input,
                                                      TimePoint now) const {
  const std::size_t running = input.window.running().size();
  const double hung =
      CountHung(input, GetThresholds(input), kReportedHangFraction, now);
  const double hung_ratio =
      running == 0 ? 0 : hung / static_cast<double>(running);
  const double streak = input.window.failures_in_row();
  const double streak_ratio =
      streak < 2 ? 0 : std::min(1.0, streak / kReportedStreak);
  return std::max({input.window.failure_ratio(), hung_ratio, streak_ratio});
}

std::uint32_t PeerRelativeEvaluator::CountHung(
    const Input& input,
    const EvidenceThresholds& thresholds,
    double fraction,
    TimePoint now) const {
  const auto& running = input.window.running();
  return static_cast<std::uint32_t>(
      std::count_if(running.begin(), running.end(), [&](const auto& entry) {
        const RunningWork& work = entry.second;
        return now - work.started >=
               Scale(GetHangAge(work.request_class, thresholds), fraction);
      }));
}

bool PeerRelativeEvaluator::IsStuck(const Input& input,
                                    const EvidenceThresholds& thresholds,
                                    TimePoint now) const {
  return 2 * CountHung(input, thresholds, 1, now) > input.slots;
}

microseconds PeerRelativeEvaluator::GetHangAge(
    const std::string& request_class,
    const EvidenceThresholds& thresholds) const {
  const auto found = baselines_.find(request_class);
  if (found == baselines_.end()) {
    return kHangAgeWithoutHistory;
  }
  const Baseline& baseline = found->second;
  return std::max({duration_cast<microseconds>(thresholds.hang_age),
                   Scale(baseline.median, thresholds.hang_median_factor),
                   Scale(baseline.slowest, thresholds.hang_slowest_factor)});
}

PeerRelativeEvaluator::Finding PeerRelativeEvaluator::CompareFailures(
    const Input& input,
    const EvidenceThresholds& thresholds,
    double expected,
    TimePoint now) const {
  if (IsStuck(input, thresholds, now) &&
      1 - expected >= thresholds.failure_margin) {
    return {true, Format("%.0f of %.0f slots hang",
                         CountHung(input, thresholds, 1, now), input.slots)};
  }
  const WorkWindow& window = input.window;
  if (IsUnlikelyStreak(window.failures_in_row(), thresholds, expected)) {
    return {true, Format("%.0f failures in a row, failure ratio expected %.2f",
                         window.failures_in_row(), expected)};
  }
  const bool is_enough = window.sample_count() >= thresholds.min_samples &&
                         window.failure_count() >= thresholds.min_failures;
  const double spread = std::sqrt(expected * (1 - expected) /
                                  std::max(1U, window.sample_count()));
  const double excess = window.failure_ratio() - expected;
  const bool is_worse =
      excess >= thresholds.failure_margin + kSpreadFactor * spread;
  return {is_enough && is_worse, Format("failure ratio %.2f, expected %.2f",
                                        window.failure_ratio(), expected)};
}

PeerRelativeEvaluator::Finding PeerRelativeEvaluator::CompareWithHistory(
    const Input& input,
    const EvidenceThresholds& thresholds,
    TimePoint now) {
  const double expected = now < tolerated_until_ ? tolerated_ratio_ : 0.0;
  Finding failures = CompareFailures(input, thresholds, expected, now);
  if (failures.is_worse_than_expected) {
    return failures;
  }
  if (NeedsFirstComparison(input, now)) {
    return {true, "it has no history yet"};
  }
  const Slowness slowness = GetSlowness(
      input, thresholds,
      [this](const std::string& name) -> std::optional<microseconds> {
        const auto found = baselines_.find(name);
        return found == baselines_.end() ? std::nullopt
                                         : std::optional(found->second.median);
      });
  return FindSlowness(slowness, thresholds, "its own history");
}

PeerRelativeEvaluator::Finding PeerRelativeEvaluator::CompareWithPeers(
    const Input& input,
    const EvidenceThresholds& thresholds,
    TimePoint now) const {
  Finding failures =
      CompareFailures(input, thresholds, input.peers.failure_ratio(), now);
  if (failures.is_worse_than_expected) {
    return failures;
  }
  const Slowness slowness =
      GetSlowness(input, thresholds, [&input](const std::string& name) {
        return input.peers.FindLatency(name);
      });
  return FindSlowness(slowness, thresholds, "the other servers");
}

template <typename ExpectedLatency>
PeerRelativeEvaluator::Slowness PeerRelativeEvaluator::GetSlowness(
    const Input& input,
    const EvidenceThresholds& thresholds,
    ExpectedLatency expected_latency) const {
  double sum = 0;
  std::uint32_t samples = 0;
  Slowness slowness;
  for (const ClassSummary& each : input.window.SummarizeClasses()) {
    const std::optional<microseconds> expected =
        expected_latency(each.request_class);
    if (!expected || each.samples < thresholds.min_class_samples) {
      continue;
    }
    const double ratio =
        static_cast<double>(each.median.count()) /
        static_cast<double>(std::max<std::int64_t>(1, expected->count()));
    const std::uint32_t weight = input.window.CountSamples(each.request_class);
    sum += std::min(ratio, kMaxSlowness) * weight;
    samples += weight;
    slowness.of_worst_class = std::max(slowness.of_worst_class, ratio);
  }
  slowness.mean = samples == 0 ? 0 : sum / samples;
  return slowness;
}

PeerRelativeEvaluator::Finding PeerRelativeEvaluator::FindSlowness(
    const Slowness& slowness,
    const EvidenceThresholds& thresholds,
    const char* reference) {
  const bool is_slow = slowness.mean >= thresholds.slow_factor ||
                       slowness.of_worst_class >= thresholds.slow_class_factor;
  return {is_slow, Format("mean latency is %.1f times, and worst class "
                          "latency %.1f times, that of ",
                          slowness.mean, slowness.of_worst_class) +
                       reference};
}

bool PeerRelativeEvaluator::NeedsFirstComparison(const Input& input,
                                                 TimePoint now) {
  const bool is_not_needed =
      has_compared_ || input.on_probation ||
      input.window.sample_count() < in_service_.min_samples;
  if (is_not_needed) {
    return false;
  }
  if (!first_comparison_until_) {
    first_comparison_until_ = now + kFirstComparisonTime;
  }
  has_compared_ = now >= *first_comparison_until_;
  return !has_compared_;
}

void PeerRelativeEvaluator::Learn(const WorkWindow& window) {
  for (const ClassSummary& each : window.SummarizeClasses()) {
    if (each.samples < kMinSamplesToLearn) {
      continue;
    }
    const auto [found, is_new] = baselines_.try_emplace(each.request_class);
    Baseline& baseline = found->second;
    if (is_new) {
      baseline = {each.median, each.slowest};
      continue;
    }
    baseline.slowest = std::max(
        each.slowest, baseline.slowest - baseline.slowest / kDecayDivisor);
    // A greater change is either a fault of this server, which is found by
    // comparison with the others, or a change of all servers, after which
    // AdoptPeerBaseline sets the baseline.
    if (each.median <= baseline.median * kMaxLearnedGrowth) {
      baseline.median += (each.median - baseline.median) / kLearningDivisor;
    }
  }
}

void PeerRelativeEvaluator::AdoptPeerBaseline(const Input& input,
                                              TimePoint now) {
  has_compared_ = true;
  tolerated_ratio_ = input.peers.failure_ratio();
  tolerated_until_ = now + kToleranceTime;
  for (const ClassSummary& each : input.window.SummarizeClasses()) {
    const auto latency = input.peers.FindLatency(each.request_class);
    if (latency && each.samples >= kMinSamplesToLearn) {
      Baseline& baseline = baselines_[each.request_class];
      baseline = {*latency, std::max(baseline.slowest, each.slowest)};
    }
  }
}

const EvidenceThresholds& PeerRelativeEvaluator::GetThresholds(
    const Input& input) const {
  return input.on_probation ? on_probation_ : in_service_;
}

}  // namespace vanillafall
