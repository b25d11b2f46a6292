#include "dispatch/backend_owner.h"

#include <algorithm>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// After a grant, the request itself must arrive within this time, or the slot
// is released. Allows for the longest round trip between data centres and two
// busy processes.
constexpr milliseconds kGrantTimeout{250};
// Expected processing time while there are no samples.
constexpr milliseconds kDefaultWork{200};
// A backend server whose port refuses connections is tried again after this
// time.
constexpr milliseconds kDownRetryDelay{300};
// After a failure, a suspected backend server is next tested after this time,
// by one idempotent request. After a success it may be tested again at once.
constexpr milliseconds kTestPeriod{1000};
// The health filter assumes that there are requests to test the backend server
// with while the last offer that may test it is younger than this.
constexpr milliseconds kMaxTestOfferGap{3000};
// An idempotent run whose link to the entry is lost is cancelled after this
// time unless the entry resumes it. Below the 500 ms within which a caller's
// disconnect must reach the backend server.
constexpr milliseconds kResumeTimeout{350};
// Time for which a result is kept. An entry requests it again within a second
// after the loss of its link.
constexpr milliseconds kResultRetention{4000};
constexpr std::size_t kMaxKeptBytes = std::size_t{2} * 1024 * 1024;
// Time for which it is remembered that a request ran: longer than any caller
// waits.
constexpr std::chrono::seconds kEndedRetention{60};
constexpr std::size_t kMaxEnded = 20'000;
// While the service is in trouble, a suspected backend server that has got no
// request for this time is tested with the next one, whichever it is. The
// remainder of the 2 s within which each sound server has to get a request is
// for the next offer to come: a suspected server gets an offer every 300 ms in
// a fleet of 77 daemons with 100 requests a second for its service. Shorter
// times cost more failed tests of servers that are failing.
constexpr milliseconds kMaxIdleTime{1300};
// A run counts as slow once it takes this many times the expected processing
// time, and again each time that its duration has doubled.
constexpr int kSlowMultiple = 4;
// Maximum number of times that one run counts as slow.
constexpr std::uint32_t kMaxSlowCount = 2;
// A run never counts as slow before this time.
constexpr milliseconds kMinSlowTime{300};
// A failure counts as fast before this fraction (1 / divisor) of the expected
// processing time has passed.
constexpr int kFastFailureDivisor = 5;
// A backend server's call ends with the request that makes it at the latest. It
// is read up to this long after it was sent, and seems to end as much later.
constexpr milliseconds kCallDelay{50};
// Answers with at least this HTTP status are failures of the backend server.
constexpr int kFirstFailureStatus = 500;
// Maximum number of offers that wait until the own server is known to be listed
// as it is now; further ones are denied.
constexpr std::size_t kMaxHeldOffers = 64;

milliseconds ToMilliseconds(Duration duration) {
  return duration_cast<milliseconds>(duration);
}

// For the log: as what the offer was ordered.
const char* ToCallRank(const Offer& offer) {
  return offer.is_continued ? "continued" : offer.is_call ? "call" : "client";
}

}  // namespace

BackendOwner::BackendOwner(DispatchDelegate& delegate, CrashGuard& crash_guard)
    : delegate_(delegate), crash_guard_(crash_guard) {}

void BackendOwner::SetServer(const std::optional<ListedServer>& server,
                             TimePoint now) {
  const std::string former = server_ ? server_->id : "";
  const std::string current = server ? server->id : "";
  const bool was_draining = server_ && server_->is_draining;
  const bool is_restarted =
      server_ && server && server_->started_at != server->started_at;
  server_ = server;
  if (server) {
    queue_.SetSlots(std::max(1U, server->slots));
  }
  const bool is_draining = server && server->is_draining;
  if (server && server->process() != last_process_) {
    last_process_ = server->process();
    has_announced_leaving_ = false;
    rate_limit_.SetRate(std::nullopt, now);
  }
  if (former != current || is_restarted) {
    health_.Reset();
    was_suspect_ = false;
    down_until_ = {};
  }
  if (former != current || was_draining != is_draining) {
    delegate_.Log(
        {LogEventId::kOwnServerChanged,
         current.empty() ? former : current,
         current.empty() ? "no longer listed"
                         : (is_draining ? "draining" : "ready"),
         {{"former", former},
          {"revision", std::to_string(server ? server->revision.number : 0)},
          {"slots", std::to_string(queue_.slots())}}});
  }
  GrantFreeSlots(now);
}

