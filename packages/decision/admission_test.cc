#include "decision/admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Result = Admission::Result;

constexpr seconds kLongTime{60};

TimePoint At(std::int64_t ms) {
  return TimePoint(milliseconds(ms));
}

Admission::Request RequestOf(const std::string& customer,
                             Admission::Ticket ticket,
                             TimePoint deadline = TimePoint(kLongTime)) {
  return {ticket, customer, deadline, false, "lookup"};
}

Admission::Request AloneRequest(Admission::Ticket ticket) {
  return {ticket, "suspect", TimePoint(kLongTime), true, "lookup"};
}

// Ends a running request and returns the one that starts in its place; 0 if
// there is none.
Admission::Ticket Next(Admission& admission, Admission::Ticket ended) {
  admission.Release(ended, At(0));
  return admission.TakeNext(At(0)).value_or(0);
}

TEST_CASE("a flood of one customer delays its own requests most",
          "[admission]") {
  Admission admission(1, 64);
  for (Admission::Ticket ticket = 1; ticket <= 20; ++ticket) {
    admission.Offer(RequestOf("flood", ticket), At(0));
  }
  admission.Offer(RequestOf("light", 100), At(0));
  REQUIRE(Next(admission, 1) == 2);
  REQUIRE(Next(admission, 2) == 100);
  REQUIRE(Next(admission, 100) == 3);
}

TEST_CASE("classes of a customer take turns", "[admission]") {
  Admission admission(1, 64);
  for (Admission::Ticket ticket = 1; ticket <= 5; ++ticket) {
    admission.Offer(RequestOf("customer", ticket), At(0));
  }
  admission.Offer({50, "customer", TimePoint(kLongTime), false, "booking"},
                  At(0));
  REQUIRE(Next(admission, 1) == 2);
  REQUIRE(Next(admission, 2) == 50);
}

TEST_CASE(
    "a full queue drops the newest request of the customer with most waiting",
    "[admission]") {
  Admission admission(1, 4);
  for (Admission::Ticket ticket = 1; ticket <= 5; ++ticket) {
    REQUIRE(admission.Offer(RequestOf("flood", ticket), At(0)).result !=
            Result::kRefuse);
  }
  const auto light = admission.Offer(RequestOf("light", 10), At(0));
  REQUIRE(light.result == Result::kWait);
  REQUIRE(light.displaced == 5U);
  const auto flood = admission.Offer(RequestOf("flood", 11), At(0));
  REQUIRE(flood.result == Result::kRefuse);
  REQUIRE(flood.reason == Reason::kCustomerOverShare);
  REQUIRE(admission.waiting() == 4);
}

TEST_CASE("expired requests are returned and never started", "[admission]") {
  Admission admission(1, 64);
  admission.Offer(RequestOf("a", 1), At(0));
  admission.Offer(RequestOf("a", 2, At(10)), At(0));
  admission.Offer(RequestOf("a", 3), At(0));
  REQUIRE(admission.Offer(RequestOf("a", 4, At(20)), At(20)).reason ==
          Reason::kDeadlinePassed);
  admission.Release(1, At(20));
  REQUIRE(admission.TakeNext(At(20)) == 3U);
  REQUIRE(admission.TakeExpired(At(20)) == std::vector<std::uint64_t>{2});
  REQUIRE(admission.TakeExpired(At(20)).empty());
}

TEST_CASE("a wait beyond the deadline is refused at once", "[admission]") {
  Admission admission(1, 64);
  admission.Offer(RequestOf("a", 1), At(0));
  admission.Release(1, At(100));
  // A free slot is used whatever the estimate says, so that a wrong estimate
  // can be corrected.
  REQUIRE(admission.Offer(RequestOf("a", 2, At(150)), At(100)).result ==
          Result::kStart);
  const auto refused = admission.Offer(RequestOf("a", 3, At(200)), At(100));
  REQUIRE(refused.result == Result::kRefuse);
  REQUIRE(refused.reason == Reason::kOverloaded);
  REQUIRE(admission.Offer(RequestOf("a", 4, At(201)), At(100)).result ==
          Result::kWait);
}

TEST_CASE("an ejected server admits no request", "[admission]") {
  Admission admission(3, 64);
  admission.SetSlotLimit(0);
  REQUIRE(admission.Offer(RequestOf("a", 1), At(0)).reason == Reason::kEjected);
}

TEST_CASE("a request that runs alone is not starved by other requests",
          "[admission]") {
  Admission admission(2, 64);
  admission.Offer(RequestOf("a", 1), At(0));
  admission.Offer(RequestOf("a", 2), At(0));
  admission.Offer(AloneRequest(100), At(0));
  for (Admission::Ticket ticket = 3; ticket <= 20; ++ticket) {
    admission.Offer(RequestOf("a", ticket), At(0));
  }
  REQUIRE(Next(admission, 1) == 0);
  REQUIRE(Next(admission, 2) == 100);
  REQUIRE(admission.in_use() == 1);
}

