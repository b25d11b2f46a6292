#include "dispatch/dispatcher.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace vanillafall {
namespace {

// The daemon's link to itself. Ids of links from other daemons start at 1.
constexpr LinkId kOwnLink = 0;
// A daemon that has not sent the text of its configuration after this time is
// taken for silent. The text of a large one takes several hundred milliseconds
// on a slow link.
constexpr std::chrono::milliseconds kConfigReplyTimeout{1000};
// Minimum time between two questions for a confirmation: a reply takes one
// round trip.
constexpr std::chrono::milliseconds kMinConfirmationRequestPeriod{50};
// Maximum time for which a request waits until the source has confirmed that no
// route matches it. The source answers within a few hundred milliseconds, or a
// silent connection to it is replaced meanwhile.
constexpr std::chrono::milliseconds kMaxHoldTime{1000};
// The same while the source does not answer this daemon. Another daemon that it
// does answer passes the confirmation on within a few round trips.
constexpr std::chrono::milliseconds kMaxUnreachableHoldTime{250};
// Offers that wait for a confirmation of the own server are released after the
// source has answered no call for this time: then nobody can tell more about
// the server than is known. A call that the source refuses is repeated sooner.
constexpr std::chrono::milliseconds kMaxUnconfirmedHoldTime{1000};
// Answers with at least this HTTP status are failures of the backend server.
constexpr int kFirstFailureStatus = 500;
// The names of limits of customers begin with this.
constexpr std::string_view kCustomerLimitPrefix = "customer/";
// Part of the tolerance that is added to the burst of each limit. Requests of a
// small customer come in clumps that a bucket of one or two requests would
// refuse, although the customer stays within its rate. The rest of the
// tolerance is left for times in which two daemons give credits.
constexpr double kToleranceForBursts = 0.5;
// Minimum time between two log events about exceeded limits.
constexpr std::chrono::milliseconds kLimitLogPeriod{1000};
// Wait that is recommended when a limit could not be checked in time.
constexpr std::chrono::milliseconds kUndecidedRetryAfter{500};
// Maximum time for which a request with a valid key waits until the source has
// confirmed that the key was not removed: several round trips to the source. It
// is only that long because a source that has gone silent must not make valid
// requests late.
constexpr std::chrono::milliseconds kMaxKeyHoldTime{100};

// Which of two servers with one address was started there later. The list may
// still contain the earlier one, or again after the source was restored.
bool IsLaterProcess(const ListedServer& server, const ListedServer& other) {
  return server.revision.era == other.revision.era
             ? server.revision > other.revision
             : server.started_at > other.started_at;
}

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

Dispatcher::Dispatcher(Identity identity, DispatchDelegate& delegate)
    : identity_(std::move(identity)),
      delegate_(delegate),
      random_(identity_.seed),
      freshness_(identity_.seed),
      limiter_({identity_.self, identity_.seed, identity_.unix_offset}, *this),
      directory_(identity_.data_centre),
      owner_(*this, crash_guard_),
      entry_(identity_.incarnation,
             *this,
             directory_,
             crash_guard_,
             freshness_) {}

void Dispatcher::OnConfig(const RouteTablePtr& table,
                          const std::string& origin,
                          TimePoint now) {
  const std::uint64_t former = table_ ? table_->version() : 0;
  if (table_ && table->version() <= former) {
    return;
  }
  table_ = table;
  freshness_.OnVersionHeard(table->version());
  config_requested_from_.reset();
  entry_.Configure(table);
  owner_.SetConfigVersion(table->version());
  LogEvent event{LogEventId::kConfigInForce,
                 std::to_string(table->version()),
                 origin,
                 {{"former", std::to_string(former)},
                  {"routes", std::to_string(table->size())}}};
  if (table->customers().requires_keys()) {
    event.fields.push_back(
        {"customers", std::to_string(table->customers().size())});
  }
  delegate_.Log(std::move(event));
  ReleaseHeldRequests(now);
  DeliverPendingMessages(now);
}

void Dispatcher::SetSourceReachable(bool is_reachable, TimePoint now) {
  freshness_.SetSourceReachable(is_reachable);
  limiter_.SetSourceReachable(is_reachable, now);
  ReleaseHeldRequests(now);
  if (is_reachable) {
    offers_released_at_.reset();
  } else if (owner_.is_holding_offers() && !offers_released_at_) {
    offers_released_at_ = now + kMaxUnconfirmedHoldTime;
  }
  DeliverPendingMessages(now);
}

void Dispatcher::HoldOffers(TimePoint now) {
  owner_.HoldOffers();
  if (!freshness_.is_source_reachable()) {
    offers_released_at_ = now + kMaxUnconfirmedHoldTime;
  }
}

void Dispatcher::OnOwnServerConfirmed(TimePoint now) {
  offers_released_at_.reset();
  owner_.ReleaseOffers(now);
  DeliverPendingMessages(now);
}

void Dispatcher::OnConfigConfirmed(TimePoint as_of,
                                   const SourceRevision& revision,
                                   TimePoint now) {
  ApplyConfirmation(ConfigFreshness::Origin::kSource, as_of, revision, now);
  DeliverPendingMessages(now);
}

void Dispatcher::ApplyConfirmation(ConfigFreshness::Origin origin,
                                   TimePoint as_of,
                                   const SourceRevision& revision,
                                   TimePoint now) {
  confirmed_revision_ = revision;
  if (freshness_.OnConfirmed(as_of, origin) && table_) {
    delegate_.SendToSomeDaemons(ConfigConfirmed{
        table_->version(),
        std::chrono::ceil<std::chrono::milliseconds>(now - as_of), revision,
        std::nullopt});
  }
  ReleaseHeldRequests(now);
}

void Dispatcher::HandleConfirmation(const ConfigConfirmed& confirmed,
                                    const Sender& sender,
                                    TimePoint now) {
  freshness_.OnVersionHeard(confirmed.version);
  const std::uint64_t own = table_ ? table_->version() : 0;
  if (confirmed.version == own && table_) {
    delegate_.OnConfigConfirmedElsewhere(confirmed.revision);
    if (confirmed.asked_at) {
      const TimePoint asked_at{*confirmed.asked_at};
      ApplyConfirmation(ConfigFreshness::Origin::kDaemon,
                        std::min(asked_at, now) - confirmed.age,
                        confirmed.revision, now);
    } else if (freshness_.IsNews(now - confirmed.age) &&
               TryTakeConfirmationRequest(now)) {
      SendBack(sender, MakeConfirmationRequest(now));
    }
  } else if (confirmed.version > own &&
             (!freshness_.IsRecent(now) || !freshness_.is_source_reachable() ||
              confirmed.asked_at)) {
    // Otherwise the source itself reports the newer version.
    RequestConfigIfNewer(sender, confirmed.version, now);
  }
}

void Dispatcher::AnswerConfirmationRequest(const ConfirmationWanted& wanted,
                                           const Sender& sender,
                                           TimePoint now) {
  const std::optional<Duration> age = freshness_.Age(now);
  if (table_ && age) {
    SendBack(sender,
             ConfigConfirmed{table_->version(),
                             std::chrono::ceil<std::chrono::milliseconds>(*age),
                             confirmed_revision_, wanted.asked_at});
  }
}

bool Dispatcher::TryTakeConfirmationRequest(TimePoint now) {
  if (now < confirmation_requested_at_ + kMinConfirmationRequestPeriod) {
    return false;
  }
  confirmation_requested_at_ = now;
  return true;
}

ConfirmationWanted Dispatcher::MakeConfirmationRequest(TimePoint now) {
  return {
      std::chrono::floor<std::chrono::milliseconds>(now.time_since_epoch())};
}

void Dispatcher::RequestConfirmation(TimePoint now) {
  delegate_.CheckSource();
  if (TryTakeConfirmationRequest(now)) {
    delegate_.SendToSomeDaemons(MakeConfirmationRequest(now));
  }
}

void Dispatcher::CheckConfigIfDue(TimePoint now) {
  if (!freshness_.TryTakeCheck(now)) {
    return;
  }
  if (freshness_.is_source_reachable()) {
    delegate_.CheckSource();
  } else {
    RequestConfirmation(now);
  }
}

Dispatcher::HoldReason Dispatcher::FindHoldReason(const EntryRequest& request,
                                                  TimePoint now) const {
  if (table_ == nullptr) {
    return HoldReason::kNone;
  }
  const bool is_outdated =
      freshness_.newest_heard_version() > table_->version();
  if (freshness_.IsRecent(now) && !is_outdated) {
    return HoldReason::kNone;
  }
  const DispatchRoutePtr route =
      table_->Find(request.host, request.request.target);
  const CustomerPtr customer = table_->FindCustomer(request.key);
  if (route == nullptr || !table_->Admits(*route, customer)) {
    return HoldReason::kWouldBeRefused;
  }
  return customer != nullptr && freshness_.is_source_reachable() &&
                 !freshness_.IsRecent(now)
             ? HoldReason::kMayBeOutdated
             : HoldReason::kNone;
}

std::chrono::milliseconds Dispatcher::MaxHoldTime(HoldReason reason) const {
  switch (reason) {
    case HoldReason::kNone:
      return {};
    case HoldReason::kMayBeOutdated:
      return kMaxKeyHoldTime;
    case HoldReason::kWouldBeRefused:
      return freshness_.is_source_reachable() ? kMaxHoldTime
                                              : kMaxUnreachableHoldTime;
  }
  return {};
}

void Dispatcher::ReleaseHeldRequests(TimePoint now) {
  for (auto next = held_.begin(); next != held_.end();) {
    const auto current = next++;
    const bool is_overdue = now >= current->second.until;
    const HoldReason reason = FindHoldReason(current->second.request, now);
    // A newer configuration may have a route or key for the request.
    if (!is_overdue && reason >= current->second.reason) {
      continue;
    }
    EntryRequest request = std::move(current->second.request);
    const auto held = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - current->second.since);
    request.age += held;
    request.held += held;
    held_.erase(current);
    if (reason == HoldReason::kWouldBeRefused) {
      entry_.RefuseUnconfirmed(request, now);
    } else {
      Accept(std::move(request), now);
    }
  }
}