void BackendOwner::ReleaseOffers(TimePoint now) {
  is_holding_offers_ = false;
  for (HeldOffer& held : std::exchange(held_offers_, {})) {
    const auto waited =
        std::chrono::duration_cast<milliseconds>(now - held.since);
    held.offer.time_left -= waited;
    held.offer.max_wait =
        std::max(held.offer.max_wait - waited, milliseconds(0));
    OnOffer(held.link, held.offer, now);
  }
}

void BackendOwner::OnOffer(LinkId link, const Offer& offer, TimePoint now) {
  fleet_record_.OnReport(link, offer.tally, now);
  if (is_holding_offers_ && !is_stopping_) {
    // An entry takes an owner that does not answer at once for unreachable,
    // unless the offer may wait.
    if (offer.may_wait && held_offers_.size() < kMaxHeldOffers) {
      held_offers_.push_back({link, offer, now});
    } else {
      SendDeny(link, offer, DenyReason::kFull, now);
    }
    return;
  }
  if (const auto reason = ReasonToDeny(offer, now)) {
    SendDeny(link, offer, *reason, now);
    return;
  }
  const SlotQueue::Waiter waiter = MakeWaiter(offer, now);
  if (queue_.waiting() == 0 && rate_limit_.HasToken(now) &&
      queue_.TryTake(waiter, now)) {
    Reserve(link, offer, now);
    return;
  }
  if (!offer.may_wait) {
    SendDeny(link, offer, DenyReason::kFull, now);
    return;
  }
  if (now + rate_limit_.TimeUntilToken(queue_.CountAhead(waiter), now) >
          waiter.latest_start ||
      !queue_.TryEnqueue(waiter, now)) {
    SendDeny(link, offer, DenyReason::kTooLate, now);
    return;
  }
  waiting_[offer.id] = {link, offer, {}, now + offer.time_left};
  GrantFreeSlots(now);
}

std::optional<DenyReason> BackendOwner::ReasonToDeny(const Offer& offer,
                                                     TimePoint now) {
  if (!server_ || server_->id != offer.server) {
    return DenyReason::kNotOwner;
  }
  if (is_stopping_ || IsLeaving()) {
    return DenyReason::kLeaving;
  }
  if (now < down_until_) {
    return DenyReason::kDown;
  }
  if (offer.is_repeat && !accepts_repeats_) {
    return DenyReason::kRepeatLimit;
  }
  switch (crash_guard_.Check(offer.fingerprint, now)) {
    case CrashGuard::Verdict::kRefuse:
      return DenyReason::kCrashSuspect;
    case CrashGuard::Verdict::kRunAlone:
      if (queue_.in_use() > 0) {
        return DenyReason::kFull;
      }
      break;
    case CrashGuard::Verdict::kClear:
      break;
  }
  if (offer.may_test) {
    last_test_offer_at_ = now;
  }
  health_.SetHasTestRequests(now < last_test_offer_at_ + kMaxTestOfferGap);
  const bool is_suspect = health_.IsSuspect(now);
  if (is_suspect && !offer.accepts_suspect && !MayStartTest(offer, now)) {
    return DenyReason::kSuspect;
  }
  return std::nullopt;
}

bool BackendOwner::MayStartTest(const Offer& offer, TimePoint now) {
  const bool is_due = offer.may_test && !test_offer_ && now >= next_test_at_;
  return is_due || NeedsCoverage(offer, now);
}

