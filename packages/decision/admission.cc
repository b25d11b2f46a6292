#include "decision/admission.h"

#include <algorithm>
#include <cassert>

namespace vanillafall {
namespace {

// The newest sample has the weight 1 / kServiceTimeSamples in the moving
// average of the service time.
constexpr int kServiceTimeSamples = 8;
// Requests that run alone may fill the queue up to its size divided by this.
constexpr std::size_t kAloneQueueDivisor = 4;

void Append(std::vector<Admission::Ticket>& to,
            const std::vector<Admission::Ticket>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

}  // namespace

Admission::Admission(std::uint32_t slots, std::size_t max_waiting)
    : slots_(slots), slot_limit_(slots), max_waiting_(max_waiting) {}

Admission::Decision Admission::Offer(const Request& request, TimePoint now) {
  if (request.deadline <= now) {
    return {Result::kRefuse, Reason::kDeadlinePassed, {}};
  }
  if (slot_limit_ == 0) {
    return {Result::kRefuse, Reason::kEjected, {}};
  }
  if (CanStartAtOnce(request)) {
    Start(request, now);
    return {Result::kStart, Reason::kOk, {}};
  }
  if (request.alone) {
    return EnqueueAlone(request);
  }
  if (now + ExpectedWait(request.customer) >= request.deadline) {
    return {Result::kRefuse, Reason::kOverloaded, {}};
  }
  return Enqueue(request);
}

void Admission::Release(Ticket ticket, TimePoint now) {
  const auto found = std::find_if(
      running_.begin(), running_.end(),
      [ticket](const Running& running) { return running.ticket == ticket; });
  assert(found != running_.end() &&
         "release only a ticket that has started and was not released before");
  const Duration held = now - found->started;
  const bool is_first = service_time_ == Duration(0);
  service_time_ +=
      is_first ? held : (held - service_time_) / kServiceTimeSamples;
  running_.erase(found);
}

std::optional<Admission::Ticket> Admission::TakeNext(TimePoint now) {
  CollectExpired(now);
  FairQueue& queue = IsAloneDue() ? waiting_alone_ : waiting_;
  if (queue.empty() || !CanStart(queue.Front())) {
    return std::nullopt;
  }
  const Request request = queue.Pop();
  Start(request, now);
  return request.ticket;
}

std::vector<Admission::Ticket> Admission::TakeExpired(TimePoint now) {
  CollectExpired(now);
  std::vector<Ticket> expired;
  expired.swap(expired_);
  return expired;
}

std::vector<Admission::Ticket> Admission::TakeAllWaiting() {
  std::vector<Ticket> tickets;
  tickets.swap(expired_);
  Append(tickets, waiting_alone_.TakeAll());
  Append(tickets, waiting_.TakeAll());
  return tickets;
}

void Admission::SetSlotLimit(std::uint32_t limit) {
  slot_limit_ = std::min(limit, slots_);
}

void Admission::SetSlots(std::uint32_t slots) {
  const bool was_unlimited = slot_limit_ == slots_;
  slots_ = slots;
  slot_limit_ = was_unlimited ? slots : std::min(slot_limit_, slots);
}

std::uint32_t Admission::in_use() const {
  return static_cast<std::uint32_t>(running_.size());
}

std::uint32_t Admission::waiting() const {
  return static_cast<std::uint32_t>(waiting_.size() + waiting_alone_.size());
}

Duration Admission::ExpectedWait(std::string_view customer) const {
  const auto releases =
      static_cast<std::int64_t>(waiting_.CountAheadOf(customer) + 1);
  return service_time_ * releases / std::max(1U, slot_limit_);
}

bool Admission::CanStart(const Request& request) const {
  if (running_.size() >= slot_limit_) {
    return false;
  }
  const bool alone_runs =
      std::any_of(running_.begin(), running_.end(),
                  [](const Running& running) { return running.alone; });
  return !alone_runs && (!request.alone || running_.empty());
}

bool Admission::CanStartAtOnce(const Request& request) const {
  if (!CanStart(request) || !waiting_.empty()) {
    return false;
  }
  return waiting_alone_.empty() ||
         (!request.alone && starts_since_alone_ < slots_);
}

void Admission::Start(const Request& request, TimePoint now) {
  running_.push_back({request.ticket, request.alone, now});
  starts_since_alone_ = request.alone ? 0 : starts_since_alone_ + 1;
}

Admission::Decision Admission::Enqueue(const Request& request) {
  if (waiting() < max_waiting_) {
    waiting_.Push(request);
    return {Result::kWait, Reason::kOk, {}};
  }
  const std::size_t own_count = waiting_.CountOf(request.customer);
  const std::size_t largest_count =
      waiting_.empty() ? 0
                       : waiting_.CountOf(waiting_.CustomerWithMostWaiting());
  if (largest_count > own_count + 1) {
    const Ticket displaced =
        waiting_.TakeNewestOf(waiting_.CustomerWithMostWaiting());
    waiting_.Push(request);
    return {Result::kWait, Reason::kOk, displaced};
  }
  const bool others_wait = waiting_.size() > own_count;
  const bool is_over_share =
      own_count > 0 && own_count == largest_count && others_wait;
  return {Result::kRefuse,
          is_over_share ? Reason::kCustomerOverShare : Reason::kOverloaded,
          {}};
}

Admission::Decision Admission::EnqueueAlone(const Request& request) {
  const bool is_full =
      waiting() >= max_waiting_ ||
      waiting_alone_.size() * kAloneQueueDivisor >= max_waiting_;
  if (is_full) {
    return {Result::kRefuse, Reason::kOverloaded, {}};
  }
  waiting_alone_.Push(request);
  return {Result::kWait, Reason::kOk, {}};
}

bool Admission::IsAloneDue() const {
  return !waiting_alone_.empty() &&
         (waiting_.empty() || starts_since_alone_ >= slots_);
}

void Admission::CollectExpired(TimePoint now) {
  Append(expired_, waiting_alone_.TakeExpired(now));
  Append(expired_, waiting_.TakeExpired(now));
}

}  // namespace vanillafall
