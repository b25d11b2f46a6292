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

// What other backend servers of a service have lately said of their own work.
// Medians over servers, so that a few sick ones do not set the standard.
class PeerReference {
 public:
  void Update(const std::string& server,
              const HealthDigest& digest,
              TimePoint now);
  void Expire(TimePoint now);

  // Servers that have said something of use.
  std::size_t size() const { return digests_.size(); }
  // Median of their failure ratios; 0 when none has said anything.
  double failure_ratio() const;
  // Median of their medians; nothing when none has run the class.
  std::optional<std::chrono::microseconds> FindLatency(
      const std::string& request_class) const;

 private:
  struct Entry {
    HealthDigest digest;
    TimePoint received;
  };

  std::map<std::string, Entry> digests_;
};

}  // namespace vanillafall

#endif  // DECISION_PEER_REFERENCE_H_
