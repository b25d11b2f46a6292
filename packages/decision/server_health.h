#ifndef DECISION_SERVER_HEALTH_H_
#define DECISION_SERVER_HEALTH_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log_event.h"
#include "config/fleet_config.h"
#include "decision/ejection_cell.h"
#include "decision/health_evaluator.h"
#include "decision/lease_book.h"
#include "decision/lease_collector.h"
#include "decision/peer_reference.h"
#include "decision/readmission.h"
#include "decision/work_window.h"
#include "message/peer.h"

namespace vanillafall {

// Explains to operators why a backend server is in service or not.
struct HealthExplanation {
  ServingState state = ServingState::kInService;
  // Slots that may be used now.
  std::uint32_t slot_limit = 0;
  HealthVerdict verdict = HealthVerdict::kHealthy;
  // Reason for the verdict; while the server is ejected, the reason for the
  // ejection.
  std::string evidence;
  std::uint32_t samples = 0;
  double failure_ratio = 0;
  // In-service leases that the server holds from others, and how many of them
  // its ejection needs.
  std::uint32_t leases_held = 0;
  std::uint32_t leases_needed = 0;
  // How long the server must still stay in service because of leases that it
  // has granted to others; 0 when there are none.
  std::chrono::milliseconds granted_time_left{0};
  // Time left of an ejection, provided that its leases are renewed until then;
  // 0 when the server is not ejected.
  std::chrono::milliseconds ejection_time_left{0};
  // Why an unhealthy server cannot be ejected; empty when it is not unhealthy
  // or is ejected.
  std::string blocked_by;
};

// Evaluates the health of one backend server that this daemon owns, and ejects
// and readmits it. The server's slots are restricted only while it holds enough
// leases from other servers.
class ServerHealth {
 public:
  ServerHealth(const std::string& service,
               const std::string& server,
               std::unique_ptr<HealthEvaluator> evaluator,
               TimePoint now);
  ServerHealth(const ServerHealth&) = delete;
  ServerHealth& operator=(const ServerHealth&) = delete;

  // Applies a new configuration of the service, which must contain the server.
  void Configure(const ServiceConfig& service, TimePoint now);

  // Replaces the evaluator, because the service has a new health profile.
  void SetEvaluator(std::unique_ptr<HealthEvaluator> evaluator);

  // The next four functions do for this server what the functions of the same
  // names in ServiceHealth do.
  void OnStarted(WorkWindow::Ticket ticket,
                 const std::string& request_class,
                 TimePoint now);
  void OnEnded(WorkWindow::Ticket ticket);
  void Record(const WorkSample& sample, TimePoint now);
  void SetDraining(bool is_draining) { is_draining_ = is_draining; }

  ServingState GetState(TimePoint now) const;
  std::uint32_t GetSlotLimit(TimePoint now) const;
  HealthExplanation Explain(TimePoint now) const;

  // Evaluates the server if that is due, and ejects or readmits it. Appends
  // what happened to the events.
  void Advance(TimePoint now, std::vector<LogEvent>& events);

  // Servers to send a lease request to now, and the duration of the leases to
  // request; 0 requests health digests only, for a comparison. The request
  // counts as sent.
  struct Query {
    std::vector<std::string> servers;
    std::chrono::milliseconds duration{0};
  };
  Query TakeDueQuery(TimePoint now);

  // Answers a request of the server "ejector" for a lease of this server.
  LeaseGrant Answer(const std::string& ejector,
                    std::chrono::milliseconds duration,
                    TimePoint now);

  // Handles another server's answer to a request that was sent at the time
  // "sent".
  void OnGrant(const LeaseGrant& grant,
               std::chrono::milliseconds duration,
               TimePoint sent,
               TimePoint now);

 private:
  HealthEvaluator::Input GetInput() const;
  // Whether the server is ejected or on probation and its leases allow that.
  bool IsRestricted(TimePoint now) const;
  void EvaluateIfDue(TimePoint now);
  void ActOnVerdict(TimePoint now, std::vector<LogEvent>& events);
  void Eject(TimePoint now, std::vector<LogEvent>& events);
  // Moves an ejected server towards service if that is due.
  void AdvanceReadmission(TimePoint now, std::vector<LogEvent>& events);
  // Appends an event, at most one in each kBlockedEventPeriod.
  void LogBlockedEjection(TimePoint now, std::vector<LogEvent>& events);
  // What to request from other servers; empty when nothing is needed.
  std::optional<LeaseCollector::Purpose> GetRequestPurpose(TimePoint now) const;
  // Why the server cannot be ejected now.
  std::string GetBlockingReason(TimePoint now) const;
  HealthDigest MakeDigest(TimePoint now) const;
  // Whether a request of this ejector renews a lease. A renewal needs no
  // digest.
  bool IsRenewal(const std::string& ejector, TimePoint now);

  const std::string name_;
  // "service/server", as events name it.
  const std::string subject_;
  std::uint32_t slots_ = 0;
  std::chrono::milliseconds base_ejection_time_{0};
  bool is_draining_ = false;
  EjectionCell cell_;
  WorkWindow window_;
  PeerReference peers_;
  std::unique_ptr<HealthEvaluator> evaluator_;
  Evaluation evaluation_;
  // Reason for the last ejection.
  std::string ejection_evidence_;
  LeaseBook book_;
  // When this server last granted a lease to each other server.
  std::map<std::string, TimePoint> granted_to_;
  LeaseCollector collector_;
  Readmission readmission_;
  TimePoint next_evaluation_;
  TimePoint next_blocked_event_;
};

}  // namespace vanillafall

#endif  // DECISION_SERVER_HEALTH_H_
