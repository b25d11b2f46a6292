#ifndef LIMIT_LIMIT_EMULATOR_H_
#define LIMIT_LIMIT_EMULATOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "limit/fleet_limiter.h"

namespace vanillafall {

// Simulates the limiters of a fleet in one process and in simulated time, with
// a network that delays and loses messages, daemons that are killed, frozen and
// cut off, and callers that are spread unevenly. The same seed gives the same
// run.
class LimitEmulator {
 public:
  // A customer: its limit, and its usual requests per second.
  struct Customer {
    FleetLimit limit;
    double requests_per_second = 0;
  };
  // What became of the requests of one customer.
  struct Result {
    // Including those that did not run.
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    // What one token bucket for the whole fleet would have admitted.
    std::uint64_t under_limit = 0;
    // The most that was admitted in any 5 s, as a part of the bound.
    double worst_part_of_bound = 0;
  };

  LimitEmulator(std::size_t daemons,
                std::vector<Customer> customers,
                std::uint64_t seed);
  ~LimitEmulator();
  LimitEmulator(const LimitEmulator&) = delete;
  LimitEmulator& operator=(const LimitEmulator&) = delete;

  // Runs for this time.
  void Run(std::chrono::milliseconds time);

  // Events, at the present time.

  // The process ends, and the others notice that their links break. Its callers
  // go to other daemons.
  void Kill(std::size_t daemon);
  // A killed or running daemon starts anew, without what it knew.
  void Restart(std::size_t daemon);
  // The process stands still; what it is sent arrives afterwards.
  void Freeze(std::size_t daemon, std::chrono::milliseconds time);
  // Messages between daemons of different sides are lost without notice.
  void SetSide(std::size_t daemon, int side);
  // The list as this daemon sees it: all daemons for which the predicate holds.
  void SetList(std::size_t daemon,
               const std::function<bool(std::size_t)>& is_listed);
  // Multiplies the requests of a customer.
  void SetLoad(std::size_t customer, double factor);
  void SetLimit(std::size_t customer, const FleetLimit& limit);
  // Counts anew from here on. Without this, no bound is checked across a change
  // of the limit.
  void ResetResults();

  // The daemon that is the allocator of the customer's limit when nothing is
  // wrong.
  std::size_t AllocatorOf(std::size_t customer) const;
  Result ResultOf(std::size_t customer) const;
  // The sums over all customers, and the worst part of any bound.
  Result Total() const;
  std::uint64_t message_count() const { return message_count_; }
  std::size_t size() const { return daemons_.size(); }

 private:
  class Daemon;
  struct Event {
    TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> run;
    friend bool operator>(const Event& a, const Event& b) {
      return std::tie(a.at, a.number) > std::tie(b.at, b.number);
    }
  };
  struct Load {
    double factor = 1;
    // Cumulated weights of the daemons that its callers use.
    std::vector<double> weights;
    std::vector<TimePoint> admitted;
    // Admitted requests that did not run.
    std::uint64_t not_run = 0;
    std::uint64_t refused = 0;
    // One token bucket for the whole fleet, for comparison.
    double tokens = 0;
    TimePoint refilled_at;
    std::uint64_t under_limit = 0;
  };

  static std::string NameOf(std::size_t customer);
  static PeerAddress AddressOf(std::size_t daemon);

  void At(TimePoint at, std::function<void()> run);
  // Runs the action at a daemon when it is not frozen, unless it was restarted
  // or killed meanwhile.
  void Deliver(std::size_t daemon,
               TimePoint at,
               std::function<void(Daemon&)> action);
  // The time at which a message arrives.
  TimePoint ArrivalTime();
  bool IsCut(std::size_t from, std::size_t to) const;
  void ScheduleArrival(std::size_t customer);
  void Arrive(std::size_t customer);
  void CountUnderLimit(std::size_t customer);
  std::vector<LimitMember> MembersWhere(
      const std::function<bool(std::size_t)>& is_listed) const;

  TimePoint now_;
  std::uint64_t last_event_ = 0;
  std::mt19937_64 random_;
  std::vector<Customer> customers_;
  std::vector<Load> loads_;
  std::map<std::string, std::size_t> by_name_;
  std::map<PeerAddress, std::size_t> by_address_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t message_count_ = 0;
};

}  // namespace vanillafall

#endif  // LIMIT_LIMIT_EMULATOR_H_
