#ifndef DECISION_ADMISSION_H_
#define DECISION_ADMISSION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"
#include "decision/fair_queue.h"

namespace vanillafall {

// Admission control of one backend server: its slots and a bounded queue for
// them. Never lets more requests run than there are slots.
//
// The queue is served round robin between customers and, within a customer,
// between request classes, so that a customer that sends a flood of requests
// mostly delays its own requests. A single customer may fill the whole queue;
// when another customer arrives, the customer with the most waiting requests
// loses its newest one. A request that would wait beyond its deadline, as
// estimated from the measured service time, is refused at once.
//
// Requests that must run alone have a queue of their own. While other requests
// wait too, as many other requests as there are slots start between two
// requests that run alone.
class Admission {
 public:
  using Ticket = FairQueue::Ticket;
  using Request = AdmissionRequest;

  enum class Result : std::uint8_t { kStart, kWait, kRefuse };

  struct Decision {
    Result result = Result::kRefuse;
    Reason reason = Reason::kOverloaded;
    // With kWait: a waiting request of another customer that was removed to
    // make space. It must be refused with kCustomerOverShare.
    std::optional<Ticket> displaced;
  };

  Admission(std::uint32_t slots, std::size_t max_waiting);
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  // Offers a request. With kStart it has taken a slot, with kWait it is queued,
  // with kRefuse it is not kept.
  Decision Offer(const Request& request, TimePoint now);

  // Frees the slot of a request that has started, and adds its duration to
  // the average service time.
  void Release(Ticket ticket, TimePoint now);

  // Returns the next waiting request that may start now, which then has taken
  // its slot. Call until empty after Release and SetSlotLimit.
  std::optional<Ticket> TakeNext(TimePoint now);

  // Removes and returns the waiting requests whose deadline has passed.
  std::vector<Ticket> TakeExpired(TimePoint now);

  // Removes and returns all waiting requests, when the server takes no more.
  std::vector<Ticket> TakeAllWaiting();

  // Sets how many slots may be used now: fewer while a server is on probation,
  // 0 while it is ejected.
  void SetSlotLimit(std::uint32_t limit);
  // Changes the number of slots after a change of configuration.
  void SetSlots(std::uint32_t slots);

  std::uint32_t slots() const { return slots_; }
  std::uint32_t slot_limit() const { return slot_limit_; }
  std::uint32_t in_use() const;
  std::uint32_t waiting() const;
  // How long a new request of that customer would wait if all slots are in use.
  Duration ExpectedWait(std::string_view customer) const;

 private:
  struct Running {
    Ticket ticket = 0;
    bool alone = false;
    TimePoint started;
  };

  bool CanStart(const Request& request) const;
  bool CanStartAtOnce(const Request& request) const;
  void Start(const Request& request, TimePoint now);
  Decision Enqueue(const Request& request);
  Decision EnqueueAlone(const Request& request);
  bool IsAloneDue() const;
  void CollectExpired(TimePoint now);

  std::uint32_t slots_;
  std::uint32_t slot_limit_;
  const std::size_t max_waiting_;
  std::vector<Running> running_;
  FairQueue waiting_;
  FairQueue waiting_alone_;
  // Expired requests that TakeNext found, until TakeExpired returns them.
  std::vector<Ticket> expired_;
  // Requests started since the last one that ran alone.
  std::uint32_t starts_since_alone_ = 0;
  // Moving average; zero until the first request has ended.
  Duration service_time_{0};
};

}  // namespace vanillafall

#endif  // DECISION_ADMISSION_H_
