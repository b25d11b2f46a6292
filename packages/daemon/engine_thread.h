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

// Runs the engine on a thread of its own. Other threads push events. The
// actions that follow from an event are passed to the delegate on this thread,
// before the next event is handled.
class EngineThread {
 public:
  // Executes the actions of the engine. Called on the engine thread.
  class Delegate {
   public:
    virtual ~Delegate() = default;
    virtual void Execute(Action action) = 0;
  };

  // Reads the state of the engine, at the time given.
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

  // Queues an event. Returns false when the queue is full: the event is then
  // dropped.
  bool Push(Event event);

  // Queues an event that must not be dropped; blocks while the queue is full.
  // After Stop the event may be dropped. Must not be called on the engine
  // thread, which would then wait for itself.
  void PushBlocking(Event event);

  // Runs the query on the engine thread and waits for it, up to 2 s. Returns
  // false when the queue is full or the query has not run in that time, as
  // when the thread has stopped. A queued query may then still run later.
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