TEST_CASE("requests that run alone do not starve other requests",
          "[admission]") {
  Admission admission(2, 64);
  admission.Offer(AloneRequest(100), At(0));
  admission.Offer(AloneRequest(101), At(0));
  admission.Offer(AloneRequest(102), At(0));
  admission.Offer(RequestOf("a", 1), At(0));
  admission.Offer(RequestOf("a", 2), At(0));
  REQUIRE(Next(admission, 100) == 1);
  REQUIRE(admission.TakeNext(At(0)) == 2U);
  REQUIRE(Next(admission, 1) == 0);
  REQUIRE(Next(admission, 2) == 101);
}

// Offers, ends and expires requests at random and checks the invariants after
// each step.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed) : random_(seed) {}

  void Step() {
    now_ += milliseconds(Draw(4));
    if (Draw(100) < 2) {
      admission_.SetSlotLimit(static_cast<std::uint32_t>(Draw(kSlots + 1)));
    }
    Draw(2) == 0 ? Offer() : End();
    for (const auto ticket : admission_.TakeExpired(now_)) {
      REQUIRE(waiting_.at(ticket).deadline <= now_);
      RemoveWaiting(ticket);
    }
    StartWaiting();
    REQUIRE(admission_.in_use() == running_.size());
    REQUIRE(admission_.waiting() == waiting_.size());
    REQUIRE(waiting_.size() <= kMaxWaiting);
  }

  std::size_t started() const { return started_; }

 private:
  static constexpr std::uint32_t kSlots = 3;
  static constexpr std::size_t kMaxWaiting = 16;

  std::uint64_t Draw(std::uint64_t bound) { return random_() % bound; }

  void Offer() {
    const std::uint64_t customer = Draw(6) < 3 ? 0 : Draw(4);
    const Admission::Request request{
        ++last_, "customer-" + std::to_string(customer),
        now_ + milliseconds(Draw(300)), Draw(20) == 0, "lookup"};
    const auto decision = admission_.Offer(request, now_);
    if (decision.result == Result::kStart) {
      Start(request);
    } else if (decision.result == Result::kWait) {
      waiting_[request.ticket] = request;
    }
    if (decision.displaced) {
      REQUIRE(waiting_.at(*decision.displaced).customer != request.customer);
      RemoveWaiting(*decision.displaced);
    }
  }

  void End() {
    if (running_.empty()) {
      return;
    }
    admission_.Release(running_.begin()->first, now_);
    running_.erase(running_.begin());
  }

  void StartWaiting() {
    while (const auto ticket = admission_.TakeNext(now_)) {
      const Admission::Request request = waiting_.at(*ticket);
      RemoveWaiting(*ticket);
      if (!request.alone) {
        CheckTurn(request.customer);
      }
      Start(request);
    }
  }

  void Start(const Admission::Request& request) {
    REQUIRE(request.deadline > now_);
    for (const auto& [ticket, running] : running_) {
      REQUIRE_FALSE(running.alone);
    }
    REQUIRE((!request.alone || running_.empty()));
    running_[request.ticket] = request;
    REQUIRE(running_.size() <= admission_.slot_limit());
    ++started_;
  }

  // No customer may start two requests while another customer waits.
  void CheckTurn(const std::string& customer) {
    started_while_waiting_.erase(customer);
    std::set<std::string> customers;
    for (const auto& [ticket, request] : waiting_) {
      if (!request.alone && request.customer != customer) {
        customers.insert(request.customer);
      }
    }
    for (const std::string& other : customers) {
      REQUIRE(started_while_waiting_[other].insert(customer).second);
    }
  }

  void RemoveWaiting(Admission::Ticket ticket) {
    const std::string customer = waiting_.at(ticket).customer;
    waiting_.erase(ticket);
    if (!IsWaiting(customer)) {
      started_while_waiting_.erase(customer);
    }
  }

  bool IsWaiting(const std::string& customer) const {
    return std::any_of(
        waiting_.begin(), waiting_.end(), [&customer](const auto& entry) {
          return !entry.second.alone && entry.second.customer == customer;
        });
  }

  std::mt19937_64 random_;
  TimePoint now_;
  Admission admission_{kSlots, kMaxWaiting};
  Admission::Ticket last_ = 0;
  std::size_t started_ = 0;
  std::map<Admission::Ticket, Admission::Request> waiting_;
  std::map<Admission::Ticket, Admission::Request> running_;
  // For each waiting customer: the customers that have started a request since
  // it began to wait.
  std::map<std::string, std::set<std::string>> started_while_waiting_;
};

TEST_CASE("admission keeps its invariants in random runs", "[admission][run]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    RandomRun run(seed);
    for (int step = 0; step < 3000; ++step) {
      run.Step();
    }
    REQUIRE(run.started() > 500);
  }
}

}  // namespace
}  // namespace vanillafall
