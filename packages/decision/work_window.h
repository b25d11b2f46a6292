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

// Result of one request that a backend server has ended.
struct WorkSample {
  std::string request_class;
  std::chrono::microseconds latency{0};
  bool failed = false;
  // The time left of the request ran out. If little time was left, this says
  // little about the server.
  bool timed_out = false;
};

// Latency of the successful requests of one request class in the window.
struct ClassSummary {
  std::string request_class;
  std::chrono::microseconds median{0};
  std::chrono::microseconds slowest{0};
  std::uint32_t samples = 0;
};

// A request that a backend server is working on.
struct RunningWork {
  std::string request_class;
  TimePoint started;
};

// The recent work of one backend server: its latest outcomes, its latest
// latencies of each request class, both up to an age, and the requests that are
// running. Running requests are included because a hung request gives no sample
// before its timeout.
class WorkWindow {
 public:
  // Identifies a running request.
  using Ticket = std::uint64_t;

  // Maximum number and age of the samples.
  struct Size {
    std::size_t samples = 0;
    std::chrono::milliseconds age{0};
  };

  explicit WorkWindow(Size size) : size_(size) {}

  void Resize(Size size) { size_ = size; }

  // Call OnStarted when a request is sent to the server, and OnEnded when that
  // request has ended, successfully or not.
  void OnStarted(Ticket ticket,
                 const std::string& request_class,
                 TimePoint now);
  void OnEnded(Ticket ticket);

  // Adds the result of a request. Ignored if the request began before the
  // window was last cleared.
  void Record(const WorkSample& sample, TimePoint now);

  // Drops samples that are too old. Call before reading.
  void Expire(TimePoint now);

  // Drops all samples and running requests. The results of these requests are
  // ignored later.
  void Clear(TimePoint now);

  std::uint32_t sample_count() const;
  std::uint32_t failure_count() const { return failures_; }
  // Samples of one class, failed ones included.
  std::uint32_t CountSamples(const std::string& request_class) const;
  // Failures since the latest success.
  std::uint32_t failures_in_row() const { return failures_in_row_; }
  // 0 when there are no samples.
  double failure_ratio() const;
  // One summary for each class with a successful request in the window.
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
