#ifndef DISPATCH_REQUEST_ENTRY_H_
#define DISPATCH_REQUEST_ENTRY_H_

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "decision/crash_guard.h"
#include "decision/retry_budget.h"
#include "dispatch/call_origin.h"
#include "dispatch/config_freshness.h"
#include "dispatch/dispatch_delegate.h"
#include "dispatch/route_table.h"
#include "dispatch/server_directory.h"
#include "dispatch/service_record.h"
#include "dispatch/work_estimate.h"

namespace vanillafall {

// A complete request of a caller.
struct EntryRequest {
  RequestId id = 0;
  // The id that the caller gave the request.
  std::string request_id;
  std::string host;
  // Without headers that apply to a single connection only.
  HttpRequest request;
  // How long the caller waits, counted from the first byte of the request;
  // nothing when the caller did not specify it.
  std::optional<std::chrono::milliseconds> time_left;
  // Time since the first byte of the request arrived.
  std::chrono::milliseconds age{0};
  // Part of that time for which it has waited for a confirmation that the
  // configuration is the newest.
  std::chrono::milliseconds held{0};
  // Whether the request may be a call of this instance's backend server.
  CallParent parent;
  CallerKey key;
};

// Handles the requests of this instance's callers. For each request it finds
// the route, offers the request to owners, sends it to an owner that grants the
// offer, and answers the caller exactly once.
//
// Each search for a slot first offers the request to one owner after the other,
// in the order of ServerDirectory::Rank, to find a slot that is free now. A
// denial takes only a millisecond or two, so there is time for several offers.
// When no slot is free, the request waits in the queues of the few owners with
// the shortest expected wait, and the first grant gets it. Suspected servers
// have free slots because they fail fast, so they only get requests that no
// other server can run in time. When no owner can, the caller is refused at
// once.
//
// Another search follows only when the request has provably not run, or when an
// idempotent request failed and both the route's attempts and the retry budget
// allow another run. An idempotent request that takes much longer than usual is
// run on a second server at the same time (hedging).
class RequestEntry {
 public:
  using Random = std::mt19937_64;

  RequestEntry(std::uint64_t incarnation,
               DispatchDelegate& delegate,
               ServerDirectory& directory,
               CrashGuard& crash_guard,
               const ConfigFreshness& freshness);
  RequestEntry(const RequestEntry&) = delete;
  RequestEntry& operator=(const RequestEntry&) = delete;

  // Sets the routes for new requests.
  void Configure(RouteTablePtr table) { table_ = std::move(table); }

  // Inputs from callers, and messages from owners and events of their links.
  // `random` decides between services and between similar servers.
  void OnRequest(EntryRequest request, Random& random, TimePoint now);
  void OnCallerGone(RequestId id, TimePoint now);
  void OnHello(const PeerAddress& owner, const Hello& hello, TimePoint now);
  void OnGrant(const Grant& grant, Random& random, TimePoint now);
  void OnDeny(const Deny& deny, Random& random, TimePoint now);
  void OnResult(RunResult result, Random& random, TimePoint now);
  // Refuses a request that no known route matches, although one may have been
  // published meanwhile.
  void RefuseUnconfirmed(const EntryRequest& request, TimePoint now);
  // Refuses a request before anything has run.
  void Refuse(const EntryRequest& request,
              Reason reason,
              TimePoint now,
              std::chrono::milliseconds retry_after = {});
  // Called for each message from the owner: the link to it works.
  void OnMessageReceived(const PeerAddress& owner, TimePoint now);
  void OnLinkLost(const PeerAddress& owner, Random& random, TimePoint now);
  // The daemon has begun to stop and ends at `end`. From `limited_from` on,
  // requests whose time limit is not over by then are refused.
  void BeginDrain(TimePoint limited_from, TimePoint end);
  // Answers all requests with what is known of them: those that may have run
  // as unknown, the others as not run.
  void EndRequests(TimePoint now);
  // Handles all timeouts that are due.
  void Advance(Random& random, TimePoint now);

  // The time at which Advance has something to do.
  std::optional<TimePoint> NextWake() const;
  // Whether each service that this instance's backend server may have called
  // lately can get this many repeats more. `own_service` is not counted: its
  // own limit bounds the repeats that run here.
  bool MayCallAgain(const std::string& own_service,
                    std::size_t repeats,
                    TimePoint now);
  // Number of requests that are not answered yet.
  std::size_t request_count() const { return pending_.size(); }

