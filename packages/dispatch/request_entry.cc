#include "dispatch/request_entry.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Maximum time until an owner's reply to an offer: a round trip between data
// centres and a busy process at the other end.
constexpr milliseconds kOfferTimeout{50};
// Maximum number of offers for a free slot in one search; each takes one round
// trip.
constexpr std::uint32_t kMaxImmediateOffers = 12;
// A server whose last report is younger than this and showed no free slot gets
// no offer for a free slot.
constexpr milliseconds kFullReportValidity{40};
// Maximum number of queues in which a request waits at the same time.
constexpr std::uint32_t kMaxQueuedOffers = 3;
// A suspected server gets an idempotent request as a test once its last report
// is at least this old.
constexpr milliseconds kMinReportAgeForTest{300};
// While a service is in trouble, a suspected server whose last report is at
// least this old is tested even with a request that may not be repeated. Below
// the time for which a sound server may be left without requests.
constexpr milliseconds kMaxSuspectSilence{1000};
// Retries per first try of a service. Stays within the fleet's limit for
// repeated requests.
constexpr double kRetryShare = 0.16;
// Retries that a service has at the start and, once earned, keeps however low
// its traffic is.
constexpr double kRetryFloor = 1.0;
// A request that starts this many times its expected processing time before the
// deadline ends in time in most cases.
constexpr double kWorkMargin = 1.6;
// An idempotent request is hedged when it takes this many times its expected
// processing time.
constexpr int kHedgeMultiple = 3;
constexpr milliseconds kMinHedgeDelay{150};
// Expected processing time while there are no samples.
constexpr milliseconds kDefaultWork{200};
// There is no further search after this many failed runs in which a backend
// server read the request.
constexpr std::uint32_t kMaxArrivals = 3;
// Time between two Resume messages for a run whose link broke.
constexpr milliseconds kResumePeriod{300};
// An owner that has an open offer or run is pinged when nothing was received
// from it for this time. Its link is reset after the same time without a reply.
constexpr milliseconds kMaxSilence{600};
// How long after its deadline a request still waits for the result of a run.
constexpr milliseconds kDeadlineGrace{20};
// Time limit for requests whose callers specify none.
constexpr milliseconds kDefaultTimeLeft{10'000};
constexpr milliseconds kMinRetryAfter{40};
// By then, the source has been asked again on a new connection.
constexpr milliseconds kUnconfirmedRetryAfter{500};
// A service that this instance's backend server has not called for this time
// does not limit the repeats that run here. Its budget no longer grows then.
constexpr std::chrono::seconds kCallMemory{10};
// Answers with at least this HTTP status are failures of the backend server.
constexpr int kFirstFailureStatus = 500;
// Entries are added to the history in a request's log line only while it is
// shorter than this.
constexpr std::size_t kMaxHistoryBytes = 400;
// A run makes its next call right after the answer to the last one. A call that
// comes later, or as the second one after an answer, is probably the first of
// another run.
constexpr milliseconds kMaxCallGap{10};

void Append(std::string& history, const std::string& text) {
  if (history.size() < kMaxHistoryBytes) {
    history += (history.empty() ? "" : " ") + text;
  }
}

// What a refusal's log line says of the request's key.
const char* ToString(CallerKey::State state) {
  switch (state) {
    case CallerKey::State::kNone:
      return "none";
    case CallerKey::State::kPresent:
      return "unknown";
    case CallerKey::State::kMalformed:
      return "malformed";
  }
  return "malformed";
}

// The text without the key, which some callers also write into the target.
std::string HideKey(std::string text, const std::string& key) {
  constexpr char kHidden[] = "[key]";
  if (key.empty()) {
    return text;
  }
  for (auto at = text.find(key); at != std::string::npos;
       at = text.find(key, at + sizeof(kHidden) - 1)) {
    text.replace(at, key.size(), kHidden);
  }
  return text;
}

}  // namespace

const char* RequestEntry::ToCallRank(const PendingRequest& pending) {
  return pending.is_continued ? "continued"
         : pending.is_call    ? "call"
                              : "client";
}

RequestEntry::RequestEntry(std::uint64_t incarnation,
                           DispatchDelegate& delegate,
                           ServerDirectory& directory,
                           CrashGuard& crash_guard,
                           const ConfigFreshness& freshness)
    : incarnation_(incarnation),
      delegate_(delegate),
      directory_(directory),
      crash_guard_(crash_guard),
      freshness_(freshness) {}

