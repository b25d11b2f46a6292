#ifndef DISPATCH_BACKEND_OWNER_H_
#define DISPATCH_BACKEND_OWNER_H_

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "decision/crash_guard.h"
#include "dispatch/call_origin.h"
#include "dispatch/dispatch_delegate.h"
#include "dispatch/fleet_record.h"
#include "dispatch/health_filter.h"
#include "dispatch/rate_limit.h"
#include "dispatch/server_directory.h"
#include "dispatch/slot_queue.h"
#include "dispatch/work_estimate.h"

namespace vanillafall {

// The owner of this instance's backend server. Only the owner sends requests to
// the backend server. It therefore knows each slot in use and how each request
// ended, and a request that it denies has provably not run there.
class BackendOwner {
 public:
  BackendOwner(DispatchDelegate& delegate, CrashGuard& crash_guard);
  BackendOwner(const BackendOwner&) = delete;
  BackendOwner& operator=(const BackendOwner&) = delete;

  // Sets this instance's backend server; nothing when none is listed. A server
  // with another id or start time is a new process, whose health is not yet
  // known.
  void SetServer(const std::optional<ListedServer>& server, TimePoint now);
  // Grants no offers until ReleaseOffers, because what is known of the backend
  // server may be too old. Offers that may wait do so, others are denied.
  void HoldOffers() { is_holding_offers_ = true; }
  bool is_holding_offers() const { return is_holding_offers_; }
  // What is known of the backend server is current.
  void ReleaseOffers(TimePoint now);
  // Denies all offers from now on, because this daemon is about to stop.
  void SetStopping() { is_stopping_ = true; }
  // Version of the configuration in force, sent with each message.
  void SetConfigVersion(std::uint64_t version) { config_version_ = version; }

  // Inputs: messages from entries, and events of their links and of calls to
  // the backend server.
  void OnOffer(LinkId link, const Offer& offer, TimePoint now);
  void OnWithdraw(const OfferId& id, TimePoint now);
  void OnRun(LinkId link, const Run& run, TimePoint now);
  // Refuses a request that was granted, as not run, because its body could not
  // be received.
  void OnRunWithoutBody(LinkId link, const OfferId& id, TimePoint now);
  void OnCancel(const OfferId& id, TimePoint now);
  void OnResume(LinkId link, const Resume& resume, TimePoint now);
  void OnEntryLinkLost(LinkId link, TimePoint now);
  void OnBackendEnd(BackendCallEnd end, TimePoint now);
  // Handles all timeouts that are due.
  void Advance(TimePoint now);

  // The time at which Advance has something to do.
  std::optional<TimePoint> NextWake() const;
  // Number of requests that run, and of slots reserved for granted offers.
  std::size_t busy_count() const { return runs_.size() + reserved_.size(); }
  // Which runs may have made a request as their call, given that the time of
  // its caller is over at `deadline`.
  CallParent ParentOfCall(TimePoint deadline) const;
  // A request that may be a call of one of the runs, and whose time is over at
  // `deadline`, was answered with a failure. What becomes of these runs no
  // longer says anything about the health of the backend server.
  void OnCallFailed(TimePoint deadline);
  // Repeats that run or have a slot reserved.
  std::size_t repeat_count() const;
  // Whether offers of repeats may be granted.
  void SetAcceptsRepeats(bool accepts) { accepts_repeats_ = accepts; }
  // Returns the notices of crashes since the last call, to be sent to the other
  // daemons.
  std::vector<CrashNotice> TakeCrashNotices();
  const std::optional<ListedServer>& server() const { return server_; }

 private:
  // An offer that waits in the queue or has been granted a slot.
  struct OpenOffer {
    LinkId link = 0;
    Offer offer;
    // Not set while the offer waits.
    TimePoint reserved_until;
    TimePoint deadline;
  };
  // An offer that waits; see HoldOffers.
  struct HeldOffer {
    LinkId link = 0;
    Offer offer;
    TimePoint since;
  };
  // A request that runs on the backend server.
  struct OpenRun {
    OfferId id;
    LinkId link = 0;
    bool is_link_lost = false;
    bool is_cancelled = false;
    bool is_repeat = false;
    // A request that may have been a call of this run has failed.
    bool has_failed_call = false;
    Offer offer;
    // The process that was called.
    ServerProcess process;
    std::string request_id;
    // Empty when the request belongs to no customer.
    std::string customer;
    TimePoint started;
    // When the caller's time is over.
    TimePoint deadline;
    // When the run is cancelled because its entry did not resume it.
    TimePoint abandon_at = TimePoint::max();
    // When the run next counts as slow.
    TimePoint slow_at = TimePoint::max();
    // How often the run has counted as slow so far.
    std::uint32_t slow_count = 0;
  };
  // A result that an entry may still request with a Resume.
  struct KeptResult {
    RunResult result;
    TimePoint until;
  };
  // The fact that a request ran, which is kept for longer than its result.
  struct EndedRun {
    OfferId id;
    TimePoint at;
  };

