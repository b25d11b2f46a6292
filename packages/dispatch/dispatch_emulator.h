#ifndef DISPATCH_DISPATCH_EMULATOR_H_
#define DISPATCH_DISPATCH_EMULATOR_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "dispatch/dispatcher.h"

namespace vanillafall {

// Simulates a fleet of daemons in one process and in simulated time: complete
// dispatchers, backend servers with slots and failing phases, and callers with
// time limits that retry once after a refusal. The same seed gives the same
// run.
class DispatchEmulator {
 public:
  // The fleet and its load.
  struct Load {
    int servers = 12;
    // Slots of each backend server.
    std::uint32_t slots = 3;
    int data_centres = 3;
    double requests_per_second = 80;
    // Share of requests that may run more than once.
    double idempotent_share = 0.25;
    // Mean processing time.
    std::chrono::milliseconds work{250};
    std::chrono::milliseconds target_latency{800};
    std::chrono::milliseconds time_limit{2000};
    // This many servers fail the share failing_share of their requests fast,
    // from failing_from to failing_until after the start.
    int failing_servers = 0;
    std::chrono::milliseconds failing_from{0};
    std::chrono::milliseconds failing_until{0};
    double failing_share = 0.75;
    // Messages to and from the daemons of the last cut_servers servers are lost
    // from cut_from to cut_until after the start. No caller uses these daemons.
    int cut_servers = 0;
    std::chrono::milliseconds cut_from{0};
    std::chrono::milliseconds cut_until{0};
    // From burst_from to burst_until after the start, this many times as many
    // requests are sent.
    double burst_factor = 1;
    std::chrono::milliseconds burst_from{0};
    std::chrono::milliseconds burst_until{0};
    // Daemons whose instances have no server of the service: they only take
    // requests of callers.
    int other_daemons = 0;
    // From restart_from to restart_until after the start, one daemon after the
    // other, in random order, is stopped, every restart_period, and started
    // again restart_time later. Its state and the requests that it handles are
    // lost; the server beside it goes on. Callers use the other daemons
    // meanwhile. 0 for none.
    std::chrono::milliseconds restart_period{0};
    std::chrono::milliseconds restart_time{1000};
    std::chrono::milliseconds restart_from{0};
    std::chrono::milliseconds restart_until{0};
    // In addition, each server has random failing phases of this length, for
    // this share of the time.
    double phase_share = 0;
    std::chrono::milliseconds phase_length{8000};
    // Share of requests that fail after the usual processing time, outside and
    // inside failing phases alike.
    double error_share = 0;
    // Time during which callers send requests.
    std::chrono::seconds length{30};
    std::uint64_t seed = 1;
  };

  // Results of all requests.
  struct Outcomes {
    // Requests, not counting retries after a refusal.
    int requests = 0;
    // Answered with success within the target latency.
    int in_time = 0;
    // Answered with success at the first try, but later.
    int late = 0;
    // Answered with success after the target latency, because they were refused
    // at the first try.
    int late_after_retry = 0;
    int failed = 0;
    // Idempotent requests among the failed ones.
    int failed_idempotent = 0;
    // Runs of requests that had already run.
    int repeats = 0;
    // Refused, and not retried or refused again.
    int refused = 0;
    // Requests that ran more often than allowed, and non-idempotent requests
    // that were answered as not run although they ran.
    int guarantee_violations = 0;
    // Messages between daemons.
    std::uint64_t messages = 0;
    // Checks, every kFloorCheckPeriod, at which less than kFloorShare of the
    // sound servers had run a request within kFloorWindow, although between a
    // tenth and half of all requests were not served.
    int floor_breaks = 0;
    // Runs that a server in a failing phase failed at once.
    int fast_failures = 0;

    // Share of requests that were answered with success.
    double served_share() const {
      return static_cast<double>(in_time + late + late_after_retry) /
             std::max(1, requests);
    }
    // Share of requests that were answered with success within the target
    // latency.
    double in_time_share() const {
      return static_cast<double>(in_time) / std::max(1, requests);
    }
  };

  static constexpr std::chrono::seconds kFloorWindow{2};
  static constexpr std::chrono::milliseconds kFloorCheckPeriod{250};
  static constexpr double kFloorShare = 0.7;
  // A server is sound when it has been reachable and healthy for this long. One
  // that failed in a random phase is sound again 2 s after its last failure.
  static constexpr std::chrono::seconds kSoundAfter{6};
  static constexpr std::chrono::seconds kSoundAfterPhase{2};

  explicit DispatchEmulator(const Load& load);
  ~DispatchEmulator();
  DispatchEmulator(const DispatchEmulator&) = delete;
  DispatchEmulator& operator=(const DispatchEmulator&) = delete;

  // Runs the whole simulation. Call it once.
  Outcomes Run();

 private:
  class Node;
  struct Event {
    TimePoint at;
    // Events of the same time take place in this order.
    std::uint64_t order = 0;
    std::function<void()> action;

    friend bool operator>(const Event& a, const Event& b) {
      return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
  };
  // The caller of one request.
  struct Caller {
    TimePoint first_sent;
    bool is_idempotent = false;
    bool has_retried = false;
    // How often a backend server started the request.
    int runs = 0;
  };

  // The daemons of all servers and the other daemons.
  int DaemonCount() const { return load_.servers + load_.other_daemons; }
  // Stops the daemon that is next in turn, and schedules its start and the next
  // stop.
  void RestartNextDaemon();
  // Schedules the action for the given simulated time.
  void At(TimePoint time, std::function<void()> action);
  void ScheduleNextRequest();
  void SendRequest(RequestId id, bool is_idempotent);
  void OnAnswer(const CallerAnswer& answer);
  void OnRun(RequestId id) { ++callers_[id].runs; }
  // Whether the time since the start lies in a span.
  bool IsBetween(std::chrono::milliseconds from,
                 std::chrono::milliseconds until) const;
  void CheckFloor();
  // Draws the length of a pause between two random failing phases.
  Duration DrawPause();
  // Draws the processing time of a request.
  std::chrono::milliseconds DrawWork();
  Node* FindOwner(const PeerAddress& owner);

  const Load load_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(1000)};
  TimePoint end_;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  RouteTablePtr table_;
  std::vector<ListedServer> servers_;
  std::vector<std::unique_ptr<Node>> nodes_;
  // The daemons to restart, the next one first.
  std::deque<Node*> restart_order_;
  std::map<RequestId, Caller> callers_;
  RequestId last_request_ = 0;
  // Times of answers in the last kFloorWindow, and whether they were
  // service.
  std::deque<std::pair<TimePoint, bool>> recent_answers_;
  Outcomes outcomes_;
};

}  // namespace vanillafall

#endif  // DISPATCH_DISPATCH_EMULATOR_H_