void Dispatcher::OnServers(const std::vector<ListedServer>& servers,
                           TimePoint now) {
  has_servers_ = has_servers_ || !servers.empty();
  // Each server has a daemon beside it.
  freshness_.SetFleetSize(servers.size());
  NotifyOwnersOfLeaving(servers);
  directory_.Update(servers, now);
  std::optional<ListedServer> own;
  for (const ListedServer& server : servers) {
    const bool is_own = server.address == identity_.backend_address;
    if (is_own && (!own || IsLaterProcess(server, *own))) {
      own = server;
    }
  }
  owner_.SetServer(own, now);
  std::vector<LimitMember> members;
  members.reserve(servers.size());
  for (const ListedServer& server : servers) {
    members.push_back({server.owner, server.started_at, server.is_draining});
  }
  limiter_.SetMembers(members, now);
  DeliverPendingMessages(now);
}

void Dispatcher::NotifyOwnersOfLeaving(
    const std::vector<ListedServer>& servers) {
  std::set<std::string> staying;
  for (const ListedServer& server : servers) {
    if (!server.is_draining) {
      staying.insert(server.id);
    }
  }
  for (const ListedServer& known : directory_.ListedServers()) {
    if (!known.is_draining && !staying.contains(known.id) &&
        known.owner != identity_.self) {
      delegate_.SendToOwner(known.owner, ServerLeaving{known.id});
    }
  }
}

