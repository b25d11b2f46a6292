#ifndef DECISION_OWNER_H_
#define DECISION_OWNER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings.h"
#include "decision/admission.h"
#include "decision/crash_guard.h"
#include "decision/event.h"
#include "decision/keyed_execution.h"
#include "decision/peer_caller.h"
#include "decision/service_health.h"

namespace vanillafall {

// What an owner knows of one of its backend servers, for operators.
struct BackendServerStatus {
  std::string service;
  std::string name;
  std::string address;
  LoadReport load;
  std::optional<HealthExplanation> health;
};

// The backend servers of this instance. Every request to them passes here, so
// the slots in use, the outcome of each try and what is in flight are known
// exactly. It answers each RunRequest exactly once.
class Owner final : private KeyedExecution::Listener {
 public:
  Owner(PeerAddress self,
        const Limits& limits,
        std::uint64_t incarnation,
        PeerCaller& peers);
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  void Configure(const FleetConfigPtr& config, TimePoint now, Actions& actions);
  void OnRun(PeerCallId origin,
             const RunRequest& run,
             TimePoint now,
             Actions& actions);
  void OnBackendReplied(const BackendReplied& reply,
                        TimePoint now,
                        Actions& actions);
  // Takes the result of a call that this object made.
  void OnPeerReplied(const PeerReplied& replied,
                     TimePoint now,
                     Actions& actions);
  void OnDrainChanged(const DrainChanged& change,
                      TimePoint now,
                      Actions& actions);
  LeaseReply OnLease(const LeaseRequest& request, TimePoint now);
  void OnCrashNotice(const CrashNotice& notice, TimePoint now);
  RecallReply OnRecall(const RecallRequest& request) const;
  void Advance(TimePoint now, Actions& actions);

  std::vector<BackendServerStatus> GetStatus(TimePoint now) const;
  std::size_t work_count() const { return work_.size(); }

 private:
  using Ticket = Admission::Ticket;

  struct Server {
    BackendServer config;
    std::string service;
    std::unique_ptr<Admission> admission;
    bool is_draining = false;
    // No longer named by the configuration; lives until its work has ended.
    bool is_removed = false;
    // The probe that runs since a connection broke; 0 when none does.
    BackendCallId crash_probe = 0;
  };
  // A broken connection whose cause is being looked for.
  struct CrashProbe {
    std::string server_id;
    std::vector<Hash128> in_flight;
    // Work whose connection broke; it is answered when the cause is known.
    std::vector<Admission::Ticket> lost;
  };
  struct Work {
    PeerCallId origin = 0;
    RunRequest run;
    TimePoint deadline;
    TimePoint called;
    bool is_running = false;
    bool is_called = false;
  };
  struct LeaseCall {
    std::string service;
    LeaseRequest request;
    TimePoint sent;
  };

  void OnGranted(Ticket ticket, TimePoint now, Actions& actions) override;
  void OnRefused(Ticket ticket,
                 const RunReply& reply,
                 TimePoint now,
                 Actions& actions) override;

  Server* FindServer(const RunRequest& run);
  // Why the server takes no new work; kOk when it does.
  Reason ReasonToRefuse(const Server& server,
                        const RunRequest& run,
                        TimePoint now) const;
  void Start(Ticket ticket, TimePoint now, Actions& actions);
  void Call(Ticket ticket, TimePoint now, Actions& actions);
  void StartWaiting(Server& server, TimePoint now, Actions& actions);
  // Answers a request that holds no slot.
  void Answer(PeerCallId origin,
              const Server* server,
              RunReply reply,
              TimePoint now,
              Actions& actions);
  // Ends work that waits or runs: frees its slot and answers it.
  void Finish(Ticket ticket, RunReply reply, TimePoint now, Actions& actions);
  void RecordSample(const Work& work,
                    const BackendReplied& reply,
                    TimePoint now);
  // A connection broke: asks the server whether it still accepts any, and
  // answers the work only then, so that a retry meets owners that know.
  void ProbeForCrash(Ticket lost, Server& server, Actions& actions);
  void OnCrashProbeEnded(const CrashProbe& probe,
                         BackendEnd end,
                         TimePoint now,
                         Actions& actions);
  void RecordCrash(const CrashProbe& probe,
                   const std::string& service,
                   TimePoint now,
                   Actions& actions);
  // Settles and answers work that a backend server has ended.
  void SettleAndFinish(Ticket ticket,
                       const RunReply& reply,
                       TimePoint now,
                       Actions& actions);
  void NotifyOwners(const std::string& service,
                    const CrashNotice& notice,
                    Actions& actions);
  std::vector<Hash128> GetInFlight(const Server& server) const;
  void MarkDraining(const std::string& name, TimePoint now, Actions& actions);
  void RefreshSlotLimits(TimePoint now, Actions& actions);
  void ConfigureHealth(TimePoint now);
  void SendLeaseRequests(TimePoint now, Actions& actions);
  LoadReport GetLoad(const Server& server, TimePoint now) const;
  ServiceHealth& HealthOf(const std::string& service);

  const PeerAddress self_;
  const Limits limits_;
  PeerCaller& peers_;
  FleetConfigPtr config_;
  KeyedExecution keyed_;
  CrashGuard crash_guard_;
  Ticket last_ticket_ = 0;
  bool is_draining_ = false;
  std::map<std::string, std::unique_ptr<ServiceHealth>, std::less<>> health_;
  std::map<std::string, Server, std::less<>> servers_;
  std::unordered_map<Ticket, Work> work_;
  std::unordered_map<BackendCallId, CrashProbe> crash_probes_;
  std::unordered_map<PeerCallId, LeaseCall> lease_calls_;
};

}  // namespace vanillafall

#endif  // DECISION_OWNER_H_
