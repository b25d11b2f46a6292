#ifndef DISPATCH_ROUTE_TABLE_H_
#define DISPATCH_ROUTE_TABLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/customer_table.h"

namespace vanillafall {

// The services that requests of one host and path prefix go to, and how these
// requests are handled.
struct DispatchRoute {
  // One of the services that share the requests of a route.
  struct WeightedService {
    std::string service;
    double weight = 1;
  };

  std::string name;
  std::string host;
  // Path prefix that begins and ends with a slash.
  std::string prefix;
  // True when a request may run more than once.
  bool is_idempotent = false;
  // Maximum time until the caller gets an answer; 0 sets no limit.
  std::chrono::milliseconds timeout{0};
  // Time within which callers should get their answer; 0 sets no target. A
  // later answer is worth less to the caller, so requests that can still meet
  // the target go before those that cannot.
  std::chrono::milliseconds target_latency{0};
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // Maximum number of backend servers on which one request may run.
  std::uint32_t max_attempts = 1;
  // Requests need no customer's key, even where the configuration has
  // customers.
  bool is_public = false;
  // Requests are shared in proportion to the weights. Empty when no service
  // could be read: the route is known, but its requests are refused.
  std::vector<WeightedService> services;

  // Draws the service for one request at random, by weight. There must be one.
  const std::string& DrawService(std::mt19937_64& random) const;
};

using DispatchRoutePtr = std::shared_ptr<const DispatchRoute>;

// Limits on the size of a caller's request and on the time that it takes to
// send.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = std::uint64_t{1024} * 1024;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15'000};
};

// The routes, limits and customers of one published configuration. Immutable.
class RouteTable {
 public:
  RouteTable(std::uint64_t version,
             std::vector<DispatchRoute> routes,
             CallerLimits limits,
             CustomerTable customers = {});

  std::uint64_t version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  std::size_t size() const { return size_; }
  const CustomerTable& customers() const { return customers_; }

  // The route of this host with the longest prefix of the target's path; null
  // when there is none. Hosts are compared without regard to case, and a port
  // in the host is ignored.
  DispatchRoutePtr Find(std::string_view host, std::string_view target) const;
  // The customer that has the key; null when none has.
  CustomerPtr FindCustomer(const CallerKey& key) const;
  // Whether requests of the route may come from this customer; null for a
  // request without a valid key.
  bool Admits(const DispatchRoute& route, const CustomerPtr& customer) const {
    return customer != nullptr || route.is_public ||
           !customers_.requires_keys();
  }

 private:
  using ByPrefix = std::map<std::string, DispatchRoutePtr, std::less<>>;

  const std::uint64_t version_;
  const CallerLimits limits_;
  const CustomerTable customers_;
  std::size_t size_ = 0;
  std::map<std::string, ByPrefix, std::less<>> hosts_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace vanillafall

#endif  // DISPATCH_ROUTE_TABLE_H_
