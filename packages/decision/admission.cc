#include "decision/admission.h"

#include <algorithm>
#include <cassert>

namespace vanillafall {

Admission::Admission(std::uint32_t slots, std::size_t max_waiting)
    : slots_(slots), slot_limit_(slots), max_waiting_(max_waiting) {}

Admission::Decision Admission::Offer(const Request& request, TimePoint now) {
  if (request.deadline <= now) {
    return {Result::kRefuse, Reason::kDeadlinePassed};
  }
  if (waiting_.empty() && CanStart(request)) {
    running_.push_back(request);
    return {Result::kStart, Reason::kOk};
  }
  if (waiting_.size() >= max_waiting_) {
    return {Result::kRefuse, Reason::kOverloaded};
  }
  waiting_.push_back(request);
  return {Result::kWait, Reason::kOk};
}

void Admission::Release(Ticket ticket) {
  const auto found = std::find_if(
      running_.begin(), running_.end(),
      [ticket](const Request& request) { return request.ticket == ticket; });
  assert(found != running_.end() &&
         "release only a ticket that has started and was not released before");
  running_.erase(found);
}

std::optional<Admission::Ticket> Admission::TakeNext(TimePoint now) {
  if (waiting_.empty() || waiting_.front().deadline <= now ||
      !CanStart(waiting_.front())) {
    return std::nullopt;
  }
  running_.push_back(waiting_.front());
  waiting_.pop_front();
  return running_.back().ticket;
}

std::vector<Admission::Ticket> Admission::TakeExpired(TimePoint now) {
  std::vector<Ticket> expired;
  std::erase_if(waiting_, [&expired, now](const Request& request) {
    if (request.deadline > now) {
      return false;
    }
    expired.push_back(request.ticket);
    return true;
  });
  return expired;
}

std::vector<Admission::Ticket> Admission::TakeAllWaiting() {
  std::vector<Ticket> tickets;
  for (const Request& request : waiting_) {
    tickets.push_back(request.ticket);
  }
  waiting_.clear();
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
  return static_cast<std::uint32_t>(waiting_.size());
}

bool Admission::CanStart(const Request& request) const {
  if (running_.size() >= slot_limit_) {
    return false;
  }
  const bool alone_runs =
      std::any_of(running_.begin(), running_.end(),
                  [](const Request& running) { return running.alone; });
  return !alone_runs && (!request.alone || running_.empty());
}

}  // namespace vanillafall
