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

// Chooses whom one backend server asks for leases, and when: enough servers of
// its cell and a few to spare, those that granted before first, those that
// refused or were silent last.
class LeaseCollector {
 public:
  enum class Purpose : std::uint8_t {
    // Only a comparison is wanted.
    kCompare,
    // Leases and comparisons are wanted soon.
    kCollect,
    // Leases are held and must not run out.
    kRenew,
  };

  explicit LeaseCollector(std::string server) : server_(std::move(server)) {}

  void Configure(const EjectionCell& cell);

  // Servers to ask now. They count as asked.
  std::vector<std::string> TakeDueServers(Purpose purpose,
                                          const LeaseBook& book,
                                          TimePoint now);

  void OnAnswer(const std::string& grantor, bool granted);

  // Nothing is wanted any more; the next request is not delayed.
  void ResetBackoff();

 private:
  struct Grantor {
    TimePoint last_request;
    Purpose last_purpose = Purpose::kCompare;
    bool has_answered = true;
    bool is_willing = true;
  };

  // Whether it granted when last asked. Silence counts as a refusal after a
  // while.
  bool IsWilling(const std::string& grantor, TimePoint now) const;

  std::size_t CountWanted() const;
  bool IsDue(Purpose purpose,
             const std::string& grantor,
             const LeaseBook& book,
             TimePoint now) const;
  std::chrono::milliseconds GetInterval(Purpose purpose) const;

  const std::string server_;
  std::uint32_t leases_needed_ = 1;
  // In the order in which they are asked, which differs from server to server.
  std::vector<std::string> order_;
  std::map<std::string, Grantor> grantors_;
  std::uint32_t rounds_ = 0;
};

}  // namespace vanillafall

#endif  // DECISION_LEASE_COLLECTOR_H_
