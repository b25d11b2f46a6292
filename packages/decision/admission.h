#ifndef DECISION_ADMISSION_H_
#define DECISION_ADMISSION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"
#include "message/peer.h"

namespace vanillafall {

// The slots of one backend server and the bounded wait for them. Never lets
// more requests run than there are slots. Waiting requests are served in turn
// by tenant, so that a tenant that floods waits behind itself.
class Admission {
 public:
  using Ticket = std::uint64_t;

  struct Request {
    Ticket ticket = 0;
    std::string tenant;
    TimePoint deadline;
    // Runs only while nothing else runs, and nothing else starts beside it.
    bool alone = false;
  };

  enum class Result : std::uint8_t { kStart, kWait, kRefuse };

  struct Decision {
    Result result = Result::kRefuse;
    Reason reason = Reason::kOverloaded;
  };

  Admission(std::uint32_t slots, std::size_t max_waiting);

  // Offers a request. kStart takes a slot at once, kWait queues it, kRefuse
  // forgets it.
  Decision Offer(const Request& request, TimePoint now);

  // Frees the slot of a ticket that started.
  void Release(Ticket ticket);

  // The next waiting request that may start now; it has taken its slot. Call
  // until empty after Release and SetSlotLimit.
  std::optional<Ticket> TakeNext(TimePoint now);

  // Waiting requests whose deadline has passed; they are forgotten.
  std::vector<Ticket> TakeExpired(TimePoint now);

  // All waiting requests, forgotten; for a server that is leaving.
  std::vector<Ticket> TakeAllWaiting();

  // Slots that may be used now: fewer while a server is on probation, 0 while
  // it is ejected.
  void SetSlotLimit(std::uint32_t limit);
  // Changes the number of slots after a change of configuration.
  void SetSlots(std::uint32_t slots);

  std::uint32_t slots() const { return slots_; }
  std::uint32_t slot_limit() const { return slot_limit_; }
  std::uint32_t in_use() const;
  std::uint32_t waiting() const;

 private:
  bool CanStart(const Request& request) const;

  std::uint32_t slots_;
  std::uint32_t slot_limit_;
  const std::size_t max_waiting_;
  std::vector<Request> running_;
  std::deque<Request> waiting_;
};

}  // namespace vanillafall

#endif  // DECISION_ADMISSION_H_
