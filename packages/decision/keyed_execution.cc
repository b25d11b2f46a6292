#include "decision/keyed_execution.h"

#include <algorithm>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kVoteTimeout{1000};
constexpr milliseconds kSettleTimeout{1000};
constexpr milliseconds kSettleRetryDelay{500};
constexpr int kMostSettleTries = 10;
// A longer answer is not kept; its resend learns the outcome without the body.
constexpr std::size_t kMostKeptBody = 1U << 14U;

RunReply ReplyWith(Outcome outcome, Reason reason) {
  RunReply reply;
  reply.outcome = outcome;
  reply.reason = reason;
  return reply;
}

}  // namespace

KeyedExecution::KeyedExecution(PeerAddress self,
                               std::uint64_t incarnation,
                               std::size_t max_keys,
                               PeerCaller& peers,
                               Listener& listener)
    : self_(std::move(self)),
      incarnation_(incarnation),
      max_keys_(max_keys),
      peers_(peers),
      listener_(listener) {}

void KeyedExecution::Begin(Ticket ticket,
                           const RunRequest& run,
                           const ServiceConfig& service,
                           Actions& actions) {
  VoteRequest vote;
  vote.service = service.name;
  vote.key = *run.key;
  vote.fingerprint = run.fingerprint;
  vote.attempt = {incarnation_, ++last_sequence_};
  vote.owner = self_;
  vote.service_number = service.number;
  vote.key_time = run.key_time;
  Work work{VoteRound(vote, service, versions_[service.name]),
            service.resend_window};
  const milliseconds timeout = std::min(run.time_left, kVoteTimeout);
  for (const PeerAddress& guard : work.round.guards()) {
    vote_calls_[peers_.Ask(guard, vote, timeout, actions)] = {ticket, guard};
  }
  works_.emplace(ticket, std::move(work));
}

void KeyedExecution::Abandon(Ticket ticket, Actions& actions) {
  const auto found = works_.find(ticket);
  if (found == works_.end()) {
    return;
  }
  SettleAll(found->second.round, Outcome::kNotRun, actions);
  works_.erase(found);
}

void KeyedExecution::End(Ticket ticket,
                         const RunReply& reply,
                         TimePoint now,
                         Actions& actions) {
  const auto found = works_.find(ticket);
  if (found == works_.end()) {
    return;
  }
  const VoteRequest& vote = found->second.round.request();
  const bool is_kept = reply.outcome == Outcome::kDone &&
                       reply.response.body.size() <= kMostKeptBody &&
                       kept_.size() < max_keys_;
  if (is_kept) {
    kept_[vote.key] = {vote.attempt, reply, now + found->second.resend_window};
  }
  SettleAll(found->second.round, reply.outcome, actions);
  works_.erase(found);
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
    if (is_lost && settle.mapped().tries < kMostSettleTries) {
      resends_.push_back({now + kSettleRetryDelay, settle.mapped()});
    }
    return true;
  }
  return false;
}

RecallReply KeyedExecution::Recall(const RecallRequest& request) const {
  const auto found = kept_.find(request.key);
  if (found == kept_.end() || found->second.attempt != request.attempt) {
    return {};
  }
  return {found->second.reply};
}

void KeyedExecution::Advance(TimePoint now, Actions& actions) {
  while (!resends_.empty() && resends_.front().at <= now) {
    SettleCall call = std::move(resends_.front().call);
    resends_.pop_front();
    SendSettle(std::move(call), actions);
  }
  std::erase_if(kept_,
                [now](const auto& entry) { return entry.second.until <= now; });
}

void KeyedExecution::OnVote(const VoteCall& call,
                            const std::variant<PeerReply, PeerFailure>& result,
                            TimePoint now,
                            Actions& actions) {
  const auto found = works_.find(call.ticket);
  if (found == works_.end() || found->second.is_granted) {
    return;
  }
  Work& work = found->second;
  const auto* peer_reply = std::get_if<PeerReply>(&result);
  const auto* vote = peer_reply ? std::get_if<VoteReply>(peer_reply) : nullptr;
  if (vote != nullptr) {
    versions_[work.round.request().service].OnReply(call.guard, *vote);
    work.round.OnReply(call.guard, *vote);
  } else {
    work.round.OnFailure(call.guard);
  }
  if (work.round.state() == VoteRound::State::kGranted) {
    work.is_granted = true;
    listener_.OnGranted(call.ticket, now, actions);
  } else if (work.round.state() == VoteRound::State::kLost) {
    Refuse(call.ticket, work, now, actions);
  }
}

void KeyedExecution::Refuse(Ticket ticket,
                            Work& work,
                            TimePoint now,
                            Actions& actions) {
  const VoteRound round = work.round;
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
  listener_.OnRefused(ticket, ReplyWith(round.outcome(), round.reason()), now,
                      actions);
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
  for (const PeerAddress& guard : round.guards()) {
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
