#include "limit/fleet_limiter.h"

#include <algorithm>

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Daemons that are asked for one group of waiting requests.
constexpr std::size_t kMaxTries = 3;
// After a reply that gave less than was asked for, the next credit request
// waits for this time. Limits the messages about an exceeded limit to 40 per
// second.
constexpr milliseconds kPauseAfterShortage{25};
// A process that handles a timeout this late may have the reply in its socket
// already.
constexpr milliseconds kMaxLateness{20};
// While a limit is in use, inputs follow each other within 125 ms. After this
// time without any, the process has stood still and another allocator may have
// replaced this one.
constexpr milliseconds kStandstill{700};
// A process that has known the list for less time does not know who gave
// credits before. Twice the span over which limits are checked.
constexpr std::chrono::seconds kUndisputedTime{10};
// A daemon that declines knows an allocator, which may give the whole limit. If
// many daemons cannot reach it, their own shares have to fit into the tolerance
// of the bound, which is a quarter of the limit.
constexpr double kDeclinedShare = 0.2;
constexpr std::chrono::seconds kDeclineMemory{5};
// A bucket that was not used for this time, while another daemon came first,
// begins again.
constexpr milliseconds kMaxPause{1000};
// What a user keeps of a limit that it does not use for this time is dropped.
// All that it knows is older than its use then; with 310 requests per second of
// 79,000 customers, some thousand users are kept.
constexpr std::chrono::seconds kUserIdleTime{10};
// The same for an allocator, whose bucket tells how much of the burst is left.
constexpr std::chrono::seconds kAllocatorIdleTime{60};
constexpr std::chrono::seconds kSweepPeriod{10};
// Refused callers come back after this time at the earliest.
constexpr milliseconds kMinRetryAfter{200};
// Requests of one limit that wait at one daemon; limits memory.
constexpr std::size_t kMaxWaiting = 10'000;

}  // namespace

FleetLimiter::FleetLimiter(Identity identity, Delegate& delegate)
    : identity_(std::move(identity)),
      delegate_(delegate),
      random_(identity_.seed),
      order_(identity_.self, identity_.unix_offset),
      reach_(identity_.self, identity_.seed) {}

void FleetLimiter::SetMembers(const std::vector<LimitMember>& members,
                              TimePoint now) {
  if (order_.SetMembers(members, now)) {
    reach_.SetDaemons(order_.daemons(), now);
  }
}

FleetLimiter::Verdict FleetLimiter::Request(const std::string& name,
                                            Ticket ticket,
                                            TimePoint now) {
  if (!delegate_.FindLimit(name)) {
    return {Decision::kAdmitted};
  }
  CheckStandstill(now);
  User& user = UserOf(name, now);
  user.account.OnArrival(now);
  if (user.waiting.empty() && user.account.TryTake(now)) {
    if (user.account.IsLow(now)) {
      RequestCredits(name, user, now);
      NoteBusy(name, user);
    }
    return {Decision::kAdmitted};
  }
  if (user.waiting.size() >= kMaxWaiting) {
    return MakeRefusal(user, kMinRetryAfter, now);
  }
  user.waiting.push_back({ticket, now + kMaxWait});
  names_by_ticket_[ticket] = name;
  RequestCredits(name, user, now);
  NoteBusy(name, user);
  // An allocator on this daemon has decided already.
  const auto decided = std::find_if(
      decisions_.begin(), decisions_.end(),
      [ticket](const auto& entry) { return entry.first == ticket; });
  if (decided == decisions_.end()) {
    DeliverDecisions();
    return {Decision::kPending};
  }
  const Verdict verdict = decided->second;
  decisions_.erase(decided);
  DeliverDecisions();
  return verdict;
}

void FleetLimiter::Cancel(Ticket ticket) {
  const auto found = names_by_ticket_.find(ticket);
  if (found == names_by_ticket_.end()) {
    return;
  }
  User& user = users_.at(found->second);
  std::erase_if(user.waiting, [ticket](const Waiting& waiting) {
    return waiting.ticket == ticket;
  });
  names_by_ticket_.erase(found);
}

void FleetLimiter::Return(const std::string& name,
                          TimePoint admitted_at,
                          TimePoint now) {
  const auto found = users_.find(name);
  if (found == users_.end()) {
    return;
  }
  found->second.account.Return(admitted_at, now);
  AdmitWaiting(found->second, now);
  DeliverDecisions();
}

void FleetLimiter::OnCreditRequest(CreditLink link,
                                   const CreditRequest& request,
                                   TimePoint now) {
  CheckStandstill(now);
  CreditReply reply = Allocate(request, now);
  reply.limit = request.limit;
  reply.sequence = request.sequence;
  reply.config_version = delegate_.ConfigVersion();
  delegate_.SendCreditReply(link, reply);
}

