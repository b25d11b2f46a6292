#include "decision/owner.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kLeaseTimeout{500};
constexpr milliseconds kCrashNoticeTimeout{1000};
// Target of the crash probe. A server that accepts the connection has not
// crashed.
constexpr char kHealthTarget[] = "/health";
constexpr milliseconds kCrashProbeTimeout{500};
constexpr int kServerErrorStatus = 500;
// The response header by which a backend server announces that it is leaving.
constexpr char kStateHeader[] = "Vanillafall-State";
constexpr char kDrainingState[] = "draining";

std::string ServerId(std::string_view service, std::string_view server) {
  return std::string(service) + "/" + std::string(server);
}

RunReply RefusalWith(Reason reason) {
  RunReply reply;
  reply.outcome = Outcome::kNotRun;
  reply.reason = reason;
  return reply;
}

// A server error is a complete answer, but it does not prove what the server
// did before it failed. The outcome is therefore unknown.
RunReply ReplyFromResponse(const HttpResponse& response) {
  RunReply reply;
  const bool is_error = response.status >= kServerErrorStatus;
  reply.outcome = is_error ? Outcome::kUnknown : Outcome::kDone;
  reply.reason = is_error ? Reason::kBackendServerShed : Reason::kOk;
  reply.response = response;
  return reply;
}

RunReply ReplyFromBackendEnd(const BackendReplied& replied) {
  RunReply reply;
  reply.outcome = Outcome::kUnknown;
  switch (replied.end) {
    case BackendEnd::kAnswered:
      return ReplyFromResponse(replied.response);
    case BackendEnd::kNotConnected:
      return RefusalWith(Reason::kBackendServerUnreachable);
    case BackendEnd::kLost:
      reply.reason = Reason::kBackendServerLost;
      break;
    case BackendEnd::kTruncated:
      reply.reason = Reason::kAnswerTruncated;
      break;
    case BackendEnd::kTooLarge:
      reply.reason = Reason::kAnswerTooLarge;
      break;
    case BackendEnd::kTimeout:
      reply.reason = Reason::kBackendServerTimeout;
      break;
    case BackendEnd::kCancelled:
      reply.reason = Reason::kCancelled;
      break;
  }
  return reply;
}

bool IsFailure(const BackendReplied& replied) {
  return replied.end != BackendEnd::kAnswered ||
         replied.response.status >= kServerErrorStatus;
}

}  // namespace

Owner::Owner(PeerAddress self,
             const Limits& limits,
             std::uint64_t incarnation,
             PeerCaller& peers)
    : self_(std::move(self)),
      limits_(limits),
      peers_(peers),
      keyed_(self_,
             incarnation,
             KeyedExecution::Purpose::kRun,
             limits.max_keys,
             peers,
             *this) {}

void Owner::Configure(const FleetConfigPtr& config,
                      TimePoint now,
                      Actions& actions) {
  config_ = config;
  keyed_.Configure(config);
  for (auto& [id, server] : servers_) {
    server.is_removed = true;
  }
  for (const auto& [name, service] : config->services) {
    for (const BackendServer& each : service.backend_servers) {
      if (each.owner != self_) {
        continue;
      }
      Server& server = servers_[ServerId(name, each.name)];
      if (server.admission == nullptr) {
        server.admission = std::make_unique<Admission>(
            each.slots, limits_.max_waiting_per_backend_server);
      }
      server.config = each;
      server.service = name;
      server.is_removed = false;
      server.admission->SetSlots(each.slots);
      HealthOf(name);
    }
  }
  ConfigureHealth(now);
  for (auto& [id, server] : servers_) {
    if (!server.is_removed) {
      continue;
    }
    for (const Ticket ticket : server.admission->TakeAllWaiting()) {
      Finish(ticket, RefusalWith(Reason::kNotOwner), now, actions);
    }
  }
  std::erase_if(servers_, [](const auto& entry) {
    return entry.second.is_removed && entry.second.admission->in_use() == 0;
  });
}

