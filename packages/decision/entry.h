#ifndef DECISION_ENTRY_H_
#define DECISION_ENTRY_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "decision/event.h"
#include "decision/peer_caller.h"
#include "decision/retry_budget.h"
#include "decision/router.h"

namespace vanillafall {

// The requests of this daemon's callers: finds the route, checks the caller,
// chooses a backend server, hands over to its owner, and tries elsewhere where
// that is allowed. It answers each request exactly once.
//
// A try that was proved not run may always be tried elsewhere. A try whose
// outcome is unknown is tried again only when the request is idempotent.
class Entry {
 public:
  using Random = std::mt19937_64;

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

  bool Owns(PeerCallId call) const { return tries_.contains(call); }
  std::size_t request_count() const { return pending_.size(); }

 private:
  struct Pending {
    RequestId id = 0;
    RunRequest run;
    TimePoint deadline;
    std::vector<std::string> tried;
    Outcome outcome = Outcome::kNotRun;
    Reason reason = Reason::kNoConfig;
    // The last whole answer of a backend server that may not be final.
    HttpResponse response;
  };
  struct Try {
    RequestId request = 0;
    std::string server;
    TimePoint sent;
  };
  struct ServiceState {
    std::unique_ptr<Router> router;
    RetryBudget budget;
  };

  // Why the request can't be served at all; kOk when it can.
  Reason Prepare(const CallerRequest& request, RunRequest* run) const;
  void SendNext(Pending& pending,
                Random& random,
                TimePoint now,
                Actions& actions);
  void Conclude(const Try& done,
                const RunReply& reply,
                Random& random,
                TimePoint now,
                Actions& actions);
  bool MayTryAgain(const Pending& pending, TimePoint now);
  void Finish(Pending& pending, Actions& actions);
  ServiceState& StateOf(const std::string& service);

  const std::string data_centre_;
  const std::size_t max_requests_;
  PeerCaller& peers_;
  FleetConfigPtr config_;
  std::unordered_map<RequestId, Pending> pending_;
  std::unordered_map<PeerCallId, Try> tries_;
  std::map<std::string, ServiceState, std::less<>> services_;
};

}  // namespace vanillafall

#endif  // DECISION_ENTRY_H_