  // Whether a request whose time is over at `deadline` may be a call of the
  // run: a call's time ends with that of the request that makes it.
  static bool MayHaveCalled(const OpenRun& run, TimePoint deadline);
  // Why the offer must be denied; nothing when it may be granted or queued.
  std::optional<DenyReason> ReasonToDeny(const Offer& offer, TimePoint now);
  // Whether a suspected backend server may be tested now with this offer. The
  // test starts when a slot is reserved for the offer.
  bool MayStartTest(const Offer& offer, TimePoint now);
  // Whether the backend server has been left without requests for so long that
  // this offer must not be denied for suspicion, because the service is in
  // trouble.
  bool NeedsCoverage(const Offer& offer, TimePoint now);
  void Reserve(LinkId link, const Offer& offer, TimePoint now);
  void SendDeny(LinkId link,
                const Offer& offer,
                DenyReason reason,
                TimePoint now);
  // Grants free slots to the first offers in the queue.
  void GrantFreeSlots(TimePoint now);
  void ReleaseSlot(const OfferId& id, TimePoint now);
  void StartRun(LinkId link, const Offer& offer, const Run& run, TimePoint now);
  void RefuseRun(LinkId link, const OfferId& id, Reason reason, TimePoint now);
  void RecordHealth(const OpenRun& run,
                    const BackendCallEnd& end,
                    TimePoint now);
  void AddEvidence(HealthFilter::Evidence evidence, TimePoint now);
  void RecordCrash(const OpenRun& run,
                   const BackendCallEnd& end,
                   TimePoint now);
  // Remembers that the request ran, and its result if the memory limit allows.
  void RetainResult(const RunResult& result, TimePoint now);
  // Drops results and ended runs whose retention time is over.
  void ExpireResults(TimePoint now);
  // Whether the backend server is leaving, as the list or it itself says.
  bool IsLeaving() const {
    return has_announced_leaving_ || (server_ && server_->is_draining);
  }
  // Follows what the backend server says about itself in an answer to the run.
  void ApplyNotice(const OpenRun& run,
                   const ServerNotice& notice,
                   TimePoint now);
  // Expected time that one more offer would wait for a slot and for its turn
  // within the backend server's rate.
  Duration ExpectedWait(const SlotQueue::Waiter& waiter, TimePoint now);
  // The offer as the queue sees it.
  SlotQueue::Waiter MakeWaiter(const Offer& offer, TimePoint now) const;
  OwnerLoad CurrentLoad(TimePoint now);
  // Expected processing time of a request of the route.
  Duration ExpectedWork(const std::string& route) const;

  DispatchDelegate& delegate_;
  CrashGuard& crash_guard_;
  std::optional<ListedServer> server_;
  // The process last listed here, also while none is.
  ServerProcess last_process_;
  bool is_stopping_ = false;
  bool is_holding_offers_ = false;
  std::vector<HeldOffer> held_offers_;
  bool accepts_repeats_ = true;
  // last_process_ has said in an answer that it is leaving; it will not come
  // back.
  bool has_announced_leaving_ = false;
  std::uint64_t config_version_ = 0;
  // Offers are denied until this time, because the backend server did not
  // accept connections or was replaced.
  TimePoint down_until_;
  // Earliest time of the next test of a suspected backend server.
  TimePoint next_test_at_;
  TimePoint last_test_offer_at_;
  // When the first waiting offer may start within the rate limit; max when it
  // waits for a slot only.
  TimePoint next_token_at_ = TimePoint::max();
  // When the last run started.
  TimePoint last_run_at_;
  FleetRecord fleet_record_;
  // The granted offer that tests the suspected backend server.
  std::optional<OfferId> test_offer_;
  HealthFilter health_;
  bool was_suspect_ = false;
  WorkEstimate work_;
  SlotQueue queue_;
  RateLimit rate_limit_;
  std::map<OfferId, OpenOffer> reserved_;
  std::map<OfferId, OpenOffer> waiting_;
  std::map<BackendCallId, OpenRun> runs_;
  std::map<OfferId, BackendCallId> call_by_offer_;
  // Results are kept after they were sent, because the link can break before
  // they arrive.
  std::map<OfferId, KeptResult> kept_results_;
  std::size_t kept_bytes_ = 0;
  // Oldest first.
  std::deque<EndedRun> ended_;
  // The ids in ended_, for lookup.
  std::set<OfferId> ended_ids_;
  // Set when ended runs were dropped early to limit memory: until this time, a
  // request that is not in ended_ may have run.
  TimePoint history_incomplete_until_;
  BackendCallId last_call_ = 0;
  std::vector<CrashNotice> crash_notices_;
};

}  // namespace vanillafall

#endif  // DISPATCH_BACKEND_OWNER_H_
