#ifndef DISPATCH_BACKEND_OWNER_H_
#define DISPATCH_BACKEND_OWNER_H_

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "decision/crash_guard.h"
#include "dispatch/carrier.h"
#include "dispatch/health_filter.h"
#include "dispatch/server_directory.h"
#include "dispatch/slot_queue.h"
#include "dispatch/work_estimate.h"

namespace vanillafall {

// The owner of this instance's backend server: the only one that sends it
// requests. It therefore knows each slot in use and how each request ended, and
// what it denies has provably not run.
class BackendOwner {
 public:
  BackendOwner(Carrier& delegate, CrashGuard& crash_guard);
  BackendOwner(const BackendOwner&) = delete;
  BackendOwner& operator=(const BackendOwner&) = delete;

  // The backend server beside this daemon as the list has it; nothing when the
  // list has none. Another id is another incarnation, of which nothing is
  // known.
  void SetServer(const std::optional<ListedServer>& server, TimePoint now);
  // This daemon is about to stop: new offers are denied.
  void SetStopping() { is_stopping_ = true; }
  void SetConfigVersion(std::uint64_t version) { config_version_ = version; }

  void OnOffer(LinkId link, const Offer& offer, TimePoint now);
  void OnWithdraw(const OfferId& id, TimePoint now);
  void OnRun(LinkId link, const Run& run, TimePoint now);
  void OnCancel(const OfferId& id, TimePoint now);
  void OnResume(LinkId link, const Resume& resume, TimePoint now);
  void OnEntryLinkLost(LinkId link, TimePoint now);
  void OnBackendEnd(BackendCallEnd end, TimePoint now);
  void Advance(TimePoint now);

  // When Advance has something to do.
  std::optional<TimePoint> NextWake() const;
  // Requests that run or hold a slot.
  std::size_t busy_count() const { return runs_.size() + reserved_.size(); }
  // Crashes seen since the last call, for the other daemons.
  std::vector<CrashNotice> TakeCrashNotices();
  const std::optional<ListedServer>& server() const { return server_; }

 private:
  struct OpenOffer {
    LinkId link = 0;
    Offer offer;
    // A waiting offer has none.
    TimePoint reserved_until;
    TimePoint deadline;
  };
  struct OpenRun {
    OfferId id;
    LinkId link = 0;
    bool is_link_lost = false;
    bool is_cancelled = false;
    Offer offer;
    std::string request_id;
    TimePoint started;
    // When a run without a link is given up, or looked at as slow.
    TimePoint abandon_at = TimePoint::max();
    TimePoint slow_at = TimePoint::max();
    std::uint32_t slow_marks = 0;
  };
  struct KeptResult {
    RunResult result;
    TimePoint until;
  };
  struct EndedRun {
    OfferId id;
    TimePoint at;
  };

  std::optional<DenyReason> ReasonToDeny(const Offer& offer, TimePoint now);
  bool TryStartTest(const Offer& offer, TimePoint now);
  void Reserve(LinkId link, const Offer& offer, TimePoint now);
  void SendDeny(LinkId link,
                const Offer& offer,
                DenyReason reason,
                TimePoint now);
  // Grants free slots to the first in the queue.
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
  // Remembers that it ran, and its result while memory allows.
  void RetainResult(const RunResult& result, TimePoint now);
  void ExpireResults(TimePoint now);
  OwnerLoad CurrentLoad(TimePoint now) const;
  Duration ExpectedWork(const std::string& route) const;

  Carrier& delegate_;
  CrashGuard& crash_guard_;
  std::optional<ListedServer> server_;
  bool is_stopping_ = false;
  std::uint64_t config_version_ = 0;
  TimePoint down_until_;
  TimePoint next_test_at_;
  TimePoint last_test_offer_at_;
  bool is_test_running_ = false;
  OfferId test_offer_;
  HealthFilter health_;
  bool was_suspect_ = false;
  WorkEstimate work_;
  SlotQueue queue_;
  std::map<OfferId, OpenOffer> reserved_;
  std::map<OfferId, OpenOffer> waiting_;
  std::map<BackendCallId, OpenRun> runs_;
  std::map<OfferId, BackendCallId> call_by_offer_;
  // A link can break while a result is on its way, so results are kept after
  // they were sent.
  std::map<OfferId, KeptResult> kept_results_;
  std::size_t kept_bytes_ = 0;
  // Oldest first; and the same ids for looking up.
  std::deque<EndedRun> ended_;
  std::set<OfferId> ended_ids_;
  // Until then an id that is not found may have run all the same.
  TimePoint history_incomplete_until_;
  BackendCallId last_call_ = 0;
  std::vector<CrashNotice> crash_notices_;
};

}  // namespace vanillafall

#endif  // DISPATCH_BACKEND_OWNER_H_