bool BackendOwner::NeedsCoverage(const Offer& offer, TimePoint now) {
  return now >= last_run_at_ + kMaxIdleTime && reserved_.empty() &&
         (offer.is_service_in_trouble || fleet_record_.IsInTrouble(now));
}

void BackendOwner::Reserve(LinkId link, const Offer& offer, TimePoint now) {
  // An offer that is denied or leaves the queue later is no test: it would keep
  // other offers from testing the backend server.
  if (health_.IsSuspect(now) && !offer.accepts_suspect) {
    test_offer_ = offer.id;
  }
  rate_limit_.Take(now);
  reserved_[offer.id] = {link, offer, now + kGrantTimeout,
                         now + offer.time_left};
  delegate_.ReplyTo(link, Grant{offer.id, CurrentLoad(now), config_version_});
}

void BackendOwner::SendDeny(LinkId link,
                            const Offer& offer,
                            DenyReason reason,
                            TimePoint now) {
  OwnerLoad load = CurrentLoad(now);
  load.expected_wait =
      ToMilliseconds(ExpectedWait(MakeWaiter(offer, now), now));
  delegate_.ReplyTo(link, Deny{offer.id, reason, load, config_version_});
}

void BackendOwner::OnWithdraw(const OfferId& id, TimePoint now) {
  std::erase_if(held_offers_,
                [&id](const HeldOffer& held) { return held.offer.id == id; });
  if (waiting_.erase(id) > 0) {
    queue_.Dequeue(id);
    return;
  }
  if (reserved_.erase(id) > 0) {
    rate_limit_.Return();
    ReleaseSlot(id, now);
  }
}

void BackendOwner::OnRun(LinkId link, const Run& run, TimePoint now) {
  const auto node = reserved_.extract(run.id);
  if (node.empty()) {
    // The grant has expired, or a Resume has made the offer void.
    RefuseRun(link, run.id, Reason::kOverloaded, now);
    return;
  }
  const Offer& offer = node.mapped().offer;
  const bool is_gone = !server_ || server_->id != offer.server || is_stopping_;
  if (is_gone || IsLeaving() || run.time_left <= milliseconds(0)) {
    rate_limit_.Return();
    ReleaseSlot(run.id, now);
    RefuseRun(link, run.id, is_gone ? Reason::kDraining : Reason::kOverloaded,
              now);
    return;
  }
  StartRun(link, offer, run, now);
}

void BackendOwner::OnRunWithoutBody(LinkId link,
                                    const OfferId& id,
                                    TimePoint now) {
  OnWithdraw(id, now);
  RefuseRun(link, id, Reason::kOverloaded, now);
}

void BackendOwner::StartRun(LinkId link,
                            const Offer& offer,
                            const Run& run,
                            TimePoint now) {
  const BackendCallId call = ++last_call_;
  OpenRun& open = runs_[call];
  open.id = run.id;
  open.link = link;
  open.offer = offer;
  open.process = last_process_;
  open.request_id = run.request_id;
  open.customer = run.customer;
  open.is_repeat = run.is_repeat;
  open.started = now;
  open.deadline = now + run.time_left;
  open.slow_at =
      now + std::max<Duration>(kMinSlowTime,
                               kSlowMultiple * ExpectedWork(offer.route));
  call_by_offer_[run.id] = call;
  last_run_at_ = now;
  delegate_.CallBackend({call, offer.server, run.request_id, run.request,
                         run.time_left, offer.is_idempotent, run.customer});
}

void BackendOwner::RefuseRun(LinkId link,
                             const OfferId& id,
                             Reason reason,
                             TimePoint now) {
  RunResult result;
  result.id = id;
  result.end = RunEnd::kNotRun;
  result.reason = reason;
  result.load = CurrentLoad(now);
  result.config_version = config_version_;
  delegate_.ReplyTo(link, std::move(result));
}