void Owner::OnRun(PeerCallId origin,
                  const RunRequest& run,
                  TimePoint now,
                  Actions& actions) {
  Server* server = FindServer(run);
  if (server == nullptr || server->is_removed) {
    Answer(origin, nullptr, RefusalWith(Reason::kNotOwner), now, actions);
    return;
  }
  const Reason refusal = ReasonToRefuse(*server, run, now);
  if (refusal != Reason::kOk) {
    Answer(origin, server, RefusalWith(refusal), now, actions);
    return;
  }
  if (run.is_crash_suspect) {
    // The notice of that crash may not have arrived here yet.
    crash_guard_.OnNotice({run.service, run.fingerprint, false}, now);
  }
  const bool alone = crash_guard_.Check(run.fingerprint, now) ==
                     CrashGuard::Verdict::kRunAlone;
  const Ticket ticket = ++last_ticket_;
  const TimePoint deadline = now + run.time_left;
  const Admission::Decision decision = server->admission->Offer(
      {ticket, run.customer, deadline, alone, run.request_class}, now);
  if (decision.result == Admission::Result::kRefuse) {
    Answer(origin, server, RefusalWith(decision.reason), now, actions);
    return;
  }
  work_[ticket] = {origin, run, deadline};
  if (decision.displaced) {
    Finish(*decision.displaced, RefusalWith(Reason::kCustomerOverShare), now,
           actions);
  }
  if (decision.result == Admission::Result::kStart) {
    Start(ticket, now, actions);
  }
}

void Owner::OnBackendReplied(const BackendReplied& replied,
                             TimePoint now,
                             Actions& actions) {
  const Ticket ticket = replied.call;
  if (const auto probe = crash_probes_.extract(ticket); !probe.empty()) {
    OnCrashProbeEnded(probe.mapped(), replied.end, now, actions);
    return;
  }
  const auto found = work_.find(ticket);
  if (found == work_.end()) {
    return;
  }
  const Work& work = found->second;
  Server* server = FindServer(work.run);
  assert(server != nullptr && "a server must be kept until its work has ended");
  RecordSample(work, replied, now);
  if (replied.end == BackendEnd::kLost) {
    ProbeForCrash(ticket, *server, actions);
    return;
  }
  if (replied.end == BackendEnd::kAnswered) {
    crash_guard_.OnDone(work.run.fingerprint);
  }
  const bool is_leaving =
      FindHeader(replied.response.headers, kStateHeader) == kDrainingState;
  if (is_leaving && !server->is_draining) {
    MarkDraining(server->config.name, now, actions);
  }
  SettleAndFinish(ticket, ReplyFromBackendEnd(replied), now, actions);
}

void Owner::OnPeerReplied(const PeerReplied& replied,
                          TimePoint now,
                          Actions& actions) {
  if (keyed_.OnPeerReply(replied.call, replied.result, now, actions)) {
    return;
  }
  const auto lease = lease_calls_.extract(replied.call);
  if (lease.empty()) {
    return;
  }
  const auto* peer_reply = std::get_if<PeerReply>(&replied.result);
  const auto* reply =
      peer_reply ? std::get_if<LeaseReply>(peer_reply) : nullptr;
  if (reply != nullptr) {
    const LeaseCall& call = lease.mapped();
    HealthOf(call.service).OnReply(call.request, *reply, call.sent, now);
  }
}

void Owner::OnDrainChanged(const DrainChanged& change,
                           TimePoint now,
                           Actions& actions) {
  if (change.backend_server.empty()) {
    is_draining_ = change.is_draining;
  }
  for (auto& [id, server] : servers_) {
    const bool is_affected = change.backend_server.empty() ||
                             change.backend_server == server.config.name;
    if (!is_affected) {
      continue;
    }
    server.is_draining = change.is_draining;
    HealthOf(server.service)
        .SetDraining(server.config.name, change.is_draining);
    if (!change.is_draining) {
      continue;
    }
    for (const Ticket ticket : server.admission->TakeAllWaiting()) {
      Finish(ticket, RefusalWith(Reason::kDraining), now, actions);
    }
  }
}

