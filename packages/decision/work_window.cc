#include "decision/work_window.h"

#include <algorithm>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::microseconds;

// Latencies kept for each class. A median needs few, and a change of latency
// shows in the median after half as many.
constexpr std::size_t kLatenciesPerClass = 11;

ClassSummary Summarize(std::string request_class,
                       std::vector<microseconds>& latencies) {
  const auto middle =
      latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return {std::move(request_class), *middle,
          *std::max_element(middle, latencies.end()),
          static_cast<std::uint32_t>(latencies.size())};
}

}  // namespace

void WorkWindow::OnStarted(Ticket ticket,
                           const std::string& request_class,
                           TimePoint now) {
  running_[ticket] = {request_class, now};
}

void WorkWindow::OnEnded(Ticket ticket) {
  running_.erase(ticket);
}

void WorkWindow::Record(const WorkSample& sample, TimePoint now) {
  if (now - sample.latency < cleared_) {
    return;
  }
  entries_.push_back({sample, now});
  if (!sample.failed) {
    latencies_[sample.request_class].push_back({sample.latency, now});
  }
  failures_ += sample.failed ? 1 : 0;
  failures_in_row_ = sample.failed ? failures_in_row_ + 1 : 0;
  Expire(now);
}

void WorkWindow::Expire(TimePoint now) {
  while (!entries_.empty() && (entries_.size() > size_.samples ||
                               now - entries_.front().ended > size_.age)) {
    failures_ -= entries_.front().sample.failed ? 1 : 0;
    entries_.pop_front();
  }
  ExpireLatencies(now);
}

void WorkWindow::Clear(TimePoint now) {
  cleared_ = now;
  running_.clear();
  entries_.clear();
  latencies_.clear();
  failures_ = 0;
  failures_in_row_ = 0;
}

std::uint32_t WorkWindow::sample_count() const {
  return static_cast<std::uint32_t>(entries_.size());
}

std::uint32_t WorkWindow::CountSamples(const std::string& request_class) const {
  return static_cast<std::uint32_t>(std::count_if(
      entries_.begin(), entries_.end(), [&request_class](const Entry& entry) {
        return entry.sample.request_class == request_class;
      }));
}

double WorkWindow::failure_ratio() const {
  return entries_.empty() ? 0.0
                          : static_cast<double>(failures_) /
                                static_cast<double>(entries_.size());
}

std::vector<ClassSummary> WorkWindow::SummarizeClasses() const {
  std::vector<ClassSummary> summaries;
  for (const auto& [request_class, latencies] : latencies_) {
    std::vector<microseconds> values;
    values.reserve(latencies.size());
    for (const Latency& each : latencies) {
      values.push_back(each.value);
    }
    summaries.push_back(Summarize(request_class, values));
  }
  return summaries;
}

void WorkWindow::ExpireLatencies(TimePoint now) {
  for (auto& [request_class, latencies] : latencies_) {
    while (!latencies.empty() && (latencies.size() > kLatenciesPerClass ||
                                  now - latencies.front().ended > size_.age)) {
      latencies.pop_front();
    }
  }
  std::erase_if(latencies_,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace vanillafall