void RequestEntry::OnRequest(EntryRequest request,
                             Random& random,
                             TimePoint now) {
  if (table_ == nullptr) {
    Refuse(request, Reason::kNoConfig, now);
    return;
  }
  const DispatchRoutePtr route =
      table_->Find(request.host, request.request.target);
  if (route == nullptr) {
    Refuse(request, Reason::kUnknownRoute, now);
    return;
  }
  const CustomerPtr customer = table_->FindCustomer(request.key);
  if (!table_->Admits(*route, customer)) {
    Refuse(request, Reason::kUnknownKey, now);
    return;
  }
  const bool has_key = request.key.state != CallerKey::State::kNone;
  if (route->services.empty()) {
    Refuse(request, Reason::kNoConfig, now);
    return;
  }
  const Hash128 fingerprint =
      HashParts({route->name, request.request.method, request.host,
                 request.request.target, request.request.body.text()});
  if (crash_guard_.Check(fingerprint, now) == CrashGuard::Verdict::kRefuse) {
    Refuse(request, Reason::kCrashSuspect, now);
    return;
  }
  milliseconds time_left = request.time_left.value_or(kDefaultTimeLeft);
  if (route->timeout > milliseconds(0)) {
    time_left = std::min(time_left, route->timeout);
  }
  const TimePoint deadline = now - request.age + time_left;
  if (now >= limited_from_ && deadline + kDeadlineGrace > drain_end_) {
    // The next process of this daemon can take it.
    Refuse(request, Reason::kDraining, now,
           std::max(kMinRetryAfter,
                    duration_cast<milliseconds>(drain_end_ - now)));
    return;
  }
  request.key = {};
  const RequestId id = request.id;
  PendingRequest& pending = pending_[id];
  pending.entry_request = std::move(request);
  pending.route = route;
  pending.config_version = table_->version();
  pending.config_age = freshness_.Age(now);
  pending.service = route->DrawService(random);
  pending.priority =
      customer ? customer->priority.value_or(route->priority) : route->priority;
  pending.customer = customer ? customer->name : "";
  pending.fingerprint = fingerprint;
  pending.arrived = now - pending.entry_request.age;
  pending.deadline = deadline;
  RetryBudget& budget = BudgetOf(pending.service);
  budget.OnFirstTry(now);
  const CallOrigin origin = pending.entry_request.parent.origin;
  InheritFromParent(pending, has_key, now);
  if (origin != CallOrigin::kNoRun) {
    called_at_[pending.service] = now;
  }
  if (origin == CallOrigin::kRepeat) {
    budget.Charge(1, now);
  }
  Search(pending, random, now);
}

void RequestEntry::InheritFromParent(PendingRequest& pending,
                                     bool has_key,
                                     TimePoint now) {
  const CallParent& parent = pending.entry_request.parent;
  // Clients need a key for most routes and calls carry none, so a request
  // without a key is probably a call. Where no keys are needed, the repeated
  // requests of clients look like calls.
  pending.is_call = parent.origin != CallOrigin::kNoRun && !has_key &&
                    table_->customers().requires_keys();
  if (!pending.is_call) {
    return;
  }
  pending.priority = parent.priority.value_or(pending.priority);
  const auto node = call_succeeded_at_.extract(pending.route->name);
  pending.is_continued = !node.empty() && now <= node.mapped() + kMaxCallGap;
}

void RequestEntry::Refuse(const EntryRequest& request,
                          Reason reason,
                          TimePoint now,
                          milliseconds retry_after) {
  const std::string& key = request.key.text;
  LogEvent event{LogEventId::kRequestAnswered,
                 HideKey(request.request_id, key),
                 ToString(reason),
                 {{"outcome", ToString(Outcome::kNotRun)},
                  {"host", HideKey(request.host, key)},
                  {"target", HideKey(request.request.target, key)},
                  {"config", std::to_string(table_ ? table_->version() : 0)},
                  {"held_ms", std::to_string(request.held.count())}}};
  for (LogField& field : freshness_.Describe(now)) {
    event.fields.push_back(std::move(field));
  }
  const CustomerPtr customer =
      table_ ? table_->FindCustomer(request.key) : nullptr;
  const std::string customer_name = customer ? customer->name : "";
  if (customer) {
    event.fields.push_back({"customer", customer_name});
  }
  if (reason == Reason::kUnknownKey) {
    event.fields.push_back({"key", ToString(request.key.state)});
  }
  delegate_.Log(std::move(event));
  if (reason == Reason::kOverLimit) {
    RecordOverLimit(request, now);
  }
  CallerAnswer answer;
  answer.id = request.id;
  answer.outcome = Outcome::kNotRun;
  answer.reason = reason;
  answer.retry_after = retry_after;
  answer.customer = customer_name;
  delegate_.AnswerCaller(std::move(answer));
}

void RequestEntry::RecordOverLimit(const EntryRequest& request, TimePoint now) {
  const DispatchRoutePtr route =
      table_->Find(request.host, request.request.target);
  if (route == nullptr || route->services.empty()) {
    return;
  }
  const auto main = std::max_element(
      route->services.begin(), route->services.end(),
      [](const auto& a, const auto& b) { return a.weight < b.weight; });
  records_[main->service].Add(false, now);
}

