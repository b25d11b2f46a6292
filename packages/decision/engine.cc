#include "decision/engine.h"

#include <utility>

namespace vanillafall {
namespace {

// Set in the numbers of calls that the engine makes to itself, so that they
// never equal the numbers that the transport gives to calls from other daemons.
constexpr PeerCallId kLoopbackBit = PeerCallId{1} << 63;

}  // namespace

Engine::Engine(const Identity& identity,
               const Limits& limits,
               TimePoint started)
    : self_(identity.self),
      random_(identity.seed),
      pauses_(started),
      guard_(identity.self, limits.max_keys, started, identity.started_at),
      owner_(identity.self, limits, identity.incarnation, *this),
      entry_(identity.data_centre, limits.max_requests, *this),
      not_run_verifier_(identity.self,
                        identity.incarnation,
                        limits.max_keys,
                        pauses_,
                        *this) {}

void Engine::Handle(const Event& event, TimePoint now, Actions& actions) {
  const std::size_t first = actions.size();
  pauses_.OnEvent(now);
  if (!RefuseIfAgeUnknown(event, now, actions)) {
    Dispatch(event, now, actions);
  }
  not_run_verifier_.HoldUnprovenAnswers(first, now, actions);
  while (!loopback_.empty()) {
    const Event next = std::move(loopback_.front());
    loopback_.pop_front();
    Dispatch(next, now, actions);
    not_run_verifier_.HoldUnprovenAnswers(first, now, actions);
  }
}

std::uint64_t Engine::manifest_number() const {
  return config_ == nullptr ? 0 : config_->manifest_number;
}

std::vector<BackendServerStatus> Engine::GetStatus(TimePoint now) const {
  return owner_.GetStatus(now);
}

std::size_t Engine::unfinished_count() const {
  return entry_.request_count() + owner_.work_count() +
         not_run_verifier_.held_count();
}

PeerCallId Engine::Ask(const PeerAddress& peer,
                       PeerRequest request,
                       std::chrono::milliseconds timeout,
                       Actions& actions) {
  const PeerCallId call = ++last_call_;
  if (peer != self_) {
    actions.emplace_back(AskPeer{call, peer, std::move(request), timeout});
    return call;
  }
  loopback_calls_.insert(call | kLoopbackBit);
  loopback_.emplace_back(PeerAsked{call | kLoopbackBit, std::move(request)});
  return call;
}

void Engine::Reply(PeerCallId call, PeerReply reply, Actions& actions) {
  if (loopback_calls_.erase(call) == 0) {
    actions.emplace_back(ReplyPeer{call, std::move(reply)});
    return;
  }
  loopback_.emplace_back(PeerReplied{call & ~kLoopbackBit, std::move(reply)});
}

void Engine::Dispatch(const Event& event, TimePoint now, Actions& actions) {
  if (const auto* request = std::get_if<CallerRequest>(&event)) {
    entry_.OnRequest(*request, random_, now, actions);
  } else if (const auto* asked = std::get_if<PeerAsked>(&event)) {
    OnPeerAsked(*asked, now, actions);
  } else if (const auto* replied = std::get_if<PeerReplied>(&event)) {
    OnPeerReplied(*replied, now, actions);
  } else if (const auto* backend = std::get_if<BackendReplied>(&event)) {
    owner_.OnBackendReplied(*backend, now, actions);
  } else if (const auto* changed = std::get_if<ConfigChanged>(&event)) {
    OnConfigChanged(changed->config, now, actions);
  } else if (const auto* up_to_date = std::get_if<PeerUpToDate>(&event)) {
    guard_.OnPeerUpToDate(up_to_date->peer);
  } else if (const auto* drain = std::get_if<DrainChanged>(&event)) {
    owner_.OnDrainChanged(*drain, now, actions);
  } else {
    owner_.Advance(now, actions);
    entry_.Advance(random_, now, actions);
    not_run_verifier_.Advance(now, actions);
    guard_.Expire(now);
  }
}

void Engine::OnPeerAsked(const PeerAsked& asked,
                         TimePoint now,
                         Actions& actions) {
  const PeerCallId call = asked.call;
  if (const auto* run = std::get_if<RunRequest>(&asked.request)) {
    owner_.OnRun(call, *run, now, actions);
  } else if (const auto* vote = std::get_if<VoteRequest>(&asked.request)) {
    Reply(call, OnVote(*vote, now), actions);
  } else if (const auto* settle = std::get_if<SettleNotice>(&asked.request)) {
    OnSettle(*settle, now);
    Reply(call, SettleReply{}, actions);
  } else if (const auto* recall = std::get_if<RecallRequest>(&asked.request)) {
    Reply(call, owner_.OnRecall(*recall), actions);
  } else if (const auto* lease = std::get_if<LeaseRequest>(&asked.request)) {
    Reply(call, owner_.OnLease(*lease, now), actions);
  } else if (const auto* crash = std::get_if<CrashNotice>(&asked.request)) {
    owner_.OnCrashNotice(*crash, now);
    Reply(call, CrashReply{}, actions);
  }
}

void Engine::OnPeerReplied(const PeerReplied& replied,
                           TimePoint now,
                           Actions& actions) {
  if (not_run_verifier_.OnPeerReply(replied.call, replied.result, now,
                                    actions)) {
    return;
  }
  if (!entry_.Owns(replied.call)) {
    owner_.OnPeerReplied(replied, now, actions);
    return;
  }
  if (const auto* failure = std::get_if<PeerFailure>(&replied.result)) {
    entry_.OnFailure(replied.call, *failure, random_, now, actions);
    return;
  }
  const auto* reply =
      std::get_if<RunReply>(&std::get<PeerReply>(replied.result));
  if (reply == nullptr) {
    entry_.OnFailure(replied.call, PeerFailure::kLost, random_, now, actions);
    return;
  }
  entry_.OnReply(replied.call, *reply, random_, now, actions);
}

void Engine::OnConfigChanged(const FleetConfigPtr& config,
                             TimePoint now,
                             Actions& actions) {
  if (config->manifest_number <= manifest_number()) {
    return;
  }
  config_ = config;
  guard_.Configure(*config, now);
  owner_.Configure(config, now, actions);
  entry_.Configure(config);
  not_run_verifier_.Configure(config);
}

bool Engine::RefuseIfAgeUnknown(const Event& event,
                                TimePoint now,
                                Actions& actions) {
  if (!pauses_.WasRecentlyPaused(now)) {
    return false;
  }
  if (const auto* asked = std::get_if<PeerAsked>(&event)) {
    const auto* run = std::get_if<RunRequest>(&asked->request);
    if (run == nullptr || !run->key) {
      return false;
    }
    RunReply reply;
    reply.reason = Reason::kOverloaded;
    Reply(asked->call, std::move(reply), actions);
    return true;
  }
  const auto* request = std::get_if<CallerRequest>(&event);
  const bool is_keyed =
      request != nullptr &&
      !FindHeader(request->request.headers, kKeyHeader).empty();
  if (!is_keyed) {
    return false;
  }
  AnswerCaller answer;
  answer.id = request->id;
  answer.outcome = Outcome::kUnknown;
  answer.reason = Reason::kOverloaded;
  actions.emplace_back(std::move(answer));
  return true;
}

VoteReply Engine::OnVote(const VoteRequest& request, TimePoint now) {
  const ServiceConfig* service =
      config_ == nullptr ? nullptr : config_->FindService(request.service);
  return service == nullptr ? VoteReply{} : guard_.Vote(request, *service, now);
}

void Engine::OnSettle(const SettleNotice& notice, TimePoint now) {
  const ServiceConfig* service =
      config_ == nullptr ? nullptr : config_->FindService(notice.service);
  if (service != nullptr) {
    guard_.Settle(notice, *service, now);
  }
}

}  // namespace vanillafall
