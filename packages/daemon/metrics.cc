#include "daemon/metrics.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <tuple>

#include "daemon/largest_customers.h"

namespace vanillafall {
namespace {

namespace bh = boost::histogram;

constexpr unsigned kLatencyBins = 24;
constexpr double kMinLatencySeconds = 0.0001;
constexpr double kMaxLatencySeconds = 100.0;
constexpr char kOtherCustomer[] = "other";

using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = decltype(bh::make_histogram(
    LatencyAxis(kLatencyBins, kMinLatencySeconds, kMaxLatencySeconds)));

struct SeriesKey {
  std::string service;
  std::string request_class;
  std::string customer;

  friend bool operator<(const SeriesKey& a, const SeriesKey& b) {
    return std::tie(a.service, a.request_class, a.customer) <
           std::tie(b.service, b.request_class, b.customer);
  }
};

struct Series {
  LatencyHistogram latency = bh::make_histogram(
      LatencyAxis(kLatencyBins, kMinLatencySeconds, kMaxLatencySeconds));
  double sum_seconds = 0;
  std::uint64_t count = 0;
};

struct AnswerKey {
  std::string service;
  Outcome outcome = Outcome::kDone;
  Reason reason = Reason::kOk;

  friend bool operator<(const AnswerKey& a, const AnswerKey& b) {
    return std::tie(a.service, a.outcome, a.reason) <
           std::tie(b.service, b.outcome, b.reason);
  }
};

// Escapes a label value. Needed because customers choose their own names.
std::string Escape(const std::string& value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
      escaped += c;
    } else if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string FormatLabels(const SeriesKey& key) {
  return "service=\"" + Escape(key.service) + "\",class=\"" +
         Escape(key.request_class) + "\",tenant=\"" + Escape(key.customer) +
         "\"";
}

void RenderSeries(const SeriesKey& key,
                  const Series& series,
                  std::ostream& out) {
  const std::string labels = FormatLabels(key);
  const auto& axis = series.latency.axis(0);
  constexpr int kUnderflow = -1;
  auto total = static_cast<std::uint64_t>(series.latency.at(kUnderflow));
  for (int bin = 0; bin < axis.size(); ++bin) {
    total += static_cast<std::uint64_t>(series.latency.at(bin));
    out << "vanillafall_request_seconds_bucket{" << labels << ",le=\""
        << axis.bin(bin).upper() << "\"} " << total << "\n";
  }
  out << "vanillafall_request_seconds_bucket{" << labels << ",le=\"+Inf\"} "
      << series.count << "\n"
      << "vanillafall_request_seconds_sum{" << labels << "} "
      << series.sum_seconds << "\n"
      << "vanillafall_request_seconds_count{" << labels << "} " << series.count
      << "\n";
}

void RenderCustomer(const std::string& customer,
                    const LargestCustomers::Counts& counts,
                    std::ostream& out) {
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] > 0) {
      const auto result = static_cast<LargestCustomers::Result>(i);
      out << "vanillafall_customer_answers_total{tenant=\"" << Escape(customer)
          << "\",result=\"" << LargestCustomers::ToString(result) << "\"} "
          << counts[i] << "\n";
    }
  }
}

void RenderValue(const char* name,
                 const char* type,
                 std::uint64_t value,
                 std::ostream& out) {
  out << "# TYPE " << name << " " << type << "\n"
      << name << " " << value << "\n";
}

}  // namespace

class Metrics::Impl {
 public:
  explicit Impl(std::size_t max_customers)
      : max_customers_(max_customers), largest_customers_(max_customers) {}

  void CountAnswer(const Labels& labels,
                   Outcome outcome,
                   Reason reason,
                   std::chrono::microseconds latency) {
    const std::lock_guard lock(mutex_);
    ++answers_[{labels.service, outcome, reason}];
    if (labels.service.empty()) {
      return;
    }
    Series& series = series_[{labels.service, labels.request_class,
                              CustomerLabel(labels.customer)}];
    const double seconds = std::chrono::duration<double>(latency).count();
    series.latency(seconds);
    series.sum_seconds += seconds;
    ++series.count;
  }

