#ifndef DISPATCH_DISPATCH_EMULATOR_H_
#define DISPATCH_DISPATCH_EMULATOR_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "dispatch/dispatcher.h"

namespace vanillafall {

// A fleet of daemons in one process on a clock of its own: whole dispatchers,
// backend servers with slots and failing phases, callers with time limits that
// come back once after a refusal. The same seed gives the same run.
class DispatchEmulator {
 public:
  struct Load {
    int servers = 12;
    std::uint32_t slots = 3;
    int data_centres = 3;
    double requests_per_second = 80;
    // Part of the requests that may be repeated.
    double idempotent_share = 0.25;
    std::chrono::milliseconds work{250};
    std::chrono::milliseconds target_latency{800};
    std::chrono::milliseconds time_limit{2000};
    // Servers that fail fast, from when to when, and which part of their
    // requests.
    int failing_servers = 0;
    std::chrono::milliseconds failing_from{0};
    std::chrono::milliseconds failing_until{0};
    double failing_share = 0.75;
    // Besides, each server has failing phases of this length at random, for
    // this share of the time.
    double phase_share = 0;
    std::chrono::milliseconds phase_length{8000};
    // Part of the requests that fail for their own reasons, after their work.
    double error_share = 0;
    std::chrono::seconds length{30};
    std::uint64_t seed = 1;
  };

  // What the callers got.
  struct Outcomes {
    int asked = 0;
    int in_time = 0;
    int late = 0;
    // Late, because they had been refused before.
    int late_after_return = 0;
    int failed = 0;
    // Of these, requests that might have been repeated.
    int failed_idempotent = 0;
    // Runs beyond the first of their request.
    int repeats = 0;
    // Refused, and refused again when they came back.
    int refused = 0;
    // Requests that ran on more servers than allowed, or ran although they
    // were refused.
    int broken_promises = 0;
    // Messages between daemons.
    std::uint64_t messages = 0;

    double served_share() const {
      return static_cast<double>(in_time + late + late_after_return) /
             std::max(1, asked);
    }
    double in_time_share() const {
      return static_cast<double>(in_time) / std::max(1, asked);
    }
  };

  explicit DispatchEmulator(const Load& load);
  ~DispatchEmulator();
  DispatchEmulator(const DispatchEmulator&) = delete;
  DispatchEmulator& operator=(const DispatchEmulator&) = delete;

  Outcomes Run();

 private:
  class Node;
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> action;

    friend bool operator>(const Event& a, const Event& b) {
      return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
  };
  struct Caller {
    TimePoint first_sent;
    bool is_idempotent = false;
    bool has_retried = false;
    int runs = 0;
  };

  void At(TimePoint time, std::function<void()> action);
  void ScheduleNextRequest();
  void SendRequest(RequestId id, bool is_idempotent);
  void OnAnswer(const CallerAnswer& answer);
  void OnRun(RequestId id) { ++callers_[id].runs; }
  // Draws a pause between failing phases, or the remaining part of one.
  Duration DrawPause();
  std::chrono::milliseconds DrawWork();
  Node* FindOwner(const PeerAddress& owner);

  const Load load_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(1000)};
  TimePoint end_;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<RequestId, Caller> callers_;
  RequestId last_request_ = 0;
  Outcomes outcomes_;
};

}  // namespace vanillafall

#endif  // DISPATCH_DISPATCH_EMULATOR_H_