void FleetLimiter::OnCreditReply(const PeerAddress& daemon,
                                 const CreditReply& reply,
                                 TimePoint now) {
  CheckStandstill(now);
  reach_.OnHeard(daemon, now);
  if (reply.limit.empty()) {
    reach_.SetServing(daemon, !reply.is_declined);
    return;
  }
  const auto found = users_.find(reply.limit);
  if (found == users_.end()) {
    return;
  }
  TakeReply(found->first, found->second, reply, now);
  NoteBusy(found->first, found->second);
  DeliverDecisions();
}

void FleetLimiter::OnLinkLost(const PeerAddress& daemon, TimePoint now) {
  reach_.OnLost(daemon);
  const std::set<std::string> busy = busy_;
  for (const std::string& name : busy) {
    User& user = users_.at(name);
    if (user.open && user.open->daemon == daemon) {
      TryNext(name, user, now);
    }
  }
  DeliverDecisions();
}

void FleetLimiter::Advance(TimePoint now) {
  CheckStandstill(now);
  SendProbes(now);
  const std::set<std::string> busy = busy_;
  for (const std::string& name : busy) {
    User& user = users_.at(name);
    AdvanceUser(name, user, now);
    NoteBusy(name, user);
  }
  if (now >= next_sweep_at_) {
    next_sweep_at_ = now + kSweepPeriod;
    std::erase_if(users_, [this, now](const auto& entry) {
      return entry.second.used_at + kUserIdleTime < now &&
             !busy_.contains(entry.first);
    });
    std::erase_if(buckets_, [now](const auto& entry) {
      return entry.second.used_at + kAllocatorIdleTime < now;
    });
  }
  DeliverDecisions();
}

std::optional<TimePoint> FleetLimiter::NextWake() const {
  std::optional<TimePoint> next = reach_.NextWake();
  const auto include = [&next](TimePoint wake) {
    if (!next || wake < *next) {
      next = wake;
    }
  };
  for (const std::string& name : busy_) {
    const User& user = users_.at(name);
    if (user.open) {
      include(user.open->reply_by);
    }
    if (!user.waiting.empty()) {
      include(user.waiting.front().until);
      if (!user.open && user.next_request_at < user.waiting.front().until) {
        include(user.next_request_at);
      }
    }
  }
  if (!users_.empty() || !buckets_.empty()) {
    include(next_sweep_at_);
  }
  return next;
}

void FleetLimiter::CheckStandstill(TimePoint now) {
  const Duration gap = now - std::exchange(last_input_at_, now);
  if (gap <= kStandstill || !reach_.is_in_use(now - gap)) {
    return;
  }
  standstill_at_ = now;
  reach_.Reset();
  for (auto& [name, allocation] : buckets_) {
    allocation.bucket.OnStandstill(now);
  }
}

void FleetLimiter::SendProbes(TimePoint now) {
  for (const PeerAddress& daemon : reach_.TakeProbes(now)) {
    Probe(daemon);
  }
}

void FleetLimiter::Probe(const PeerAddress& daemon) {
  CreditRequest probe;
  probe.sequence = ++last_sequence_;
  probe.config_version = delegate_.ConfigVersion();
  delegate_.SendCreditRequest(daemon, probe);
}

FleetLimiter::User& FleetLimiter::UserOf(const std::string& name,
                                         TimePoint now) {
  User& user = users_[name];
  user.used_at = now;
  order_.Update(now);
  if (user.epoch != order_.epoch() || user.candidates.empty()) {
    user.candidates = order_.Find(name);
    user.epoch = order_.epoch();
  }
  return user;
}

const PeerAddress* FleetLimiter::ChooseAllocator(User& user, TimePoint now) {
  if (user.tried.size() >= kMaxTries) {
    return nullptr;
  }
  const auto find_in =
      [&](const std::vector<PeerAddress>& daemons) -> const PeerAddress* {
    for (const PeerAddress& daemon : daemons) {
      if (std::find(user.tried.begin(), user.tried.end(), daemon) !=
          user.tried.end()) {
        continue;
      }
      if (daemon == identity_.self || !reach_.IsAvoided(daemon)) {
        return &daemon;
      }
      if (reach_.TryTakeProbe(daemon, now)) {
        Probe(daemon);
      }
    }
    return nullptr;
  };
  if (!user.tried.empty() && !user.rivals.empty()) {
    if (const PeerAddress* rival = find_in(user.rivals)) {
      return rival;
    }
  }
  return find_in(user.candidates);
}