LeaseReply Owner::OnLease(const LeaseRequest& request, TimePoint now) {
  const auto health = health_.find(request.service);
  if (health != health_.end()) {
    return health->second->Answer(request, now);
  }
  LeaseReply refusal;
  for (const std::string& server : request.backend_servers) {
    refusal.grants.push_back({server, false, {}});
  }
  return refusal;
}

void Owner::OnCrashNotice(const CrashNotice& notice, TimePoint now) {
  crash_guard_.OnNotice(notice, now);
}

RecallReply Owner::OnRecall(const RecallRequest& request) const {
  return keyed_.Recall(request);
}

void Owner::Advance(TimePoint now, Actions& actions) {
  SendLeaseRequests(now, actions);
  RefreshSlotLimits(now, actions);
  for (auto& [id, server] : servers_) {
    for (const Ticket ticket : server.admission->TakeExpired(now)) {
      Finish(ticket, RefusalWith(Reason::kDeadlinePassed), now, actions);
    }
    StartWaiting(server, now, actions);
  }
  keyed_.Advance(now, actions);
  crash_guard_.Expire(now);
}

std::vector<BackendServerStatus> Owner::GetStatus(TimePoint now) const {
  std::vector<BackendServerStatus> status;
  for (const auto& [id, server] : servers_) {
    BackendServerStatus each{server.service,
                             server.config.name,
                             server.config.address,
                             GetLoad(server, now),
                             {}};
    const auto health = health_.find(server.service);
    if (health != health_.end()) {
      each.health = health->second->Explain(server.config.name, now);
    }
    status.push_back(std::move(each));
  }
  return status;
}

void Owner::OnGranted(Ticket ticket, TimePoint now, Actions& actions) {
  const auto found = work_.find(ticket);
  const bool has_time = found != work_.end() && now < found->second.deadline;
  if (has_time) {
    Call(ticket, now, actions);
    return;
  }
  const RunReply reply = RefusalWith(Reason::kDeadlinePassed);
  keyed_.End(ticket, reply, now, actions);
  Finish(ticket, reply, now, actions);
}

void Owner::OnRefused(Ticket ticket,
                      const RunReply& reply,
                      TimePoint now,
                      Actions& actions) {
  Finish(ticket, reply, now, actions);
}

Owner::Server* Owner::FindServer(const RunRequest& run) {
  const auto found = servers_.find(ServerId(run.service, run.backend_server));
  return found == servers_.end() ? nullptr : &found->second;
}

Reason Owner::ReasonToRefuse(const Server& server,
                             const RunRequest& run,
                             TimePoint now) const {
  if (server.is_draining || is_draining_) {
    return Reason::kDraining;
  }
  if (GetLoad(server, now).state == ServingState::kEjected) {
    return Reason::kEjected;
  }
  if (crash_guard_.Check(run.fingerprint, now) ==
      CrashGuard::Verdict::kRefuse) {
    return Reason::kCrashSuspect;
  }
  return Reason::kOk;
}

void Owner::Start(Ticket ticket, TimePoint now, Actions& actions) {
  Work& work = work_.at(ticket);
  work.is_running = true;
  if (!work.run.key) {
    Call(ticket, now, actions);
    return;
  }
  const KeyClaim claim{work.run.service, *work.run.key, work.run.fingerprint,
                       work.run.key_time};
  keyed_.Begin(ticket, claim, work.deadline, now, actions);
}

