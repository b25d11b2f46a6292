#ifndef DECISION_PEER_REFERENCE_H_
#define DECISION_PEER_REFERENCE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "message/peer.h"

namespace vanillafall {

// Reference values for the health of a backend server: medians over the recent
// reports of the other backend servers of its service. Medians are used so that
// a few unhealthy servers do not shift the reference.
class PeerReference {
 public:
  // Replaces the report of a server. Ignored if it covers too few samples.
  void Update(const std::string& server,
              const HealthDigest& digest,
              TimePoint now);
  // Drops reports that are too old. Call before reading.
  void Expire(TimePoint now);

  // Number of servers with a recent report.
  std::size_t size() const { return digests_.size(); }
  // Median of the reported failure ratios; 0 when there is no report.
  double failure_ratio() const;
  // Median over the servers of their median latencies; empty when no report has
  // enough samples of the class.
  std::optional<std::chrono::microseconds> FindLatency(
      const std::string& request_class) const;

 private:
  struct Entry {
    HealthDigest digest;
    TimePoint received;
  };

  // By backend server.
  std::map<std::string, Entry> digests_;
};

}  // namespace vanillafall

#endif  // DECISION_PEER_REFERENCE_H_