bool FleetLimiter::WasDeclined(const User& user, TimePoint now) {
  return user.declined_at && now < *user.declined_at + kDeclineMemory;
}

void FleetLimiter::RequestCredits(const std::string& name,
                                  User& user,
                                  TimePoint now) {
  if (user.open || now < user.next_request_at) {
    return;
  }
  const PeerAddress* daemon = ChooseAllocator(user, now);
  if (daemon == nullptr) {
    const bool is_reachable = !user.tried.empty();
    user.tried.clear();
    user.next_request_at = now + kReplyTime;
    if (is_reachable) {
      // A late reply or another round may still bring credits.
      return;
    }
    const std::list<Waiting> waiting = std::exchange(user.waiting, {});
    for (const Waiting& each : waiting) {
      DecideAlone(name, user, each.ticket, now);
    }
    return;
  }
  CreditRequest request;
  request.limit = name;
  request.sequence = ++last_sequence_;
  request.waiting = static_cast<std::uint32_t>(user.waiting.size());
  request.advance = user.account.WantedInAdvance(now);
  request.config_version = delegate_.ConfigVersion();
  for (Waiting& each : user.waiting) {
    each.asked_in = request.sequence;
  }
  std::erase_if(user.sent, [now](const SentRequest& sent) {
    return sent.sent_at + CreditAccount::kCreditTime <= now;
  });
  user.sent.push_back({request.sequence, now});
  user.open = OpenRequest{*daemon, request.sequence, now + kReplyTime};
  if (*daemon != identity_.self) {
    delegate_.SendCreditRequest(*daemon, request);
    return;
  }
  CreditReply reply = Allocate(request, now);
  reply.limit = name;
  reply.sequence = request.sequence;
  TakeReply(name, user, reply, now);
}

void FleetLimiter::TakeReply(const std::string& name,
                             User& user,
                             const CreditReply& reply,
                             TimePoint now) {
  const auto sent = std::find_if(user.sent.begin(), user.sent.end(),
                                 [&reply](const SentRequest& each) {
                                   return each.sequence == reply.sequence;
                                 });
  if (sent == user.sent.end()) {
    return;
  }
  const TimePoint sent_at = sent->sent_at;
  user.sent.erase(sent);
  const bool is_awaited = user.open && user.open->sequence == reply.sequence;
  const bool is_own = is_awaited && user.open->daemon == identity_.self;
  if (reply.is_declined) {
    user.declined_at = now;
    if (is_awaited) {
      user.rivals = order_.FindRivals(name, user.open->daemon, now);
      TryNext(name, user, now);
    }
    return;
  }
  user.replied_at = now;
  user.last_granted = reply.granted;
  user.account.Add(reply.granted, sent_at);
  AdmitWaiting(user, now);
  if (!is_awaited) {
    return;
  }
  user.open.reset();
  user.tried.clear();
  bool is_short = false;
  while (!user.waiting.empty() && user.waiting.front().asked_in != 0) {
    Decide(user.waiting.front(), MakeRefusal(user, reply.retry_after, now));
    user.waiting.pop_front();
    is_short = true;
  }
  if (!is_own && (is_short || user.account.IsLow(now))) {
    user.next_request_at = now + kPauseAfterShortage;
  }
  if (!user.waiting.empty()) {
    RequestCredits(name, user, now);
  }
}

void FleetLimiter::TryNext(const std::string& name, User& user, TimePoint now) {
  user.tried.push_back(user.open->daemon);
  user.open.reset();
  if (user.waiting.empty()) {
    user.tried.clear();
    return;
  }
  RequestCredits(name, user, now);
}

void FleetLimiter::AdvanceUser(const std::string& name,
                               User& user,
                               TimePoint now) {
  if (user.open && now >= user.open->reply_by) {
    OpenRequest& open = *user.open;
    if (now > open.reply_by + kMaxLateness && !open.is_extended) {
      open.is_extended = true;
      open.reply_by = now + kMaxLateness;
      for (Waiting& each : user.waiting) {
        each.until = std::max(each.until, open.reply_by);
      }
    } else {
      reach_.Suspect(open.daemon);
      TryNext(name, user, now);
    }
  }
  while (!user.waiting.empty() && now >= user.waiting.front().until) {
    const Ticket ticket = user.waiting.front().ticket;
    user.waiting.pop_front();
    DecideAlone(name, user, ticket, now);
  }
  if (!user.waiting.empty()) {
    RequestCredits(name, user, now);
  }
}

void FleetLimiter::AdmitWaiting(User& user, TimePoint now) {
  while (!user.waiting.empty() && user.account.TryTake(now)) {
    Decide(user.waiting.front(), {Decision::kAdmitted});
    user.waiting.pop_front();
  }
}

