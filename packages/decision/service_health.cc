#include "decision/service_health.h"

#include <utility>

namespace vanillafall {

class ServiceHealth::Impl {
 public:
  explicit Impl(PeerAddress self) : self_(std::move(self)) {}

  const PeerAddress self_;
  ServiceConfig service_;
  std::map<std::string, bool> draining_;
};

ServiceHealth::ServiceHealth(PeerAddress self)
    : impl_(std::make_unique<Impl>(std::move(self))) {}

ServiceHealth::~ServiceHealth() = default;

void ServiceHealth::Configure(const ServiceConfig& service, TimePoint /*now*/) {
  impl_->service_ = service;
}

void ServiceHealth::Record(const std::string& /*server*/,
                           const WorkSample& /*sample*/,
                           TimePoint /*now*/) {}

void ServiceHealth::SetDraining(const std::string& server, bool is_draining) {
  impl_->draining_[server] = is_draining;
}

ServingState ServiceHealth::StateOf(const std::string& server,
                                    TimePoint /*now*/) const {
  const auto found = impl_->draining_.find(server);
  const bool is_draining = found != impl_->draining_.end() && found->second;
  return is_draining ? ServingState::kDraining : ServingState::kInService;
}

std::uint32_t ServiceHealth::SlotLimitOf(const std::string& server,
                                         TimePoint /*now*/) const {
  const BackendServer* found = impl_->service_.FindBackendServer(server);
  return found == nullptr ? 0 : found->slots;
}

std::vector<LeaseAsk> ServiceHealth::Advance(TimePoint /*now*/) {
  return {};
}

LeaseReply ServiceHealth::Answer(const LeaseRequest& request,
                                 TimePoint /*now*/) {
  LeaseReply reply;
  for (const std::string& server : request.backend_servers) {
    reply.grants.push_back({server, false, {}});
  }
  return reply;
}

void ServiceHealth::OnReply(const LeaseRequest& /*request*/,
                            const LeaseReply& /*reply*/,
                            TimePoint /*sent*/,
                            TimePoint /*now*/) {}

std::vector<LogEvent> ServiceHealth::TakeLogEvents() {
  return {};
}

}  // namespace vanillafall
