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
#include "decision/health_judge.h"
#include "decision/lease_book.h"
#include "decision/lease_collector.h"
#include "decision/peer_reference.h"
#include "decision/readmission.h"
#include "decision/work_window.h"
#include "message/peer.h"

namespace vanillafall {

// Why a backend server is in service or not, for operators.
struct HealthExplanation {
  ServingState state = ServingState::kInService;
  std::uint32_t slot_limit = 0;
  HealthVerdict verdict = HealthVerdict::kHealthy;
  // What the verdict rests on; while the server is ejected, what it was ejected
  // for.
  std::string evidence;
  std::uint32_t samples = 0;
  double failure_ratio = 0;
  std::uint32_t leases_held = 0;
  std::uint32_t leases_needed = 0;
  // How long the server still owes others to stay in service; 0 when it owes
  // nothing.
  std::chrono::milliseconds granted_for{0};
  // How long an ejection still lasts if its leases are renewed.
  std::chrono::milliseconds held_for{0};
  // Why a sick server is in service all the same; empty when it is not sick or
  // is ejected.
  std::string blocked_by;
};

// Detection and ejection of one backend server of this daemon. It is kept from
// work, wholly or in part, only at times at which its leases allow it.
class ServerHealth {
 public:
  ServerHealth(const std::string& service,
               const std::string& server,
               std::unique_ptr<HealthEvaluator> evaluator,
               TimePoint now);
  ServerHealth(const ServerHealth&) = delete;
  ServerHealth& operator=(const ServerHealth&) = delete;

  // Takes over a new document of the service, which must name the server.
  void Configure(const ServiceConfig& service, TimePoint now);

  // Judges by other numbers from now on.
  void SetEvaluator(std::unique_ptr<HealthEvaluator> evaluator);

  void OnStarted(WorkWindow::Ticket ticket,
                 const std::string& request_class,
                 TimePoint now);
  void OnEnded(WorkWindow::Ticket ticket);
  void Record(const WorkSample& sample, TimePoint now);
  void SetDraining(bool is_draining) { is_draining_ = is_draining; }

  ServingState GetState(TimePoint now) const;
  std::uint32_t GetSlotLimit(TimePoint now) const;
  HealthExplanation Explain(TimePoint now) const;

  // Judges the server and moves it in or out of service.
  void Advance(TimePoint now, std::vector<LogEvent>& events);

  // Servers that must be asked now, and for leases of what length; 0 when only
  // a comparison is wanted. They count as asked.
  struct Query {
    std::vector<std::string> servers;
    std::chrono::milliseconds duration{0};
  };
  Query TakeDueQuery(TimePoint now);

  // Answers a request for a lease of this server.
  LeaseGrant Answer(const std::string& ejector,
                    std::chrono::milliseconds duration,
                    TimePoint now);

  // Another server's answer to a request made at the time sent.
  void OnGrant(const LeaseGrant& grant,
               std::chrono::milliseconds duration,
               TimePoint sent,
               TimePoint now);

 private:
  HealthEvaluator::Input GetInput() const;
  // True while leases allow what the way back into service asks for.
  bool IsRestricted(TimePoint now) const;
  void EvaluateIfDue(TimePoint now);
  void ActOnVerdict(TimePoint now, std::vector<LogEvent>& events);
  void Eject(TimePoint now, std::vector<LogEvent>& events);
  void AdvanceReadmission(TimePoint now, std::vector<LogEvent>& events);
  void LogBlockedEjection(TimePoint now, std::vector<LogEvent>& events);
  // What to ask other servers for; nothing when all is well.
  std::optional<LeaseCollector::Purpose> GetRequestPurpose(TimePoint now) const;
  std::string GetBlockingReason(TimePoint now) const;
  HealthDigest MakeDigest(TimePoint now) const;
  // An ejector that renews its lease needs no comparison.
  bool IsRenewal(const std::string& ejector, TimePoint now);

  const std::string name_;
  const std::string subject_;
  std::uint32_t slots_ = 0;
  std::chrono::milliseconds base_ejection_time_{0};
  bool is_draining_ = false;
  EjectionCell cell_;
  WorkWindow window_;
  PeerReference peers_;
  std::unique_ptr<HealthEvaluator> evaluator_;
  Evaluation evaluation_;
  std::string ejection_evidence_;
  LeaseBook book_;
  // When each server was last granted a lease of this one.
  std::map<std::string, TimePoint> granted_to_;
  LeaseCollector collector_;
  Readmission readmission_;
  TimePoint next_evaluation_;
  TimePoint next_blocked_event_;
};

}  // namespace vanillafall

#endif  // DECISION_SERVER_HEALTH_H_
