#ifndef DECISION_SERVICE_HEALTH_H_
#define DECISION_SERVICE_HEALTH_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log_event.h"
#include "config/fleet_config.h"
#include "message/peer.h"

namespace vanillafall {

// One piece of real work that a backend server has ended.
struct WorkSample {
  std::string request_class;
  std::chrono::microseconds latency{0};
  bool failed = false;
};

// A lease request that is due, and the owner to send it to.
struct LeaseAsk {
  PeerAddress peer;
  LeaseRequest request;
};

// Detection and ejection of one service's backend servers that this daemon
// owns.
//
// A server is ejected only while its owner holds live in-service leases from
// other backend servers of the service, at least as many as the floor. Who
// granted a live lease can't be ejected, so the grantors themselves are the
// floor. Readmission is what happens when leases run out.
class ServiceHealth {
 public:
  explicit ServiceHealth(PeerAddress self);
  ~ServiceHealth();
  ServiceHealth(const ServiceHealth&) = delete;
  ServiceHealth& operator=(const ServiceHealth&) = delete;

  // Takes over a new document of the service.
  void Configure(const ServiceConfig& service, TimePoint now);

  // A server of this daemon has ended a piece of work.
  void Record(const std::string& server,
              const WorkSample& sample,
              TimePoint now);

  // A server that is leaving grants nothing.
  void SetDraining(const std::string& server, bool is_draining);

  // State and usable slots of a server of this daemon at this time.
  ServingState StateOf(const std::string& server, TimePoint now) const;
  std::uint32_t SlotLimitOf(const std::string& server, TimePoint now) const;

  // Judges the servers and returns the lease requests that are due.
  std::vector<LeaseAsk> Advance(TimePoint now);

  // Answers another owner's request for leases on servers of this daemon.
  LeaseReply Answer(const LeaseRequest& request, TimePoint now);

  // A reply to a request that Advance returned at the time sent.
  void OnReply(const LeaseRequest& request,
               const LeaseReply& reply,
               TimePoint sent,
               TimePoint now);

  // What happened since the last call.
  std::vector<LogEvent> TakeLogEvents();

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // DECISION_SERVICE_HEALTH_H_