void BackendOwner::OnCancel(const OfferId& id, TimePoint now) {
  OnWithdraw(id, now);
  const auto call = call_by_offer_.find(id);
  if (call == call_by_offer_.end()) {
    return;
  }
  OpenRun& run = runs_.at(call->second);
  run.is_cancelled = true;
  delegate_.CancelBackend(call->second);
}

void BackendOwner::OnResume(LinkId link, const Resume& resume, TimePoint now) {
  for (const OfferId& id : resume.ids) {
    const auto call = call_by_offer_.find(id);
    if (call != call_by_offer_.end()) {
      OpenRun& run = runs_.at(call->second);
      run.link = link;
      run.is_link_lost = false;
      run.abandon_at = TimePoint::max();
      continue;
    }
    const auto kept = kept_results_.find(id);
    if (kept != kept_results_.end()) {
      delegate_.ReplyTo(link, kept->second.result);
      continue;
    }
    if (ended_ids_.contains(id) || now < history_incomplete_until_) {
      RunResult lost;
      lost.id = id;
      lost.end = RunEnd::kUnknown;
      lost.reason = Reason::kPeerLost;
      lost.has_arrived = true;
      lost.load = CurrentLoad(now);
      lost.config_version = config_version_;
      delegate_.ReplyTo(link, std::move(lost));
      continue;
    }
    OnWithdraw(id, now);
    RefuseRun(link, id, Reason::kPeerLost, now);
  }
}

void BackendOwner::OnEntryLinkLost(LinkId link, TimePoint now) {
  fleet_record_.Remove(link);
  std::erase_if(held_offers_,
                [link](const HeldOffer& held) { return held.link == link; });
  std::vector<OfferId> lost;
  for (const auto* offers : {&waiting_, &reserved_}) {
    for (const auto& [id, open] : *offers) {
      if (open.link == link) {
        lost.push_back(id);
      }
    }
  }
  for (const OfferId& id : lost) {
    OnWithdraw(id, now);
  }
  for (auto& [call, run] : runs_) {
    if (run.link == link && !run.is_link_lost) {
      run.is_link_lost = true;
      // A non-idempotent request is not cancelled, because that would leave its
      // work half done.
      run.abandon_at =
          run.offer.is_idempotent ? now + kResumeTimeout : TimePoint::max();
    }
  }
}

void BackendOwner::OnBackendEnd(BackendCallEnd end, TimePoint now) {
  const auto node = runs_.extract(end.id);
  if (node.empty()) {
    return;
  }
  const OpenRun& run = node.mapped();
  call_by_offer_.erase(run.id);
  RecordCrash(run, end, now);
  RecordHealth(run, end, now);
  if (end.notice) {
    ApplyNotice(run, *end.notice, now);
  }
  if (end.is_other_server) {
    delegate_.RefreshServers(RefreshReason::kOwnServer);
    down_until_ = now + kDownRetryDelay;
  }
  const milliseconds work = ToMilliseconds(now - run.started);
  LogEvent event{LogEventId::kRunEnded,
                 run.request_id,
                 ToString(end.end),
                 {{"server", run.offer.server},
                  {"route", run.offer.route},
                  {"status", std::to_string(end.response.status)},
                  {"reason", ToString(end.reason)},
                  {"work_ms", std::to_string(work.count())},
                  {"sends", std::to_string(end.sends)},
                  {"repeat", run.is_repeat ? "yes" : "no"},
                  {"priority", std::to_string(run.offer.priority)},
                  {"call_rank", ToCallRank(run.offer)},
                  {"in_use", std::to_string(queue_.in_use())},
                  {"waiting", std::to_string(queue_.waiting())},
                  {"failing", std::to_string(health_.FailingProbability(now))},
                  {"cancelled", run.is_cancelled ? "yes" : "no"}}};
  if (!run.customer.empty()) {
    event.fields.push_back({"customer", run.customer});
  }
  delegate_.Log(std::move(event));
  ReleaseSlot(run.id, now);
  RunResult result;
  result.id = run.id;
  result.end = end.end;
  result.reason = end.reason;
  result.has_arrived = end.has_arrived;
  result.response = std::move(end.response);
  result.work_time = work;
  result.load = CurrentLoad(now);
  result.config_version = config_version_;
  RetainResult(result, now);
  if (!run.is_cancelled && !run.is_link_lost) {
    delegate_.ReplyTo(run.link, std::move(result));
  }
}

