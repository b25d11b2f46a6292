#ifndef DAEMON_DAEMON_H_
#define DAEMON_DAEMON_H_

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "config/settings.h"
#include "daemon/control_thread.h"
#include "daemon/engine_thread.h"
#include "daemon/event_history.h"
#include "daemon/metrics.h"
#include "daemon/operator_server.h"
#include "transport/backend_client.h"
#include "transport/caller_server.h"
#include "transport/peer_node.h"
#include "transport/platform_client.h"

namespace vanillafall {

// One daemon: owns all threads and passes events, actions and results between
// them. The public functions are called on the main thread.
class Daemon final : private CallerServer::Listener,
                     private BackendClient::Listener,
                     private PeerNode::Listener,
                     private PlatformClient::Listener,
                     private OperatorServer::Listener,
                     private EngineThread::Delegate,
                     private ControlThread::Delegate {
 public:
  Daemon(const Settings& settings, const Clock& clock);
  ~Daemon() override;
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Opens all ports and starts all threads. Returns the first error.
  std::optional<Error> Start();

  // Accepts no more connections of callers, and refuses new requests for the
  // backend servers of this instance, which are reported as draining.
  void BeginDrain();
  // True when all requests of callers and peers have been answered.
  bool IsDrained();
  // Stops all threads; requests that are not answered yet are dropped.
  void Stop();

  // Logs an event of the process itself and adds it to the event history.
  void Report(const LogEvent& event) { history_.Add(event); }

 private:
  // When a caller's request arrived, to measure its latency.
  struct Arrival {
    TimePoint time;
  };

  // CallerServer::Listener, on the accept thread.
  bool OnCallerRequest(RequestId id, HttpRequest request) override;
  void OnCallerRefused(Reason reason) override;
  // BackendClient::Listener, on the backend thread.
  void OnBackendResult(BackendClient::Result result) override;
  // PeerNode::Listener, on the peers thread.
  bool OnPeerRequest(PeerCallId call, PeerRequest request) override;
  void OnPeerResult(PeerCallId call, PeerNode::Result result) override;
  void OnMalformedMessage() override;
  // PlatformClient::Listener, on the platform threads.
  void OnPlatformValue(const std::string& name,
                       std::optional<PlatformClient::Value> value,
                       bool is_reached) override;
  // OperatorServer::Listener, on the operators' thread.
  OperatorServer::Page OnOperatorQuery(const std::string& path,
                                       const std::string& subject) override;
  OperatorServer::Page OnOperatorCommand(const std::string& path,
                                         const std::string& subject) override;
  // EngineThread::Delegate, on the engine thread.
  void Execute(Action action) override;
  void SendCallerAnswer(AnswerCaller answer);
  void SendPeerRequest(AskPeer ask);
  void SendBackendCall(CallBackend call);
  // ControlThread::Delegate, on the control thread.
  void ExecuteControl(ControlAction action) override;
  void SendControlReply(PeerCallId call, PeerReply reply) override;

  OperatorServer::Page MakeMetricsPage();
  // Removes and returns the arrival; empty when there is none of this id.
  std::optional<Arrival> TakeArrival(RequestId id);

  const Settings settings_;
  const Clock& clock_;
  EventHistory history_;
  Metrics metrics_;
  std::atomic<bool> is_draining_{false};
  std::mutex arrivals_mutex_;
  std::map<RequestId, Arrival> arrivals_;
  EngineThread engine_thread_;
  ControlThread control_thread_;
  BackendClient backend_;
  PeerNode peers_;
  PlatformClient platform_;
  CallerServer callers_;
  OperatorServer operators_;
};

}  // namespace vanillafall

#endif  // DAEMON_DAEMON_H_