void RequestEntry::RefuseUnconfirmed(const EntryRequest& request,
                                     TimePoint now) {
  Refuse(request, Reason::kNoConfig, now, kUnconfirmedRetryAfter);
}

void RequestEntry::Search(PendingRequest& pending,
                          Random& random,
                          TimePoint now) {
  if (pending.stage == SearchStage::kSearching) {
    if (OfferToFreeServer(pending, random, now)) {
      SetWake(pending);
      return;
    }
    pending.stage =
        IsRunning(pending) ? SearchStage::kIdle : SearchStage::kQueued;
    if (pending.stage == SearchStage::kQueued &&
        OfferToQueues(pending, false, random, now)) {
      SetWake(pending);
      return;
    }
  }
  // The run that makes a call still gains from a late answer. A client's
  // request is refused instead, since it would keep slots from requests that
  // can still be answered in time.
  const bool may_try_late = !pending.accepts_late && pending.is_call;
  if (pending.stage == SearchStage::kQueued && pending.tries.empty() &&
      may_try_late) {
    pending.accepts_late = true;
    if (OfferToQueues(pending, false, random, now)) {
      SetWake(pending);
      return;
    }
  }
  if (pending.stage == SearchStage::kQueued && pending.tries.empty()) {
    pending.stage = SearchStage::kLastResort;
    if (OfferToQueues(pending, true, random, now)) {
      SetWake(pending);
      return;
    }
  }
  if (pending.tries.empty()) {
    FinishWithoutSuccess(pending, now);
    return;
  }
  SetWake(pending);
}

bool RequestEntry::OfferToFreeServer(PendingRequest& pending,
                                     Random& random,
                                     TimePoint now) {
  if (pending.offers_in_search >= kMaxImmediateOffers) {
    return false;
  }
  const auto ranked =
      directory_.Rank(pending.service, pending.excluded, random, now);
  const bool may_use_avoided = pending.offers_in_search == 0;
  const bool may_test =
      MayTest(pending, now) || records_[pending.service].IsInTrouble(now);
  if (const auto* suspect = ChooseServerToTest(pending, ranked, now)) {
    SendOffer(pending, *suspect, {.may_test = may_test}, now);
    ++pending.offers_in_search;
    return true;
  }
  if (const auto* suspect = ChooseSilentSuspect(pending, ranked, now)) {
    SendOffer(pending, *suspect, {.may_test = may_test}, now);
    ++pending.offers_in_search;
    return true;
  }
  for (const ServerDirectory::Candidate& candidate : ranked) {
    if (candidate.is_avoided && !may_use_avoided) {
      break;
    }
    const bool is_known_full =
        candidate.is_full && candidate.report_age < kFullReportValidity;
    if (candidate.is_suspect || is_known_full) {
      continue;
    }
    SendOffer(pending, candidate, {.may_test = may_test}, now);
    ++pending.offers_in_search;
    return true;
  }
  return false;
}

const ServerDirectory::Candidate* RequestEntry::ChooseServerToTest(
    const PendingRequest& pending,
    const std::vector<ServerDirectory::Candidate>& ranked,
    TimePoint now) {
  if (pending.offers_in_search > 0 || pending.runs > 0 ||
      !MayTest(pending, now)) {
    return nullptr;
  }
  const auto found = std::find_if(
      ranked.begin(), ranked.end(),
      [](const ServerDirectory::Candidate& candidate) {
        return candidate.is_suspect && candidate.is_in_own_data_centre &&
               !candidate.is_avoided &&
               candidate.report_age >= kMinReportAgeForTest;
      });
  return found == ranked.end() ? nullptr : &*found;
}

const ServerDirectory::Candidate* RequestEntry::ChooseSilentSuspect(
    const PendingRequest& pending,
    const std::vector<ServerDirectory::Candidate>& ranked,
    TimePoint now) {
  if (pending.offers_in_search > 0 || pending.runs > 0) {
    return nullptr;
  }
  const ServerDirectory::Candidate* silent = nullptr;
  for (const ServerDirectory::Candidate& candidate : ranked) {
    const bool is_due = candidate.is_suspect && !candidate.is_avoided &&
                        candidate.report_age >= kMaxSuspectSilence;
    if (is_due &&
        (silent == nullptr || candidate.report_age > silent->report_age)) {
      silent = &candidate;
    }
  }
  return silent != nullptr && records_[pending.service].TryTakeTest(now)
             ? silent
             : nullptr;
}