void FleetLimiter::DecideAlone(const std::string& name,
                               User& user,
                               Ticket ticket,
                               TimePoint now) {
  const std::optional<FleetLimit> limit = delegate_.FindLimit(name);
  double share =
      limit ? limit->per_second / static_cast<double>(reach_.FleetSize(now))
            : 0;
  // With an empty list, other daemons may know an allocator as well.
  if (WasDeclined(user, now) || user.candidates.empty()) {
    share *= kDeclinedShare;
  }
  const bool is_admitted = !limit || user.account.TryTakeOwnShare(share, now);
  Decide({ticket}, is_admitted ? Verdict{Decision::kAdmitted}
                               : MakeRefusal(user, kMinRetryAfter, now));
}

FleetLimiter::Verdict FleetLimiter::MakeRefusal(const User& user,
                                                milliseconds retry_after,
                                                TimePoint now) {
  const milliseconds least = std::max(kMinRetryAfter, retry_after);
  std::uniform_int_distribution<std::int64_t> spread(0, least.count());
  Verdict verdict;
  verdict.decision = Decision::kRefused;
  verdict.retry_after = least + milliseconds(spread(random_));
  verdict.last_granted = user.last_granted;
  if (user.replied_at) {
    verdict.reply_age = duration_cast<milliseconds>(now - *user.replied_at);
  }
  return verdict;
}

void FleetLimiter::Decide(const Waiting& waiting, const Verdict& verdict) {
  names_by_ticket_.erase(waiting.ticket);
  decisions_.emplace_back(waiting.ticket, verdict);
}

void FleetLimiter::NoteBusy(const std::string& name, const User& user) {
  if (user.open || !user.waiting.empty()) {
    busy_.insert(name);
  } else {
    busy_.erase(name);
  }
}

void FleetLimiter::DeliverDecisions() {
  while (!decisions_.empty()) {
    for (const auto& [ticket, verdict] : std::exchange(decisions_, {})) {
      delegate_.OnDecided(ticket, verdict);
    }
  }
}

CreditReply FleetLimiter::Allocate(const CreditRequest& request,
                                   TimePoint now) {
  CreditReply reply;
  reply.is_declined = true;
  order_.Update(now);
  if (is_stopping_ || !order_.IsCandidate()) {
    return reply;
  }
  if (request.limit.empty()) {
    reply.is_declined = false;
    return reply;
  }
  const std::optional<FleetLimit> limit = delegate_.FindLimit(request.limit);
  if (!limit) {
    // A newer configuration than the sender's may have lifted the limit. An
    // older one says nothing about it.
    reply.is_declined = request.config_version > delegate_.ConfigVersion();
    reply.granted = reply.is_declined ? 0 : request.waiting;
    return reply;
  }
  reach_.Use(now);
  SendProbes(now);
  const auto [found, is_new] = buckets_.try_emplace(request.limit);
  Allocation& allocation = found->second;
  if (is_new || allocation.epoch != order_.epoch()) {
    allocation.candidates = order_.Find(request.limit);
    allocation.rivals = order_.FindRivals(request.limit, identity_.self, now);
    allocation.epoch = order_.epoch();
  }
  if (IsForOther(allocation, now)) {
    return reply;
  }
  const TimePoint since = now - kUndisputedTime;
  const bool has_paused = is_new || now > allocation.used_at + kMaxPause;
  if (has_paused && !order_.IsFirstSince(request.limit, allocation.used_at)) {
    const bool is_undisputed =
        standstill_at_ <= since && order_.IsFirstSince(request.limit, since);
    allocation.bucket.Begin(*limit, is_undisputed, now);
  }
  allocation.used_at = now;
  const double share = reach_.Share(now);
  reply.is_declined = false;
  reply.granted = allocation.bucket.Take(*limit, share, request.waiting,
                                         request.advance, now);
  if (reply.granted < request.waiting) {
    reply.retry_after = allocation.bucket.TimeUntil(
        *limit, share, request.waiting - reply.granted, now);
  }
  return reply;
}

bool FleetLimiter::IsForOther(const Allocation& allocation, TimePoint now) {
  const auto& candidates = allocation.candidates;
  if (std::find(candidates.begin(), candidates.end(), identity_.self) ==
      candidates.end()) {
    return true;
  }
  bool is_for_other = false;
  for (const PeerAddress& daemon : allocation.rivals) {
    is_for_other = is_for_other || reach_.IsAlive(daemon, now);
    if (reach_.TryTakeProbe(daemon, now)) {
      Probe(daemon);
    }
  }
  return is_for_other;
}

}  // namespace vanillafall
