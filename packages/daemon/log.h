#ifndef DAEMON_LOG_H_
#define DAEMON_LOG_H_

#include <string>

#include "base/log_event.h"
#include "config/settings.h"

namespace vanillafall {

// Starts the log. A thread of its own writes the lines to standard output from
// a bounded queue; while the queue is full, new lines are dropped.
void StartLog(LogFormat format, LogLevel level, const std::string& instance);

// Writes the queued lines and ends the thread.
void StopLog();

// Queues one event, unless its severity is below the level of the log. Safe to
// call from any thread.
void WriteLog(const LogEvent& event);

}  // namespace vanillafall

#endif  // DAEMON_LOG_H_
