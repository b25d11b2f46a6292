#include "decision/service_health.h"

#include <utility>

#include "decision/health_profile.h"
#include "decision/lease_book.h"
#include "decision/peer_relative_evaluator.h"

namespace vanillafall {
namespace {

std::unique_ptr<HealthEvaluator> MakePeerRelativeEvaluator(
    const BackendServer& /*server*/,
    EjectionProfile profile) {
  const HealthProfile& health_profile = GetHealthProfile(profile);
  return std::make_unique<PeerRelativeEvaluator>(health_profile.in_service,
                                                 health_profile.on_probation);
}

}  // namespace

ServiceHealth::ServiceHealth(PeerAddress self)
    : ServiceHealth(std::move(self), MakePeerRelativeEvaluator) {}

ServiceHealth::ServiceHealth(PeerAddress self, EvaluatorFactory make_evaluator)
    : self_(std::move(self)), make_evaluator_(std::move(make_evaluator)) {}

ServiceHealth::~ServiceHealth() = default;

void ServiceHealth::Configure(const ServiceConfig& service, TimePoint now) {
  const bool has_new_profile = service.profile != service_.profile;
  service_ = service;
  std::map<std::string, std::unique_ptr<ServerHealth>> kept;
  for (const BackendServer& each : service_.backend_servers) {
    if (each.owner != self_) {
      continue;
    }
    std::unique_ptr<ServerHealth>& health = kept[each.name];
    health = std::move(servers_[each.name]);
    if (health == nullptr) {
      health = std::make_unique<ServerHealth>(
          service_.name, each.name, make_evaluator_(each, service_.profile),
          now);
    } else if (has_new_profile) {
      health->SetEvaluator(make_evaluator_(each, service_.profile));
    }
    health->Configure(service_, now);
  }
  servers_ = std::move(kept);
}

void ServiceHealth::OnStarted(const std::string& server,
                              const std::string& request_class,
                              WorkWindow::Ticket ticket,
                              TimePoint now) {
  if (ServerHealth* health = Find(server)) {
    health->OnStarted(ticket, request_class, now);
  }
}

void ServiceHealth::OnEnded(const std::string& server,
                            WorkWindow::Ticket ticket) {
  if (ServerHealth* health = Find(server)) {
    health->OnEnded(ticket);
  }
}

void ServiceHealth::Record(const std::string& server,
                           const WorkSample& sample,
                           TimePoint now) {
  if (ServerHealth* health = Find(server)) {
    health->Record(sample, now);
  }
}

void ServiceHealth::SetDraining(const std::string& server, bool is_draining) {
  if (ServerHealth* health = Find(server)) {
    health->SetDraining(is_draining);
  }
}

ServingState ServiceHealth::StateOf(const std::string& server,
                                    TimePoint now) const {
  const ServerHealth* health = Find(server);
  return health == nullptr ? ServingState::kInService : health->GetState(now);
}

std::uint32_t ServiceHealth::SlotLimitOf(const std::string& server,
                                         TimePoint now) const {
  const ServerHealth* health = Find(server);
  return health == nullptr ? 0 : health->GetSlotLimit(now);
}

std::optional<HealthExplanation> ServiceHealth::Explain(
    const std::string& server,
    TimePoint now) const {
  const ServerHealth* health = Find(server);
  return health == nullptr ? std::nullopt : std::optional(health->Explain(now));
}

std::vector<OutgoingLeaseRequest> ServiceHealth::Advance(TimePoint now) {
  std::vector<OutgoingLeaseRequest> requests;
  for (const auto& [name, health] : servers_) {
    health->Advance(now, events_);
    ServerHealth::Query query = health->TakeDueQuery(now);
    std::map<PeerAddress, LeaseRequest> by_owner;
    for (std::string& grantor : query.servers) {
      const BackendServer* server = service_.FindBackendServer(grantor);
      by_owner[server->owner].backend_servers.push_back(std::move(grantor));
    }
    for (auto& [owner, request] : by_owner) {
      request.service = service_.name;
      request.ejector = name;
      request.duration = query.duration;
      requests.push_back({owner, std::move(request)});
    }
  }
  return requests;
}

LeaseReply ServiceHealth::Answer(const LeaseRequest& request, TimePoint now) {
  LeaseReply reply;
  for (const std::string& server : request.backend_servers) {
    ServerHealth* health = Find(server);
    reply.grants.push_back(
        health == nullptr
            ? LeaseGrant{server, false, {}}
            : health->Answer(request.ejector, request.duration, now));
  }
  return reply;
}

void ServiceHealth::OnReply(const LeaseRequest& request,
                            const LeaseReply& reply,
                            TimePoint sent,
                            TimePoint now) {
  ServerHealth* health = Find(request.ejector);
  if (health == nullptr) {
    return;
  }
  for (const LeaseGrant& grant : reply.grants) {
    health->OnGrant(grant, request.duration, sent, now);
  }
}

std::vector<LogEvent> ServiceHealth::TakeLogEvents() {
  return std::exchange(events_, {});
}

ServerHealth* ServiceHealth::Find(const std::string& server) {
  const auto found = servers_.find(server);
  return found == servers_.end() ? nullptr : found->second.get();
}

const ServerHealth* ServiceHealth::Find(const std::string& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end() ? nullptr : found->second.get();
}

}  // namespace vanillafall
