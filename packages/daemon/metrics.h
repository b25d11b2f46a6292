#ifndef DAEMON_METRICS_H_
#define DAEMON_METRICS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/outcome.h"

namespace vanillafall {

// Counters and latency histograms of this daemon, for each customer and class.
// Safe for use by any thread.
class Metrics {
 public:
  // Labels of one answered request.
  struct Labels {
    std::string service;
    std::string request_class;
    std::string customer;
  };

  // Values read at the moment of rendering.
  struct Gauges {
    std::uint64_t manifest_number = 0;
    std::uint64_t keys = 0;
    std::uint64_t unfinished = 0;
    std::uint64_t control_messages = 0;
    std::uint64_t control_bytes = 0;
    std::uint64_t platform_calls = 0;
  };

  // Tenants beyond the limit share the label "other".
  explicit Metrics(std::size_t max_customers);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void CountAnswer(const Labels& labels,
                   Outcome outcome,
                   Reason reason,
                   std::chrono::microseconds latency);
  // A request that was refused before it was whole.
  void CountRefusal(Reason reason);

  // All metrics in the text exposition format.
  std::string Render(const Gauges& gauges) const;

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // DAEMON_METRICS_H_