void BackendOwner::ApplyNotice(const OpenRun& run,
                               const ServerNotice& notice,
                               TimePoint now) {
  if (run.process != last_process_) {
    return;
  }
  if (notice.is_leaving && !has_announced_leaving_) {
    has_announced_leaving_ = true;
    delegate_.Log({LogEventId::kOwnServerChanged, run.process.id,
                   "leaving, as its answer says"});
  }
  const bool was_limited = rate_limit_.is_limited();
  rate_limit_.SetRate(notice.max_requests_per_second, now);
  if (was_limited != rate_limit_.is_limited()) {
    delegate_.Log(
        {LogEventId::kOwnServerLimited,
         run.process.id,
         rate_limit_.is_limited() ? "limited" : "no longer limited",
         {{"per_second",
           std::to_string(notice.max_requests_per_second.value_or(0))}}});
  }
}

void BackendOwner::RetainResult(const RunResult& result, TimePoint now) {
  if (ended_.size() >= kMaxEnded) {
    ended_ids_.erase(ended_.front().id);
    ended_.pop_front();
    history_incomplete_until_ = now + kEndedRetention;
  }
  ended_.push_back({result.id, now});
  ended_ids_.insert(result.id);
  const std::size_t bytes = result.response.body.size();
  if (kept_bytes_ + bytes <= kMaxKeptBytes) {
    kept_bytes_ += bytes;
    kept_results_[result.id] = {result, now + kResultRetention};
  }
}

void BackendOwner::ExpireResults(TimePoint now) {
  std::erase_if(kept_results_, [this, now](const auto& entry) {
    const bool is_over = entry.second.until <= now;
    kept_bytes_ -= is_over ? entry.second.result.response.body.size() : 0;
    return is_over;
  });
  while (!ended_.empty() && ended_.front().at + kEndedRetention <= now) {
    ended_ids_.erase(ended_.front().id);
    ended_.pop_front();
  }
}

void BackendOwner::RecordCrash(const OpenRun& run,
                               const BackendCallEnd& end,
                               TimePoint now) {
  if (!end.is_down) {
    if (end.end == RunEnd::kAnswered) {
      crash_guard_.OnDone(run.offer.fingerprint);
    }
    return;
  }
  const bool is_first = now >= down_until_;
  down_until_ = now + kDownRetryDelay;
  if (!is_first) {
    return;
  }
  std::vector<Hash128> in_flight;
  if (end.end == RunEnd::kUnknown) {
    in_flight.push_back(run.offer.fingerprint);
  }
  for (const auto& [call, other] : runs_) {
    in_flight.push_back(other.offer.fingerprint);
  }
  delegate_.Log({LogEventId::kOwnServerDown,
                 run.offer.server,
                 "its port refuses connections",
                 {{"in_flight", std::to_string(in_flight.size())}}});
  for (CrashNotice& notice :
       crash_guard_.OnCrash(server_ ? server_->service : "", in_flight, now)) {
    delegate_.Log({LogEventId::kCrashSuspected,
                   notice.fingerprint.ToHex(),
                   notice.alone ? "ran alone" : "ran beside others",
                   {{"server", run.offer.server}}});
    crash_notices_.push_back(std::move(notice));
  }
}

