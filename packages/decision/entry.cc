#include "decision/entry.h"

#include <algorithm>
#include <utility>

#include "decision/idempotency_key.h"

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::size_t kMostTries = 4;
// An idempotent try gets this part of the time left, so that a try elsewhere
// still has time.
constexpr int kTimePartOfIdempotentTry = 2;
constexpr milliseconds kLeastTryTime{50};

milliseconds TimeoutOfTry(const RunRequest& run) {
  if (!run.idempotent) {
    return run.time_left;
  }
  const milliseconds part = run.time_left / kTimePartOfIdempotentTry;
  return std::min(run.time_left, std::max(part, kLeastTryTime));
}

RunReply FailureAsReply(PeerFailure failure) {
  RunReply reply;
  const bool is_proved = failure == PeerFailure::kNotSent;
  reply.outcome = is_proved ? Outcome::kNotRun : Outcome::kUnknown;
  reply.reason = is_proved ? Reason::kPeerUnreachable : Reason::kPeerLost;
  return reply;
}

// True when another owner would answer the same, so that a try there is
// wasted.
bool IsFinal(Reason reason) {
  switch (reason) {
    case Reason::kKeyOfOtherBody:
    case Reason::kKeyInProgress:
    case Reason::kKeyOutcomeLost:
    case Reason::kCrashSuspect:
    case Reason::kDeadlinePassed:
    case Reason::kTooLarge:
    case Reason::kAnswerTooLarge:
      return true;
    default:
      return false;
  }
}

}  // namespace

Entry::Entry(std::string data_centre,
             std::size_t max_requests,
             PeerCaller& peers)
    : data_centre_(std::move(data_centre)),
      max_requests_(max_requests),
      peers_(peers) {}

void Entry::Configure(const FleetConfigPtr& config) {
  config_ = config;
  std::erase_if(services_, [&config](const auto& entry) {
    return config->FindService(entry.first) == nullptr;
  });
  for (const auto& [name, service] : config->services) {
    StateOf(name).router->Configure(service);
  }
}

void Entry::OnRequest(const CallerRequest& request,
                      Random& random,
                      TimePoint now,
                      Actions& actions) {
  Pending pending;
  pending.id = request.id;
  pending.deadline = now + request.time_left;
  pending.reason = Prepare(request, &pending.run);
  if (pending.reason != Reason::kOk) {
    // Without a configuration nobody can be asked whether the key has run.
    const bool is_key_unknown =
        pending.reason == Reason::kNoConfig &&
        !FindHeader(request.request.headers, kKeyHeader).empty();
    pending.outcome = is_key_unknown ? Outcome::kUnknown : Outcome::kNotRun;
    Finish(pending, actions);
    return;
  }
  StateOf(pending.run.service).budget.OnFirstTry();
  Pending& kept = pending_[request.id];
  kept = std::move(pending);
  SendNext(kept, random, now, actions);
}

void Entry::OnReply(PeerCallId call,
                    const RunReply& reply,
                    Random& random,
                    TimePoint now,
                    Actions& actions) {
  const auto node = tries_.extract(call);
  if (node.empty()) {
    return;
  }
  const Try& done = node.mapped();
  const auto pending = pending_.find(done.request);
  if (pending != pending_.end()) {
    StateOf(pending->second.run.service)
        .router->OnReply(done.server, reply, now - done.sent, now);
  }
  Conclude(done, reply, random, now, actions);
}

void Entry::OnFailure(PeerCallId call,
                      PeerFailure failure,
                      Random& random,
                      TimePoint now,
                      Actions& actions) {
  const auto node = tries_.extract(call);
  if (node.empty()) {
    return;
  }
  const Try& done = node.mapped();
  const auto pending = pending_.find(done.request);
  if (pending != pending_.end()) {
    StateOf(pending->second.run.service)
        .router->OnFailure(done.server, failure, now);
  }
  Conclude(done, FailureAsReply(failure), random, now, actions);
}

