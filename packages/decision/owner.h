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

// State of one backend server of this instance, shown to operators.
struct BackendServerStatus {
  std::string service;
  std::string name;
  std::string address;
  LoadReport load;
  std::optional<HealthExplanation> health;
};

// Runs requests on the backend servers of this instance. Every request to these
// servers passes through this class, so it knows exactly which slots are in
// use, how each try ended and which requests are in flight. It answers each
// RunRequest exactly once.
class Owner final : private KeyedExecution::Listener {
 public:
  Owner(PeerAddress self,
        const Limits& limits,
        std::uint64_t incarnation,
        PeerCaller& peers);
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  void Configure(const FleetConfigPtr& config, TimePoint now, Actions& actions);
  // Refuses, queues or starts the request. `origin` is the call to answer.
  void OnRun(PeerCallId origin,
             const RunRequest& run,
             TimePoint now,
             Actions& actions);
  void OnBackendReplied(const BackendReplied& reply,
                        TimePoint now,
                        Actions& actions);
  // Handles the result of a call that this object made.
  void OnPeerReplied(const PeerReplied& replied,
                     TimePoint now,
                     Actions& actions);
  void OnDrainChanged(const DrainChanged& change,
                      TimePoint now,
                      Actions& actions);
  // Grants or refuses in-service leases to another owner.
  LeaseReply OnLease(const LeaseRequest& request, TimePoint now);
  void OnCrashNotice(const CrashNotice& notice, TimePoint now);
  // Returns the answer of an attempt that ran here, if it is still kept.
  RecallReply OnRecall(const RecallRequest& request) const;
  // Does what is due: lease requests, slot limits, expired requests, waiting
  // requests. Call on every tick.
  void Advance(TimePoint now, Actions& actions);

  std::vector<BackendServerStatus> GetStatus(TimePoint now) const;
  // Requests that wait or run.
  std::size_t work_count() const { return work_.size(); }

 private:
  using Ticket = Admission::Ticket;

  struct Server {
    BackendServer config;
    std::string service;
    std::unique_ptr<Admission> admission;
    bool is_draining = false;
    // No longer in the configuration; kept until its work has ended.
    bool is_removed = false;
    // The call number of the crash probe that is in flight; 0 when there is
    // none.
    BackendCallId crash_probe = 0;
  };
  // A request to the health endpoint of a server, sent after a connection to
  // the server broke in order to find out whether the server has crashed.
  struct CrashProbe {
    std::string server_id;
    // Fingerprints of the requests in flight when the connection broke.
    std::vector<Hash128> in_flight;
    // Work whose connection broke; it is answered when the probe has ended.
    std::vector<Admission::Ticket> lost;
  };
  struct Work {
    PeerCallId origin = 0;
    RunRequest run;
    TimePoint deadline;
    // When the request was sent to the backend server.
    TimePoint called;
    // Holds a slot.
    bool is_running = false;
    // The request was sent to the backend server.
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
  // Why the server can't take the request now; kOk when it can.
  Reason ReasonToRefuse(const Server& server,
                        const RunRequest& run,
                        TimePoint now) const;
  // Starts work that was given a slot. Work with a key first requests a grant
  // from its guards.
  void Start(Ticket ticket, TimePoint now, Actions& actions);
  // Sends work that may run to its backend server.
  void Call(Ticket ticket, TimePoint now, Actions& actions);
  // Starts waiting work as long as there are free slots.
  void StartWaiting(Server& server, TimePoint now, Actions& actions);
  // Sends the reply, with the server's current load unless the server is null.
  void Answer(PeerCallId origin,
              const Server* server,
              RunReply reply,
              TimePoint now,
              Actions& actions);
  // Ends work that waits or runs: frees its slot, answers it and starts waiting
  // work.
  void Finish(Ticket ticket, RunReply reply, TimePoint now, Actions& actions);
  void RecordSample(const Work& work,
                    const BackendReplied& reply,
                    TimePoint now);
  // Sends a crash probe after a connection to the server broke. The lost work
  // is answered only when the probe has ended, so that the other owners are
  // notified of a crash before a retry is sent to them.
  void ProbeForCrash(Ticket lost, Server& server, Actions& actions);
  void OnCrashProbeEnded(const CrashProbe& probe,
                         BackendEnd end,
                         TimePoint now,
                         Actions& actions);
  // Registers the requests in flight as crash suspects and notifies the other
  // owners.
  void RecordCrash(const CrashProbe& probe,
                   const std::string& service,
                   TimePoint now,
                   Actions& actions);
  // Handles work that a backend server has ended: settles its key, if it has
  // one, and finishes it.
  void SettleAndFinish(Ticket ticket,
                       const RunReply& reply,
                       TimePoint now,
                       Actions& actions);
  // Sends the notice to the service's other owners.
  void NotifyOwners(const std::string& service,
                    const CrashNotice& notice,
                    Actions& actions);
  std::vector<Hash128> GetInFlight(const Server& server) const;
  void MarkDraining(const std::string& name, TimePoint now, Actions& actions);
  // Takes over the slot limits that server health allows at this time.
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
