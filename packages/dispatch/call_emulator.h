#ifndef DISPATCH_CALL_EMULATOR_H_
#define DISPATCH_CALL_EMULATOR_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "dispatch/dispatcher.h"

namespace vanillafall {

// Simulates a fleet whose services call each other, in one process and in
// simulated time. While a backend server runs a request, it calls other
// services through the daemon beside it. When a call fails, the run fails with
// status 500 after the work done so far. Callers retry once after a refusal;
// backend servers do not. The same seed gives the same run.
class CallEmulator {
 public:
  // A service and its backend servers, each with a daemon beside it.
  struct Service {
    std::string name;
    int servers = 1;
    std::uint32_t slots = 1;
    // All its servers reject this share of the requests that arrive, without
    // running them, from rejects_from to rejects_until after the start.
    double rejected_share = 0;
    std::chrono::milliseconds rejects_from{0};
    std::chrono::milliseconds rejects_until{0};
    // Each server fails three quarters of its requests fast, in phases of
    // kPhaseLength, for this share of the time.
    double phase_share = 0;
  };
  // Calls that a run makes once half of its own work is done.
  struct Calls {
    // Name of the route that is called.
    std::string route;
    int count = 0;
    // Share of runs that make the calls.
    double share = 1;
    // All at the same time; otherwise one after the other.
    bool at_once = false;
  };
  struct Route {
    std::string name;
    std::string service;
    std::uint32_t priority = 0;
    bool is_idempotent = false;
    // Mean processing time, without calls.
    std::chrono::milliseconds work{200};
    std::chrono::milliseconds target{1000};
    std::chrono::milliseconds limit{3000};
    // Requests of callers. A route without any is public and gets calls only.
    double requests_per_second = 0;
    Calls calls = {};
  };
  struct Customer {
    std::string name;
    // Share of all requests of callers, relative to the other customers.
    double weight = 1;
    std::optional<std::uint32_t> priority = {};
    // Requests beyond the usual ones: this many times as many are sent from
    // surge_from to surge_until after the start.
    double surge = 1;
    std::chrono::milliseconds surge_from{0};
    std::chrono::milliseconds surge_until{0};
  };
  struct Load {
    std::vector<Service> services;
    std::vector<Route> routes;
    // Where there are any, each request of a caller belongs to one.
    std::vector<Customer> customers = {};
    // Time during which callers send requests.
    std::chrono::seconds length{20};
    std::uint64_t seed = 1;
  };

  // What the callers of one route or customer got.
  struct Outcomes {
    // Requests, not counting retries after a refusal.
    int requests = 0;
    // Answered with success within the target, and later.
    int in_time = 0;
    int late = 0;
    // Answered as not run.
    int refused = 0;
    // Answered otherwise without success.
    int failed = 0;
    // Not run according to the answer, although a server had run it; or run
    // more often than allowed.
    int guarantee_violations = 0;
    // Time of backend servers that was spent on runs that failed.
    std::chrono::milliseconds wasted{0};

    double served_share() const {
      return requests == 0 ? 0 : static_cast<double>(in_time + late) / requests;
    }
  };
  // By the name of the route, and by the name of the customer with "@" before.
  // Calls that follow a successful call of the same run are also counted as the
  // route's name with "+" behind.
  using Results = std::map<std::string, Outcomes>;

  static constexpr std::chrono::milliseconds kPhaseLength{6000};
  static constexpr double kPhaseFailingShare = 0.75;

  explicit CallEmulator(Load load);
  ~CallEmulator();
  CallEmulator(const CallEmulator&) = delete;
  CallEmulator& operator=(const CallEmulator&) = delete;

  // Runs the whole simulation. Call it once.
  Results Run();

 private:
  class Node;
  struct Event {
    TimePoint at;
    // Events of the same time take place in this order.
    std::uint64_t order = 0;
    std::function<void()> action;

    friend bool operator>(const Event& a, const Event& b) {
      return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
  };
  // The caller of one request: a client, or a run of a backend server.
  struct Caller {
    const Route* route = nullptr;
    // Null when the request belongs to none.
    const Customer* customer = nullptr;
    TimePoint first_sent;
    TimePoint deadline;
    bool has_retried = false;
    // How often a backend server ran the request to its end.
    int runs = 0;
    // The run that makes this call; the node is null for a client.
    Node* parent = nullptr;
    BackendCallId parent_run = 0;
    bool follows_success = false;
  };

  void At(TimePoint time, std::function<void()> action);
  bool IsBetween(std::chrono::milliseconds from,
                 std::chrono::milliseconds until) const;
  void ScheduleNextRequest(const Route& route, const Customer* customer);
  void SendClientRequest(RequestId id);
  // Sends the request to the daemon of a node.
  void Send(RequestId id, Node& node);
  // A run of the parent calls the route; returns the id of the call.
  RequestId StartCall(const std::string& route,
                      Node& parent,
                      BackendCallId run,
                      TimePoint parent_deadline,
                      bool follows_success);
  void OnAnswer(const CallerAnswer& answer);
  // Counts in the results of the request's route and customer.
  void Count(const Caller& caller,
             const std::function<void(Outcomes&)>& change);
  std::chrono::milliseconds DrawWork(std::chrono::milliseconds mean);
  const Route* FindRoute(const std::string& name) const;
  double RateOf(const Route& route, const Customer* customer) const;

  const Load load_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(1000)};
  TimePoint start_;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<RequestId, Caller> callers_;
  RequestId last_request_ = 0;
  Results results_;
};

// A table of the results, one line for each route and customer.
std::string ToTable(const CallEmulator::Results& results);

}  // namespace vanillafall

#endif  // DISPATCH_CALL_EMULATOR_H_
