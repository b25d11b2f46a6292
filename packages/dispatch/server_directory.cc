#include "dispatch/server_directory.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

// The cost of a server determines its place in the ranking. All costs are
// relative to kFullCost.

// Added for a server without a free slot in the last report.
constexpr double kFullCost = 1.0;
// Traffic between data centres costs money and has a higher latency.
constexpr double kOtherDataCentreCost = 0.7;
// A server in its warm-up takes about twice as long for a request.
constexpr double kWarmUpCost = 0.5;
// Cost of a failure probability of 1; it outweighs every other cost.
constexpr double kFailureCost = 4.0;
// A failure probability up to this is normal and adds no cost.
constexpr double kHealthyFailureProbability = 0.10;
// A random cost up to this spreads requests over servers of similar cost.
constexpr double kMaxRandomCost = 0.15;

// Time constants by which reports lose weight. A slot count is outdated after
// about the processing time of one request.
constexpr Seconds kLoadDecayTime{0.3};
// An owner that suspects its server usually does so for several seconds.
constexpr Seconds kFailureDecayTime{6.0};
// A server with at least this failure probability is suspected.
constexpr double kSuspectFailureProbability = 0.33;

// A server is avoided for this time after a missed reply. The time doubles with
// each further one, up to kMaxAvoidDoublings times.
constexpr milliseconds kInitialAvoidTime{500};
constexpr std::uint32_t kMaxAvoidDoublings = 3;
// A server whose owner accepts no requests is avoided for this time. If that
// has not changed by then, the next offer is denied again.
constexpr milliseconds kUnavailableAvoidTime{1000};

// A server that is leaving and no longer listed is remembered for this time, in
// case that its registration has only expired.
constexpr std::chrono::minutes kLeavingRetention{10};

// Whether both are the same publication of a process. A restored source gives
// it another revision.
bool IsSamePublication(const ListedServer& a, const ListedServer& b) {
  return a.process() == b.process() &&
         (a.revision == b.revision ||
          (a.sequence != 0 && a.sequence == b.sequence));
}

// Weight of a report by its age, from 1 down to 0.
double DecayFactor(TimePoint reported_at, Seconds decay_time, TimePoint now) {
  return std::exp(-Seconds(now - reported_at) / decay_time);
}

}  // namespace

ServerDirectory::ServerDirectory(std::string data_centre)
    : data_centre_(std::move(data_centre)) {}

void ServerDirectory::Update(const std::vector<ListedServer>& servers,
                             TimePoint now) {
  std::map<std::string, ServerState> former = std::exchange(servers_, {});
  by_service_.clear();
  for (const ListedServer& listed : servers) {
    const auto known = former.find(listed.id);
    ServerState server = known == former.end() ? ServerState{} : known->second;
    if (known == former.end() ||
        !IsSamePublication(listed, known->second.listed)) {
      server.warm_up_end = now + listed.warm_up_left;
    }
    server.listed = listed;
    if (!listed.is_draining) {
      by_service_[listed.service].push_back(listed.id);
    }
    servers_[listed.id] = std::move(server);
  }
  ForgetLeaving(now);
}

void ServerDirectory::ForgetLeaving(TimePoint now) {
  for (auto& [id, leaving] : leaving_) {
    if (servers_.contains(id)) {
      leaving.last_listed = now;
    }
  }
  std::erase_if(leaving_, [this, now](const auto& entry) {
    const auto& [id, leaving] = entry;
    const ListedServer* listed = Find(id);
    return listed != nullptr ? listed->started_at > leaving.started_at
                             : now >= leaving.last_listed + kLeavingRetention;
  });
}

bool ServerDirectory::IsLeaving(const ListedServer& server) const {
  const auto found = leaving_.find(server.id);
  return found != leaving_.end() &&
         found->second.started_at == server.started_at;
}

void ServerDirectory::OnLoad(const std::string& id,
                             const OwnerLoad& load,
                             TimePoint now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) {
    return;
  }
  found->second.load = load;
  found->second.reported_at = now;
  found->second.has_report = true;
  if (load.is_leaving) {
    leaving_[id] = {load.leaving_started_at, now};
  }
  found->second.missed_replies = 0;
  found->second.avoid_until = {};
}

