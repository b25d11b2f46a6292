#include "decision/router.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Milliseconds = std::chrono::duration<double, std::milli>;

// With RoutingRule::kLastReport, the additional load of a far server, in
// requests for each slot.
constexpr double kFarLoad = 0.5;
// How long a server is avoided after a failure. The time doubles with each
// further failure in a row, up to kMaxDoublings times.
constexpr milliseconds kFirstAvoidance{200};
constexpr std::uint32_t kMaxDoublings = 5;
// A reported load loses half of its weight in this time.
constexpr milliseconds kLoadHalfLife{500};
// Latency and failures lose half of their weight in this time.
constexpr seconds kQualityHalfLife{5};
// How long a server is assumed to take no work after it reported that it takes
// none.
constexpr seconds kMaxStateAge{5};
// The newest sample has the weight 1 / kLatencySamples in moving averages of
// latency, and kFailureWeight in those of failures.
constexpr int kLatencySamples = 5;
constexpr double kFailureWeight = 0.1;
// The part of a server's latency above this multiple of the service's latency
// adds to the server's cost.
constexpr int kSlowMultiple = 2;
// Cost of a server that fails every request.
constexpr Milliseconds kFailureCost{200};

double WeightAtAge(Duration age, Duration half_life) {
  const double half_lives = Milliseconds(age) / Milliseconds(half_life);
  return std::exp2(-half_lives);
}

bool Contains(const std::vector<std::size_t>& indexes, std::size_t index) {
  return std::find(indexes.begin(), indexes.end(), index) != indexes.end();
}

std::size_t DrawBelow(std::size_t bound, std::mt19937_64& random) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
}

// A random member of the group that is not excluded; empty if there is none.
std::optional<std::size_t> Draw(const std::vector<std::size_t>& group,
                                const std::vector<std::size_t>& excluded,
                                std::mt19937_64& random) {
  if (group.empty()) {
    return std::nullopt;
  }
  const std::size_t start = DrawBelow(group.size(), random);
  for (std::size_t step = 0; step < group.size(); ++step) {
    const std::size_t index = group[(start + step) % group.size()];
    if (!Contains(excluded, index)) {
      return index;
    }
  }
  return std::nullopt;
}

void UpdateAverage(Duration& average, Duration sample) {
  const bool is_first = average == Duration(0);
  average += is_first ? sample : (sample - average) / kLatencySamples;
}

// Whether the reply shows a fault of the server or of the connection to it.
bool ShowsFault(Reason reason) {
  switch (reason) {
    case Reason::kNotOwner:
    case Reason::kPeerUnreachable:
    case Reason::kPeerLost:
    case Reason::kBackendServerUnreachable:
    case Reason::kBackendServerLost:
    case Reason::kBackendServerTimeout:
    case Reason::kAnswerTruncated:
      return true;
    default:
      return false;
  }
}

}  // namespace

Router::Router(std::string data_centre, RoutingRule rule)
    : data_centre_(std::move(data_centre)),
      choose_function_(FunctionFor(rule)) {}

void Router::Configure(const ServiceConfig& service) {
  std::vector<Server> former = std::exchange(servers_, {});
  const std::unordered_map<std::string, Index> former_index =
      std::exchange(index_of_, {});
  near_.clear();
  far_.clear();
  for (const BackendServer& each : service.backend_servers) {
    const Index index = servers_.size();
    const auto known = former_index.find(each.name);
    Server& server = servers_.emplace_back(
        known == former_index.end() ? Server{}
                                    : std::move(former[known->second]));
    server.name = each.name;
    server.is_near = each.data_centre == data_centre_;
    server.slots = std::max(1U, each.slots);
    index_of_[each.name] = index;
    (server.is_near ? near_ : far_).push_back(index);
  }
}

const BackendServer* Router::Choose(const ServiceConfig& service,
                                    const std::vector<std::string>& tried,
                                    Random& random,
                                    TimePoint now) {
  assert(service.backend_servers.size() == servers_.size() &&
         "configure with a service before choosing among its servers");
  Indexes tried_indexes;
  for (const std::string& name : tried) {
    const auto found = index_of_.find(name);
    if (found != index_of_.end()) {
      tried_indexes.push_back(found->second);
    }
  }
  if (servers_.empty()) {
    return nullptr;
  }
  const std::optional<Index> chosen =
      (this->*choose_function_)(tried_indexes, random, now);
  return chosen ? &service.backend_servers[*chosen] : nullptr;
}

void Router::OnSent(const std::string& name) {
  if (Server* server = FindServer(name)) {
    ++server->in_flight;
  }
}