bool RequestEntry::OfferToQueues(PendingRequest& pending,
                                 bool takes_suspects,
                                 Random& random,
                                 TimePoint now) {
  auto ranked = directory_.Rank(pending.service, pending.sent_to, random, now);
  std::stable_sort(
      ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
        return std::tuple(a.is_avoided, a.is_suspect, a.expected_wait) <
               std::tuple(b.is_avoided, b.is_suspect, b.expected_wait);
      });
  std::uint32_t offers = 0;
  for (const ServerDirectory::Candidate& candidate : ranked) {
    const bool is_open = std::any_of(
        pending.tries.begin(), pending.tries.end(),
        [&candidate](const Try& open) { return open.server == candidate.id; });
    if (is_open || candidate.is_suspect != takes_suspects) {
      continue;
    }
    SendOffer(pending, candidate,
              {.may_wait = true,
               .accepts_suspect = takes_suspects,
               .may_test = MayTest(pending, now)},
              now);
    if (++offers == kMaxQueuedOffers) {
      break;
    }
  }
  return offers > 0;
}

void RequestEntry::SendOffer(PendingRequest& pending,
                             const ServerDirectory::Candidate& candidate,
                             const OfferTerms& terms,
                             TimePoint now) {
  Offer offer;
  offer.id = {incarnation_, ++last_offer_sequence_};
  offer.server = candidate.id;
  offer.route = pending.route->name;
  offer.priority = pending.priority;
  offer.customer = !pending.customer.empty() ? HashParts({pending.customer}).low
                   : pending.is_call ? pending.entry_request.parent.customer
                                     : 0;
  offer.is_idempotent = pending.route->is_idempotent;
  offer.is_repeat = pending.runs > 0;
  offer.is_call = pending.is_call;
  offer.is_continued = pending.is_continued;
  offer.may_wait = terms.may_wait;
  offer.copies = terms.may_wait ? kMaxQueuedOffers : 1;
  SetMaxWait(pending, now, &offer);
  offer.accepts_suspect = terms.accepts_suspect;
  offer.may_test = terms.may_test;
  offer.time_left = duration_cast<milliseconds>(pending.deadline - now);
  offer.fingerprint = pending.fingerprint;
  offer.config_version = table_->version();
  ServiceRecord& record = records_[pending.service];
  offer.tally = record.Tally(now);
  offer.is_service_in_trouble = record.IsTroubleReported(now);
  pending.excluded.insert(candidate.id);
  request_by_offer_[offer.id] = pending.entry_request.id;
  Try& added = pending.tries.emplace_back();
  added.id = offer.id;
  added.server = candidate.id;
  added.owner = candidate.owner;
  added.state = terms.may_wait ? TryState::kWaiting : TryState::kOffered;
  added.since = now;
  Append(pending.history,
         candidate.id + (terms.may_wait ? "?wait" : "?") + "(age " +
             std::to_string(candidate.report_age.count()) + ")");
  delegate_.SendToOwner(candidate.owner, std::move(offer));
}

void RequestEntry::SetMaxWait(const PendingRequest& pending,
                              TimePoint now,
                              Offer* offer) const {
  const auto work =
      duration_cast<Duration>(kWorkMargin * ExpectedWork(pending));
  const Duration until_deadline = pending.deadline - now - work;
  const bool has_target = pending.route->target_latency > milliseconds(0);
  const Duration until_target =
      has_target ? pending.arrived + pending.route->target_latency - now - work
                 : until_deadline;
  offer->is_late =
      until_target < Duration(0) || (has_target && pending.accepts_late);
  const Duration wait_limit =
      offer->is_late ? until_deadline : std::min(until_target, until_deadline);
  offer->max_wait =
      duration_cast<milliseconds>(std::max(wait_limit, Duration(0)));
}

void RequestEntry::OnGrant(const Grant& grant, Random& random, TimePoint now) {
  PendingRequest* pending = FindByOffer(grant.id);
  if (pending == nullptr) {
    return;
  }
  Try* granted = FindTry(*pending, grant.id);
  OnLoad(*pending, granted->server, grant.load, now);
  if (granted->state == TryState::kRunning) {
    return;
  }
  const bool is_wanted = pending->stage != SearchStage::kIdle;
  if (!is_wanted) {
    delegate_.SendToOwner(granted->owner, Withdraw{grant.id});
    std::erase_if(pending->tries,
                  [&grant](const Try& each) { return each.id == grant.id; });
    request_by_offer_.erase(grant.id);
    return;
  }
  static_cast<void>(random);
  SendRun(*pending, *granted, now);
}

