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
#include "control/config_keeper.h"
#include "transport/wake_fd.h"

namespace vanillafall {

// The thread that runs the config keeper.
class ControlThread {
 public:
  // Carries out what the keeper has decided. Called on the control thread.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    virtual void ExecuteControl(ControlAction action) = 0;
    virtual void SendControlReply(PeerCallId call, PeerReply reply) = 0;
  };

  ControlThread(ConfigKeeper::Identity identity,
                const Clock& clock,
                Delegate& delegate);
  ~ControlThread();
  ControlThread(const ControlThread&) = delete;
  ControlThread& operator=(const ControlThread&) = delete;

  void Start();
  void Stop();

  struct PlatformAnswer {
    std::string name;
    std::optional<PlatformValue> value;
    bool is_reached = false;
  };
  using Message = std::variant<PlatformAnswer, PeerAsked, PeerReplied>;

  // False when the ring is full; the message is then lost, and the keeper
  // recovers by its own timeouts.
  bool Push(Message message);

  // What the keeper knows, from any thread.
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
  // Guards the keeper against GetReport; the control thread holds it while it
  // decides, and no other thread does more than copy.
  mutable std::mutex manager_mutex_;
  ConfigKeeper manager_;
  BoundedRing<Message> ring_;
  WakeFd wake_;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace vanillafall

#endif  // DAEMON_CONTROL_THREAD_H_
