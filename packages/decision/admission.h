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

// The slots of one backend server and the bounded wait for them. Never lets
// more requests run than there are slots.
//
// Waiting requests are served in turn by customer, and within a customer by
// request class, so that a customer that floods waits behind itself. A lone
// customer may fill the whole queue; when another comes, the customer that
// holds the most gives up its newest request. A request that would wait beyond
// its deadline, judged by the measured service time, is refused at once.
//
// Requests that run alone have a queue of their own. While others wait too, as
// many of them as there are slots start between two that run alone.
class Admission {
 public:
  using Ticket = FairQueue::Ticket;
  using Request = AdmissionRequest;

  enum class Result : std::uint8_t { kStart, kWait, kRefuse };

  struct Decision {
    Result result = Result::kRefuse;
    Reason reason = Reason::kOverloaded;
    // With kWait: a waiting request of another customer that lost its place and
    // is forgotten. It must be refused as kTenantOverShare.
    std::optional<Ticket> displaced;
  };

  Admission(std::uint32_t slots, std::size_t max_waiting);
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  // Offers a request. kStart takes a slot at once, kWait queues it, kRefuse
  // forgets it.
  Decision Offer(const Request& request, TimePoint now);

  // Frees the slot of a ticket that started, and learns how long it held it.
  void Release(Ticket ticket, TimePoint now);

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
  // How long a new request of that customer would wait if all slots are taken.
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
  // Found expired by TakeNext; handed out by TakeExpired.
  std::vector<Ticket> expired_;
  // Requests started since the last one that ran alone.
  std::uint32_t starts_since_alone_ = 0;
  // Moving average; zero until the first request has ended.
  Duration service_time_{0};
};

}  // namespace vanillafall

#endif  // DECISION_ADMISSION_H_
