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
#include "decision/health_evaluator.h"
#include "decision/server_health.h"
#include "decision/work_window.h"
#include "message/peer.h"

namespace vanillafall {

// A lease request to send, and the owner to send it to.
struct OutgoingLeaseRequest {
  PeerAddress peer;
  LeaseRequest request;
};

// Evaluates the health of one service's backend servers that this daemon owns,
// and ejects and readmits them.
//
// The floor is the number of backend servers that must stay in service. A
// server is ejected only while it holds valid in-service leases from at least
// as many other backend servers as its cell (see EjectionCell) needs for the
// floor. A server that granted a valid lease cannot be ejected, so the grantors
// themselves make up the floor. When the leases run out, the ejected server is
// back in service. Not thread-safe.
class ServiceHealth {
 public:
  using EvaluatorFactory = std::function<std::unique_ptr<HealthEvaluator>(
      const BackendServer& server,
      EjectionProfile profile)>;

  // Evaluates servers by their real work, compared with that of the others.
  explicit ServiceHealth(PeerAddress self);
  // Uses other evaluators, for tests and benchmarks.
  ServiceHealth(PeerAddress self, EvaluatorFactory make_evaluator);
  ~ServiceHealth();
  ServiceHealth(const ServiceHealth&) = delete;
  ServiceHealth& operator=(const ServiceHealth&) = delete;

  // Applies a new configuration of the service. Servers that this daemon no
  // longer owns are removed and grant no leases from then on.
  void Configure(const ServiceConfig& service, TimePoint now);

  // Call OnStarted when a request is sent to a server of this daemon, and
  // OnEnded when that request has ended: successfully or not, or by
  // cancellation. Tickets are unique within the service.
  void OnStarted(const std::string& server,
                 const std::string& request_class,
                 WorkWindow::Ticket ticket,
                 TimePoint now);
  void OnEnded(const std::string& server, WorkWindow::Ticket ticket);

  // Adds the result of a request that has ended. Not to be called for a
  // cancelled request.
  void Record(const std::string& server,
              const WorkSample& sample,
              TimePoint now);

  // Sets whether a server is draining. A draining server grants no leases.
  void SetDraining(const std::string& server, bool is_draining);

  // State and usable slots of a server of this daemon at this time.
  ServingState StateOf(const std::string& server, TimePoint now) const;
  std::uint32_t SlotLimitOf(const std::string& server, TimePoint now) const;

  // Explains why a server is in service or not; empty when this daemon does not
  // own the server.
  std::optional<HealthExplanation> Explain(const std::string& server,
                                           TimePoint now) const;

  // Evaluates the servers, ejects and readmits them, and returns the lease
  // requests to send.
  std::vector<OutgoingLeaseRequest> Advance(TimePoint now);

  // Answers another owner's request for leases on servers of this daemon.
  LeaseReply Answer(const LeaseRequest& request, TimePoint now);

  // Handles a reply to a request that Advance returned at the time "sent".
  void OnReply(const LeaseRequest& request,
               const LeaseReply& reply,
               TimePoint sent,
               TimePoint now);

  // Returns the events since the last call.
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