void ServerDirectory::OnDeny(const std::string& id,
                             DenyReason reason,
                             TimePoint now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) {
    return;
  }
  const bool is_unavailable = reason == DenyReason::kLeaving ||
                              reason == DenyReason::kDown ||
                              reason == DenyReason::kNotOwner;
  if (is_unavailable) {
    found->second.avoid_until = now + kUnavailableAvoidTime;
  }
}

void ServerDirectory::OnNoReply(const std::string& id, TimePoint now) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) {
    return;
  }
  ServerState& server = found->second;
  const std::uint32_t doublings =
      std::min(server.missed_replies, kMaxAvoidDoublings);
  server.avoid_until = now + kInitialAvoidTime * (1U << doublings);
  ++server.missed_replies;
}

std::vector<ServerDirectory::Candidate> ServerDirectory::Rank(
    std::string_view service,
    const std::set<std::string>& excluded,
    std::mt19937_64& random,
    TimePoint now) const {
  std::vector<Candidate> ranked;
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) {
    return ranked;
  }
  std::uniform_real_distribution<double> random_cost(0, kMaxRandomCost);
  for (const std::string& id : found->second) {
    if (excluded.contains(id)) {
      continue;
    }
    const ServerState& server = servers_.at(id);
    if (IsLeaving(server.listed)) {
      continue;
    }
    Candidate candidate;
    candidate.id = id;
    candidate.owner = server.listed.owner;
    candidate.cost = CostOf(server, now) + random_cost(random);
    candidate.is_suspect = IsSuspect(server, now);
    candidate.is_in_own_data_centre = server.listed.data_centre == data_centre_;
    candidate.is_avoided = now < server.avoid_until;
    if (server.has_report) {
      candidate.is_full = server.load.in_use >= server.load.slots;
      candidate.expected_wait = server.load.expected_wait;
      candidate.report_age =
          duration_cast<milliseconds>(now - server.reported_at);
    }
    ranked.push_back(std::move(candidate));
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::pair(a.is_avoided, a.cost) <
                     std::pair(b.is_avoided, b.cost);
            });
  return ranked;
}

double ServerDirectory::SuspectShare(std::string_view service,
                                     TimePoint now) const {
  const auto found = by_service_.find(service);
  if (found == by_service_.end() || found->second.empty()) {
    return 0;
  }
  const auto suspects =
      std::count_if(found->second.begin(), found->second.end(),
                    [this, now](const std::string& id) {
                      return IsSuspect(servers_.at(id), now);
                    });
  return static_cast<double>(suspects) /
         static_cast<double>(found->second.size());
}

std::size_t ServerDirectory::CountOf(std::string_view service) const {
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? 0 : found->second.size();
}

const ListedServer* ServerDirectory::Find(const std::string& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : &found->second.listed;
}

std::vector<ListedServer> ServerDirectory::ListedServers() const {
  std::vector<ListedServer> listed;
  listed.reserve(servers_.size());
  for (const auto& [id, server] : servers_) {
    listed.push_back(server.listed);
  }
  return listed;
}

std::set<PeerAddress> ServerDirectory::Owners() const {
  std::set<PeerAddress> owners;
  for (const auto& [id, server] : servers_) {
    owners.insert(server.listed.owner);
  }
  return owners;
}

double ServerDirectory::CostOf(const ServerState& server, TimePoint now) const {
  double cost =
      server.listed.data_centre == data_centre_ ? 0 : kOtherDataCentreCost;
  cost += now < server.warm_up_end ? kWarmUpCost : 0;
  if (!server.has_report) {
    return cost;
  }
  const double slots = std::max(1U, server.load.slots);
  const double busy = (server.load.in_use + server.load.waiting) / slots;
  const double full = busy >= 1 ? kFullCost : 0;
  cost +=
      (full + busy / 2) * DecayFactor(server.reported_at, kLoadDecayTime, now);
  cost += kFailureCost * std::max(0.0, FailureProbability(server, now) -
                                           kHealthyFailureProbability);
  return cost;
}

double ServerDirectory::FailureProbability(const ServerState& server,
                                           TimePoint now) {
  return server.has_report
             ? server.load.failure_probability *
                   DecayFactor(server.reported_at, kFailureDecayTime, now)
             : 0;
}

bool ServerDirectory::IsSuspect(const ServerState& server, TimePoint now) {
  return FailureProbability(server, now) >= kSuspectFailureProbability;
}

}  // namespace vanillafall