void Router::OnReply(const std::string& name,
                     const RunReply& reply,
                     Duration latency,
                     TimePoint now) {
  Server* server = FindServer(name);
  if (server == nullptr) {
    return;
  }
  server->in_flight -= server->in_flight > 0 ? 1 : 0;
  const double reported_requests = reply.load.in_use + reply.load.waiting;
  server->others_in_flight =
      std::max(0.0, reported_requests - server->in_flight);
  server->state = reply.load.state;
  if (ShowsFault(reply.reason)) {
    RecordFailure(*server, now);
    server->reported = now;
    return;
  }
  server->consecutive_failures = 0;
  const bool has_failed = reply.reason == Reason::kBackendServerShed;
  const double share = server->failure_share *
                       WeightAtAge(now - server->reported, kQualityHalfLife);
  if (reply.outcome != Outcome::kNotRun) {
    server->failure_share =
        share + kFailureWeight * ((has_failed ? 1.0 : 0.0) - share);
  }
  server->reported = now;
  if (reply.outcome == Outcome::kDone) {
    RecordLatency(*server, reply, latency);
  }
}

void Router::OnFailure(const std::string& name,
                       PeerFailure /*failure*/,
                       TimePoint now) {
  Server* server = FindServer(name);
  if (server == nullptr) {
    return;
  }
  server->in_flight -= server->in_flight > 0 ? 1 : 0;
  RecordFailure(*server, now);
}

void Router::OnSlow(const std::string& name, TimePoint now) {
  if (Server* server = FindServer(name)) {
    RecordFailure(*server, now);
  }
}

Router::ChooseFunction Router::FunctionFor(RoutingRule rule) {
  static constexpr std::array<ChooseFunction, 6> kRules{
      &Router::ChooseOfFour,      &Router::ChooseOfTwo,
      &Router::ChooseLeastLoaded, &Router::ChooseByLastReport,
      &Router::ChooseNextInTurn,  &Router::ChooseAny};
  return kRules.at(static_cast<std::size_t>(rule));
}

std::optional<Router::Index> Router::ChooseOfFour(const Indexes& tried,
                                                  Random& random,
                                                  TimePoint now) {
  return ChooseOfFew(4, tried, random, now);
}

std::optional<Router::Index> Router::ChooseOfTwo(const Indexes& tried,
                                                 Random& random,
                                                 TimePoint now) {
  return ChooseOfFew(2, tried, random, now);
}

std::optional<Router::Index> Router::ChooseOfFew(int count,
                                                 const Indexes& tried,
                                                 Random& random,
                                                 TimePoint now) {
  std::optional<Candidate> best = BestOfFew(count, near_, tried, random, now);
  const bool is_ideal = best && best->cost.grade == Cost::Grade::kGood &&
                        best->cost.milliseconds <= 0.0;
  if (!is_ideal) {
    const auto far = BestOfFew(count, far_, tried, random, now);
    const bool is_far_better = far && (!best || far->cost < best->cost);
    best = is_far_better ? far : best;
  }
  if (best && best->cost.grade == Cost::Grade::kGood) {
    return best->index;
  }
  return ChooseLeastLoaded(tried, random, now);
}

std::optional<Router::Index> Router::ChooseLeastLoaded(const Indexes& tried,
                                                       Random& random,
                                                       TimePoint now) {
  return ChooseCheapest(tried, random, [this, now](const Server& server) {
    return CostOf(server, now);
  });
}

std::optional<Router::Index> Router::ChooseByLastReport(const Indexes& tried,
                                                        Random& random,
                                                        TimePoint now) {
  return ChooseCheapest(tried, random, [this, now](const Server& server) {
    const double requests =
        std::max<double>(server.others_in_flight, server.in_flight);
    return Cost{GradeOf(server, now), 0,
                requests / server.slots + (server.is_near ? 0 : kFarLoad)};
  });
}

template <typename CostFunction>
std::optional<Router::Index> Router::ChooseCheapest(
    const Indexes& tried,
    Random& random,
    CostFunction cost_of) const {
  const Index start = DrawBelow(servers_.size(), random);
  std::optional<Candidate> best;
  for (Index step = 0; step < servers_.size(); ++step) {
    const Index index = (start + step) % servers_.size();
    if (Contains(tried, index)) {
      continue;
    }
    const Cost cost = cost_of(servers_[index]);
    if (!best || cost < best->cost) {
      best = Candidate{index, cost};
    }
  }
  return best ? std::optional(best->index) : std::nullopt;
}

