#include "decision/peer_relative_judge.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kExcuseLength{5000};
constexpr milliseconds kFirstComparisonTime{3000};
// A class that the server has never ended well has no usual latency.
constexpr milliseconds kHangAgeWithoutHistory{2000};
// One class cannot count for more than this, however slow it is.
constexpr double kMostSlowness = 20.0;
// A server tells others that work hangs from this part of the hang age.
constexpr double kToldHangPart = 0.35;
// So many failures in a row are told as nothing but failures.
constexpr double kToldRow = 4;
// A row of failures counts when chance brings it more rarely than this.
constexpr double kUnlikely = 1e-6;
constexpr double kLeastFailureChance = 0.01;
// Standard deviations of the failure ratio that chance may add.
constexpr double kSpreadFactor = 1.5;
constexpr int kLearningPart = 256;
constexpr int kMostChangeLearned = 2;
constexpr int kForgettingPart = 512;
constexpr std::uint32_t kLeastSamplesToLearn = 5;

bool IsUnlikelyRow(std::uint32_t row,
                   const EvidenceLimits& limits,
                   double failure_chance) {
  const double chance =
      std::pow(std::max(failure_chance, kLeastFailureChance), row);
  return row >= limits.failures_in_row && chance < kUnlikely;
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

PeerRelativeJudge::PeerRelativeJudge(const EvidenceLimits& in_service,
                                     const EvidenceLimits& on_probation)
    : in_service_(in_service), on_probation_(on_probation) {}

Judgement PeerRelativeJudge::Judge(const Case& examined, TimePoint now) {
  const EvidenceLimits& limits = LimitsOf(examined);
  const Finding history = CompareWithHistory(examined, limits, now);
  if (!history.is_bad) {
    worse_since_.reset();
    if (!examined.on_probation) {
      Learn(examined.window);
    }
    return {};
  }
  if (examined.peers.size() == 0) {
    return {Verdict::kSuspect, history.evidence + "; nothing to compare with"};
  }
  const Finding peers = CompareWithPeers(examined, limits, now);
  if (!peers.is_bad) {
    worse_since_.reset();
    Excuse(examined, now);
    return {};
  }
  if (!worse_since_) {
    worse_since_ = now;
  }
  const bool is_confirmed = now - *worse_since_ >= limits.confirmation;
  return {is_confirmed ? Verdict::kSick : Verdict::kSuspect, peers.evidence};
}

bool PeerRelativeJudge::IsTelling(const WorkSample& sample) const {
  return !sample.timed_out ||
         sample.latency >= GetHangAge(sample.request_class, in_service_);
}

double PeerRelativeJudge::GetToldFailureRatio(const Case& examined,
                                              TimePoint now) const {
  const std::size_t running = examined.window.running().size();
  const double hung =
      CountHung(examined, LimitsOf(examined), kToldHangPart, now);
  const double hung_part =
      running == 0 ? 0 : hung / static_cast<double>(running);
  const double row = examined.window.failures_in_row();
  const double row_part = row < 2 ? 0 : std::min(1.0, row / kToldRow);
  return std::max({examined.window.failure_ratio(), hung_part, row_part});
}

std::uint32_t PeerRelativeJudge::CountHung(const Case& examined,
                                           const EvidenceLimits& limits,
                                           double part,
                                           TimePoint now) const {
  const auto& running = examined.window.running();
  return static_cast<std::uint32_t>(
      std::count_if(running.begin(), running.end(), [&](const auto& entry) {
        const RunningWork& work = entry.second;
        return now - work.started >=
               Scale(GetHangAge(work.request_class, limits), part);
      }));
}

bool PeerRelativeJudge::IsStuck(const Case& examined,
                                const EvidenceLimits& limits,
                                TimePoint now) const {
  return 2 * CountHung(examined, limits, 1, now) > examined.slots;
}

microseconds PeerRelativeJudge::GetHangAge(const std::string& request_class,
                                           const EvidenceLimits& limits) const {
  const auto found = usual_.find(request_class);
  if (found == usual_.end()) {
    return kHangAgeWithoutHistory;
  }
  const Usual& usual = found->second;
  return std::max({duration_cast<microseconds>(limits.hang_age),
                   Scale(usual.median, limits.hang_median_factor),
                   Scale(usual.slowest, limits.hang_slowest_factor)});
}

PeerRelativeJudge::Finding PeerRelativeJudge::CompareFailures(
    const Case& examined,
    const EvidenceLimits& limits,
    double expected,
    TimePoint now) const {
  if (IsStuck(examined, limits, now) && 1 - expected >= limits.failure_margin) {
    return {true, Format("%.0f of %.0f slots hang",
                         CountHung(examined, limits, 1, now), examined.slots)};
  }
  const WorkWindow& window = examined.window;
  if (IsUnlikelyRow(window.failures_in_row(), limits, expected)) {
    return {true, Format("%.0f failures in a row, failure ratio expected %.2f",
                         window.failures_in_row(), expected)};
  }
  const bool is_enough = window.sample_count() >= limits.least_samples &&
                         window.failure_count() >= limits.least_failures;
  const double spread = std::sqrt(expected * (1 - expected) /
                                  std::max(1U, window.sample_count()));
  const double excess = window.failure_ratio() - expected;
  const bool is_worse =
      excess >= limits.failure_margin + kSpreadFactor * spread;
  return {is_enough && is_worse, Format("failure ratio %.2f, expected %.2f",
                                        window.failure_ratio(), expected)};
}

PeerRelativeJudge::Finding PeerRelativeJudge::CompareWithHistory(
    const Case& examined,
    const EvidenceLimits& limits,
    TimePoint now) {
  const double expected = now < excused_until_ ? excused_ratio_ : 0.0;
  Finding failures = CompareFailures(examined, limits, expected, now);
  if (failures.is_bad) {
    return failures;
  }
  if (IsWithoutHistory(examined, now)) {
    return {true, "no history yet"};
  }
  const Slowness slowness = GetSlowness(
      examined, limits,
      [this](const std::string& name) -> std::optional<microseconds> {
        const auto found = usual_.find(name);
        return found == usual_.end() ? std::nullopt
                                     : std::optional(found->second.median);
      });
  return FindSlowness(slowness, limits, "before");
}

PeerRelativeJudge::Finding PeerRelativeJudge::CompareWithPeers(
    const Case& examined,
    const EvidenceLimits& limits,
    TimePoint now) const {
  Finding failures =
      CompareFailures(examined, limits, examined.peers.failure_ratio(), now);
  if (failures.is_bad) {
    return failures;
  }
  const Slowness slowness =
      GetSlowness(examined, limits, [&examined](const std::string& name) {
        return examined.peers.FindLatency(name);
      });
  return FindSlowness(slowness, limits, "other servers");
}

template <typename Expect>
PeerRelativeJudge::Slowness PeerRelativeJudge::GetSlowness(
    const Case& examined,
    const EvidenceLimits& limits,
    Expect expect) const {
  double sum = 0;
  std::uint32_t samples = 0;
  Slowness slowness;
  for (const ClassSummary& each : examined.window.SummarizeClasses()) {
    const std::optional<microseconds> expected = expect(each.request_class);
    if (!expected || each.samples < limits.class_samples) {
      continue;
    }
    const double ratio =
        static_cast<double>(each.median.count()) /
        static_cast<double>(std::max<std::int64_t>(1, expected->count()));
    const std::uint32_t weight =
        examined.window.CountSamples(each.request_class);
    sum += std::min(ratio, kMostSlowness) * weight;
    samples += weight;
    slowness.of_worst_class = std::max(slowness.of_worst_class, ratio);
  }
  slowness.mean = samples == 0 ? 0 : sum / samples;
  return slowness;
}

PeerRelativeJudge::Finding PeerRelativeJudge::FindSlowness(
    const Slowness& slowness,
    const EvidenceLimits& limits,
    const char* than) {
  const bool is_slow = slowness.mean >= limits.slow_factor ||
                       slowness.of_worst_class >= limits.slow_class_factor;
  return {is_slow,
          Format("%.1f times slower, its worst class %.1f times, than ",
                 slowness.mean, slowness.of_worst_class) +
              than};
}

bool PeerRelativeJudge::IsWithoutHistory(const Case& examined, TimePoint now) {
  const bool needs_none =
      has_compared_ || examined.on_probation ||
      examined.window.sample_count() < in_service_.least_samples;
  if (needs_none) {
    return false;
  }
  if (!first_comparison_until_) {
    first_comparison_until_ = now + kFirstComparisonTime;
  }
  has_compared_ = now >= *first_comparison_until_;
  return !has_compared_;
}

void PeerRelativeJudge::Learn(const WorkWindow& window) {
  for (const ClassSummary& each : window.SummarizeClasses()) {
    if (each.samples < kLeastSamplesToLearn) {
      continue;
    }
    const auto [found, is_new] = usual_.try_emplace(each.request_class);
    Usual& usual = found->second;
    if (is_new) {
      usual = {each.median, each.slowest};
      continue;
    }
    usual.slowest =
        std::max(each.slowest, usual.slowest - usual.slowest / kForgettingPart);
    // A greater change is for the comparison with other servers to judge.
    if (each.median <= usual.median * kMostChangeLearned) {
      usual.median += (each.median - usual.median) / kLearningPart;
    }
  }
}

void PeerRelativeJudge::Excuse(const Case& examined, TimePoint now) {
  has_compared_ = true;
  excused_ratio_ = examined.peers.failure_ratio();
  excused_until_ = now + kExcuseLength;
  for (const ClassSummary& each : examined.window.SummarizeClasses()) {
    const auto latency = examined.peers.FindLatency(each.request_class);
    if (latency && each.samples >= kLeastSamplesToLearn) {
      Usual& usual = usual_[each.request_class];
      usual = {*latency, std::max(usual.slowest, each.slowest)};
    }
  }
}

const EvidenceLimits& PeerRelativeJudge::LimitsOf(const Case& examined) const {
  return examined.on_probation ? on_probation_ : in_service_;
}

}  // namespace vanillafall