void Dispatcher::OnCallerRequest(EntryRequest request, TimePoint now) {
  // The calls of this instance's backend server arrive here as well. They carry
  // no key, but without one they can't be told from the requests of other
  // callers.
  const TimePoint deadline =
      request.time_left ? now - request.age + *request.time_left : now;
  if (request.key.state == CallerKey::State::kNone) {
    request.parent = owner_.ParentOfCall(deadline);
  }
  CheckConfigIfDue(now);
  const HoldReason reason = FindHoldReason(request, now);
  if (reason != HoldReason::kNone) {
    Hold(std::move(request), reason, now);
    return;
  }
  Accept(std::move(request), now);
  DeliverPendingMessages(now);
}

void Dispatcher::Hold(EntryRequest request, HoldReason reason, TimePoint now) {
  RequestConfirmation(now);
  TimePoint until = now + MaxHoldTime(reason);
  if (request.time_left) {
    until = std::min(until, now - request.age + *request.time_left);
  }
  const RequestId id = request.id;
  held_[id] = {std::move(request), now, reason, until};
}

void Dispatcher::Accept(EntryRequest request, TimePoint now) {
  const CustomerPtr customer = FindLimitedCustomer(request);
  // A request that was held after its admission has its credit already.
  if (customer == nullptr || limited_.contains(request.id)) {
    PassOn(std::move(request), now);
    return;
  }
  const RequestId id = request.id;
  const FleetLimiter::Verdict verdict = limiter_.Request(
      std::string(kCustomerLimitPrefix) + customer->name, id, now);
  if (verdict.decision != FleetLimiter::Decision::kPending) {
    ApplyVerdict(std::move(request), *customer, verdict, now);
    return;
  }
  const TimePoint deadline = request.time_left
                                 ? now - request.age + *request.time_left
                                 : TimePoint::max();
  undecided_[id] = {std::move(request), customer, now, deadline};
}