void Owner::Call(Ticket ticket, TimePoint now, Actions& actions) {
  Work& work = work_.at(ticket);
  const Server* server = FindServer(work.run);
  work.called = now;
  work.is_called = true;
  HealthOf(work.run.service)
      .OnStarted(work.run.backend_server, work.run.request_class, ticket, now);
  CallBackend call;
  call.call = ticket;
  call.address = server->config.address;
  call.request = work.run.request;
  call.timeout = std::max(milliseconds(1),
                          duration_cast<milliseconds>(work.deadline - now));
  std::erase_if(call.request.headers, [](const HttpHeader& header) {
    return header.name == kTimeLeftHeader;
  });
  call.request.headers.push_back(
      {kTimeLeftHeader, std::to_string(call.timeout.count())});
  actions.emplace_back(std::move(call));
}

void Owner::StartWaiting(Server& server, TimePoint now, Actions& actions) {
  while (const auto ticket = server.admission->TakeNext(now)) {
    Start(*ticket, now, actions);
  }
}

void Owner::Answer(PeerCallId origin,
                   const Server* server,
                   RunReply reply,
                   TimePoint now,
                   Actions& actions) {
  if (server != nullptr) {
    reply.load = GetLoad(*server, now);
  }
  peers_.Reply(origin, std::move(reply), actions);
}

void Owner::Finish(Ticket ticket,
                   RunReply reply,
                   TimePoint now,
                   Actions& actions) {
  const auto node = work_.extract(ticket);
  if (node.empty()) {
    return;
  }
  const Work& work = node.mapped();
  Server* server = FindServer(work.run);
  if (work.is_running) {
    server->admission->Release(ticket, now);
  }
  if (work.is_called) {
    HealthOf(work.run.service).OnEnded(work.run.backend_server, ticket);
  }
  Answer(work.origin, server, std::move(reply), now, actions);
  StartWaiting(*server, now, actions);
}

void Owner::SettleAndFinish(Ticket ticket,
                            const RunReply& reply,
                            TimePoint now,
                            Actions& actions) {
  if (work_.at(ticket).run.key) {
    keyed_.End(ticket, reply, now, actions);
  }
  Finish(ticket, reply, now, actions);
}

void Owner::RecordSample(const Work& work,
                         const BackendReplied& replied,
                         TimePoint now) {
  if (replied.end == BackendEnd::kCancelled) {
    return;
  }
  const WorkSample sample{
      work.run.request_class, duration_cast<microseconds>(now - work.called),
      IsFailure(replied), replied.end == BackendEnd::kTimeout};
  HealthOf(work.run.service).Record(work.run.backend_server, sample, now);
}

void Owner::ProbeForCrash(Ticket lost, Server& server, Actions& actions) {
  if (server.crash_probe != 0) {
    crash_probes_.at(server.crash_probe).lost.push_back(lost);
    return;
  }
  CallBackend call;
  call.call = ++last_ticket_;
  call.address = server.config.address;
  call.request.method = "GET";
  call.request.target = kHealthTarget;
  call.timeout = kCrashProbeTimeout;
  server.crash_probe = call.call;
  crash_probes_[call.call] = {ServerId(server.service, server.config.name),
                              GetInFlight(server),
                              {lost}};
  actions.emplace_back(std::move(call));
}

void Owner::OnCrashProbeEnded(const CrashProbe& probe,
                              BackendEnd end,
                              TimePoint now,
                              Actions& actions) {
  Server& server = servers_.at(probe.server_id);
  server.crash_probe = 0;
  // A server that still accepts connections has not crashed, even when it is
  // unhealthy.
  const bool has_crashed = end == BackendEnd::kNotConnected;
  if (has_crashed) {
    RecordCrash(probe, server.service, now, actions);
  }
  RunReply reply;
  reply.outcome = Outcome::kUnknown;
  reply.reason =
      has_crashed ? Reason::kBackendServerCrashed : Reason::kBackendServerLost;
  for (const Ticket ticket : probe.lost) {
    SettleAndFinish(ticket, reply, now, actions);
  }
}

