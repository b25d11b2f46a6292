#include "decision/keyed_execution.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "decision/key_retention.h"

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Purpose = KeyedExecution::Purpose;

constexpr milliseconds kVoteTimeout{1000};
constexpr milliseconds kMinVoteTimeout{10};
// A key that another attempt holds is requested in at most kMaxRounds rounds.
// The delay before the second round is at least kMinRoundDelay; it doubles
// before each further round.
constexpr int kMaxRounds = 5;
constexpr milliseconds kMinRoundDelay{20};
// Offset of the sequence numbers of proofs. Attempts that run have the same
// incarnation and count from 1, so the ids never collide.
constexpr std::uint64_t kProofSequenceOffset = std::uint64_t{1} << 63U;
constexpr milliseconds kSettleTimeout{1000};
constexpr milliseconds kSettleRetryDelay{500};
constexpr int kMaxSettleTries = 10;
// Longer answers are not kept: a resend then gets `unknown` with the reason
// kKeyOutcomeLost.
constexpr std::size_t kMaxKeptBodyBytes = 1U << 14U;

// Exponential backoff with jitter: 0.5 to 1.5 times the base delay, so that two
// competing attempts do not repeat their requests at the same time.
milliseconds DelayBeforeNextRound(int past_rounds, std::uint64_t incarnation) {
  const milliseconds base = kMinRoundDelay * (1 << past_rounds);
  const auto jitter_ms = static_cast<std::int64_t>(
      incarnation % static_cast<std::uint64_t>(base.count()));
  return base / 2 + milliseconds(jitter_ms);
}

// The outcome for work whose service is not in the configuration.
Outcome OutcomeWithoutGuards(Purpose purpose) {
  return purpose == Purpose::kRun ? Outcome::kNotRun : Outcome::kUnknown;
}

RunReply ReplyWith(Outcome outcome, Reason reason) {
  RunReply reply;
  reply.outcome = outcome;
  reply.reason = reason;
  return reply;
}

}  // namespace

KeyedExecution::KeyedExecution(PeerAddress self,
                               std::uint64_t incarnation,
                               Purpose purpose,
                               std::size_t max_keys,
                               PeerCaller& peers,
                               Listener& listener)
    : self_(std::move(self)),
      incarnation_(incarnation),
      purpose_(purpose),
      max_keys_(max_keys),
      peers_(peers),
      listener_(listener),
      last_sequence_(purpose == Purpose::kRun ? 0 : kProofSequenceOffset) {}

void KeyedExecution::Begin(Ticket ticket,
                           const KeyClaim& claim,
                           TimePoint deadline,
                           TimePoint now,
                           Actions& actions) {
  Work& work = works_[ticket];
  work.claim = claim;
  work.deadline = deadline;
  StartRound(ticket, now, actions);
}

void KeyedExecution::Abandon(Ticket ticket, Actions& actions) {
  const auto work = works_.extract(ticket);
  if (!work.empty() && work.mapped().round) {
    SettleAll(*work.mapped().round, Outcome::kNotRun, actions);
  }
}

void KeyedExecution::End(Ticket ticket,
                         const RunReply& reply,
                         TimePoint now,
                         Actions& actions) {
  const auto node = works_.extract(ticket);
  if (node.empty()) {
    return;
  }
  const Work& work = node.mapped();
  assert(work.is_granted && "only granted work can end; see Abandon");
  const VoteRequest& vote = work.round->request();
  const bool is_kept = reply.outcome == Outcome::kDone &&
                       reply.response.body.size() <= kMaxKeptBodyBytes &&
                       kept_answers_.size() < max_keys_;
  if (is_kept) {
    kept_answers_[vote.key] = {vote.attempt, reply, now + work.retention};
    kept_answer_expiries_.emplace(now + work.retention, vote.key);
  }
  SettleAll(*work.round, reply.outcome, actions);
}

