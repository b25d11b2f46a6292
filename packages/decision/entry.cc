#include "decision/entry.h"

#include <algorithm>
#include <utility>

#include "decision/idempotency_key.h"

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::size_t kMaxTries = 4;
// A try of an idempotent request is slow when it takes longer than
// kSlowMultiple times the recent latency at kSlowQuantile, and longer than
// kMinSlowThreshold.
constexpr int kSlowMultiple = 3;
constexpr double kSlowQuantile = 0.95;
constexpr milliseconds kMinSlowThreshold{50};
// Such a try is slow in any case once it takes longer than the time left of its
// request divided by this, so that a try on another server still has time.
constexpr int kTimeLeftDivisor = 2;

RunReply ReplyFromFailure(PeerFailure failure) {
  RunReply reply;
  const bool was_not_sent = failure == PeerFailure::kNotSent;
  reply.outcome = was_not_sent ? Outcome::kNotRun : Outcome::kUnknown;
  reply.reason = was_not_sent ? Reason::kPeerUnreachable : Reason::kPeerLost;
  return reply;
}

// Whether another try would be wasted, because every owner would answer the
// same.
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
  routes_ = RouteIndex(*config);
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
    // Without a configuration the key's guards are unknown, so nobody can be
    // asked whether the key has run.
    const bool may_key_have_run =
        pending.reason == Reason::kNoConfig &&
        !FindHeader(request.request.headers, kKeyHeader).empty();
    pending.outcome = may_key_have_run ? Outcome::kUnknown : Outcome::kNotRun;
    Finish(pending, actions);
    return;
  }
  Pending& kept = pending_[request.id];
  kept = std::move(pending);
  ScheduleWakeup(kept, kept.deadline + kDeadlineGrace);
  StateOf(kept.run.service).budget.OnFirstTry(now);
  if (!Send(kept, random, now, actions)) {
    Finish(kept, actions);
  }
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
  const Try& ended_try = node.mapped();
  RecordReply(ended_try, reply, now);
  OnTryEnded(call, ended_try, reply, random, now, actions);
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
  const Try& ended_try = node.mapped();
  const auto service = services_.find(ended_try.service);
  if (service != services_.end()) {
    service->second.router->OnFailure(ended_try.server, failure, now);
  }
  OnTryEnded(call, ended_try, ReplyFromFailure(failure), random, now, actions);
}

void Entry::Advance(Random& random, TimePoint now, Actions& actions) {
  while (!wakeups_.empty() && wakeups_.begin()->at <= now) {
    Pending& pending = pending_.at(wakeups_.begin()->request);
    if (now < pending.deadline + kDeadlineGrace) {
      OnSlowTry(pending, random, now, actions);
      continue;
    }
    // A try that is still open may have run.
    pending.outcome = Outcome::kUnknown;
    pending.reason = Reason::kDeadlinePassed;
    Finish(pending, actions);
  }
}