void Owner::RecordCrash(const CrashProbe& probe,
                        const std::string& service,
                        TimePoint now,
                        Actions& actions) {
  for (const CrashNotice& notice :
       crash_guard_.OnCrash(service, probe.in_flight, now)) {
    const bool is_refused = crash_guard_.Check(notice.fingerprint, now) ==
                            CrashGuard::Verdict::kRefuse;
    actions.emplace_back(LogEvent{
        is_refused ? LogEventId::kCrashConvicted : LogEventId::kCrashSuspected,
        probe.server_id, "request " + notice.fingerprint.ToHex()});
    NotifyOwners(service, notice, actions);
  }
}

void Owner::NotifyOwners(const std::string& service,
                         const CrashNotice& notice,
                         Actions& actions) {
  const ServiceConfig* config = config_->FindService(service);
  if (config == nullptr) {
    return;
  }
  for (const PeerAddress& peer : config->Owners()) {
    if (peer != self_) {
      peers_.Ask(peer, notice, kCrashNoticeTimeout, actions);
    }
  }
}

std::vector<Hash128> Owner::GetInFlight(const Server& server) const {
  std::vector<Hash128> in_flight;
  for (const auto& [ticket, work] : work_) {
    const bool runs_on_server = work.is_called &&
                                work.run.service == server.service &&
                                work.run.backend_server == server.config.name;
    if (runs_on_server) {
      in_flight.push_back(work.run.fingerprint);
    }
  }
  return in_flight;
}

void Owner::MarkDraining(const std::string& name,
                         TimePoint now,
                         Actions& actions) {
  actions.emplace_back(LogEvent{LogEventId::kBackendServerDraining, name,
                                "announced in an answer header"});
  OnDrainChanged({name, true}, now, actions);
}

void Owner::RefreshSlotLimits(TimePoint now, Actions& actions) {
  for (auto& [id, server] : servers_) {
    const std::uint32_t limit =
        HealthOf(server.service).SlotLimitOf(server.config.name, now);
    server.admission->SetSlotLimit(limit);
    if (limit != 0) {
      continue;
    }
    // Refuses waiting requests now, so that entries can try other servers.
    for (const Ticket ticket : server.admission->TakeAllWaiting()) {
      Finish(ticket, RefusalWith(Reason::kEjected), now, actions);
    }
  }
}

void Owner::ConfigureHealth(TimePoint now) {
  for (const auto& [name, health] : health_) {
    // A service that was removed, or that has no server here, must grant no
    // leases.
    const ServiceConfig* service = config_->FindService(name);
    health->Configure(service == nullptr ? ServiceConfig{} : *service, now);
  }
  for (const auto& [id, server] : servers_) {
    HealthOf(server.service)
        .SetDraining(server.config.name, server.is_draining || is_draining_);
  }
}

void Owner::SendLeaseRequests(TimePoint now, Actions& actions) {
  for (const auto& [name, health] : health_) {
    for (OutgoingLeaseRequest& outgoing : health->Advance(now)) {
      const PeerCallId call =
          peers_.Ask(outgoing.peer, outgoing.request, kLeaseTimeout, actions);
      lease_calls_[call] = {name, std::move(outgoing.request), now};
    }
    for (LogEvent& event : health->TakeLogEvents()) {
      actions.emplace_back(std::move(event));
    }
  }
}

LoadReport Owner::GetLoad(const Server& server, TimePoint now) const {
  LoadReport load;
  load.slots = server.admission->slots();
  load.in_use = server.admission->in_use();
  load.waiting = server.admission->waiting();
  const auto health = health_.find(server.service);
  if (server.is_draining || is_draining_) {
    load.state = ServingState::kDraining;
  } else if (health != health_.end()) {
    load.state = health->second->StateOf(server.config.name, now);
  }
  return load;
}

ServiceHealth& Owner::HealthOf(const std::string& service) {
  std::unique_ptr<ServiceHealth>& health = health_[service];
  if (health == nullptr) {
    health = std::make_unique<ServiceHealth>(self_);
  }
  return *health;
}

}  // namespace vanillafall
