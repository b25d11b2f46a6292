#ifndef DECISION_LEASE_COLLECTOR_H_
#define DECISION_LEASE_COLLECTOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "decision/ejection_cell.h"
#include "decision/lease_book.h"

namespace vanillafall {

// Chooses from which servers one backend server requests leases, and when. It
// requests from as many servers of the cell as needed and a few more. Servers
// whose lease is held come first; those that refused or did not answer come
// last.
class LeaseCollector {
 public:
  enum class Purpose : std::uint8_t {
    // Request health digests only, for a comparison.
    kCompare,
    // Request leases and health digests as soon as possible.
    kCollect,
    // Renew held leases before they run out.
    kRenew,
  };

  explicit LeaseCollector(std::string server) : server_(std::move(server)) {}

  void Configure(const EjectionCell& cell);

  // Returns the servers to send a request to now. The requests count as sent.
  std::vector<std::string> TakeDueServers(Purpose purpose,
                                          const LeaseBook& book,
                                          TimePoint now);

  // A server has answered; "granted" is whether it granted what was requested.
  void OnAnswer(const std::string& grantor, bool granted);

  // Resets the interval between requests, which grows with the rounds. Call
  // when no leases are needed any more; the next requests are then sent without
  // delay.
  void ResetBackoff();

 private:
  struct Grantor {
    TimePoint last_request;
    Purpose last_purpose = Purpose::kCompare;
    bool has_answered = true;
    bool accepts_requests = true;
  };

  // Whether the server granted the last request that was sent to it, or none
  // was sent yet. No answer counts as a refusal after a timeout.
  bool AcceptsRequests(const std::string& grantor, TimePoint now) const;

  // Number of servers to send requests to.
  std::size_t CountWanted() const;
  bool IsDue(Purpose purpose,
             const std::string& grantor,
             const LeaseBook& book,
             TimePoint now) const;
  std::chrono::milliseconds GetInterval(Purpose purpose) const;

  const std::string server_;
  std::uint32_t leases_needed_ = 1;
  // The other servers of the cell, in order of preference, which is different
  // for each requesting server.
  std::vector<std::string> order_;
  std::map<std::string, Grantor> grantors_;
  // Rounds of requests, without renewals, since ResetBackoff.
  std::uint32_t rounds_ = 0;
};

}  // namespace vanillafall

#endif  // DECISION_LEASE_COLLECTOR_H_