void RequestEntry::SendRun(PendingRequest& pending,
                           Try& granted,
                           TimePoint now) {
  granted.state = TryState::kRunning;
  granted.since = now;
  pending.stage = SearchStage::kIdle;
  pending.sent_to.insert(granted.server);
  ++pending.runs;
  Append(pending.history, granted.server + "=run");
  Run run;
  run.id = granted.id;
  run.request_id = pending.entry_request.request_id;
  run.request = pending.entry_request.request;
  run.time_left = duration_cast<milliseconds>(pending.deadline - now);
  run.is_repeat = pending.runs > 1;
  run.customer = pending.customer;
  OwnerLink& link = links_[granted.owner];
  link.last_received = std::max(link.last_received, now);
  link.is_awaiting_pong = false;
  const OfferId kept = granted.id;
  delegate_.SendToOwner(granted.owner, std::move(run));
  WithdrawOffers(pending, &kept, now);
  const bool may_hedge = pending.route->is_idempotent &&
                         pending.runs < pending.route->max_attempts;
  pending.hedge_at =
      may_hedge
          ? now + std::max<Duration>(kMinHedgeDelay,
                                     kHedgeMultiple * ExpectedWork(pending))
          : TimePoint::max();
  SetWake(pending);
}

void RequestEntry::OnDeny(const Deny& deny, Random& random, TimePoint now) {
  PendingRequest* pending = FindByOffer(deny.id);
  if (pending == nullptr) {
    return;
  }
  const Try* denied = FindTry(*pending, deny.id);
  const std::string server = denied->server;
  const bool was_overdue = denied->is_overdue;
  OnLoad(*pending, server, deny.load, now);
  directory_.OnDeny(server, deny.reason, now);
  if (deny.reason == DenyReason::kLeaving ||
      deny.reason == DenyReason::kNotOwner) {
    // The list has changed, and there may be a replacement server.
    delegate_.RefreshServers(RefreshReason::kOtherServers);
  }
  Append(pending->history, server + "=" + ToString(deny.reason));
  std::erase_if(pending->tries,
                [&deny](const Try& each) { return each.id == deny.id; });
  request_by_offer_.erase(deny.id);
  if (deny.reason == DenyReason::kCrashSuspect && !IsRunning(*pending)) {
    Finish(*pending, Outcome::kNotRun, Reason::kCrashSuspect, {}, now);
    return;
  }
  const bool is_wait_known =
      deny.reason == DenyReason::kFull || deny.reason == DenyReason::kTooLate;
  if (is_wait_known) {
    pending->min_wait =
        std::min(pending->min_wait.value_or(deny.load.expected_wait),
                 deny.load.expected_wait);
  }
  if (was_overdue && pending->stage == SearchStage::kSearching) {
    // The search went on when this offer became overdue, so the next owner
    // already has an offer.
    return;
  }
  Search(*pending, random, now);
}

void RequestEntry::OnResult(RunResult result, Random& random, TimePoint now) {
  PendingRequest* pending = FindByOffer(result.id);
  if (pending == nullptr) {
    return;
  }
  const Try ended = *FindTry(*pending, result.id);
  OnLoad(*pending, ended.server, result.load, now);
  if (ended.state != TryState::kRunning) {
    return;
  }
  std::erase_if(pending->tries,
                [&result](const Try& each) { return each.id == result.id; });
  request_by_offer_.erase(result.id);
  Append(pending->history, ended.server + "=" + ToString(result.end) + "/" +
                               (result.response.status != 0
                                    ? std::to_string(result.response.status)
                                    : ToString(result.reason)));
  const bool is_success = result.end == RunEnd::kAnswered &&
                          result.response.status < kFirstFailureStatus;
  if (is_success) {
    work_.Add(pending->route->name, now - ended.since);
  }
  const bool is_final = result.end == RunEnd::kAnswered &&
                        (is_success || !pending->route->is_idempotent);
  if (is_final) {
    Finish(*pending, Outcome::kDone, Reason::kOk, std::move(result.response),
           now);
    return;
  }
  OnTryFailed(*pending, std::move(result), random, now);
}

void RequestEntry::OnTryFailed(PendingRequest& pending,
                               RunResult result,
                               Random& random,
                               TimePoint now) {
  pending.arrivals += result.has_arrived ? 1 : 0;
  const bool has_arrived = result.has_arrived;
  if (result.end == RunEnd::kNotRun) {
    --pending.runs;
  } else {
    pending.may_have_run = true;
    pending.failure = std::move(result);
  }
  const bool needs_no_retry = !has_arrived && !pending.may_have_run;
  const bool may_search =
      IsRunning(pending) || (pending.arrivals < kMaxArrivals &&
                             (needs_no_retry || TryTakeRetry(pending, now)) &&
                             RestartSearch(pending, random, now));
  if (!may_search) {
    FinishWithoutSuccess(pending, now);
  }
}

bool RequestEntry::TryTakeRetry(PendingRequest& pending, TimePoint now) {
  if (pending.may_have_run && !pending.route->is_idempotent) {
    return false;
  }
  return pending.runs < std::max(1U, pending.route->max_attempts) &&
         BudgetOf(pending.service).TryTake(now);
}

