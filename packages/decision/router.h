#ifndef DECISION_ROUTER_H_
#define DECISION_ROUTER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"
#include "config/fleet_config.h"
#include "message/peer.h"

namespace vanillafall {

// How a Router chooses a server. Daemons use kFourChoices; the other rules
// exist for comparison in benchmarks.
enum class RoutingRule : std::uint8_t {
  // The best of four random near servers, or of four random far ones if that is
  // better (see Router).
  kFourChoices,
  // The same with two servers each.
  kTwoChoices,
  // The best of all servers.
  kLeastLoaded,
  // The least loaded of all servers by the last report of each, however old.
  kLastReport,
  kRoundRobin,
  kRandom,
};

// Chooses a backend server of one service for an entry. The choice is only a
// preference: a server that looks bad is still chosen when nothing better is
// left, because only owners take servers out of service. What the router knows
// comes from the results of this entry's requests and loses weight with age.
//
// The cost of a server is its expected wait, estimated from its reported load
// and this entry's requests in flight; plus kFarLatency when it is far; plus a
// penalty for a recent latency well above that of the service; plus a penalty
// for recent failures. A server is near when it is in the entry's data centre,
// and far otherwise.
class Router {
 public:
  using Random = std::mt19937_64;

  // Additional latency of a request to another data centre.
  static constexpr std::chrono::milliseconds kFarLatency{3};

  explicit Router(std::string data_centre,
                  RoutingRule rule = RoutingRule::kFourChoices);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Takes over the servers of the service. Keeps what is known of servers that
  // remain, and drops the others. Call before Choose with the same service.
  void Configure(const ServiceConfig& service);

  // Returns the preferred server that is not in `tried`, null when all are.
  const BackendServer* Choose(const ServiceConfig& service,
                              const std::vector<std::string>& tried,
                              Random& random,
                              TimePoint now);

  // A request was sent; exactly one OnReply or OnFailure must follow.
  void OnSent(const std::string& server);
  void OnReply(const std::string& server,
               const RunReply& reply,
               Duration latency,
               TimePoint now);
  void OnFailure(const std::string& server, PeerFailure failure, TimePoint now);
  // A request takes longer than expected. It stays in flight.
  void OnSlow(const std::string& server, TimePoint now);

 private:
  using Index = std::size_t;
  using Indexes = std::vector<Index>;
  using ChooseFunction = std::optional<Index> (Router::*)(const Indexes& tried,
                                                          Random& random,
                                                          TimePoint now);

  struct Server {
    std::string name;
    bool is_near = false;
    std::uint32_t slots = 1;
    std::uint32_t in_flight = 0;
    // Requests of other entries, waiting or running, at the time of the last
    // report.
    double others_in_flight = 0;
    TimePoint reported;
    ServingState state = ServingState::kInService;
    // Latency without the wait for a slot; zero until known.
    Duration latency{0};
    // Moving average of failed requests, 0 to 1.
    double failure_share = 0;
    std::uint32_t consecutive_failures = 0;
    TimePoint avoid_until;
  };

  // Compared by grade first, then by time, then by load.
  struct Cost {
    enum class Grade : std::uint8_t { kGood, kNotServing, kAvoided };
    Grade grade = Grade::kGood;
    double milliseconds = 0;
    double requests_per_slot = 0;

    friend bool operator<(const Cost& a, const Cost& b) {
      return std::tie(a.grade, a.milliseconds, a.requests_per_slot) <
             std::tie(b.grade, b.milliseconds, b.requests_per_slot);
    }
  };

  struct Candidate {
    Index index = 0;
    Cost cost;
  };

  static ChooseFunction FunctionFor(RoutingRule rule);

  std::optional<Index> ChooseOfFour(const Indexes& tried,
                                    Random& random,
                                    TimePoint now);
  std::optional<Index> ChooseOfTwo(const Indexes& tried,
                                   Random& random,
                                   TimePoint now);
  std::optional<Index> ChooseOfFew(int count,
                                   const Indexes& tried,
                                   Random& random,
                                   TimePoint now);
  std::optional<Index> ChooseLeastLoaded(const Indexes& tried,
                                         Random& random,
                                         TimePoint now);
  std::optional<Index> ChooseByLastReport(const Indexes& tried,
                                          Random& random,
                                          TimePoint now);
  std::optional<Index> ChooseNextInTurn(const Indexes& tried,
                                        Random& random,
                                        TimePoint now);
  std::optional<Index> ChooseAny(const Indexes& tried,
                                 Random& random,
                                 TimePoint now);

  std::optional<Candidate> BestOfFew(int count,
                                     const Indexes& group,
                                     const Indexes& tried,
                                     Random& random,
                                     TimePoint now) const;
  template <typename CostFunction>
  std::optional<Index> ChooseCheapest(const Indexes& tried,
                                      Random& random,
                                      CostFunction cost_of) const;
  Cost CostOf(const Server& server, TimePoint now) const;
  Cost::Grade GradeOf(const Server& server, TimePoint now) const;
  double WaitOf(const Server& server, double requests, TimePoint now) const;
  double ExcessLatencyOf(const Server& server, TimePoint now) const;
  double FailureCostOf(const Server& server, TimePoint now) const;
  void RecordLatency(Server& server, const RunReply& reply, Duration latency);
  void RecordFailure(Server& server, TimePoint now);
  Server* FindServer(const std::string& name);

  const std::string data_centre_;
  const ChooseFunction choose_function_;
  // In the order of the service's document.
  std::vector<Server> servers_;
  std::unordered_map<std::string, Index> index_of_;
  Indexes near_;
  Indexes far_;
  Index next_in_turn_ = 0;
  // Moving average over all servers; zero until known.
  Duration service_latency_{0};
};

}  // namespace vanillafall

#endif  // DECISION_ROUTER_H_