std::optional<Router::Index> Router::ChooseNextInTurn(const Indexes& tried,
                                                      Random& /*random*/,
                                                      TimePoint /*now*/) {
  for (Index step = 0; step < servers_.size(); ++step) {
    const Index index = next_in_turn_ % servers_.size();
    ++next_in_turn_;
    if (!Contains(tried, index)) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<Router::Index> Router::ChooseAny(const Indexes& tried,
                                               Random& random,
                                               TimePoint /*now*/) {
  const Index start = DrawBelow(servers_.size(), random);
  for (Index step = 0; step < servers_.size(); ++step) {
    const Index index = (start + step) % servers_.size();
    if (!Contains(tried, index)) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<Router::Candidate> Router::BestOfFew(int count,
                                                   const Indexes& group,
                                                   const Indexes& tried,
                                                   Random& random,
                                                   TimePoint now) const {
  Indexes excluded = tried;
  std::optional<Candidate> best;
  for (int drawn = 0; drawn < count; ++drawn) {
    const std::optional<Index> index = Draw(group, excluded, random);
    if (!index) {
      break;
    }
    excluded.push_back(*index);
    const Cost cost = CostOf(servers_[*index], now);
    if (!best || cost < best->cost) {
      best = Candidate{*index, cost};
    }
  }
  return best;
}

Router::Cost Router::CostOf(const Server& server, TimePoint now) const {
  const double others_in_flight =
      server.others_in_flight *
      WeightAtAge(now - server.reported, kLoadHalfLife);
  Cost cost;
  cost.grade = GradeOf(server, now);
  cost.requests_per_slot = (server.in_flight + others_in_flight) / server.slots;
  cost.milliseconds = server.is_near ? 0.0 : Milliseconds(kFarLatency).count();
  cost.milliseconds += WaitOf(server, server.in_flight + others_in_flight, now);
  cost.milliseconds += ExcessLatencyOf(server, now);
  cost.milliseconds += FailureCostOf(server, now);
  return cost;
}

Router::Cost::Grade Router::GradeOf(const Server& server, TimePoint now) const {
  // After the time of avoidance, one request at a time tests whether the server
  // has recovered.
  const bool is_trial_in_flight =
      server.consecutive_failures > 0 && server.in_flight > 0;
  if (now < server.avoid_until || is_trial_in_flight) {
    return Cost::Grade::kAvoided;
  }
  const bool accepts_work = server.state == ServingState::kInService ||
                            server.state == ServingState::kProbation;
  if (!accepts_work && now < server.reported + kMaxStateAge) {
    return Cost::Grade::kNotServing;
  }
  return Cost::Grade::kGood;
}

double Router::WaitOf(const Server& server,
                      double requests,
                      TimePoint /*now*/) const {
  const bool is_on_probation = server.state == ServingState::kProbation;
  const double slots = is_on_probation ? 1 : server.slots;
  if (requests < slots) {
    return 0.0;
  }
  const Duration service_time =
      server.latency > Duration(0) ? server.latency : service_latency_;
  return (requests - slots + 1) / slots * Milliseconds(service_time).count();
}

double Router::ExcessLatencyOf(const Server& server, TimePoint now) const {
  if (server.latency <= service_latency_) {
    return 0.0;
  }
  const Duration excess = server.latency - kSlowMultiple * service_latency_;
  const double weight = WeightAtAge(now - server.reported, kQualityHalfLife);
  return std::max(0.0, Milliseconds(excess).count() * weight);
}

double Router::FailureCostOf(const Server& server, TimePoint now) const {
  const double weight = WeightAtAge(now - server.reported, kQualityHalfLife);
  return server.failure_share * weight * kFailureCost.count();
}

void Router::RecordLatency(Server& server,
                           const RunReply& reply,
                           Duration latency) {
  const std::uint32_t slots = std::max(1U, reply.load.slots);
  // With more requests than slots, the latency includes waiting; it is divided
  // by the number of requests that each slot has to run.
  const std::uint32_t queued = reply.load.in_use + reply.load.waiting;
  const double rounds =
      std::max(1.0, static_cast<double>(queued) / static_cast<double>(slots));
  const auto sample = std::chrono::duration_cast<Duration>(latency / rounds);
  UpdateAverage(server.latency, sample);
  UpdateAverage(service_latency_, sample);
}

void Router::RecordFailure(Server& server, TimePoint now) {
  const std::uint32_t doublings =
      std::min(server.consecutive_failures, kMaxDoublings);
  server.avoid_until = now + kFirstAvoidance * (1U << doublings);
  ++server.consecutive_failures;
}

Router::Server* Router::FindServer(const std::string& name) {
  const auto found = index_of_.find(name);
  return found == index_of_.end() ? nullptr : &servers_[found->second];
}

}  // namespace vanillafall