bool RequestEntry::MayTest(const PendingRequest& pending, TimePoint now) {
  return pending.route->is_idempotent &&
         pending.runs + 1 < pending.route->max_attempts &&
         BudgetOf(pending.service).HasRetry(now);
}

bool RequestEntry::RestartSearch(PendingRequest& pending,
                                 Random& random,
                                 TimePoint now) {
  if (now >= pending.deadline) {
    return false;
  }
  pending.excluded = pending.sent_to;
  pending.offers_in_search = 0;
  pending.stage = SearchStage::kSearching;
  pending.hedge_at = TimePoint::max();
  Search(pending, random, now);
  return true;
}

void RequestEntry::OnLoad(const PendingRequest& pending,
                          const std::string& server,
                          const OwnerLoad& load,
                          TimePoint now) {
  directory_.OnLoad(server, load, now);
  if (load.is_service_in_trouble) {
    records_[pending.service].OnTroubleReported(now);
  }
}

void RequestEntry::WithdrawOffers(PendingRequest& pending,
                                  const OfferId* kept,
                                  TimePoint /*now*/) {
  std::erase_if(pending.tries, [this, kept](const Try& each) {
    if (each.state == TryState::kRunning ||
        (kept != nullptr && each.id == *kept)) {
      return false;
    }
    delegate_.SendToOwner(each.owner, Withdraw{each.id});
    request_by_offer_.erase(each.id);
    return true;
  });
}

void RequestEntry::FinishWithoutSuccess(PendingRequest& pending,
                                        TimePoint now) {
  if (pending.failure && pending.failure->end == RunEnd::kAnswered) {
    Finish(pending, Outcome::kDone, Reason::kOk,
           std::move(pending.failure->response), now);
    return;
  }
  if (pending.may_have_run || IsRunning(pending)) {
    const bool is_late = now >= pending.deadline;
    const Reason reason =
        pending.failure ? pending.failure->reason : Reason::kDeadlinePassed;
    Finish(pending, Outcome::kUnknown,
           is_late ? Reason::kDeadlinePassed : reason, {}, now);
    return;
  }
  Finish(pending, Outcome::kNotRun, Reason::kOverloaded, {}, now);
}

void RequestEntry::Finish(PendingRequest& pending,
                          Outcome outcome,
                          Reason reason,
                          HttpResponse response,
                          TimePoint now) {
  WithdrawOffers(pending, nullptr, now);
  for (const Try& open : pending.tries) {
    request_by_offer_.erase(open.id);
    if (pending.route->is_idempotent) {
      delegate_.SendToOwner(open.owner, CancelRun{open.id});
    }
  }
  if (reason != Reason::kCancelled && reason != Reason::kCrashSuspect) {
    records_[pending.service].Add(
        outcome == Outcome::kDone && response.status < kFirstFailureStatus,
        now);
  }
  if (pending.is_call && outcome == Outcome::kDone &&
      response.status < kFirstFailureStatus) {
    call_succeeded_at_[pending.route->name] = now;
  }
  const auto took = duration_cast<milliseconds>(now - pending.arrived);
  const auto left = duration_cast<milliseconds>(pending.deadline - now);
  CallerAnswer answer;
  answer.id = pending.entry_request.id;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.response = std::move(response);
  answer.service = pending.service;
  answer.route = pending.route->name;
  answer.customer = pending.customer;
  if (pending.entry_request.parent.origin != CallOrigin::kNoRun) {
    answer.call_deadline = pending.deadline;
  }
  if (outcome == Outcome::kNotRun) {
    answer.retry_after =
        std::max(kMinRetryAfter, pending.min_wait.value_or(kMinRetryAfter));
  }
  LogEvent event{LogEventId::kRequestAnswered,
                 pending.entry_request.request_id,
                 ToString(reason),
                 {{"outcome", ToString(outcome)},
                  {"status", std::to_string(answer.response.status)},
                  {"service", pending.service},
                  {"route", pending.route->name},
                  {"config", std::to_string(pending.config_version)},
                  {"config_age_ms", FormatAge(pending.config_age)},
                  {"took_ms", std::to_string(took.count())},
                  {"left_ms", std::to_string(left.count())},
                  {"priority", std::to_string(pending.priority)},
                  {"call", ToString(pending.entry_request.parent.origin)},
                  {"call_parents",
                   std::to_string(pending.entry_request.parent.candidates)},
                  {"call_rank", ToCallRank(pending)},
                  {"tries", pending.history}}};
  if (!pending.customer.empty()) {
    event.fields.push_back({"customer", pending.customer});
  }
  delegate_.Log(std::move(event));
  const RequestId id = pending.entry_request.id;
  delegate_.AnswerCaller(std::move(answer));
  pending_.erase(id);
}

