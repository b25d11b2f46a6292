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

// How a Router chooses. kFourChoices is what daemons use; the others
// are there to be measured against it.
enum class RoutingRule : std::uint8_t {
  // The best of four random servers near, or of four far where that is better.
  kFourChoices,
  kTwoChoices,
  // The best of all.
  kLeastLoaded,
  // The least busy of all by the last report of each, however old.
  kLastReport,
  kRoundRobin,
  kRandom,
};

// An entry's choice among the backend servers of one service. It only prefers:
// a server that looks bad is chosen when nothing better is left, because
// taking servers out of service is the owners' decision. Everything it knows
// rides on replies, and loses weight with age.
//
// A server costs its expected wait, from its reported load and this entry's
// requests in flight; plus kFarLatency when it is in another data centre; plus
// what it lately was slower than the service, and failed.
class Router {
 public:
  using Random = std::mt19937_64;

  // What a request to another data centre takes longer.
  static constexpr std::chrono::milliseconds kFarLatency{3};

  explicit Router(std::string data_centre,
                  RoutingRule rule = RoutingRule::kFourChoices);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Takes over the servers of the service and forgets those that it no longer
  // names. Call before Choose with the same service.
  void Configure(const ServiceConfig& service);

  // The preferred server that is not among those tried; null when all were.
  const BackendServer* Choose(const ServiceConfig& service,
                              const std::vector<std::string>& tried,
                              Random& random,
                              TimePoint now);

  // A request went out; exactly one OnReply or OnFailure must follow.
  void OnSent(const std::string& server);
  void OnReply(const std::string& server,
               const RunReply& reply,
               Duration latency,
               TimePoint now);
  void OnFailure(const std::string& server, PeerFailure failure, TimePoint now);
  // A request has been out for longer than it should. It stays in flight.
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
    // Requests of other entries at the time of the last report.
    double others_in_flight = 0;
    TimePoint reported;
    ServingState state = ServingState::kInService;
    // Latency freed of waiting; zero until known.
    Duration latency{0};
    double failure_share = 0;
    std::uint32_t consecutive_failures = 0;
    TimePoint avoid_until;
  };

  // Compares by grade first.
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
