#include "daemon/event_history.h"

#include "daemon/log.h"

namespace vanillafall {

EventHistory::EventHistory(const Clock& clock) : clock_(clock) {}

void EventHistory::Add(const LogEvent& event) {
  WriteLog(event);
  const std::lock_guard lock(mutex_);
  entries_.push_back({clock_.wall_now(), event});
  if (entries_.size() > kMaxEntries) {
    entries_.pop_front();
  }
}

std::vector<EventHistory::Entry> EventHistory::GetEntries() const {
  const std::lock_guard lock(mutex_);
  return {entries_.begin(), entries_.end()};
}

}  // namespace vanillafall