void RequestEntry::OnCallerGone(RequestId id, TimePoint now) {
  const auto found = pending_.find(id);
  if (found == pending_.end()) {
    return;
  }
  Append(found->second.history, "caller-gone");
  Finish(found->second, Outcome::kUnknown, Reason::kCancelled, {}, now);
}

void RequestEntry::OnMessageReceived(const PeerAddress& owner, TimePoint now) {
  OwnerLink& link = links_[owner];
  link.last_received = now;
  link.is_awaiting_pong = false;
}

void RequestEntry::OnHello(const PeerAddress& owner,
                           const Hello& hello,
                           TimePoint now) {
  OwnerLink& link = links_[owner];
  const bool is_new_process =
      link.incarnation != 0 && link.incarnation != hello.incarnation;
  link.incarnation = hello.incarnation;
  link.last_received = now;
  if (!is_new_process) {
    return;
  }
  // The process that ran these requests has ended, so it is unknown whether
  // they ran.
  Random random(last_offer_sequence_);
  std::vector<OfferId> lost;
  for (const auto& [id, pending] : pending_) {
    for (const Try& open : pending.tries) {
      if (open.owner == owner && open.is_link_broken) {
        lost.push_back(open.id);
      }
    }
  }
  for (const OfferId& id : lost) {
    RunResult result;
    result.id = id;
    result.end = RunEnd::kUnknown;
    result.reason = Reason::kPeerLost;
    result.has_arrived = true;
    OnResult(std::move(result), random, now);
  }
}

void RequestEntry::OnLinkLost(const PeerAddress& owner,
                              Random& random,
                              TimePoint now) {
  std::vector<RequestId> affected;
  for (const auto& [id, pending] : pending_) {
    const bool is_affected =
        std::any_of(pending.tries.begin(), pending.tries.end(),
                    [&owner](const Try& open) { return open.owner == owner; });
    if (is_affected) {
      affected.push_back(id);
    }
  }
  for (const RequestId id : affected) {
    const auto found = pending_.find(id);
    if (found == pending_.end()) {
      continue;
    }
    PendingRequest& pending = found->second;
    bool has_lost_offer = false;
    std::erase_if(pending.tries, [&](const Try& open) {
      if (open.owner != owner || open.state == TryState::kRunning) {
        return false;
      }
      directory_.OnNoReply(open.server, now);
      delegate_.RefreshServers(RefreshReason::kOtherServers);
      Append(pending.history, open.server + "=link-lost");
      has_lost_offer = has_lost_offer || !open.is_overdue;
      request_by_offer_.erase(open.id);
      return true;
    });
    for (Try& open : pending.tries) {
      if (open.owner == owner && open.state == TryState::kRunning) {
        directory_.OnNoReply(open.server, now);
        const bool is_first = !open.is_link_broken;
        open.is_link_broken = true;
        open.resume_at = is_first ? now : now + kResumePeriod;
        // Start the hedge now rather than wait for the broken link.
        if (pending.hedge_at != TimePoint::max()) {
          pending.hedge_at = std::min(pending.hedge_at, now);
        }
      }
    }
    SetWake(pending);
    if (has_lost_offer) {
      Search(pending, random, now);
    }
  }
}

void RequestEntry::BeginDrain(TimePoint limited_from, TimePoint end) {
  limited_from_ = limited_from;
  drain_end_ = end;
}

void RequestEntry::EndRequests(TimePoint now) {
  while (!pending_.empty()) {
    PendingRequest& pending = pending_.begin()->second;
    if (pending.failure && pending.failure->end == RunEnd::kAnswered) {
      FinishWithoutSuccess(pending, now);
      continue;
    }
    const bool may_have_run = pending.may_have_run || IsRunning(pending);
    Finish(pending, may_have_run ? Outcome::kUnknown : Outcome::kNotRun,
           Reason::kDraining, {}, now);
  }
}

void RequestEntry::Advance(Random& random, TimePoint now) {
  std::vector<RequestId> due;
  for (const auto& [id, pending] : pending_) {
    if (pending.wake_at <= now) {
      due.push_back(id);
    }
  }
  for (const RequestId id : due) {
    const auto found = pending_.find(id);
    if (found != pending_.end()) {
      AdvanceOne(found->second, random, now);
    }
  }
}

