#ifndef DECISION_LEASE_BOOK_H_
#define DECISION_LEASE_BOOK_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace vanillafall {

// Maximum duration of a lease.
inline constexpr std::chrono::milliseconds kMaxLeaseDuration{2000};
// A granted lease binds its grantor for 1/kDriftDivisor longer than its
// duration, so that the clocks of grantor and holder may differ in rate by that
// much.
inline constexpr int kDriftDivisor = 20;
// A server that an owner has just taken over may be bound by leases that an
// earlier incarnation of the owner or another owner granted, so it is not
// restricted for this time. Longer than the longest lease, and longer than a
// new configuration takes to be in force at every daemon.
inline constexpr std::chrono::milliseconds kTakeoverTime{6000};

// Records the in-service leases of one backend server: those that it has
// granted to others and those that it holds from others. A lease is the
// grantor's promise to stay in service for some time. Every query depends on
// the time that is passed in, so that a process which was paused does not act
// on a lease that has run out.
class LeaseBook {
 public:
  // Takes the time at which the owner took over the server.
  explicit LeaseBook(TimePoint taken_over) : taken_over_(taken_over) {}

  // Grants a lease of this server, which then stays in service. "now" must have
  // been read after the request arrived.
  void Grant(std::chrono::milliseconds duration, TimePoint now);

  // Records a lease that another server has granted. It is valid for the
  // duration from "sent", the time at which the request was sent.
  void RecordHeld(const std::string& grantor,
                  std::chrono::milliseconds duration,
                  TimePoint sent);

  // Drops the held leases of all servers except these grantors, and those that
  // have run out.
  void RetainGrantors(const std::vector<std::string>& grantors, TimePoint now);

  // Whether kTakeoverTime has passed since the owner took over the server.
  bool IsTakeoverComplete(TimePoint now) const;
  // Whether the server is bound by a lease that it has granted.
  bool HasGranted(TimePoint now) const { return now < granted_until_; }
  TimePoint granted_until() const { return granted_until_; }
  // Number of valid leases that the server holds.
  std::uint32_t CountHeld(TimePoint now) const;
  // When the lease from this grantor runs out; the clock's epoch when none is
  // held.
  TimePoint GetHeldUntil(const std::string& grantor) const;

  // Whether the server may get fewer slots or none: its takeover is complete,
  // it is bound by no lease that it has granted, and it holds as many leases as
  // are needed.
  bool MayRestrict(std::uint32_t leases_needed, TimePoint now) const;

 private:
  const TimePoint taken_over_;
  TimePoint granted_until_;
  // End of each held lease, by grantor.
  std::map<std::string, TimePoint> held_until_;
};

}  // namespace vanillafall

#endif  // DECISION_LEASE_BOOK_H_
