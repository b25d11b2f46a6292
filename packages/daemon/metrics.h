#ifndef DAEMON_METRICS_H_
#define DAEMON_METRICS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/outcome.h"

namespace vanillafall {

// Counters and latency histograms of this daemon. Latency is measured for each
// service, request class and customer. Safe to use from any thread.
class Metrics {
 public:
  // Labels of an answered request. An empty service means that the route is
  // unknown: the answer is then counted, but its latency is not.
  struct Labels {
    std::string service;
    std::string request_class;
    std::string customer;
  };

  // Values that are read when the metrics are rendered.
  struct Gauges {
    std::uint64_t manifest_number = 0;
    std::uint64_t keys = 0;
    std::uint64_t unfinished = 0;
    std::uint64_t control_messages = 0;
    std::uint64_t control_bytes = 0;
    std::uint64_t platform_calls = 0;
    // Time since the configuration in force was last known to be the newest;
    // nothing while that is not known.
    std::optional<Duration> config_age;
    // The highest version of a configuration that the daemon has heard of, and
    // whether the platform answers it; nothing in fleets with service files.
    std::optional<std::uint64_t> newest_heard_version;
    std::optional<bool> is_source_reachable;
  };

  // In the latency histograms only the first max_customers customers have a
  // label of their own; all others share the label "other".
  explicit Metrics(std::size_t max_customers);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void CountAnswer(const Labels& labels,
                   Outcome outcome,
                   Reason reason,
                   std::chrono::microseconds latency);
  // Counts an answer to a request of this customer. Only the max_customers
  // customers with the most requests have a label of their own; all others
  // share an empty one, which no customer has as its name.
  void CountCustomerAnswer(const std::string& customer,
                           Outcome outcome,
                           Reason reason);
  // Counts a request that was refused before it was routed, so that its service
  // is not known.
  void CountRefusal(Reason reason);

  // All metrics in the Prometheus text exposition format.
  std::string Render(const Gauges& gauges) const;

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // DAEMON_METRICS_H_
