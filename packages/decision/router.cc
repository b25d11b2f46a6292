#include "decision/router.h"

#include <algorithm>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstAvoidance{200};
constexpr std::uint32_t kMostDoublings = 5;
// Added to the score of a server that should be chosen last.
constexpr double kAvoidedPenalty = 1000.0;
constexpr double kNotServingPenalty = 500.0;
// A far server is chosen when the near ones are this much busier.
constexpr double kFarPenalty = 0.5;

}  // namespace

Router::Router(std::string data_centre)
    : data_centre_(std::move(data_centre)) {}

void Router::Configure(const ServiceConfig& service) {
  std::erase_if(known_, [&service](const auto& entry) {
    return service.FindBackendServer(entry.first) == nullptr;
  });
}

const BackendServer* Router::Choose(const ServiceConfig& service,
                                    const std::vector<std::string>& tried,
                                    Random& random,
                                    TimePoint now) {
  std::vector<const BackendServer*> candidates;
  for (const BackendServer& server : service.backend_servers) {
    if (std::find(tried.begin(), tried.end(), server.name) == tried.end()) {
      candidates.push_back(&server);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), random);
  const auto best = std::min_element(
      candidates.begin(), candidates.end(),
      [this, now](const BackendServer* a, const BackendServer* b) {
        return Score(*a, now) < Score(*b, now);
      });
  return best == candidates.end() ? nullptr : *best;
}

void Router::OnSent(const std::string& server) {
  ++known_[server].in_flight;
}

void Router::OnReply(const std::string& server,
                     const RunReply& reply,
                     Duration /*latency*/,
                     TimePoint /*now*/) {
  Knowledge& knowledge = known_[server];
  knowledge.in_flight -= knowledge.in_flight > 0 ? 1 : 0;
  knowledge.load = reply.load;
  knowledge.failures_in_row = 0;
}

void Router::OnFailure(const std::string& server,
                       PeerFailure /*failure*/,
                       TimePoint now) {
  Knowledge& knowledge = known_[server];
  knowledge.in_flight -= knowledge.in_flight > 0 ? 1 : 0;
  const std::uint32_t doublings =
      std::min(knowledge.failures_in_row, kMostDoublings);
  knowledge.avoid_until = now + kFirstAvoidance * (1U << doublings);
  ++knowledge.failures_in_row;
}

double Router::Score(const BackendServer& server, TimePoint now) const {
  double score = server.data_centre == data_centre_ ? 0.0 : kFarPenalty;
  const auto found = known_.find(server.name);
  if (found == known_.end()) {
    return score;
  }
  const Knowledge& knowledge = found->second;
  const std::uint32_t elsewhere =
      knowledge.load.in_use + knowledge.load.waiting;
  const double busy = std::max(elsewhere, knowledge.in_flight);
  score += busy / std::max(1U, server.slots);
  score += now < knowledge.avoid_until ? kAvoidedPenalty : 0.0;
  const bool takes_work = knowledge.load.state == ServingState::kInService ||
                          knowledge.load.state == ServingState::kProbation;
  score += takes_work ? 0.0 : kNotServingPenalty;
  return score;
}

}  // namespace vanillafall
