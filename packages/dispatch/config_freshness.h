#ifndef DISPATCH_CONFIG_FRESHNESS_H_
#define DISPATCH_CONFIG_FRESHNESS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log_event.h"

namespace vanillafall {

// Knows how old the evidence is that the configuration in force is the newest,
// and decides when this daemon checks that at the source.
//
// That no change was reported is no evidence: a connection to the source may
// have gone silent, which neither end notices while the bytes sent are still
// acknowledged. So the configuration is read again while there is traffic. One
// daemon reads it and tells all others. The delay before a daemon reads it
// itself is drawn from an exponentially growing density, as in multicast
// feedback suppression: the number of daemons whose delays end before the first
// one has told them hardly grows with the fleet.
class ConfigFreshness {
 public:
  // Who showed that the configuration in force was the newest.
  enum class Origin : std::uint8_t { kSource, kDaemon };

  // No daemon checks while the evidence is younger than this.
  static constexpr std::chrono::milliseconds kMinCheckAge{1000};
  // A daemon without word from others checks at this age at the latest.
  static constexpr std::chrono::milliseconds kMaxCheckAge{1500};
  // Changes must be in force 2 s after they were published, so younger evidence
  // suffices to refuse a request.
  static constexpr std::chrono::milliseconds kMaxAge{1700};

  explicit ConfigFreshness(std::uint64_t seed);

  // No configuration newer than the one in force had been published at this
  // time. Returns whether this is news to pass on to other daemons.
  bool OnConfirmed(TimePoint as_of, Origin origin);
  // A configuration with this version exists, here or elsewhere.
  void OnVersionHeard(std::uint64_t version);
  // Whether the source answers this daemon; it does at the start.
  void SetSourceReachable(bool is_reachable) {
    is_source_reachable_ = is_reachable;
  }
  // Number of daemons that share the checks.
  void SetFleetSize(std::size_t daemons) { daemons_ = daemons; }
  // Whether a confirmation as of this time would be news.
  bool IsNews(TimePoint as_of) const;
  // Called for each input. Returns whether to check now. After that, it returns
  // false until a confirmation is old again or the check has had time to fail.
  bool TryTakeCheck(TimePoint now);

  bool is_source_reachable() const { return is_source_reachable_; }
  // The highest version that this daemon has heard of.
  std::uint64_t newest_heard_version() const { return newest_heard_version_; }
  // What is known of the configuration's age, as fields of a log event.
  std::vector<LogField> Describe(TimePoint now) const;
  // Time since the last confirmation; nothing before the first one.
  std::optional<Duration> Age(TimePoint now) const;
  // Whether the last confirmation is at most kMaxAge old.
  bool IsRecent(TimePoint now) const;
  // Whether there was a recent confirmation at all times since then.
  bool IsConfirmedSince(TimePoint since, TimePoint now) const;

 private:
  // A part from 0 to 1 of the range of delays, rarely a small one.
  double DrawPart();

  std::mt19937_64 random_;
  std::size_t daemons_ = 1;
  std::optional<TimePoint> confirmed_at_;
  // Of the last confirmation.
  Origin origin_ = Origin::kSource;
  bool is_source_reachable_ = true;
  std::uint64_t newest_heard_version_ = 0;
  // Since when there have been no two confirmations further apart than kMaxAge.
  TimePoint continuous_since_;
  // At once while there is no confirmation.
  TimePoint check_at_;
  TimePoint last_input_at_;
};

// Milliseconds, as a field of a log event; empty when there is no age.
std::string FormatAge(const std::optional<Duration>& age);

}  // namespace vanillafall

#endif  // DISPATCH_CONFIG_FRESHNESS_H_