void Dispatcher::PassOn(EntryRequest request, TimePoint now) {
  if (FindHoldReason(request, now) == HoldReason::kWouldBeRefused) {
    Hold(std::move(request), HoldReason::kWouldBeRefused, now);
    return;
  }
  entry_.OnRequest(std::move(request), random_, now);
}

CustomerPtr Dispatcher::FindLimitedCustomer(const EntryRequest& request) const {
  if (table_ == nullptr) {
    return nullptr;
  }
  CustomerPtr customer = table_->FindCustomer(request.key);
  if (customer == nullptr || !customer->has_limit() ||
      table_->Find(request.host, request.request.target) == nullptr) {
    return nullptr;
  }
  return customer;
}

void Dispatcher::ApplyVerdict(EntryRequest request,
                              const Customer& customer,
                              const FleetLimiter::Verdict& verdict,
                              TimePoint now) {
  if (verdict.decision == FleetLimiter::Decision::kRefused) {
    LogOverLimit(customer, verdict, now);
    entry_.Refuse(request, Reason::kOverLimit, now, verdict.retry_after);
    return;
  }
  limited_[request.id] = {std::string(kCustomerLimitPrefix) + customer.name,
                          now};
  PassOn(std::move(request), now);
}

void Dispatcher::ApplyLimits(TimePoint now) {
  while (!verdicts_.empty() || !returned_.empty()) {
    for (const LimitedRequest& request : std::exchange(returned_, {})) {
      limiter_.Return(request.limit, request.admitted_at, now);
    }
    for (const auto& [id, verdict] : std::exchange(verdicts_, {})) {
      const auto found = undecided_.find(id);
      if (found == undecided_.end()) {
        continue;
      }
      UndecidedRequest undecided = std::move(found->second);
      undecided_.erase(found);
      undecided.request.age +=
          std::chrono::duration_cast<std::chrono::milliseconds>(
              now - undecided.since);
      ApplyVerdict(std::move(undecided.request), *undecided.customer, verdict,
                   now);
    }
  }
}

void Dispatcher::RefuseOverdueUndecided(TimePoint now) {
  for (auto next = undecided_.begin(); next != undecided_.end();) {
    const auto current = next++;
    if (now < current->second.deadline) {
      continue;
    }
    const UndecidedRequest undecided = std::move(current->second);
    undecided_.erase(current);
    limiter_.Cancel(undecided.request.id);
    entry_.Refuse(undecided.request, Reason::kOverloaded, now,
                  kUndecidedRetryAfter);
  }
}

void Dispatcher::LogOverLimit(const Customer& customer,
                              const FleetLimiter::Verdict& verdict,
                              TimePoint now) {
  ++refused_count_;
  if (now < next_limit_log_) {
    return;
  }
  next_limit_log_ = now + kLimitLogPeriod;
  delegate_.Log(
      {LogEventId::kOverLimit,
       customer.name,
       "",
       {{"config", std::to_string(ConfigVersion())},
        {"refused", std::to_string(std::exchange(refused_count_, 0))},
        {"granted", std::to_string(verdict.last_granted)},
        {"reply_age_ms", verdict.reply_age
                             ? std::to_string(verdict.reply_age->count())
                             : ""}}});
}