bool KeyedExecution::OnPeerReply(
    PeerCallId call,
    const std::variant<PeerReply, PeerFailure>& result,
    TimePoint now,
    Actions& actions) {
  if (const auto vote = vote_calls_.extract(call); !vote.empty()) {
    OnVote(vote.mapped(), result, now, actions);
    return true;
  }
  if (const auto recall = recall_calls_.extract(call); !recall.empty()) {
    OnRecall(recall.mapped(), result, now, actions);
    return true;
  }
  if (auto settle = settle_calls_.extract(call); !settle.empty()) {
    const bool is_lost = std::holds_alternative<PeerFailure>(result);
    if (is_lost && settle.mapped().tries < kMaxSettleTries) {
      settle_retries_.push_back({now + kSettleRetryDelay, settle.mapped()});
    }
    return true;
  }
  return false;
}

RecallReply KeyedExecution::Recall(const RecallRequest& request) const {
  const auto found = kept_answers_.find(request.key);
  if (found == kept_answers_.end() ||
      found->second.attempt != request.attempt) {
    return {};
  }
  return {found->second.reply};
}

void KeyedExecution::Advance(TimePoint now, Actions& actions) {
  while (!settle_retries_.empty() && settle_retries_.front().at <= now) {
    SettleCall call = std::move(settle_retries_.front().call);
    settle_retries_.pop_front();
    SendSettle(std::move(call), actions);
  }
  while (!scheduled_rounds_.empty() &&
         scheduled_rounds_.begin()->first <= now) {
    const Ticket ticket = scheduled_rounds_.begin()->second;
    scheduled_rounds_.erase(scheduled_rounds_.begin());
    StartRound(ticket, now, actions);
  }
  while (!kept_answer_expiries_.empty() &&
         kept_answer_expiries_.begin()->first <= now) {
    const auto found =
        kept_answers_.find(kept_answer_expiries_.begin()->second);
    if (found != kept_answers_.end() && found->second.until <= now) {
      kept_answers_.erase(found);
    }
    kept_answer_expiries_.erase(kept_answer_expiries_.begin());
  }
}

void KeyedExecution::StartRound(Ticket ticket,
                                TimePoint now,
                                Actions& actions) {
  const auto found = works_.find(ticket);
  if (found == works_.end()) {
    return;
  }
  Work& work = found->second;
  const ServiceConfig* service =
      config_ == nullptr ? nullptr : config_->FindService(work.claim.service);
  if (service == nullptr && work.rounds++ == 0) {
    ScheduleNextRound(ticket, work, now);
    return;
  }
  if (service == nullptr) {
    works_.erase(found);
    listener_.OnRefused(
        ticket, ReplyWith(OutcomeWithoutGuards(purpose_), Reason::kNotOwner),
        now, actions);
    return;
  }
  ++work.rounds;
  VoteRequest vote;
  vote.service = service->name;
  vote.key = work.claim.key;
  vote.fingerprint = work.claim.fingerprint;
  vote.attempt = {incarnation_, ++last_sequence_};
  vote.owner = self_;
  vote.service_number = service->number;
  vote.key_time = work.claim.key_time;
  work.round.emplace(vote, *service, guard_versions_[service->name]);
  work.retention = RetentionOf(*service);
  const milliseconds timeout =
      std::clamp(duration_cast<milliseconds>(work.deadline - now),
                 kMinVoteTimeout, kVoteTimeout);
  for (const PeerAddress& guard : work.round->guards()) {
    vote_calls_[peers_.Ask(guard, vote, timeout, actions)] = {
        ticket, vote.attempt, guard};
  }
}

void KeyedExecution::ScheduleNextRound(Ticket ticket,
                                       const Work& work,
                                       TimePoint now) {
  scheduled_rounds_.emplace(
      now + DelayBeforeNextRound(work.rounds, incarnation_), ticket);
}

bool KeyedExecution::MayStartNextRound(const Work& work, TimePoint now) const {
  return work.round->IsContended() && work.rounds < kMaxRounds &&
         now + DelayBeforeNextRound(work.rounds, incarnation_) < work.deadline;
}

