#ifndef DISPATCH_SLOT_QUEUE_H_
#define DISPATCH_SLOT_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "base/clock.h"
#include "dispatch/link_message.h"

namespace vanillafall {

// The slots of one backend server: which offers hold one, and which wait for
// one: those that can still be in time first, then the most urgent, then the
// earliest latest start. Answers the load
// of bursts and cold starts: the wait is bounded by what each offer can bear,
// and what can't be run in time is turned away at once.
class SlotQueue {
 public:
  struct Waiter {
    OfferId id;
    std::uint32_t priority = 0;
    // Served after all that are not: a slot that it took from them would make
    // another answer late.
    bool is_late = false;
    // It must have a slot by then.
    TimePoint latest_start;
    // Queues in which the same request waits.
    std::uint32_t copies = 1;
  };

  void SetSlots(std::uint32_t slots) { slots_ = slots; }

  // Takes a free slot; false when there is none.
  bool TryTake(const OfferId& id);
  void Release(const OfferId& id);
  bool Holds(const OfferId& id) const { return holders_.contains(id); }

  // False when as many wait as can be served in time anyway.
  bool TryEnqueue(const Waiter& waiter, Duration work, TimePoint now);
  bool Dequeue(const OfferId& id);

  // Moves the first waiter into a free slot and returns it; nothing when no
  // slot is free or nobody waits.
  std::optional<OfferId> TakeNext();
  // Waiters whose latest start has passed, each returned once.
  std::optional<OfferId> TakeExpired(TimePoint now);
  // When TakeLate has something to return.
  std::optional<TimePoint> NextExpiry() const;

  // How long one more waiter would wait.
  Duration ExpectedWait(std::uint32_t priority,
                        bool is_late,
                        Duration work) const;

  std::uint32_t slots() const { return slots_; }
  std::uint32_t in_use() const {
    return static_cast<std::uint32_t>(holders_.size());
  }
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(by_urgency_.size());
  }

 private:
  using Urgency = std::tuple<bool, std::uint32_t, TimePoint, OfferId>;

  static Urgency UrgencyOf(const Waiter& waiter) {
    return {waiter.is_late, waiter.priority, waiter.latest_start, waiter.id};
  }

  std::uint32_t slots_ = 1;
  std::set<OfferId> holders_;
  std::set<Urgency> by_urgency_;
  std::map<OfferId, Waiter> waiters_;
};

}  // namespace vanillafall

#endif  // DISPATCH_SLOT_QUEUE_H_
