#ifndef DAEMON_ENGINE_THREAD_H_
#define DAEMON_ENGINE_THREAD_H_

#include <atomic>
#include <functional>
#include <thread>
#include <variant>

#include "base/bounded_ring.h"
#include "base/clock.h"
#include "decision/engine.h"
#include "transport/wake_fd.h"

namespace vanillafall {

// The thread that runs the engine. Other threads push events; each action goes
// to the delegate at once, on this thread.
class EngineThread {
 public:
  // Carries out what the engine has decided. Called on the decide thread.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    virtual void Execute(Action action) = 0;
  };

  // A read-only question to the engine.
  using Query = std::function<void(const Engine&, TimePoint)>;

  EngineThread(const Engine::Identity& identity,
               const Limits& limits,
               const Clock& clock,
               Delegate& delegate);
  ~EngineThread();
  EngineThread(const EngineThread&) = delete;
  EngineThread& operator=(const EngineThread&) = delete;

  void Start();
  void Stop();

  // False when the ring is full; the event is then not handled.
  bool Push(Event event);

  // Pushes an event that must not be lost; waits while the ring is full.
  // Never call it on the decide thread.
  void PushBlocking(Event event);

  // Runs the query on the decide thread and waits for it; false when the
  // thread has no room or has stopped.
  bool RunQuery(const Query& query);

 private:
  using Message = std::variant<Event, Query>;

  void Run();
  void Wait();
  void Handle(const Event& event);

  const Clock& clock_;
  Delegate& delegate_;
  Engine engine_;
  BoundedRing<Message> ring_;
  WakeFd wake_;
  std::atomic<bool> is_stopping_{false};
  Actions actions_;
  std::thread thread_;
};

}  // namespace vanillafall

#endif  // DAEMON_ENGINE_THREAD_H_
