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

// The requests of this daemon's callers: finds the route, checks the caller,
// chooses a backend server, hands over to its owner, and tries elsewhere where
// that is allowed. It answers each request exactly once, at the latest
// kDeadlineGrace after its deadline.
//
// A try that was proved not run may always be tried elsewhere. A try whose
// outcome is unknown is tried again only when the request is idempotent. Every
// further try needs the retry budget.
//
// An idempotent try that takes much longer than the service's recent latency
// is followed by one elsewhere if the budget allows it; else it is waited for.
// The first whole answer counts, so a slow service is never made a failing one.
//
// Once a try's outcome is unknown, the request's outcome is unknown, unless
// another try is done.
class Entry {
 public:
  using Random = std::mt19937_64;

  // How long after its deadline a request may still be answered by its tries.
  static constexpr std::chrono::milliseconds kDeadlineGrace{50};

  Entry(std::string data_centre, std::size_t max_requests, PeerCaller& peers);
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  void Configure(const FleetConfigPtr& config);
  void OnRequest(const CallerRequest& request,
                 Random& random,
                 TimePoint now,
                 Actions& actions);
  void OnReply(PeerCallId call,
               const RunReply& reply,
               Random& random,
               TimePoint now,
               Actions& actions);
  void OnFailure(PeerCallId call,
                 PeerFailure failure,
                 Random& random,
                 TimePoint now,
                 Actions& actions);
  // Ends requests whose deadline has passed and tries slow ones elsewhere.
  void Advance(Random& random, TimePoint now, Actions& actions);

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
    // When Advance has to look at it.
    TimePoint wakeup;
    Outcome outcome = Outcome::kNotRun;
    Reason reason = Reason::kNoConfig;
    // The last whole answer of a backend server that may not be final.
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

  // Why the request can't be served at all; kOk when it can.
  Reason Prepare(const CallerRequest& request, RunRequest* run) const;
  // Hands the request over to the owner of the preferred server. Returns false
  // when there is none or no time is left.
  bool Send(Pending& pending, Random& random, TimePoint now, Actions& actions);
  void OnTryEnded(PeerCallId call,
                  const Try& ended_try,
                  const RunReply& reply,
                  Random& random,
                  TimePoint now,
                  Actions& actions);
  void RecordReply(const Try& ended_try, const RunReply& reply, TimePoint now);
  void OnSlowTry(Pending& pending,
                 Random& random,
                 TimePoint now,
                 Actions& actions);
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
  // One for each pending request.
  std::set<Wakeup> wakeups_;
  std::unordered_map<PeerCallId, Try> tries_;
  std::map<std::string, ServiceState, std::less<>> services_;
};

}  // namespace vanillafall

#endif  // DECISION_ENTRY_H_