Reason Entry::Prepare(const CallerRequest& request, RunRequest* run) const {
  if (config_ == nullptr) {
    return Reason::kNoConfig;
  }
  const FleetConfig::Match match = routes_.Find(request.request.target);
  if (match.route == nullptr) {
    return Reason::kUnknownRoute;
  }
  const ServiceConfig& service = *match.service;
  run->service = service.name;
  run->service_number = service.number;
  run->request_class = match.route->request_class;
  run->request = request.request;
  run->customer = FindHeader(request.request.headers, kCustomerHeader);
  if (!service.Admits(run->customer)) {
    return Reason::kCallerNotAllowed;
  }
  run->idempotent = match.route->IsIdempotent(request.request.method);
  run->fingerprint =
      HashParts({service.name, request.request.method, request.request.target,
                 request.request.body.text()});
  const std::string_view key = FindHeader(request.request.headers, kKeyHeader);
  if (!run->idempotent && !key.empty()) {
    run->key = HashParts({service.name, run->customer, key});
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

bool Entry::Send(Pending& pending,
                 Random& random,
                 TimePoint now,
                 Actions& actions) {
  const ServiceConfig* service = config_->FindService(pending.run.service);
  const auto time_left = duration_cast<milliseconds>(pending.deadline - now);
  if (time_left <= milliseconds(0)) {
    pending.reason = Reason::kDeadlinePassed;
    return false;
  }
  if (service == nullptr) {
    return false;
  }
  ServiceState& state = StateOf(service->name);
  const BackendServer* server =
      state.router->Choose(*service, pending.tried, random, now);
  if (server == nullptr) {
    return false;
  }
  pending.tried.push_back(server->name);
  pending.run.backend_server = server->name;
  pending.run.service_number = service->number;
  pending.run.time_left = time_left;
  state.router->OnSent(server->name);
  const PeerCallId call =
      peers_.Ask(server->owner, pending.run, time_left, actions);
  tries_[call] = {pending.id, service->name, pending.run.request_class,
                  server->name, now};
  pending.current_try = call;
  ++pending.open_tries;
  const TimePoint end = pending.deadline + kDeadlineGrace;
  const bool may_retry_when_slow = pending.run.idempotent;
  ScheduleWakeup(pending, may_retry_when_slow
                              ? now + SlowThresholdFor(pending.run, time_left)
                              : end);
  return true;
}

void Entry::OnTryEnded(PeerCallId call,
                       const Try& ended_try,
                       const RunReply& reply,
                       Random& random,
                       TimePoint now,
                       Actions& actions) {
  const auto found = pending_.find(ended_try.request);
  if (found == pending_.end()) {
    return;
  }
  Pending& pending = found->second;
  --pending.open_tries;
  pending.run.is_crash_suspect = pending.run.is_crash_suspect ||
                                 reply.reason == Reason::kBackendServerCrashed;
  // A try whose outcome is unknown makes the outcome of the request unknown,
  // unless another try ends with kDone.
  const bool stays_unknown =
      pending.outcome == Outcome::kUnknown && reply.outcome == Outcome::kNotRun;
  if (!stays_unknown) {
    pending.outcome = reply.outcome;
    pending.reason = reply.reason;
    pending.response = reply.response;
  }
  if (reply.outcome == Outcome::kDone) {
    Finish(pending, actions);
    return;
  }
  const bool is_current = call == pending.current_try;
  pending.current_try = is_current ? 0 : pending.current_try;
  const bool is_retryable =
      reply.outcome == Outcome::kNotRun || pending.run.idempotent;
  const bool is_sent = is_current && is_retryable && !IsFinal(reply.reason) &&
                       MayTryAgain(pending, now) &&
                       Send(pending, random, now, actions);
  if (is_sent) {
    return;
  }
  if (pending.open_tries == 0) {
    Finish(pending, actions);
    return;
  }
  if (is_current) {
    ScheduleWakeup(pending, pending.deadline + kDeadlineGrace);
  }
}

void Entry::RecordReply(const Try& ended_try,
                        const RunReply& reply,
                        TimePoint now) {
  const auto found = services_.find(ended_try.service);
  if (found == services_.end()) {
    return;
  }
  const Duration latency = now - ended_try.sent;
  found->second.router->OnReply(ended_try.server, reply, latency, now);
  if (reply.outcome == Outcome::kDone) {
    found->second.latencies[ended_try.request_class].Record(latency);
  }
}

void Entry::OnSlowTry(Pending& pending,
                      Random& random,
                      TimePoint now,
                      Actions& actions) {
  ScheduleWakeup(pending, pending.deadline + kDeadlineGrace);
  StateOf(pending.run.service).router->OnSlow(pending.tried.back(), now);
  if (MayTryAgain(pending, now)) {
    Send(pending, random, now, actions);
  }
}

bool Entry::MayTryAgain(const Pending& pending, TimePoint now) {
  const ServiceConfig* service = config_->FindService(pending.run.service);
  const bool has_choice =
      service != nullptr && pending.tried.size() < kMaxTries &&
      pending.tried.size() < service->backend_servers.size();
  if (!has_choice || pending.deadline - now < milliseconds(1)) {
    return false;
  }
  return StateOf(pending.run.service).budget.TryTake(now);
}

Duration Entry::SlowThresholdFor(const RunRequest& run, Duration time_left) {
  const Duration upper_limit = time_left / kTimeLeftDivisor;
  const std::optional<Duration> recent =
      StateOf(run.service).latencies[run.request_class].Quantile(kSlowQuantile);
  if (!recent) {
    return upper_limit;
  }
  const Duration from_latency = *recent * kSlowMultiple;
  return std::min(upper_limit,
                  std::max<Duration>(from_latency, kMinSlowThreshold));
}

void Entry::ScheduleWakeup(Pending& pending, TimePoint at) {
  wakeups_.erase({pending.wakeup, pending.id});
  pending.wakeup = at;
  wakeups_.insert({at, pending.id});
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
  answer.customer = pending.run.customer;
  if (pending.run.key) {
    answer.claim = KeyClaim{pending.run.service, *pending.run.key,
                            pending.run.fingerprint, pending.run.key_time};
  }
  actions.emplace_back(std::move(answer));
  wakeups_.erase({pending.wakeup, id});
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
