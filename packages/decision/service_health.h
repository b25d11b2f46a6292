#ifndef DECISION_SERVICE_HEALTH_H_
#define DECISION_SERVICE_HEALTH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log_event.h"
#include "config/fleet_config.h"
#include "decision/health_judge.h"
#include "decision/server_health.h"
#include "decision/work_window.h"
#include "message/peer.h"

namespace vanillafall {

// A lease request that is due, and the owner to send it to.
struct LeaseAsk {
  PeerAddress peer;
  LeaseRequest request;
};

// Detection and ejection of one service's backend servers that this daemon
// owns.
//
// A server is ejected only while its owner holds live in-service leases from
// other backend servers of the service, at least as many as the floor. Who
// granted a live lease can't be ejected, so the grantors themselves are the
// floor. Readmission is what happens when leases run out.
class ServiceHealth {
 public:
  using EvaluatorFactory = std::function<std::unique_ptr<HealthEvaluator>(
      const BackendServer& server,
      Profile profile)>;

  // Judges servers by their real work against that of the others.
  explicit ServiceHealth(PeerAddress self);
  // Judges servers by other judges, for comparison.
  ServiceHealth(PeerAddress self, EvaluatorFactory make_evaluator);
  ~ServiceHealth();
  ServiceHealth(const ServiceHealth&) = delete;
  ServiceHealth& operator=(const ServiceHealth&) = delete;

  // Takes over a new document of the service. Servers that this daemon no
  // longer owns are forgotten and grant nothing from then on.
  void Configure(const ServiceConfig& service, TimePoint now);

  // A server of this daemon was sent a piece of work, and has ended it in
  // whatever way, also by cancellation. Tickets are unique within the service.
  void OnStarted(const std::string& server,
                 const std::string& request_class,
                 WorkWindow::Ticket ticket,
                 TimePoint now);
  void OnEnded(const std::string& server, WorkWindow::Ticket ticket);

  // How that work ended, unless it was cancelled.
  void Record(const std::string& server,
              const WorkSample& sample,
              TimePoint now);

  // A server that is leaving grants nothing.
  void SetDraining(const std::string& server, bool is_draining);

  // State and usable slots of a server of this daemon at this time.
  ServingState StateOf(const std::string& server, TimePoint now) const;
  std::uint32_t SlotLimitOf(const std::string& server, TimePoint now) const;

  // Why a server of this daemon is in service or not; nothing when it is not
  // this daemon's.
  std::optional<HealthExplanation> Explain(const std::string& server,
                                           TimePoint now) const;

  // Judges the servers and returns the lease requests that are due.
  std::vector<LeaseAsk> Advance(TimePoint now);

  // Answers another owner's request for leases on servers of this daemon.
  LeaseReply Answer(const LeaseRequest& request, TimePoint now);

  // A reply to a request that Advance returned at the time sent.
  void OnReply(const LeaseRequest& request,
               const LeaseReply& reply,
               TimePoint sent,
               TimePoint now);

  // What happened since the last call.
  std::vector<LogEvent> TakeLogEvents();

 private:
  ServerHealth* Find(const std::string& server);
  const ServerHealth* Find(const std::string& server) const;

  const PeerAddress self_;
  const EvaluatorFactory make_evaluator_;
  ServiceConfig service_;
  std::map<std::string, std::unique_ptr<ServerHealth>> servers_;
  std::vector<LogEvent> events_;
};

}  // namespace vanillafall

#endif  // DECISION_SERVICE_HEALTH_H_