void Dispatcher::OnCallerGone(RequestId id, TimePoint now) {
  held_.erase(id);
  undecided_.erase(id);
  limiter_.Cancel(id);
  limited_.erase(id);
  entry_.OnCallerGone(id, now);
  DeliverPendingMessages(now);
}

void Dispatcher::OnOwnerMessage(const PeerAddress& owner,
                                LinkMessage message,
                                TimePoint now) {
  HandleAsEntry(owner, std::move(message), now);
  DeliverPendingMessages(now);
}

void Dispatcher::OnOwnerLinkLost(const PeerAddress& owner, TimePoint now) {
  OnConfigSenderLost(owner);
  entry_.OnLinkLost(owner, random_, now);
  limiter_.OnLinkLost(owner, now);
  DeliverPendingMessages(now);
}

void Dispatcher::OnEntryMessage(LinkId link,
                                LinkMessage message,
                                TimePoint now) {
  HandleAsOwner(link, std::move(message), now);
  DeliverPendingMessages(now);
}

void Dispatcher::OnRunWithoutBody(LinkId link,
                                  const OfferId& id,
                                  TimePoint now) {
  owner_.OnRunWithoutBody(link, id, now);
  DeliverPendingMessages(now);
}

void Dispatcher::OnEntryLinkLost(LinkId link, TimePoint now) {
  OnConfigSenderLost(link);
  owner_.OnEntryLinkLost(link, now);
  DeliverPendingMessages(now);
}

void Dispatcher::OnBackendEnd(BackendCallEnd end, TimePoint now) {
  LimitRepeats(now);
  owner_.OnBackendEnd(std::move(end), now);
  DeliverPendingMessages(now);
}

void Dispatcher::EndRequests(TimePoint now) {
  for (const auto& [id, held] : std::exchange(held_, {})) {
    entry_.RefuseUnconfirmed(held.request, now);
  }
  for (const auto& [id, undecided] : std::exchange(undecided_, {})) {
    limiter_.Cancel(id);
    entry_.Refuse(undecided.request, Reason::kDraining, now);
  }
  entry_.EndRequests(now);
  DeliverPendingMessages(now);
}

void Dispatcher::Advance(TimePoint now) {
  LimitRepeats(now);
  if (offers_released_at_ && now >= *offers_released_at_) {
    offers_released_at_.reset();
    owner_.ReleaseOffers(now);
  }
  owner_.Advance(now);
  entry_.Advance(random_, now);
  ReleaseHeldRequests(now);
  limiter_.Advance(now);
  RefuseOverdueUndecided(now);
  DeliverPendingMessages(now);
}

std::optional<TimePoint> Dispatcher::NextWake() const {
  std::optional<TimePoint> next = owner_.NextWake();
  const auto include = [&next](const std::optional<TimePoint>& wake) {
    if (wake && (!next || *wake < *next)) {
      next = wake;
    }
  };
  include(entry_.NextWake());
  include(offers_released_at_);
  for (const auto& [id, held] : held_) {
    include(held.until);
  }
  include(limiter_.NextWake());
  for (const auto& [id, undecided] : undecided_) {
    if (undecided.deadline != TimePoint::max()) {
      include(undecided.deadline);
    }
  }
  return next;
}

Hello Dispatcher::MakeHello() const {
  return {identity_.incarnation, table_ ? table_->version() : 0};
}

