#ifndef DECISION_LEASE_BOOK_H_
#define DECISION_LEASE_BOOK_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"

namespace vanillafall {

// The longest lease that is ever granted.
inline constexpr std::chrono::milliseconds kLongestLease{2000};
// A granted lease binds its grantor longer by this part of its length, so that
// clocks may run at rates which differ by that much.
inline constexpr int kDriftDivisor = 20;
// A server that an owner has just taken over may be bound by leases that a
// former process or a former owner granted, and is not restricted for so long.
// Longer than the longest lease and than a new configuration takes to be in
// force everywhere.
inline constexpr std::chrono::milliseconds kTakeoverTime{6000};

// The in-service leases of one backend server: those that it has granted and
// those that it holds from others. Every answer is a function of the time that
// is passed in, so that a process which was paused acts on nothing that has
// run out.
class LeaseBook {
 public:
  // The owner has known the server since this time.
  explicit LeaseBook(TimePoint taken_over) : taken_over_(taken_over) {}

  // Promises that the server stays in service. The time must have been read
  // after the request arrived.
  void Grant(std::chrono::milliseconds duration, TimePoint now);

  // Another server has granted a lease that was asked for at the time sent.
  void RecordHeld(const std::string& grantor,
                  std::chrono::milliseconds duration,
                  TimePoint sent);

  // Forgets leases of servers that are not named, and those that ran out.
  void RetainGrantors(const std::vector<std::string>& grantors, TimePoint now);

  bool IsTakeoverComplete(TimePoint now) const;
  bool HasGranted(TimePoint now) const { return now < granted_until_; }
  TimePoint granted_until() const { return granted_until_; }
  std::uint32_t CountHeld(TimePoint now) const;
  // When a held lease runs out; the start of time when there is none.
  TimePoint GetHeldUntil(const std::string& grantor) const;

  // Whether the server may be kept from some or all of its work: it is bound by
  // no lease of its own and holds as many as are needed.
  bool MayRestrict(std::uint32_t leases_needed, TimePoint now) const;

 private:
  const TimePoint taken_over_;
  TimePoint granted_until_;
  std::map<std::string, TimePoint> held_until_;
};

}  // namespace vanillafall

#endif  // DECISION_LEASE_BOOK_H_