void KeyedExecution::OnVote(const VoteCall& call,
                            const std::variant<PeerReply, PeerFailure>& result,
                            TimePoint now,
                            Actions& actions) {
  const auto found = works_.find(call.ticket);
  const bool is_awaited =
      found != works_.end() && !found->second.is_granted &&
      found->second.round &&
      found->second.round->request().attempt == call.attempt;
  if (!is_awaited) {
    return;
  }
  Work& work = found->second;
  const auto* peer_reply = std::get_if<PeerReply>(&result);
  const auto* vote = peer_reply ? std::get_if<VoteReply>(peer_reply) : nullptr;
  if (vote != nullptr) {
    guard_versions_[work.claim.service].OnReply(call.guard, *vote);
    work.round->OnReply(call.guard, *vote);
  } else {
    work.round->OnFailure(call.guard);
  }
  if (work.round->state() == VoteRound::State::kGranted) {
    work.is_granted = true;
    listener_.OnGranted(call.ticket, now, actions);
    return;
  }
  if (work.round->state() != VoteRound::State::kLost) {
    return;
  }
  if (!MayStartNextRound(work, now)) {
    Refuse(call.ticket, now, actions);
    return;
  }
  SettleAll(*work.round, Outcome::kNotRun, actions);
  work.round.reset();
  ScheduleNextRound(call.ticket, work, now);
}

void KeyedExecution::Refuse(Ticket ticket, TimePoint now, Actions& actions) {
  const VoteRound round = *works_.at(ticket).round;
  works_.erase(ticket);
  SettleAll(round, Outcome::kNotRun, actions);
  const std::optional<VoteReply>& holder = round.holder();
  const bool has_answer = holder && holder->result == VoteResult::kTaken &&
                          holder->settled == Outcome::kDone;
  if (has_answer) {
    const RecallRequest recall{round.request().service, round.request().key,
                               holder->holder};
    recall_calls_[peers_.Ask(holder->holder_owner, recall, kVoteTimeout,
                             actions)] = ticket;
    return;
  }
  const bool is_lost =
      holder && holder->result == VoteResult::kTaken && holder->settled;
  const Reason reason = is_lost ? Reason::kKeyOutcomeLost : round.reason();
  listener_.OnRefused(ticket, ReplyWith(OutcomeOfLostRound(round), reason), now,
                      actions);
}

Outcome KeyedExecution::OutcomeOfLostRound(const VoteRound& round) const {
  if (purpose_ == Purpose::kProveNotRun) {
    return round.ProvesNotRun() ? Outcome::kNotRun : Outcome::kUnknown;
  }
  const bool other_attempt_may_run =
      round.holder() && round.holder()->result == VoteResult::kTaken;
  return other_attempt_may_run ? Outcome::kUnknown : Outcome::kNotRun;
}

void KeyedExecution::OnRecall(
    Ticket ticket,
    const std::variant<PeerReply, PeerFailure>& result,
    TimePoint now,
    Actions& actions) {
  const auto* peer_reply = std::get_if<PeerReply>(&result);
  const auto* recall =
      peer_reply ? std::get_if<RecallReply>(peer_reply) : nullptr;
  const bool has_answer = recall != nullptr && recall->reply.has_value();
  listener_.OnRefused(
      ticket,
      has_answer ? *recall->reply
                 : ReplyWith(Outcome::kUnknown, Reason::kKeyOutcomeLost),
      now, actions);
}

void KeyedExecution::SettleAll(const VoteRound& round,
                               Outcome outcome,
                               Actions& actions) {
  const VoteRequest& vote = round.request();
  for (const PeerAddress& guard : round.GuardsToSettle()) {
    SendSettle({guard, {vote.service, vote.key, vote.attempt, outcome}},
               actions);
  }
}

void KeyedExecution::SendSettle(SettleCall call, Actions& actions) {
  ++call.tries;
  const PeerCallId id =
      peers_.Ask(call.guard, call.notice, kSettleTimeout, actions);
  settle_calls_[id] = std::move(call);
}

}  // namespace vanillafall