void Dispatcher::HandleAsOwner(LinkId link,
                               LinkMessage message,
                               TimePoint now) {
  const Sender sender = link;
  const auto request_config_if_newer = [&](std::uint64_t version) {
    RequestConfigIfNewer(sender, version, now);
  };
  std::visit(
      Overloaded{
          [&](Offer& offer) {
            request_config_if_newer(offer.config_version);
            CheckConfigIfDue(now);
            LimitRepeats(now);
            owner_.OnOffer(link, offer, now);
          },
          [&](Withdraw& withdraw) { owner_.OnWithdraw(withdraw.id, now); },
          [&](Run& run) { owner_.OnRun(link, run, now); },
          [&](CancelRun& cancel) { owner_.OnCancel(cancel.id, now); },
          [&](Resume& resume) { owner_.OnResume(link, resume, now); },
          [&](Hello& hello) { request_config_if_newer(hello.config_version); },
          [&](Ping&) { ReplyTo(link, Pong{}); },
          [&](ConfigWanted&) { SendBack(sender, delegate_.GetConfigText()); },
          [&](ConfigText& config) { delegate_.OnConfigText(config); },
          [&](CrashNotice& notice) { crash_guard_.OnNotice(notice, now); },
          [&](ServerLeaving& leaving) {
            // The watch of the own server may have missed that.
            const auto& own = owner_.server();
            if (own && own->id == leaving.server && !own->is_draining) {
              delegate_.CheckOwnServer();
            }
          },
          [&](ConfigConfirmed& confirmed) {
            HandleConfirmation(confirmed, sender, now);
          },
          [&](ConfirmationWanted& wanted) {
            AnswerConfirmationRequest(wanted, sender, now);
          },
          [&](CreditRequest& request) {
            request_config_if_newer(request.config_version);
            limiter_.OnCreditRequest(link, request, now);
          },
          [](auto&) {}},
      message);
}

void Dispatcher::HandleAsEntry(const PeerAddress& owner,
                               LinkMessage message,
                               TimePoint now) {
  entry_.OnMessageReceived(owner, now);
  const Sender sender = owner;
  const auto request_config_if_newer = [&](std::uint64_t version) {
    RequestConfigIfNewer(sender, version, now);
  };
  std::visit(
      Overloaded{
          [&](Grant& grant) {
            request_config_if_newer(grant.config_version);
            entry_.OnGrant(grant, random_, now);
          },
          [&](Deny& deny) {
            request_config_if_newer(deny.config_version);
            entry_.OnDeny(deny, random_, now);
          },
          [&](RunResult& result) {
            request_config_if_newer(result.config_version);
            entry_.OnResult(std::move(result), random_, now);
          },
          [&](Hello& hello) {
            request_config_if_newer(hello.config_version);
            entry_.OnHello(owner, hello, now);
          },
          [&](ConfigWanted&) { SendBack(sender, delegate_.GetConfigText()); },
          [&](ConfigConfirmed& confirmed) {
            HandleConfirmation(confirmed, sender, now);
          },
          [&](ConfirmationWanted& wanted) {
            AnswerConfirmationRequest(wanted, sender, now);
          },
          [&](ConfigText& config) { delegate_.OnConfigText(config); },
          [&](CreditReply& reply) {
            request_config_if_newer(reply.config_version);
            limiter_.OnCreditReply(owner, reply, now);
          },
          [](auto&) {}},
      message);
}

void Dispatcher::LimitRepeats(TimePoint now) {
  const auto& own = owner_.server();
  owner_.SetAcceptsRepeats(entry_.MayCallAgain(own ? own->service : "",
                                               owner_.repeat_count() + 1, now));
}

void Dispatcher::RequestConfigIfNewer(const Sender& sender,
                                      std::uint64_t version,
                                      TimePoint now) {
  freshness_.OnVersionHeard(version);
  const std::uint64_t own = table_ ? table_->version() : 0;
  const bool is_awaited = config_requested_from_ &&
                          now < config_requested_at_ + kConfigReplyTimeout;
  if (version <= own || is_awaited) {
    return;
  }
  config_requested_at_ = now;
  config_requested_from_ = sender;
  SendBack(sender, ConfigWanted{});
}

void Dispatcher::OnConfigSenderLost(const Sender& sender) {
  if (config_requested_from_ == sender) {
    config_requested_from_.reset();
  }
}

void Dispatcher::SendBack(const Sender& sender, LinkMessage message) {
  if (const LinkId* link = std::get_if<LinkId>(&sender)) {
    ReplyTo(*link, std::move(message));
  } else {
    SendToOwner(std::get<PeerAddress>(sender), std::move(message));
  }
}

