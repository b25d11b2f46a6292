#include "decision/lease_book.h"

#include <algorithm>
#include <cassert>

namespace vanillafall {

void LeaseBook::Grant(std::chrono::milliseconds duration, TimePoint now) {
  assert(duration <= kMaxLeaseDuration &&
         "kTakeoverTime covers only leases up to this duration");
  granted_until_ =
      std::max(granted_until_, now + duration + duration / kDriftDivisor);
}

void LeaseBook::RecordHeld(const std::string& grantor,
                           std::chrono::milliseconds duration,
                           TimePoint sent) {
  TimePoint& end = held_until_[grantor];
  end = std::max(end, sent + duration);
}

void LeaseBook::RetainGrantors(const std::vector<std::string>& grantors,
                               TimePoint now) {
  std::erase_if(held_until_, [&](const auto& entry) {
    return entry.second <= now || std::find(grantors.begin(), grantors.end(),
                                            entry.first) == grantors.end();
  });
}

bool LeaseBook::IsTakeoverComplete(TimePoint now) const {
  return now - taken_over_ >= kTakeoverTime;
}

std::uint32_t LeaseBook::CountHeld(TimePoint now) const {
  return static_cast<std::uint32_t>(
      std::count_if(held_until_.begin(), held_until_.end(),
                    [now](const auto& entry) { return now < entry.second; }));
}

TimePoint LeaseBook::GetHeldUntil(const std::string& grantor) const {
  const auto found = held_until_.find(grantor);
  return found == held_until_.end() ? TimePoint() : found->second;
}

bool LeaseBook::MayRestrict(std::uint32_t leases_needed, TimePoint now) const {
  return IsTakeoverComplete(now) && !HasGranted(now) &&
         CountHeld(now) >= leases_needed;
}

}  // namespace vanillafall
