#include "dispatch/config_freshness.h"

#include <algorithm>
#include <cmath>

namespace vanillafall {
namespace {

// Minimum time between two checks of this daemon, whether they succeed or not.
constexpr std::chrono::milliseconds kMinCheckPeriod{500};
// When traffic begins again after a pause, the evidence of all daemons is old,
// so their checks are spread over this time.
constexpr std::chrono::milliseconds kResumeSpread{1000};
// Confirmations that follow one another faster are of the same round of checks,
// and are not passed on.
constexpr std::chrono::milliseconds kMinNewsAge{400};

const char* ToString(ConfigFreshness::Origin origin) {
  return origin == ConfigFreshness::Origin::kSource ? "source" : "daemon";
}

}  // namespace

ConfigFreshness::ConfigFreshness(std::uint64_t seed) : random_(seed) {}

bool ConfigFreshness::OnConfirmed(TimePoint as_of, Origin origin) {
  if (confirmed_at_ && as_of <= *confirmed_at_) {
    return false;
  }
  const bool is_news = IsNews(as_of);
  if (!confirmed_at_ || as_of > *confirmed_at_ + kMaxAge) {
    continuous_since_ = as_of;
  }
  confirmed_at_ = as_of;
  origin_ = origin;
  check_at_ = as_of + kMinCheckAge +
              std::chrono::duration_cast<Duration>(
                  DrawPart() * (kMaxCheckAge - kMinCheckAge));
  return is_news;
}

bool ConfigFreshness::IsNews(TimePoint as_of) const {
  return !confirmed_at_ || as_of > *confirmed_at_ + kMinNewsAge;
}

void ConfigFreshness::OnVersionHeard(std::uint64_t version) {
  newest_heard_version_ = std::max(newest_heard_version_, version);
}

bool ConfigFreshness::TryTakeCheck(TimePoint now) {
  const bool was_idle = now > last_input_at_ + kResumeSpread;
  last_input_at_ = now;
  if (was_idle && now >= check_at_) {
    check_at_ =
        now + std::chrono::duration_cast<Duration>(DrawPart() * kResumeSpread);
  }
  if (now < check_at_) {
    return false;
  }
  check_at_ = now + kMinCheckPeriod;
  return true;
}

std::vector<LogField> ConfigFreshness::Describe(TimePoint now) const {
  return {{"config_age_ms", FormatAge(Age(now))},
          {"config_proof", confirmed_at_ ? ToString(origin_) : ""},
          {"config_heard", std::to_string(newest_heard_version_)},
          {"source", is_source_reachable_ ? "reachable" : "unreachable"}};
}

std::optional<Duration> ConfigFreshness::Age(TimePoint now) const {
  return confirmed_at_ ? std::optional<Duration>(now - *confirmed_at_)
                       : std::nullopt;
}

bool ConfigFreshness::IsRecent(TimePoint now) const {
  return confirmed_at_ && now <= *confirmed_at_ + kMaxAge;
}

bool ConfigFreshness::IsConfirmedSince(TimePoint since, TimePoint now) const {
  return IsRecent(now) && continuous_since_ <= since;
}

std::string FormatAge(const std::optional<Duration>& age) {
  return age ? std::to_string(
                   std::chrono::duration_cast<std::chrono::milliseconds>(*age)
                       .count())
             : "";
}

double ConfigFreshness::DrawPart() {
  const double growth =
      std::log(static_cast<double>(std::max<std::size_t>(daemons_, 1))) + 1;
  const double drawn = std::uniform_real_distribution<double>()(random_);
  return std::log1p(drawn * std::expm1(growth)) / growth;
}

}  // namespace vanillafall
