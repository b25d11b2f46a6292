#include "dispatch/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace vanillafall {
namespace {

using Seconds = std::chrono::duration<double>;

// Time constant by which granted work loses weight. Long enough to average over
// a few runs on each slot, short enough to follow a burst.
constexpr Seconds kLoadDecayTime{3.0};
// Offers of more urgent ranks are assumed to leave at least this share of the
// slots. Otherwise an estimate from the past could keep all others out.
constexpr double kMinShareLeft = 0.1;
// Limits memory; the load of further ranks is not recorded.
constexpr std::size_t kMaxRanks = 64;

}  // namespace

bool SlotQueue::TryTake(const Waiter& waiter, TimePoint now) {
  if (holders_.size() >= slots_) {
    return false;
  }
  shares_.OnAsked(waiter.route, 1, now);
  if (!waiter.is_call) {
    usage_.OnAsked(waiter.customer, 1, waiter.fingerprint, now);
  }
  Take(waiter, now);
  return true;
}

void SlotQueue::Take(const Waiter& waiter, TimePoint now) {
  holders_[waiter.id] = {now, waiter.work};
  const Rank rank = RankOf(waiter);
  if (loads_.size() < kMaxRanks || loads_.contains(rank)) {
    RankLoad& load = loads_[rank];
    load.work_seconds = WorkOf(load, now) + Seconds(waiter.work).count();
    load.updated = now;
  }
  shares_.OnServed(waiter.route, now);
}

void SlotQueue::Release(const OfferId& id) {
  holders_.erase(id);
}

bool SlotQueue::TryEnqueue(Waiter waiter, TimePoint now) {
  shares_.OnAsked(waiter.route, 1.0 / std::max(1U, waiter.copies), now);
  // Calls are not marked: the work of their parents has already begun.
  waiter.is_excess =
      !waiter.is_call &&
      usage_.OnAsked(waiter.customer, 1.0 / std::max(1U, waiter.copies),
                     waiter.fingerprint, now);
  if (now + ExpectedWait(waiter, now) > waiter.latest_start) {
    return false;
  }
  waiters_[waiter.id] = waiter;
  by_urgency_.insert(UrgencyOf(waiter));
  return true;
}

bool SlotQueue::Dequeue(const OfferId& id) {
  const auto node = waiters_.extract(id);
  if (node.empty()) {
    return false;
  }
  by_urgency_.erase(UrgencyOf(node.mapped()));
  return true;
}

std::optional<OfferId> SlotQueue::TakeNext(TimePoint now) {
  if (by_urgency_.empty() || holders_.size() >= slots_) {
    return std::nullopt;
  }
  const OfferId id = ChooseNext(now);
  Take(waiters_.at(id), now);
  Dequeue(id);
  return id;
}

OfferId SlotQueue::ChooseNext(TimePoint now) const {
  std::set<std::string> seen;
  for (const auto& [rank, latest_start, id] : by_urgency_) {
    const std::string& route = waiters_.at(id).route;
    if (std::get<0>(rank)) {
      break;
    }
    if (seen.insert(route).second && shares_.IsUnderserved(route, now)) {
      return id;
    }
  }
  return std::get<OfferId>(*by_urgency_.begin());
}

std::optional<OfferId> SlotQueue::TakeExpired(TimePoint now) {
  for (const auto& [id, waiter] : waiters_) {
    if (waiter.latest_start <= now) {
      const OfferId expired = id;
      Dequeue(expired);
      return expired;
    }
  }
  return std::nullopt;
}

std::optional<TimePoint> SlotQueue::NextExpiry() const {
  std::optional<TimePoint> next;
  for (const auto& [id, waiter] : waiters_) {
    next = next ? std::min(*next, waiter.latest_start) : waiter.latest_start;
  }
  return next;
}

double SlotQueue::CountAhead(const Waiter& waiter) const {
  const Rank rank = RankOf(waiter);
  double ahead = 0;
  for (const Urgency& each : by_urgency_) {
    if (std::get<Rank>(each) > rank) {
      break;
    }
    ahead += 1.0 / std::max(1U, waiters_.at(std::get<OfferId>(each)).copies);
  }
  return ahead;
}

Duration SlotQueue::ExpectedWait(const Waiter& waiter, TimePoint now) const {
  if (holders_.size() < slots_ && by_urgency_.empty()) {
    return Duration(0);
  }
  // When each slot becomes free; the earliest one first. A run that takes
  // longer than expected is taken to end when the first of as many runs as
  // there are slots, each half done on average, would end.
  std::priority_queue<Duration, std::vector<Duration>, std::greater<>> free_at;
  for (const auto& [id, holder] : holders_) {
    free_at.push(std::max(holder.work - (now - holder.since),
                          holder.work / std::max(4U, 2 * slots_)));
  }
  for (std::size_t i = holders_.size(); i < slots_; ++i) {
    free_at.push(Duration(0));
  }
  const bool goes_first =
      !waiter.is_late && shares_.IsUnderserved(waiter.route, now);
  const Rank rank = RankOf(waiter);
  for (const Urgency& each : by_urgency_) {
    if (std::get<Rank>(each) > rank) {
      break;
    }
    const Waiter& ahead = waiters_.at(std::get<OfferId>(each));
    if (goes_first && ahead.route != waiter.route) {
      continue;
    }
    const Duration start = free_at.top();
    free_at.pop();
    free_at.push(start + ahead.work / std::max(1U, ahead.copies));
  }
  const double share_left =
      goes_first ? 1.0
                 : std::max(kMinShareLeft, 1 - ShareOfMoreUrgent(rank, now));
  return std::chrono::duration_cast<Duration>(free_at.top() / share_left);
}

double SlotQueue::WorkOf(const RankLoad& load, TimePoint now) {
  return load.work_seconds *
         std::exp(-Seconds(now - load.updated) / kLoadDecayTime);
}

double SlotQueue::ShareOfMoreUrgent(const Rank& rank, TimePoint now) const {
  double work = 0;
  for (const auto& [other, load] : loads_) {
    work += other < rank ? WorkOf(load, now) : 0;
  }
  return work / kLoadDecayTime.count() / std::max(1U, slots_);
}

}  // namespace vanillafall
