#ifndef DISPATCH_CUSTOMER_USAGE_H_
#define DISPATCH_CUSTOMER_USAGE_H_

#include <cstdint>
#include <map>

#include "base/clock.h"

namespace vanillafall {

// Compares what each customer has requested of one backend server lately with
// what it usually requests. Customers differ much in size, so equal shares
// would refuse the usual requests of large ones.
class CustomerUsage {
 public:
  // A customer that requests this many times as much as usual has a surge. Less
  // happens by chance.
  static constexpr double kSurgeMultiple = 3;
  // During a surge, requests beyond this many times the usual rate are excess.
  static constexpr double kUsualMultiple = 1.5;
  // Limits memory; requests of further customers are never excess.
  static constexpr std::size_t kMaxCustomers = 4096;

  // A customer asks for slots; 0 for a request that belongs to no customer. A
  // request that asks several backend servers counts as a part of one at each.
  // Returns whether the request is excess. `draw` is a hash of the request: all
  // backend servers must choose the same requests, or most requests would wait
  // in some queue as one that is not excess.
  bool OnAsked(std::uint64_t customer,
               double requests,
               std::uint64_t draw,
               TimePoint now);
  // Number of customers that are remembered.
  std::size_t size() const { return customers_.size(); }

 private:
  struct Usage {
    TimePoint first_seen;
    TimePoint updated;
    // Requests in the last seconds and in the last minute; earlier ones weigh
    // less.
    double recent = 0;
    double usual = 0;
  };

  std::map<std::uint64_t, Usage> customers_;
};

}  // namespace vanillafall

#endif  // DISPATCH_CUSTOMER_USAGE_H_
