#ifndef DECISION_CRASH_GUARD_H_
#define DECISION_CRASH_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/hash.h"
#include "message/peer.h"

namespace vanillafall {

// What one daemon knows of requests that crash the backend server that runs
// them. A request seen in flight at a crash is suspected and from then on runs
// alone; a request that crashes a server while it runs alone is convicted and
// refused for kConvictionTime. A request that was in flight beside it runs
// alone once, ends well, and is cleared.
class CrashGuard {
 public:
  enum class Verdict : std::uint8_t { kClear, kRunAlone, kRefuse };

  Verdict Check(const Hash128& fingerprint, TimePoint now) const;

  // A backend server crashed with these requests in flight. Returns what the
  // service's other owners must be told.
  std::vector<CrashNotice> OnCrash(const std::string& service,
                                   const std::vector<Hash128>& in_flight,
                                   TimePoint now);

  // Another owner saw a crash.
  void OnNotice(const CrashNotice& notice, TimePoint now);

  // A request ended well, so it is no longer suspected.
  void OnDone(const Hash128& fingerprint);

  void Expire(TimePoint now);

  static constexpr std::chrono::minutes kConvictionTime{10};

 private:
  struct Suspicion {
    bool is_convicted = false;
    TimePoint until;
  };

  void AddSuspicion(const Hash128& fingerprint, bool alone, TimePoint now);

  std::unordered_map<Hash128, Suspicion> suspicions_;
};

}  // namespace vanillafall

#endif  // DECISION_CRASH_GUARD_H_