void BackendOwner::RecordHealth(const OpenRun& run,
                                const BackendCallEnd& end,
                                TimePoint now) {
  if (test_offer_ == run.id) {
    test_offer_.reset();
  }
  if (run.is_cancelled || end.is_other_server || end.is_down) {
    return;
  }
  const bool is_rejected = end.end == RunEnd::kNotRun && end.has_arrived;
  const bool has_failed = end.end == RunEnd::kUnknown || is_rejected ||
                          end.response.status >= kFirstFailureStatus;
  if (end.end == RunEnd::kNotRun && !is_rejected) {
    return;
  }
  if (has_failed && run.has_failed_call) {
    return;
  }
  const Duration work = now - run.started;
  if (has_failed) {
    next_test_at_ = now + kTestPeriod;
    const bool did_work =
        end.end == RunEnd::kAnswered &&
        work * kFastFailureDivisor >= ExpectedWork(run.offer.route);
    AddEvidence(did_work ? HealthFilter::Evidence::kFailure
                         : HealthFilter::Evidence::kFastFailure,
                now);
    return;
  }
  work_.Add(run.offer.route, work);
  if (run.slow_count == 0) {
    AddEvidence(HealthFilter::Evidence::kSuccess, now);
  }
}

void BackendOwner::AddEvidence(HealthFilter::Evidence evidence, TimePoint now) {
  health_.Add(evidence, now);
  const bool is_suspect = health_.IsSuspect(now);
  if (is_suspect != was_suspect_) {
    delegate_.Log(
        {is_suspect ? LogEventId::kOwnServerSuspected
                    : LogEventId::kOwnServerTrusted,
         server_ ? server_->id : "",
         "",
         {{"failing", std::to_string(health_.FailingProbability(now))}}});
    was_suspect_ = is_suspect;
  }
}

void BackendOwner::Advance(TimePoint now) {
  std::vector<OfferId> expired;
  for (const auto& [id, open] : reserved_) {
    if (open.reserved_until <= now) {
      expired.push_back(id);
    }
  }
  for (const OfferId& id : expired) {
    OnWithdraw(id, now);
  }
  while (const auto timed_out = queue_.TakeExpired(now)) {
    const auto node = waiting_.extract(*timed_out);
    if (!node.empty()) {
      SendDeny(node.mapped().link, node.mapped().offer, DenyReason::kTooLate,
               now);
    }
  }
  for (auto& [call, run] : runs_) {
    if (run.abandon_at <= now) {
      run.abandon_at = TimePoint::max();
      run.is_cancelled = true;
      delegate_.CancelBackend(call);
    }
    if (run.slow_at <= now) {
      ++run.slow_count;
      run.slow_at = run.slow_count < kMaxSlowCount ? now + (now - run.started)
                                                   : TimePoint::max();
      AddEvidence(HealthFilter::Evidence::kSlow, now);
    }
  }
  ExpireResults(now);
  GrantFreeSlots(now);
}

std::optional<TimePoint> BackendOwner::NextWake() const {
  TimePoint next = TimePoint::max();
  for (const auto& [id, open] : reserved_) {
    next = std::min(next, open.reserved_until);
  }
  for (const auto& [call, run] : runs_) {
    next = std::min({next, run.abandon_at, run.slow_at});
  }
  if (const auto expiry = queue_.NextExpiry()) {
    next = std::min({next, *expiry, next_token_at_});
  }
  return next == TimePoint::max() ? std::nullopt : std::optional(next);
}

bool BackendOwner::MayHaveCalled(const OpenRun& run, TimePoint deadline) {
  return run.deadline + kCallDelay >= deadline;
}

void BackendOwner::OnCallFailed(TimePoint deadline) {
  for (auto& [call, run] : runs_) {
    run.has_failed_call = run.has_failed_call || MayHaveCalled(run, deadline);
  }
}

CallParent BackendOwner::ParentOfCall(TimePoint deadline) const {
  CallParent parent;
  for (const auto& [call, run] : runs_) {
    if (!MayHaveCalled(run, deadline)) {
      continue;
    }
    const bool is_first = parent.candidates++ == 0;
    if (parent.origin != CallOrigin::kRepeat) {
      parent.origin =
          run.is_repeat ? CallOrigin::kRepeat : CallOrigin::kFirstRun;
    }
    parent.priority = std::min(parent.priority.value_or(run.offer.priority),
                               run.offer.priority);
    const bool is_same = is_first || parent.customer == run.offer.customer;
    parent.customer = is_same ? run.offer.customer : 0;
  }
  return parent;
}

