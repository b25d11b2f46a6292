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

// Identifies requests that crash the backend server that runs them, by the
// fingerprint of the request. Each request in flight at a crash becomes
// suspected and from then on runs alone. A suspected request that crashes a
// server while it runs alone is convicted: it is refused for kConvictionTime. A
// suspected request that its backend server answers is cleared, so a request
// that was only in flight beside the one at fault runs alone once.
class CrashGuard {
 public:
  // How to treat a request: run it as usual, run it with no other request on
  // the server, or refuse it.
  enum class Verdict : std::uint8_t { kClear, kRunAlone, kRefuse };

  // Decides how to treat a request with this fingerprint.
  Verdict Check(const Hash128& fingerprint, TimePoint now) const;

  // A backend server crashed with these requests in flight. Returns the notices
  // that must be sent to the service's other owners.
  std::vector<CrashNotice> OnCrash(const std::string& service,
                                   const std::vector<Hash128>& in_flight,
                                   TimePoint now);

  // Another daemon reported that a request was in flight at a crash.
  void OnNotice(const CrashNotice& notice, TimePoint now);

  // A backend server answered the request, so it is no longer suspected. A
  // convicted request stays convicted.
  void OnDone(const Hash128& fingerprint);

  // Drops suspicions and convictions whose time has passed.
  void Expire(TimePoint now);

  // How long a suspicion or a conviction lasts after the last crash.
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