Reason Entry::Prepare(const CallerRequest& request, RunRequest* run) const {
  if (config_ == nullptr) {
    return Reason::kNoConfig;
  }
  const FleetConfig::Match match = config_->FindRoute(request.request.target);
  if (match.route == nullptr) {
    return Reason::kUnknownRoute;
  }
  const ServiceConfig& service = *match.service;
  run->service = service.name;
  run->service_number = service.number;
  run->request_class = match.route->request_class;
  run->request = request.request;
  run->tenant = FindHeader(request.request.headers, kTenantHeader);
  if (!service.Admits(run->tenant)) {
    return Reason::kCallerNotAllowed;
  }
  run->idempotent = match.route->IsIdempotent(request.request.method);
  run->fingerprint = HashParts({service.name, request.request.method,
                                request.request.target, request.request.body});
  const std::string_view key = FindHeader(request.request.headers, kKeyHeader);
  if (!run->idempotent && !key.empty()) {
    run->key = HashParts({service.name, run->tenant, key});
    run->key_time = TimeOfKey(key);
  }
  if (pending_.size() >= max_requests_) {
    return Reason::kOverloaded;
  }
  const bool lacks_key = !run->idempotent && key.empty();
  return lacks_key && service.missing_key == MissingKeyRule::kRefuse
             ? Reason::kMissingKey
             : Reason::kOk;
}

void Entry::SendNext(Pending& pending,
                     Random& random,
                     TimePoint now,
                     Actions& actions) {
  const ServiceConfig* service = config_->FindService(pending.run.service);
  const auto time_left = duration_cast<milliseconds>(pending.deadline - now);
  if (service == nullptr || time_left <= milliseconds(0)) {
    if (time_left <= milliseconds(0)) {
      pending.reason = Reason::kDeadlinePassed;
    }
    Finish(pending, actions);
    return;
  }
  Router& router = *StateOf(service->name).router;
  const BackendServer* server =
      router.Choose(*service, pending.tried, random, now);
  if (server == nullptr) {
    Finish(pending, actions);
    return;
  }
  pending.tried.push_back(server->name);
  pending.run.backend_server = server->name;
  pending.run.service_number = service->number;
  pending.run.time_left = time_left;
  pending.run.time_left = TimeoutOfTry(pending.run);
  router.OnSent(server->name);
  const PeerCallId call =
      peers_.Ask(server->owner, pending.run, pending.run.time_left, actions);
  tries_[call] = {pending.id, server->name, now};
}

void Entry::Conclude(const Try& done,
                     const RunReply& reply,
                     Random& random,
                     TimePoint now,
                     Actions& actions) {
  const auto found = pending_.find(done.request);
  if (found == pending_.end()) {
    return;
  }
  Pending& pending = found->second;
  pending.reason = reply.reason;
  pending.response = reply.response;
  // One unknown try makes the whole request unknown, unless a later one ends.
  const bool was_unknown = pending.outcome == Outcome::kUnknown;
  pending.outcome = was_unknown && reply.outcome == Outcome::kNotRun
                        ? Outcome::kUnknown
                        : reply.outcome;
  const bool is_retryable =
      reply.outcome == Outcome::kNotRun ||
      (reply.outcome == Outcome::kUnknown && pending.run.idempotent);
  if (is_retryable && !IsFinal(reply.reason) && MayTryAgain(pending, now)) {
    SendNext(pending, random, now, actions);
    return;
  }
  Finish(pending, actions);
}

bool Entry::MayTryAgain(const Pending& pending, TimePoint now) {
  const ServiceConfig* service = config_->FindService(pending.run.service);
  const bool has_choice =
      service != nullptr && pending.tried.size() < kMostTries &&
      pending.tried.size() < service->backend_servers.size();
  if (!has_choice || pending.deadline <= now) {
    return false;
  }
  return StateOf(pending.run.service).budget.TryTake();
}

void Entry::Finish(Pending& pending, Actions& actions) {
  const RequestId id = pending.id;
  AnswerCaller answer;
  answer.id = id;
  answer.outcome = pending.outcome;
  answer.reason = pending.reason;
  answer.response = std::move(pending.response);
  answer.service = pending.run.service;
  answer.request_class = pending.run.request_class;
  answer.tenant = pending.run.tenant;
  if (pending.run.key) {
    answer.claim = KeyClaim{pending.run.service, *pending.run.key,
                            pending.run.fingerprint, pending.run.key_time};
  }
  actions.emplace_back(std::move(answer));
  pending_.erase(id);
}

Entry::ServiceState& Entry::StateOf(const std::string& service) {
  ServiceState& state = services_[service];
  if (state.router == nullptr) {
    state.router = std::make_unique<Router>(data_centre_);
  }
  return state;
}

}  // namespace vanillafall
