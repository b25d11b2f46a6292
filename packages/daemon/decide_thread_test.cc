#include "daemon/decide_thread.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <set>
#include <thread>
#include <vector>

namespace vanillafall {
namespace {

constexpr RequestId kThreads = 4;
constexpr RequestId kRequestsPerThread = 3000;

// Counts answers, and notes when two threads carry at once.
class CountingCarrier final : public DecideThread::Carrier {
 public:
  void Carry(Action action) override {
    has_met_ = has_met_ || is_inside_.exchange(true);
    if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
      has_repeated_ = has_repeated_ || !answered_.insert(answer->id).second;
      ++count_;
    }
    is_inside_ = false;
  }

  RequestId count() const { return count_; }
  bool has_met() const { return has_met_; }
  bool has_repeated() const { return has_repeated_; }

 private:
  std::atomic<bool> is_inside_{false};
  std::atomic<bool> has_met_{false};
  std::atomic<RequestId> count_{0};
  // Used by whoever carries, one at a time.
  std::set<RequestId> answered_;
  bool has_repeated_ = false;
};

TEST_CASE("events of many threads are each handled once, one at a time",
          "[decide]") {
  const SystemClock clock;
  CountingCarrier carrier;
  DecideThread decide({"127.0.0.1:1", "centre", 1, 1}, Limits{}, clock,
                      carrier);
  decide.Start();
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (RequestId thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&decide, thread] {
      for (RequestId i = 0; i < kRequestsPerThread; ++i) {
        CallerRequest request;
        request.id = thread * kRequestsPerThread + i;
        decide.PushSurely(request);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  // The query runs after every event pushed before it.
  REQUIRE(decide.Ask([](const Engine&, TimePoint) {}));
  decide.Stop();
  REQUIRE(carrier.count() == kThreads * kRequestsPerThread);
  REQUIRE_FALSE(carrier.has_met());
  REQUIRE_FALSE(carrier.has_repeated());
}

}  // namespace
}  // namespace vanillafall
