#ifndef DECISION_ENTRY_H_
#define DECISION_ENTRY_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "decision/event.h"
#include "decision/latency_estimate.h"
#include "decision/peer_caller.h"
#include "decision/retry_budget.h"
#include "decision/route_index.h"
#include "decision/router.h"

namespace vanillafall {

// Handles the requests of this daemon's callers: finds the route, checks that
// the caller is allowed, chooses a backend server, sends the request to the
// server's owner, and tries another server where that is safe. Each request is
// answered exactly once, at the latest kDeadlineGrace after its deadline.
//
// After a try that has provably not run, another one is always allowed. After a
// try whose outcome is unknown, another one is allowed only when the request is
// idempotent. Every try after the first takes one retry from the retry budget.
//
// When a try of an idempotent request takes much longer than the service's
// recent latency, another try is sent to a different server if the budget
// allows it. The entry keeps waiting for the slow try in any case, and the
// first complete answer counts, so a service that is only slow does not start
// to fail requests.
//
// Once the outcome of a try is unknown, the outcome of the request is unknown,
// unless another try ends with kDone.
class Entry {
 public:
  using Random = std::mt19937_64;

  // How long after its deadline a request still accepts results of its tries.
  static constexpr std::chrono::milliseconds kDeadlineGrace{50};

  Entry(std::string data_centre, std::size_t max_requests, PeerCaller& peers);
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  void Configure(const FleetConfigPtr& config);
  void OnRequest(const CallerRequest& request,
                 Random& random,
                 TimePoint now,
                 Actions& actions);
  // A try has ended with a reply of its owner.
  void OnReply(PeerCallId call,
               const RunReply& reply,
               Random& random,
               TimePoint now,
               Actions& actions);
  // A try has ended without a reply.
  void OnFailure(PeerCallId call,
                 PeerFailure failure,
                 Random& random,
                 TimePoint now,
                 Actions& actions);
  // Answers requests whose deadline has passed, and sends another try for slow
  // ones. Call on every tick.
  void Advance(Random& random, TimePoint now, Actions& actions);

  // Whether the call is an open try of this entry.
  bool Owns(PeerCallId call) const { return tries_.contains(call); }
  std::size_t request_count() const { return pending_.size(); }

 private:
  struct Pending {
    RequestId id = 0;
    RunRequest run;
    TimePoint deadline;
    std::vector<std::string> tried;
    // The try that was sent last; 0 when it has ended.
    PeerCallId current_try = 0;
    // Tries that have not ended, the current one included.
    std::uint32_t open_tries = 0;
    // When Advance next has to handle this request.
    TimePoint wakeup;
    Outcome outcome = Outcome::kNotRun;
    Reason reason = Reason::kNoConfig;
    // The last complete answer of a backend server; a later try may replace it.
    HttpResponse response;
  };
  struct Try {
    RequestId request = 0;
    std::string service;
    std::string request_class;
    std::string server;
    TimePoint sent;
  };
  struct ServiceState {
    std::unique_ptr<Router> router;
    RetryBudget budget;
    // By request class.
    std::map<std::string, LatencyEstimate, std::less<>> latencies;
  };
  struct Wakeup {
    TimePoint at;
    RequestId request = 0;

    friend bool operator<(const Wakeup& a, const Wakeup& b) {
      return std::tie(a.at, a.request) < std::tie(b.at, b.request);
    }
  };

  // Fills in `run`. Returns why the request can't be served, kOk when it can.
  Reason Prepare(const CallerRequest& request, RunRequest* run) const;
  // Sends a try to the owner of the preferred server that was not tried before.
  // Returns false when there is no such server or no time is left.
  bool Send(Pending& pending, Random& random, TimePoint now, Actions& actions);
  // Combines the result of a try with the former ones, then answers the caller,
  // sends another try, or waits for the tries that are still open.
  void OnTryEnded(PeerCallId call,
                  const Try& ended_try,
                  const RunReply& reply,
                  Random& random,
                  TimePoint now,
                  Actions& actions);
  void RecordReply(const Try& ended_try, const RunReply& reply, TimePoint now);
  // The current try has become slow: sends another one if that is allowed.
  void OnSlowTry(Pending& pending,
                 Random& random,
                 TimePoint now,
                 Actions& actions);
  // Whether another try may be sent; if so, takes one retry from the retry
  // budget.
  bool MayTryAgain(const Pending& pending, TimePoint now);
  // How long a try may take before it counts as slow.
  Duration SlowThresholdFor(const RunRequest& run, Duration time_left);
  void ScheduleWakeup(Pending& pending, TimePoint at);
  void Finish(Pending& pending, Actions& actions);
  ServiceState& StateOf(const std::string& service);

  const std::string data_centre_;
  const std::size_t max_requests_;
  PeerCaller& peers_;
  FleetConfigPtr config_;
  RouteIndex routes_;
  std::unordered_map<RequestId, Pending> pending_;
  // One for each pending request, ordered by time.
  std::set<Wakeup> wakeups_;
  std::unordered_map<PeerCallId, Try> tries_;
  std::map<std::string, ServiceState, std::less<>> services_;
};

}  // namespace vanillafall

#endif  // DECISION_ENTRY_H_
