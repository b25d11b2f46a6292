#include "daemon/engine_thread.h"

#include <poll.h>

#include <future>
#include <memory>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRingCapacity = 16'384;
constexpr milliseconds kQueryTimeout{2000};
constexpr milliseconds kFullRingRetryDelay{1};

}  // namespace

EngineThread::EngineThread(const Engine::Identity& identity,
                           const Limits& limits,
                           const Clock& clock,
                           Delegate& delegate)
    : clock_(clock),
      delegate_(delegate),
      engine_(identity, limits, clock.now()),
      ring_(kRingCapacity) {}

EngineThread::~EngineThread() {
  Stop();
}

void EngineThread::Start() {
  thread_ = std::thread([this] { Run(); });
}

void EngineThread::Stop() {
  is_stopping_ = true;
  wake_.Wake();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool EngineThread::Push(Event event) {
  const bool is_queued = ring_.TryPush(std::move(event));
  wake_.Wake();
  return is_queued;
}

void EngineThread::PushBlocking(Event event) {
  Message message(std::move(event));
  while (!ring_.TryPushFrom(message) && !is_stopping_) {
    std::this_thread::sleep_for(kFullRingRetryDelay);
  }
  wake_.Wake();
}

bool EngineThread::RunQuery(const Query& query) {
  const auto done = std::make_shared<std::promise<void>>();
  std::future<void> finished = done->get_future();
  const bool is_queued =
      ring_.TryPush(Query([query, done](const Engine& engine, TimePoint now) {
        query(engine, now);
        done->set_value();
      }));
  wake_.Wake();
  return is_queued &&
         finished.wait_for(kQueryTimeout) == std::future_status::ready;
}

void EngineThread::Run() {
  TimePoint next_tick = clock_.now();
  while (!is_stopping_) {
    wake_.Clear();
    while (auto message = ring_.TryPop()) {
      if (const auto* event = std::get_if<Event>(&*message)) {
        Handle(*event);
      } else {
        std::get<Query> (*message)(engine_, clock_.now());
      }
    }
    if (clock_.now() >= next_tick) {
      next_tick = clock_.now() + kTickPeriod;
      Handle(Tick{});
    }
    Wait();
  }
}

void EngineThread::Wait() {
  pollfd wake_event{wake_.fd(), POLLIN, 0};
  poll(&wake_event, 1, static_cast<int>(kTickPeriod.count()));
}

void EngineThread::Handle(const Event& event) {
  engine_.Handle(event, clock_.now(), actions_);
  for (Action& action : actions_) {
    delegate_.Execute(std::move(action));
  }
  actions_.clear();
}

}  // namespace vanillafall