void RequestEntry::AdvanceOne(PendingRequest& pending,
                              Random& random,
                              TimePoint now) {
  const bool is_running = IsRunning(pending);
  const Duration grace = is_running ? kDeadlineGrace : milliseconds(0);
  if (now >= pending.deadline + grace) {
    FinishWithoutSuccess(pending, now);
    return;
  }
  bool is_overdue = false;
  for (Try& open : pending.tries) {
    if (open.state == TryState::kOffered && !open.is_overdue &&
        now >= open.since + kOfferTimeout) {
      open.is_overdue = true;
      is_overdue = true;
      directory_.OnNoReply(open.server, now);
      Append(pending.history, open.server + "=silent");
    }
    if (open.is_link_broken && now >= open.resume_at) {
      open.resume_at = now + kResumePeriod;
      delegate_.SendToOwner(open.owner, Resume{{open.id}});
    }
    CheckOwnerSilence(open, now);
  }
  if (now >= pending.hedge_at && pending.stage == SearchStage::kIdle) {
    pending.hedge_at = TimePoint::max();
    if (pending.runs < pending.route->max_attempts &&
        BudgetOf(pending.service).TryTake(now)) {
      Append(pending.history, "hedge");
      RestartSearch(pending, random, now);
      return;
    }
  }
  if (is_overdue) {
    Search(pending, random, now);
    return;
  }
  SetWake(pending);
}

void RequestEntry::CheckOwnerSilence(const Try& open, TimePoint now) {
  if (open.is_link_broken) {
    return;
  }
  OwnerLink& link = links_[open.owner];
  const TimePoint last = std::max(link.last_received, open.since);
  if (!link.is_awaiting_pong && now >= last + kMaxSilence) {
    link.is_awaiting_pong = true;
    link.pinged_at = now;
    delegate_.SendToOwner(open.owner, Ping{});
  } else if (link.is_awaiting_pong && now >= link.pinged_at + kMaxSilence) {
    link.is_awaiting_pong = false;
    delegate_.Log({LogEventId::kOwnerSilent,
                   open.owner,
                   "its link is closed",
                   {{"silent_ms", std::to_string(duration_cast<milliseconds>(
                                                     now - link.last_received)
                                                     .count())}}});
    delegate_.ResetLink(open.owner);
  }
}

void RequestEntry::SetWake(PendingRequest& pending) {
  TimePoint wake = pending.deadline;
  if (IsRunning(pending)) {
    wake += kDeadlineGrace;
  }
  if (pending.stage == SearchStage::kIdle) {
    wake = std::min(wake, pending.hedge_at);
  }
  for (const Try& open : pending.tries) {
    if (open.state == TryState::kOffered && !open.is_overdue) {
      wake = std::min(wake, open.since + kOfferTimeout);
    }
    if (open.is_link_broken) {
      wake = std::min(wake, open.resume_at);
      continue;
    }
    const auto link = links_.find(open.owner);
    const bool is_awaiting_pong =
        link != links_.end() && link->second.is_awaiting_pong;
    const TimePoint last =
        link == links_.end() ? open.since
                             : std::max(link->second.last_received, open.since);
    wake = std::min(
        wake, (is_awaiting_pong ? link->second.pinged_at : last) + kMaxSilence);
  }
  pending.wake_at = wake;
}

std::optional<TimePoint> RequestEntry::NextWake() const {
  std::optional<TimePoint> next;
  for (const auto& [id, pending] : pending_) {
    next = next ? std::min(*next, pending.wake_at) : pending.wake_at;
  }
  return next;
}

bool RequestEntry::MayCallAgain(const std::string& own_service,
                                std::size_t repeats,
                                TimePoint now) {
  return std::all_of(
      called_at_.begin(), called_at_.end(), [&](const auto& entry) {
        const auto& [service, called_at] = entry;
        return service == own_service || now >= called_at + kCallMemory ||
               BudgetOf(service).HasRetries(static_cast<double>(repeats), now);
      });
}

RetryBudget& RequestEntry::BudgetOf(const std::string& service) {
  return budgets_.try_emplace(service, kRetryShare, kRetryFloor).first->second;
}

RequestEntry::PendingRequest* RequestEntry::FindByOffer(const OfferId& id) {
  const auto request = request_by_offer_.find(id);
  return request == request_by_offer_.end() ? nullptr
                                            : &pending_.at(request->second);
}

RequestEntry::Try* RequestEntry::FindTry(PendingRequest& pending,
                                         const OfferId& id) {
  const auto found =
      std::find_if(pending.tries.begin(), pending.tries.end(),
                   [&id](const Try& each) { return each.id == id; });
  return &*found;
}

bool RequestEntry::IsRunning(const PendingRequest& pending) {
  return std::any_of(
      pending.tries.begin(), pending.tries.end(),
      [](const Try& open) { return open.state == TryState::kRunning; });
}

Duration RequestEntry::ExpectedWork(const PendingRequest& pending) const {
  return work_.Expected(pending.route->name,
                        work_.ExpectedForAnyRoute(kDefaultWork));
}

}  // namespace vanillafall
