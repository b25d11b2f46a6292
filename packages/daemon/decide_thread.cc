#include "daemon/decide_thread.h"

#include <poll.h>

#include <future>
#include <memory>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kRingCapacity = 16'384;
constexpr milliseconds kQueryTimeout{2000};
constexpr milliseconds kFullRingPause{1};

}  // namespace

DecideThread::DecideThread(const Engine::Identity& identity,
                           const Limits& limits,
                           const Clock& clock,
                           Carrier& carrier)
    : clock_(clock),
      carrier_(carrier),
      engine_(identity, limits, clock.now()),
      ring_(kRingCapacity) {}

DecideThread::~DecideThread() {
  Stop();
}

void DecideThread::Start() {
  thread_ = std::thread([this] { Run(); });
}

void DecideThread::Stop() {
  is_stopping_ = true;
  wake_.Wake();
  if (thread_.joinable()) {
    thread_.join();
  }
}

bool DecideThread::Push(Event event) {
  const bool is_taken = ring_.TryPush(std::move(event));
  wake_.Wake();
  return is_taken;
}

void DecideThread::PushSurely(Event event) {
  Message message(std::move(event));
  while (!ring_.TryPushFrom(message) && !is_stopping_) {
    std::this_thread::sleep_for(kFullRingPause);
  }
  wake_.Wake();
}

bool DecideThread::Ask(const Query& query) {
  const auto done = std::make_shared<std::promise<void>>();
  std::future<void> waiting = done->get_future();
  const bool is_taken =
      ring_.TryPush(Query([query, done](const Engine& engine, TimePoint now) {
        query(engine, now);
        done->set_value();
      }));
  wake_.Wake();
  return is_taken &&
         waiting.wait_for(kQueryTimeout) == std::future_status::ready;
}

void DecideThread::Run() {
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

void DecideThread::Wait() {
  pollfd waiting{wake_.fd(), POLLIN, 0};
  poll(&waiting, 1, static_cast<int>(kTickPeriod.count()));
}

void DecideThread::Handle(const Event& event) {
  engine_.Handle(event, clock_.now(), actions_);
  for (Action& action : actions_) {
    carrier_.Carry(std::move(action));
  }
  actions_.clear();
}

}  // namespace vanillafall
