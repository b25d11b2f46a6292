#include "dispatch/fleet_record.h"

#include <cmath>

namespace vanillafall {
namespace {

// Reports older than this have no weight left.
constexpr std::chrono::seconds kMaxReportAge{12};
// The sum over all links is computed at most this often, because an owner has a
// link from each of more than a thousand daemons.
constexpr std::chrono::milliseconds kRecomputePeriod{100};
// The share of unserved requests from which on a service is taken to be in
// trouble. Below ServiceRecord::kTroubleShare, because an owner hears of a part
// of the requests only, and late: with a tenth, it missed up to 2 s of trouble.
constexpr double kTroubleShare = 0.07;
// Fewer failures among the requests of all entries say nothing.
constexpr double kMinUnserved = 1.5;

bool IsValid(double count) {
  return std::isfinite(count) && count >= 0;
}

}  // namespace

void FleetRecord::OnReport(LinkId link,
                           const ServiceTally& tally,
                           TimePoint now) {
  if (IsValid(tally.served) && IsValid(tally.unserved)) {
    reports_[link] = {tally, now};
  }
}

bool FleetRecord::IsInTrouble(TimePoint now) {
  if (now < recompute_at_) {
    return is_in_trouble_;
  }
  recompute_at_ = now + kRecomputePeriod;
  std::erase_if(reports_, [now](const auto& entry) {
    return now >= entry.second.at + kMaxReportAge;
  });
  ServiceTally sum;
  for (const auto& [link, report] : reports_) {
    ServiceTally tally = report.tally;
    tally.Decay(now - report.at);
    sum.served += tally.served;
    sum.unserved += tally.unserved;
  }
  is_in_trouble_ = sum.unserved >= kMinUnserved &&
                   sum.unserved >= kTroubleShare * (sum.served + sum.unserved);
  return is_in_trouble_;
}

}  // namespace vanillafall