 private:
  // Stage of a request's search for a slot.
  enum class SearchStage : std::uint8_t {
    // Is offered to one owner at a time for a slot that is free now.
    kSearching,
    // Waits in the queues of servers that are not suspected.
    kQueued,
    // Waits in the queues of suspected servers, because otherwise it would be
    // refused.
    kLastResort,
    // There is no search, because the request runs.
    kIdle,
  };
  enum class TryState : std::uint8_t {
    // Offered for a slot that is free now.
    kOffered,
    // Offered with permission to wait in the owner's queue.
    kWaiting,
    // The request was sent to the owner.
    kRunning
  };

  // One offer of a request to one owner, and the run that follows a grant.
  struct Try {
    OfferId id;
    std::string server;
    PeerAddress owner;
    TryState state = TryState::kOffered;
    // When the offer or, after a grant, the request was sent.
    TimePoint since;
    // The owner did not reply to the offer in time, and the search went on.
    bool is_overdue = false;
    // The link broke after the request was sent.
    bool is_link_broken = false;
    // When to request the result of a run whose link broke.
    TimePoint resume_at;
  };

  // A request that is not answered yet.
  struct PendingRequest {
    EntryRequest entry_request;
    DispatchRoutePtr route;
    // The configuration that the route is of, and how long before the request
    // was passed on it was last known to be the newest.
    std::uint64_t config_version = 0;
    std::optional<Duration> config_age;
    std::string service;
    // Name of the customer; empty when the request belongs to none. Its
    // CustomerPtr would keep all customers of an old configuration in memory.
    std::string customer;
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    // A run of this instance's backend server probably waits for the answer.
    bool is_call = false;
    // It is a call that no server can serve within the target latency, and
    // waits for a later answer.
    bool accepts_late = false;
    // It is a call that follows a successful one, probably of the same run.
    bool is_continued = false;
    Hash128 fingerprint;
    TimePoint arrived;
    TimePoint deadline;
    SearchStage stage = SearchStage::kSearching;
    std::vector<Try> tries;
    // Servers that got an offer in this search or ran the request before.
    std::set<std::string> excluded;
    // Servers to which the request itself was sent.
    std::set<std::string> sent_to;
    // Offers for an immediately free slot that were sent in this search.
    std::uint32_t offers_in_search = 0;
    // Runs, except those that ended as not run.
    std::uint32_t runs = 0;
    // Failed runs in which the backend server read the request.
    std::uint32_t arrivals = 0;
    // True when a failed run may have executed the request.
    bool may_have_run = false;
    // The last failure; it becomes the answer if no run succeeds.
    std::optional<RunResult> failure;
    // Shortest expected wait that a denial reported.
    std::optional<std::chrono::milliseconds> min_wait;
    // When to search for a second slot; max for never.
    TimePoint hedge_at = TimePoint::max();
    // When AdvanceOne has something to do.
    TimePoint wake_at;
    // History of offers and runs, for the log line of the answer.
    std::string history;
  };

  // State of the link to an owner.
  struct OwnerLink {
    // Incarnation number of the owner's process; 0 before its first Hello.
    std::uint64_t incarnation = 0;
    // When the last message arrived or the last request was sent.
    TimePoint last_received;
    TimePoint pinged_at;
    bool is_awaiting_pong = false;
  };

  using PendingMap = std::map<RequestId, PendingRequest>;

