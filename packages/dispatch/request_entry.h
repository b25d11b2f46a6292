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
#include "dispatch/carrier.h"
#include "dispatch/route_table.h"
#include "dispatch/server_directory.h"
#include "dispatch/work_estimate.h"

namespace vanillafall {

// A caller's whole request.
struct EntryRequest {
  RequestId id = 0;
  // The caller's own id of it.
  std::string request_id;
  std::string host;
  // Without headers that concern one connection only.
  HttpRequest request;
  // How long the caller waits; nothing when it does not say.
  std::optional<std::chrono::milliseconds> time_left;
};

// The requests of this instance's callers. Finds the route, offers the request
// to owners, hands it over to the one that grants, and answers the caller
// exactly once.
//
// Each round first asks for a slot that is free now, the most promising owner
// first; since a denial takes a millisecond or two, several can be asked in
// turn. When none is free, the offer waits at the few owners with the shortest
// queues, and the first grant takes it. Suspected servers, which are free
// because they fail so fast, get what no other can run in time. When no owner
// can, it is refused at once.
//
// A further round follows only what has provably not run, or a failure of
// idempotent work within the route's attempts and the retry budget. Idempotent
// work that takes much longer than usual is tried elsewhere as well.
class RequestEntry {
 public:
  using Random = std::mt19937_64;

  RequestEntry(std::uint64_t incarnation,
               Carrier& delegate,
               ServerDirectory& directory,
               CrashGuard& crash_guard);
  RequestEntry(const RequestEntry&) = delete;
  RequestEntry& operator=(const RequestEntry&) = delete;

  void Configure(RouteTablePtr table) { table_ = std::move(table); }

  void OnRequest(EntryRequest request, Random& random, TimePoint now);
  void OnCallerGone(RequestId id, TimePoint now);
  void OnHello(const PeerAddress& owner, const Hello& hello, TimePoint now);
  void OnGrant(const Grant& grant, Random& random, TimePoint now);
  void OnDeny(const Deny& deny, Random& random, TimePoint now);
  void OnResult(RunResult result, Random& random, TimePoint now);
  // Any message from the owner shows that the link works.
  void OnMessageReceived(const PeerAddress& owner, TimePoint now);
  void OnLinkLost(const PeerAddress& owner, Random& random, TimePoint now);
  void Advance(Random& random, TimePoint now);

  std::optional<TimePoint> NextWake() const;
  std::size_t request_count() const { return pending_.size(); }

 private:
  // Where a request stands in its search for a slot.
  enum class SearchStage : std::uint8_t {
    // Asks for a slot that is free now.
    kSearching,
    // Waits in queues of servers that are not suspected.
    kQueued,
    // Takes suspected servers too, rather than be refused.
    kLastResort,
    // Does not search.
    kIdle,
  };
  enum class TryState : std::uint8_t { kOffered, kWaiting, kRunning };

  struct Try {
    OfferId id;
    std::string server;
    PeerAddress owner;
    TryState state = TryState::kOffered;
    TimePoint since;
    // The owner's silence has been noted.
    bool is_overdue = false;
    // The link broke after the request was sent.
    bool is_link_broken = false;
    TimePoint resume_at;
  };

  struct PendingRequest {
    EntryRequest entry_request;
    DispatchRoutePtr route;
    std::string service;
    Hash128 fingerprint;
    TimePoint arrived;
    TimePoint deadline;
    SearchStage stage = SearchStage::kSearching;
    std::vector<Try> tries;
    // Asked in this round, or unfit for this request.
    std::set<std::string> excluded;
    // It was sent to these.
    std::set<std::string> sent_to;
    std::uint32_t offers_in_search = 0;
    std::uint32_t runs = 0;
    std::uint32_t arrivals = 0;
    bool may_have_run = false;
    // The last failure that may become the answer.
    std::optional<RunResult> failure;
    std::optional<std::chrono::milliseconds> min_wait;
    // When to look for a second slot; max when never.
    TimePoint hedge_at = TimePoint::max();
    TimePoint wake_at;
    // What was tried, for the log.
    std::string trail;
  };

  // What is known of the link to an owner.
  struct OwnerLink {
    std::uint64_t incarnation = 0;
    TimePoint last_received;
    TimePoint pinged_at;
    bool is_awaiting_pong = false;
  };

  using PendingMap = std::map<RequestId, PendingRequest>;

  void Refuse(const EntryRequest& request, Reason reason);
  // Offers the request further in its round; refuses it when no owner is left.
  void Search(PendingRequest& pending, Random& random, TimePoint now);
  bool OfferToFreeServer(PendingRequest& pending,
                         Random& random,
                         TimePoint now);
  bool OfferToQueues(PendingRequest& pending,
                     bool takes_suspects,
                     Random& random,
                     TimePoint now);
  // A suspected server that this request should test; null when there is none.
  const ServerDirectory::Candidate* ChooseServerToTest(
      const PendingRequest& pending,
      const std::vector<ServerDirectory::Candidate>& ranked,
      TimePoint now);
  void SendOffer(PendingRequest& pending,
                 const ServerDirectory::Candidate& candidate,
                 bool may_wait,
                 bool accepts_suspect,
                 TimePoint now);
  // How long the offer may wait: while an answer can still be in time for the
  // caller, or, when it can't, while there can be one at all.
  void SetMaxWait(const PendingRequest& pending,
                  TimePoint now,
                  Offer* offer) const;
  void SendRun(PendingRequest& pending, Try& granted, TimePoint now);
  // Begins another round after a try that must not or need not be final.
  // Returns false when there may be none.
  bool RestartSearch(PendingRequest& pending, Random& random, TimePoint now);
  bool TryTakeRetry(PendingRequest& pending, TimePoint now);
  // Whether it could be repeated if its next run failed.
  bool MayTest(const PendingRequest& pending, TimePoint now);
  void OnTryFailed(PendingRequest& pending,
                   RunResult result,
                   Random& random,
                   TimePoint now);
  // Withdraws every try that has not been sent, but for one.
  void WithdrawOffers(PendingRequest& pending,
                      const OfferId* kept,
                      TimePoint now);
  void FinishWithoutSuccess(PendingRequest& pending, TimePoint now);
  void Finish(PendingRequest& pending,
              Outcome outcome,
              Reason reason,
              HttpResponse response,
              TimePoint now);
  void AdvanceOne(PendingRequest& pending, Random& random, TimePoint now);
  void CheckOwnerSilence(const Try& open, TimePoint now);
  void SetWake(PendingRequest& pending);
  RetryBudget& BudgetOf(const std::string& service);
  PendingRequest* FindByOffer(const OfferId& id);
  static Try* FindTry(PendingRequest& pending, const OfferId& id);
  static bool IsRunning(const PendingRequest& pending);
  Duration ExpectedWork(const PendingRequest& pending) const;

  const std::uint64_t incarnation_;
  std::uint64_t last_offer_sequence_ = 0;
  Carrier& delegate_;
  ServerDirectory& directory_;
  CrashGuard& crash_guard_;
  RouteTablePtr table_;
  PendingMap pending_;
  std::map<OfferId, RequestId> request_by_offer_;
  std::map<std::string, RetryBudget> budgets_;
  std::map<PeerAddress, OwnerLink> links_;
  WorkEstimate work_;
};

}  // namespace vanillafall

#endif  // DISPATCH_REQUEST_ENTRY_H_
