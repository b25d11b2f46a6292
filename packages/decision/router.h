#ifndef DECISION_ROUTER_H_
#define DECISION_ROUTER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/outcome.h"
#include "config/fleet_config.h"
#include "message/peer.h"

namespace vanillafall {

// An entry's choice among the backend servers of one service. It only prefers:
// a server that looks bad is chosen when nothing better is left, because
// taking servers out of service is the owners' decision. Everything it knows
// rides on replies.
class Router {
 public:
  using Random = std::mt19937_64;

  explicit Router(std::string data_centre);

  // Forgets servers that the configuration no longer names.
  void Configure(const ServiceConfig& service);

  // The preferred server that is not among those tried; null when all were.
  const BackendServer* Choose(const ServiceConfig& service,
                              const std::vector<std::string>& tried,
                              Random& random,
                              TimePoint now);

  void OnSent(const std::string& server);
  void OnReply(const std::string& server,
               const RunReply& reply,
               Duration latency,
               TimePoint now);
  void OnFailure(const std::string& server, PeerFailure failure, TimePoint now);

 private:
  struct Knowledge {
    LoadReport load;
    std::uint32_t in_flight = 0;
    std::uint32_t failures_in_row = 0;
    TimePoint avoid_until;
  };

  double Score(const BackendServer& server, TimePoint now) const;

  const std::string data_centre_;
  std::map<std::string, Knowledge, std::less<>> known_;
};

}  // namespace vanillafall

#endif  // DECISION_ROUTER_H_
