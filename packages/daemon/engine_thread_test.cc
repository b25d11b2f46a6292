#include "daemon/engine_thread.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <set>
#include <thread>
#include <vector>

namespace vanillafall {
namespace {

constexpr RequestId kThreads = 4;
constexpr RequestId kRequestsPerThread = 3000;

// Counts answers, and records whether two threads executed actions at the same
// time and whether a request was answered twice.
class CountingDelegate final : public EngineThread::Delegate {
 public:
  void Execute(Action action) override {
    has_overlapped_ = has_overlapped_ || is_executing_.exchange(true);
    if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
      has_repeated_ = has_repeated_ || !answered_.insert(answer->id).second;
      ++count_;
    }
    is_executing_ = false;
  }

  RequestId count() const { return count_; }
  bool has_overlapped() const { return has_overlapped_; }
  bool has_repeated() const { return has_repeated_; }

 private:
  std::atomic<bool> is_executing_{false};
  std::atomic<bool> has_overlapped_{false};
  std::atomic<RequestId> count_{0};
  // Not protected by a lock: used only in Execute, which must not be called by
  // two threads at the same time.
  std::set<RequestId> answered_;
  bool has_repeated_ = false;
};

TEST_CASE("events of many threads are each handled once, one at a time",
          "[decide]") {
  const SystemClock clock;
  CountingDelegate delegate;
  EngineThread engine_thread({"127.0.0.1:1", "centre", 1, 1}, Limits{}, clock,
                             delegate);
  engine_thread.Start();
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (RequestId thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&engine_thread, thread] {
      for (RequestId i = 0; i < kRequestsPerThread; ++i) {
        CallerRequest request;
        request.id = thread * kRequestsPerThread + i;
        engine_thread.PushBlocking(request);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  // The query runs after every event pushed before it.
  REQUIRE(engine_thread.RunQuery([](const Engine&, TimePoint) {}));
  engine_thread.Stop();
  REQUIRE(delegate.count() == kThreads * kRequestsPerThread);
  REQUIRE_FALSE(delegate.has_overlapped());
  REQUIRE_FALSE(delegate.has_repeated());
}

}  // namespace
}  // namespace vanillafall