void Dispatcher::DeliverPendingMessages(TimePoint now) {
  ApplyLimits(now);
  while (!to_self_.empty()) {
    auto next = std::move(to_self_.front());
    to_self_.pop_front();
    if (auto* as_owner = std::get_if<ToSelfAsOwner>(&next)) {
      HandleAsOwner(kOwnLink, std::move(as_owner->message), now);
    } else {
      HandleAsEntry(identity_.self,
                    std::move(std::get<ToSelfAsEntry>(next).message), now);
    }
    ApplyLimits(now);
  }
  for (const CrashNotice& notice : owner_.TakeCrashNotices()) {
    for (const PeerAddress& owner : directory_.Owners()) {
      if (owner != identity_.self) {
        delegate_.SendToOwner(owner, notice);
      }
    }
  }
}

void Dispatcher::AnswerCaller(CallerAnswer answer) {
  const bool has_failed = answer.outcome != Outcome::kDone ||
                          answer.response.status >= kFirstFailureStatus;
  if (answer.call_deadline && has_failed &&
      answer.reason != Reason::kCancelled) {
    owner_.OnCallFailed(*answer.call_deadline);
  }
  if (const auto found = limited_.find(answer.id); found != limited_.end()) {
    if (answer.outcome == Outcome::kNotRun) {
      returned_.push_back(std::move(found->second));
    }
    limited_.erase(found);
  }
  delegate_.AnswerCaller(std::move(answer));
}

void Dispatcher::SendToOwner(const PeerAddress& owner, LinkMessage message) {
  if (owner == identity_.self) {
    to_self_.emplace_back(ToSelfAsOwner{std::move(message)});
    return;
  }
  delegate_.SendToOwner(owner, std::move(message));
}

void Dispatcher::SendToSomeDaemons(const LinkMessage& message) {
  delegate_.SendToSomeDaemons(message);
}

void Dispatcher::ResetLink(const PeerAddress& owner) {
  delegate_.ResetLink(owner);
}

void Dispatcher::ReplyTo(LinkId link, LinkMessage message) {
  if (link == kOwnLink) {
    to_self_.emplace_back(ToSelfAsEntry{std::move(message)});
    return;
  }
  delegate_.ReplyTo(link, std::move(message));
}

void Dispatcher::CallBackend(BackendCall call) {
  delegate_.CallBackend(std::move(call));
}

void Dispatcher::CancelBackend(BackendCallId id) {
  delegate_.CancelBackend(id);
}

void Dispatcher::RefreshServers(RefreshReason refresh_reason) {
  delegate_.RefreshServers(refresh_reason);
}

void Dispatcher::CheckSource() {
  delegate_.CheckSource();
}

void Dispatcher::OnConfigConfirmedElsewhere(const SourceRevision& revision) {
  delegate_.OnConfigConfirmedElsewhere(revision);
}

void Dispatcher::CheckOwnServer() {
  delegate_.CheckOwnServer();
}

void Dispatcher::OnConfigText(const ConfigText& config) {
  delegate_.OnConfigText(config);
}

ConfigText Dispatcher::GetConfigText() {
  return delegate_.GetConfigText();
}

void Dispatcher::Log(LogEvent event) {
  delegate_.Log(std::move(event));
}

void Dispatcher::SendCreditRequest(const PeerAddress& daemon,
                                   const CreditRequest& request) {
  SendToOwner(daemon, request);
}

void Dispatcher::SendCreditReply(FleetLimiter::CreditLink link,
                                 const CreditReply& reply) {
  ReplyTo(link, reply);
}

void Dispatcher::OnDecided(FleetLimiter::Ticket ticket,
                           const FleetLimiter::Verdict& verdict) {
  verdicts_.emplace_back(ticket, verdict);
}

std::optional<FleetLimit> Dispatcher::FindLimit(const std::string& name) {
  if (table_ == nullptr || !name.starts_with(kCustomerLimitPrefix)) {
    return std::nullopt;
  }
  const CustomerPtr customer = table_->customers().FindByName(
      std::string_view(name).substr(kCustomerLimitPrefix.size()));
  if (customer == nullptr || !customer->has_limit()) {
    return std::nullopt;
  }
  return FleetLimit{
      customer->requests_per_second,
      customer->burst + identity_.limit_tolerance * kToleranceForBursts};
}

std::uint64_t Dispatcher::ConfigVersion() {
  return table_ ? table_->version() : 0;
}

}  // namespace vanillafall
