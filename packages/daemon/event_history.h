#ifndef DAEMON_EVENT_HISTORY_H_
#define DAEMON_EVENT_HISTORY_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <vector>

#include "base/clock.h"
#include "base/log_event.h"

namespace vanillafall {

// Writes log events to the log and keeps the latest 256 of them in memory.
// Safe to use from any thread.
class EventHistory {
 public:
  struct Entry {
    WallTime time;
    LogEvent event;
  };

  explicit EventHistory(const Clock& clock);
  EventHistory(const EventHistory&) = delete;
  EventHistory& operator=(const EventHistory&) = delete;

  // Keeps the event, in place of the oldest if needed, and logs it.
  void Add(const LogEvent& event);
  // Oldest first.
  std::vector<Entry> GetEntries() const;

 private:
  static constexpr std::size_t kMaxEntries = 256;

  const Clock& clock_;
  mutable std::mutex mutex_;
  std::deque<Entry> entries_;
};

}  // namespace vanillafall

#endif  // DAEMON_EVENT_HISTORY_H_
