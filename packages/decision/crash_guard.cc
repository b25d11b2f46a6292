#include "decision/crash_guard.h"

namespace vanillafall {
namespace {

// Bounds the memory used for suspicions.
constexpr std::size_t kMaxSuspicions = 10'000;

}  // namespace

CrashGuard::Verdict CrashGuard::Check(const Hash128& fingerprint,
                                      TimePoint now) const {
  const auto found = suspicions_.find(fingerprint);
  if (found == suspicions_.end() || found->second.until <= now) {
    return Verdict::kClear;
  }
  return found->second.is_convicted ? Verdict::kRefuse : Verdict::kRunAlone;
}

std::vector<CrashNotice> CrashGuard::OnCrash(
    const std::string& service,
    const std::vector<Hash128>& in_flight,
    TimePoint now) {
  std::vector<CrashNotice> notices;
  const bool alone = in_flight.size() == 1;
  for (const Hash128& fingerprint : in_flight) {
    AddSuspicion(fingerprint, alone, now);
    notices.push_back({service, fingerprint, alone});
  }
  return notices;
}

void CrashGuard::OnNotice(const CrashNotice& notice, TimePoint now) {
  AddSuspicion(notice.fingerprint, notice.alone, now);
}

void CrashGuard::OnDone(const Hash128& fingerprint) {
  const auto found = suspicions_.find(fingerprint);
  if (found != suspicions_.end() && !found->second.is_convicted) {
    suspicions_.erase(found);
  }
}

void CrashGuard::Expire(TimePoint now) {
  std::erase_if(suspicions_,
                [now](const auto& entry) { return entry.second.until <= now; });
}

void CrashGuard::AddSuspicion(const Hash128& fingerprint,
                              bool alone,
                              TimePoint now) {
  const auto found = suspicions_.find(fingerprint);
  if (found == suspicions_.end()) {
    if (suspicions_.size() < kMaxSuspicions) {
      suspicions_[fingerprint] = {false, now + kConvictionTime};
    }
    return;
  }
  found->second.is_convicted = found->second.is_convicted || alone;
  found->second.until = now + kConvictionTime;
}

}  // namespace vanillafall