  // Counts a request that its customer's limit refuses as not served by the
  // service to which most requests of its route go: to callers the service is
  // in trouble, and its suspected servers have to be tested.
  void RecordOverLimit(const EntryRequest& request, TimePoint now);
  // Continues the search for a slot; answers the caller when no owner is left.
  void Search(PendingRequest& pending, Random& random, TimePoint now);
  // Offers the request to the next owner that may have a free slot. Returns
  // false when there is none.
  bool OfferToFreeServer(PendingRequest& pending,
                         Random& random,
                         TimePoint now);
  // Offers the request to the owners with the shortest expected wait, either of
  // suspected servers or of all others. Returns false when there are none.
  bool OfferToQueues(PendingRequest& pending,
                     bool takes_suspects,
                     Random& random,
                     TimePoint now);
  // Chooses a suspected server that this request should test; null when there
  // is none.
  const ServerDirectory::Candidate* ChooseServerToTest(
      const PendingRequest& pending,
      const std::vector<ServerDirectory::Candidate>& ranked,
      TimePoint now);
  // What an offer allows its owner to do.
  struct OfferTerms {
    bool may_wait = false;
    bool accepts_suspect = false;
    bool may_test = false;
  };
  void SendOffer(PendingRequest& pending,
                 const ServerDirectory::Candidate& candidate,
                 const OfferTerms& terms,
                 TimePoint now);
  // Sets the maximum wait of the offer and whether it is late. The offer may
  // wait as long as the answer can still meet the target latency or, if it can
  // no longer meet it, as long as it can meet the deadline.
  void SetMaxWait(const PendingRequest& pending,
                  TimePoint now,
                  Offer* offer) const;
  void SendRun(PendingRequest& pending, Try& granted, TimePoint now);
  // Starts another search for a slot. Returns false when the deadline has
  // passed.
  bool RestartSearch(PendingRequest& pending, Random& random, TimePoint now);
  // Takes a retry from the budget if the request may run again. Returns false
  // when it may not or the budget is spent.
  bool TryTakeRetry(PendingRequest& pending, TimePoint now);
  // Whether the request could be repeated if its next run failed.
  bool MayTest(const PendingRequest& pending, TimePoint now);
  // Determines whether the request is a call and what it takes over from the
  // run that makes it.
  void InheritFromParent(PendingRequest& pending, bool has_key, TimePoint now);
  void OnTryFailed(PendingRequest& pending,
                   RunResult result,
                   Random& random,
                   TimePoint now);
  // Takes in what an owner has reported of its server and of the service.
  void OnLoad(const PendingRequest& pending,
              const std::string& server,
              const OwnerLoad& load,
              TimePoint now);
  // Withdraws all offers whose request was not sent, except the kept one; null
  // keeps none.
  void WithdrawOffers(PendingRequest& pending,
                      const OfferId* kept,
                      TimePoint now);
  // Answers the caller when no run has succeeded and none will be started.
  void FinishWithoutSuccess(PendingRequest& pending, TimePoint now);
  void Finish(PendingRequest& pending,
              Outcome outcome,
              Reason reason,
              HttpResponse response,
              TimePoint now);
  void AdvanceOne(PendingRequest& pending, Random& random, TimePoint now);
  // Pings an owner from which nothing was received for kMaxSilence, and resets
  // the link if no reply follows.
  void CheckOwnerSilence(const Try& open, TimePoint now);
  // Recomputes when AdvanceOne has something to do.
  void SetWake(PendingRequest& pending);
  // The suspected server that has sent no report for the longest time, if it is
  // time to test one with a request that may not be repeated; else null.
  const ServerDirectory::Candidate* ChooseSilentSuspect(
      const PendingRequest& pending,
      const std::vector<ServerDirectory::Candidate>& ranked,
      TimePoint now);
  RetryBudget& BudgetOf(const std::string& service);
  PendingRequest* FindByOffer(const OfferId& id);
  static Try* FindTry(PendingRequest& pending, const OfferId& id);
  // For the log line: as what the request is ordered.
  static const char* ToCallRank(const PendingRequest& pending);
  static bool IsRunning(const PendingRequest& pending);
  // Expected processing time of the request.
  Duration ExpectedWork(const PendingRequest& pending) const;

  const std::uint64_t incarnation_;
  std::uint64_t last_offer_sequence_ = 0;
  DispatchDelegate& delegate_;
  ServerDirectory& directory_;
  CrashGuard& crash_guard_;
  const ConfigFreshness& freshness_;
  RouteTablePtr table_;
  // See BeginDrain.
  TimePoint limited_from_ = TimePoint::max();
  TimePoint drain_end_ = TimePoint::max();
  PendingMap pending_;
  std::map<OfferId, RequestId> request_by_offer_;
  std::map<std::string, RetryBudget> budgets_;
  // When this instance's backend server may last have called a service.
  std::map<std::string, TimePoint> called_at_;
  // When the last call of each route succeeded, unless another call has
  // followed it since.
  std::map<std::string, TimePoint> call_succeeded_at_;
  std::map<std::string, ServiceRecord> records_;
  std::map<PeerAddress, OwnerLink> links_;
  WorkEstimate work_;
};

}  // namespace vanillafall

#endif  // DISPATCH_REQUEST_ENTRY_H_