std::size_t BackendOwner::repeat_count() const {
  const auto running =
      std::count_if(runs_.begin(), runs_.end(),
                    [](const auto& entry) { return entry.second.is_repeat; });
  const auto reserved = std::count_if(
      reserved_.begin(), reserved_.end(),
      [](const auto& entry) { return entry.second.offer.is_repeat; });
  return static_cast<std::size_t>(running + reserved);
}

std::vector<CrashNotice> BackendOwner::TakeCrashNotices() {
  return std::exchange(crash_notices_, {});
}

void BackendOwner::GrantFreeSlots(TimePoint now) {
  while (rate_limit_.HasToken(now)) {
    const auto next = queue_.TakeNext(now);
    if (!next) {
      break;
    }
    const auto node = waiting_.extract(*next);
    if (node.empty()) {
      queue_.Release(*next);
      continue;
    }
    const OpenOffer& open = node.mapped();
    const auto denied = ReasonToDeny(open.offer, now);
    if (denied && *denied != DenyReason::kFull) {
      queue_.Release(*next);
      SendDeny(open.link, open.offer, *denied, now);
      continue;
    }
    Reserve(open.link, open.offer, now);
  }
  next_token_at_ = rate_limit_.HasToken(now)
                       ? TimePoint::max()
                       : now + rate_limit_.TimeUntilToken(0, now);
}

void BackendOwner::ReleaseSlot(const OfferId& id, TimePoint now) {
  if (test_offer_ == id) {
    test_offer_.reset();
  }
  queue_.Release(id);
  GrantFreeSlots(now);
}

SlotQueue::Waiter BackendOwner::MakeWaiter(const Offer& offer,
                                           TimePoint now) const {
  SlotQueue::Waiter waiter;
  waiter.id = offer.id;
  waiter.priority = offer.priority;
  waiter.is_late = offer.is_late;
  waiter.copies = offer.copies;
  waiter.is_call = offer.is_call;
  waiter.is_continued = offer.is_continued;
  waiter.route = offer.route;
  waiter.customer = offer.customer;
  waiter.fingerprint = offer.fingerprint.low;
  waiter.work = ExpectedWork(offer.route);
  waiter.latest_start =
      now + std::min<Duration>(offer.max_wait, offer.time_left - waiter.work);
  return waiter;
}

Duration BackendOwner::ExpectedWait(const SlotQueue::Waiter& waiter,
                                    TimePoint now) {
  return std::max(queue_.ExpectedWait(waiter, now),
                  rate_limit_.TimeUntilToken(queue_.CountAhead(waiter), now));
}

OwnerLoad BackendOwner::CurrentLoad(TimePoint now) {
  OwnerLoad load;
  load.slots = queue_.slots();
  // While the rate is used up, no slot is free.
  load.in_use = rate_limit_.HasToken(now) ? queue_.in_use() : queue_.slots();
  load.waiting = queue_.waiting();
  load.failure_probability = health_.FailureProbability(now);
  load.is_service_in_trouble = fleet_record_.IsInTrouble(now);
  if (has_announced_leaving_) {
    load.is_leaving = true;
    load.leaving_started_at = last_process_.started_at;
  }
  // One that can still meet its target and goes after all others that can.
  SlotQueue::Waiter last;
  last.latest_start = TimePoint::max();
  load.expected_wait = ToMilliseconds(ExpectedWait(last, now));
  return load;
}

Duration BackendOwner::ExpectedWork(const std::string& route) const {
  return work_.Expected(route, work_.ExpectedForAnyRoute(kDefaultWork));
}

}  // namespace vanillafall
