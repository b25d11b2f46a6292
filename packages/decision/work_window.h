#ifndef DECISION_WORK_WINDOW_H_
#define DECISION_WORK_WINDOW_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "message/peer.h"

namespace vanillafall {

// One piece of real work that a backend server has ended.
struct WorkSample {
  std::string request_class;
  std::chrono::microseconds latency{0};
  bool failed = false;
  // The time left ran out. Says little of the server when there was little.
  bool timed_out = false;
};

// Latency of one request class in the window; only work that ended well counts.
struct ClassSummary {
  std::string request_class;
  std::chrono::microseconds median{0};
  std::chrono::microseconds slowest{0};
  std::uint32_t samples = 0;
};

// What a backend server still works on.
struct RunningWork {
  std::string request_class;
  TimePoint started;
};

// The recent work of one backend server: the last outcomes and, for each
// request class, the last latencies, none of them too old; and what is running.
// Running work matters because hung work gives no sample before its timeout.
class WorkWindow {
 public:
  using Ticket = std::uint64_t;

  struct Size {
    std::size_t samples = 0;
    std::chrono::milliseconds age{0};
  };

  explicit WorkWindow(Size size) : size_(size) {}

  void Resize(Size size) { size_ = size; }

  // Work was sent to the server, and has ended in whatever way.
  void OnStarted(Ticket ticket,
                 const std::string& request_class,
                 TimePoint now);
  void OnEnded(Ticket ticket);

  // Work has ended. Ignored when it began before the window was cleared.
  void Record(const WorkSample& sample, TimePoint now);

  // Drops samples that are too old. Call before reading.
  void Expire(TimePoint now);

  // Forgets all samples and all work that is running, whose end will not count.
  void Clear(TimePoint now);

  std::uint32_t sample_count() const;
  std::uint32_t failure_count() const { return failures_; }
  // Samples of one class, failed or not.
  std::uint32_t CountSamples(const std::string& request_class) const;
  // Failures since the last success.
  std::uint32_t failures_in_row() const { return failures_in_row_; }
  // 0 when there are no samples.
  double failure_ratio() const;
  // Classes of which some work has ended well.
  std::vector<ClassSummary> SummarizeClasses() const;
  const std::map<Ticket, RunningWork>& running() const { return running_; }

 private:
  struct Entry {
    WorkSample sample;
    TimePoint ended;
  };
  struct Latency {
    std::chrono::microseconds value{0};
    TimePoint ended;
  };

  void ExpireLatencies(TimePoint now);

  Size size_;
  std::deque<Entry> entries_;
  std::map<std::string, std::deque<Latency>> latencies_;
  std::uint32_t failures_ = 0;
  std::uint32_t failures_in_row_ = 0;
  std::map<Ticket, RunningWork> running_;
  TimePoint cleared_;
};

}  // namespace vanillafall

#endif  // DECISION_WORK_WINDOW_H_
