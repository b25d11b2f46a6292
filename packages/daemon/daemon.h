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

// One daemon: all threads and how they are joined. Start, Drain and Stop
// belong to the main thread.
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

  // Opens every port and starts every thread, or says which step failed.
  std::optional<Error> Start();

  // Takes no new work, and says so to callers and peers.
  void BeginDrain();
  // True when every request has been answered.
  bool IsDrained();
  void Stop();

  // Keeps and logs an event of the process itself.
  void Report(const LogEvent& event) { history_.Add(event); }

 private:
  struct Arrival {
    TimePoint time;
  };

  // Accept thread.
  bool OnCallerRequest(RequestId id, HttpRequest request) override;
  void OnCallerRefused(Reason reason) override;
  // Backend thread.
  void OnBackendResult(BackendClient::Result result) override;
  // Peers thread.
  bool OnPeerAsked(PeerCallId call, PeerRequest request) override;
  void OnPeerReplied(PeerCallId call, PeerNode::Result result) override;
  void OnMalformedMessage() override;
  // Platform thread.
  void OnPlatformValue(const std::string& name,
                       std::optional<PlatformClient::Value> value,
                       bool is_reached) override;
  // Operators' thread.
  OperatorServer::Page OnOperatorQuery(const std::string& path,
                                       const std::string& subject) override;
  OperatorServer::Page OnOperatorCommand(const std::string& path,
                                         const std::string& subject) override;
  // Decide thread.
  void Execute(Action action) override;
  void SendCallerAnswer(AnswerCaller answer);
  void SendPeerRequest(AskPeer ask);
  void SendBackendCall(CallBackend call);
  // Control thread.
  void ExecuteControl(ControlAction action) override;
  void SendControlReply(PeerCallId call, PeerReply reply) override;

  OperatorServer::Page MakeMetricsPage();
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
