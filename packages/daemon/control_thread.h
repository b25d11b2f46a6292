#ifndef DAEMON_CONTROL_THREAD_H_
#define DAEMON_CONTROL_THREAD_H_

#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <variant>

#include "base/bounded_ring.h"
#include "base/clock.h"
#include "control/config_manager.h"
#include "transport/wake_fd.h"

namespace vanillafall {

// Runs the config manager on a thread of its own. Other threads push the
// messages that it handles.
class ControlThread {
 public:
  // Executes the actions of the config manager. Called on the control thread.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    virtual void ExecuteControl(ControlAction action) = 0;
    virtual void SendControlReply(PeerCallId call, PeerReply reply) = 0;
  };

  ControlThread(ConfigManager::Identity identity,
                const Clock& clock,
                Delegate& delegate);
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  void Start();
  void Stop();

  // The result of a read or watch of a value of the platform.
  struct PlatformAnswer {
    std::string name;
    // Empty when the value was not read, or a watch ended without a change.
    std::optional<PlatformValue> value;
    bool is_reached = false;
  };
  using Message = std::variant<PlatformAnswer, PeerAsked, PeerReplied>;

  // Queues a message. Returns false when the queue is full: the message is then
  // dropped, and the config manager recovers by its timeouts.
  bool Push(Message message);

  // The state of the configuration. Safe to call from any thread.
  ConfigReport GetReport() const;

 private:
  void Run();
  void Handle(const Message& message, TimePoint now, ControlActions& actions);
  void OnPeerRequest(const PeerAsked& incoming,
                     TimePoint now,
                     ControlActions& actions);
  void ExecuteAll(ControlActions& actions);

  const Clock& clock_;
  Delegate& delegate_;
  // Protects manager_, which GetReport reads from other threads. The control
  // thread holds it while the manager runs; the others only copy the report.
  mutable std::mutex manager_mutex_;
  ConfigManager manager_;
  BoundedRing<Message> ring_;
  WakeFd wake_;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace vanillafall

#endif  // DAEMON_CONTROL_THREAD_H_
