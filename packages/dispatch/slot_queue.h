#ifndef DISPATCH_SLOT_QUEUE_H_
#define DISPATCH_SLOT_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "base/clock.h"
#include "dispatch/class_share.h"
#include "dispatch/customer_usage.h"
#include "dispatch/link_message.h"

namespace vanillafall {

// The slots of one backend server: the offers that hold a slot, and a queue of
// the offers that wait for one. The queue is ordered by: offers that can still
// meet their target latency first, then the most urgent priority, then calls of
// other backend servers before requests of clients, then the earliest latest
// start. A call that is refused fails the run that makes it, and the work done
// so far is lost; a client that is refused has lost nothing yet. For the same
// reason calls of runs that have already got an answer go first, and late calls
// only go after the other calls of their kind. Queues during bursts and cold
// starts stay short: an offer that is not expected to get a slot before its
// latest start is rejected at once.
//
// Among the requests of clients of one priority, those beyond what their
// customer usually requests go last; see CustomerUsage.
//
// A route that is served much less often than the others goes first, so that no
// route starves; see ClassShare.
class SlotQueue {
 public:
  // An offer that asks for a slot.
  struct Waiter {
    OfferId id;
    std::uint32_t priority = 0;
    // The answer will miss the target latency in any case. The offer gets a
    // slot after all offers that are not late, or as a call after the calls of
    // its priority that are not, so that it does not make these late too.
    bool is_late = false;
    // Time by which the offer must have a slot.
    TimePoint latest_start;
    // Number of queues in which the same request waits.
    std::uint32_t copies = 1;
    // A run of another backend server waits for the answer.
    bool is_call = false;
    // An earlier call of that run has succeeded.
    bool is_continued = false;
    std::string route;
    // 0 when the request belongs to no customer.
    std::uint64_t customer = 0;
    // Hash of the request.
    std::uint64_t fingerprint = 0;
    // Beyond what its customer usually requests. Set by the queue.
    bool is_excess = false;
    // Expected processing time.
    Duration work{0};
  };

  void SetSlots(std::uint32_t slots) { slots_ = slots; }

  // Takes a free slot for the offer; returns false when there is none.
  bool TryTake(const Waiter& waiter, TimePoint now);
  void Release(const OfferId& id);
  // True when the offer holds a slot.
  bool Holds(const OfferId& id) const { return holders_.contains(id); }

  // Puts the offer into the queue; returns false when the expected wait ends
  // after its latest start.
  bool TryEnqueue(Waiter waiter, TimePoint now);
  // Removes the offer from the queue; returns false when it is not queued.
  bool Dequeue(const OfferId& id);

  // Gives a free slot to the first offer in the queue and returns the offer's
  // id; nothing when no slot is free or the queue is empty.
  std::optional<OfferId> TakeNext(TimePoint now);
  // Removes one offer whose latest start has passed from the queue and returns
  // its id; nothing when there is none.
  std::optional<OfferId> TakeExpired(TimePoint now);
  // The earliest time at which TakeExpired has an offer to return.
  std::optional<TimePoint> NextExpiry() const;

  // Expected number of offers that get a slot before this one. All offers of
  // the same rank count, also those with a later latest start: their waits were
  // accepted before, and an offer that goes ahead of them must not break that.
  // A request that waits in several queues counts as a part of one.
  double CountAhead(const Waiter& waiter) const;
  // Expected time that this offer would wait: until the work of the offers
  // ahead of it and of those that hold the slots is done. More urgent offers
  // that arrive meanwhile get their usual part of the slots.
  Duration ExpectedWait(const Waiter& waiter, TimePoint now) const;

  std::uint32_t slots() const { return slots_; }
  std::uint32_t in_use() const {
    return static_cast<std::uint32_t>(holders_.size());
  }
  std::uint32_t waiting() const {
    return static_cast<std::uint32_t>(by_urgency_.size());
  }

 private:
  // Offers of one rank differ only by their latest start.
  using Rank = std::tuple<bool, std::uint32_t, bool, bool, bool, bool>;
  // The order of the queue.
  using Urgency = std::tuple<Rank, TimePoint, OfferId>;
  // An offer that holds a slot.
  struct Holder {
    TimePoint since;
    Duration work{0};
  };
  // Work of the offers of one rank that got slots in the last seconds. Earlier
  // ones weigh less.
  struct RankLoad {
    double work_seconds = 0;
    TimePoint updated;
  };

  static Rank RankOf(const Waiter& waiter) {
    return {waiter.is_late && !waiter.is_call,
            waiter.priority,
            !waiter.is_call,
            waiter.is_excess,
            !waiter.is_continued,
            waiter.is_late};
  }
  static Urgency UrgencyOf(const Waiter& waiter) {
    return {RankOf(waiter), waiter.latest_start, waiter.id};
  }
  static double WorkOf(const RankLoad& load, TimePoint now);

  // Share of the slots that offers of more urgent ranks have used lately.
  double ShareOfMoreUrgent(const Rank& rank, TimePoint now) const;
  void Take(const Waiter& waiter, TimePoint now);
  // The offer in the queue that goes next. The queue must not be empty.
  OfferId ChooseNext(TimePoint now) const;

  std::uint32_t slots_ = 1;
  std::map<OfferId, Holder> holders_;
  std::set<Urgency> by_urgency_;
  std::map<OfferId, Waiter> waiters_;
  std::map<Rank, RankLoad> loads_;
  ClassShare shares_;
  CustomerUsage usage_;
};

}  // namespace vanillafall

#endif  // DISPATCH_SLOT_QUEUE_H_