  void CountCustomerAnswer(const std::string& customer,
                           Outcome outcome,
                           Reason reason) {
    const std::lock_guard lock(mutex_);
    largest_customers_.Count(customer, outcome, reason);
  }

  void CountRefusal(Reason reason) {
    const std::lock_guard lock(mutex_);
    ++answers_[{"", Outcome::kNotRun, reason}];
  }

  std::string Render(const Gauges& gauges) const {
    const std::lock_guard lock(mutex_);
    std::ostringstream out;
    out << "# TYPE vanillafall_answers_total counter\n";
    for (const auto& [key, count] : answers_) {
      out << "vanillafall_answers_total{service=\"" << Escape(key.service)
          << "\",outcome=\"" << ToString(key.outcome) << "\",reason=\""
          << ToString(key.reason) << "\"} " << count << "\n";
    }
    out << "# TYPE vanillafall_request_seconds histogram\n";
    for (const auto& [key, series] : series_) {
      RenderSeries(key, series, out);
    }
    if (!largest_customers_.empty()) {
      out << "# TYPE vanillafall_customer_answers_total counter\n";
      for (const auto& [customer, counts] : largest_customers_.largest()) {
        RenderCustomer(customer, counts, out);
      }
      RenderCustomer("", largest_customers_.others(), out);
    }
    RenderValue("vanillafall_manifest_number", "gauge", gauges.manifest_number,
                out);
    RenderValue("vanillafall_keys", "gauge", gauges.keys, out);
    RenderValue("vanillafall_unfinished_requests", "gauge", gauges.unfinished,
                out);
    RenderValue("vanillafall_control_messages_total", "counter",
                gauges.control_messages, out);
    RenderValue("vanillafall_control_bytes_total", "counter",
                gauges.control_bytes, out);
    RenderValue("vanillafall_platform_calls_total", "counter",
                gauges.platform_calls, out);
    if (gauges.newest_heard_version) {
      RenderValue("vanillafall_config_heard_version", "gauge",
                  *gauges.newest_heard_version, out);
    }
    if (gauges.is_source_reachable) {
      RenderValue("vanillafall_source_reachable", "gauge",
                  std::uint64_t{*gauges.is_source_reachable ? 1U : 0U}, out);
    }
    if (gauges.config_age) {
      RenderValue("vanillafall_config_age_milliseconds", "gauge",
                  static_cast<std::uint64_t>(
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          *gauges.config_age)
                          .count()),
                  out);
    }
    return out.str();
  }

 private:
  std::string CustomerLabel(const std::string& customer) {
    if (customers_.contains(customer)) {
      return customer;
    }
    if (customers_.size() >= max_customers_) {
      return kOtherCustomer;
    }
    customers_.insert(customer);
    return customer;
  }

  const std::size_t max_customers_;
  mutable std::mutex mutex_;
  std::set<std::string> customers_;
  LargestCustomers largest_customers_;
  std::map<SeriesKey, Series> series_;
  std::map<AnswerKey, std::uint64_t> answers_;
};

Metrics::Metrics(std::size_t max_customers)
    : impl_(std::make_unique<Impl>(max_customers)) {}

Metrics::~Metrics() = default;

void Metrics::CountAnswer(const Labels& labels,
                          Outcome outcome,
                          Reason reason,
                          std::chrono::microseconds latency) {
  impl_->CountAnswer(labels, outcome, reason, latency);
}

void Metrics::CountCustomerAnswer(const std::string& customer,
                                  Outcome outcome,
                                  Reason reason) {
  impl_->CountCustomerAnswer(customer, outcome, reason);
}

void Metrics::CountRefusal(Reason reason) {
  impl_->CountRefusal(reason);
}

std::string Metrics::Render(const Gauges& gauges) const {
  return impl_->Render(gauges);
}

}  // namespace vanillafall
