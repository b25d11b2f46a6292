#include "daemon/largest_customers.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace vanillafall {
namespace {

using Result = LargestCustomers::Result;

Result ToResult(Outcome outcome, Reason reason) {
  switch (outcome) {
    case Outcome::kDone:
      return Result::kDone;
    case Outcome::kNotRun:
      return reason == Reason::kOverLimit ? Result::kOverLimit
                                          : Result::kNotRun;
    case Outcome::kUnknown:
      return Result::kUnknown;
  }
  return Result::kUnknown;
}

}  // namespace

LargestCustomers::LargestCustomers(std::size_t max_customers)
    : max_customers_(max_customers) {}

void LargestCustomers::Count(const std::string& customer,
                             Outcome outcome,
                             Reason reason) {
  const auto result = static_cast<std::size_t>(ToResult(outcome, reason));
  const auto found = largest_.find(customer);
  if (found != largest_.end()) {
    ++found->second[result];
  } else if (largest_.size() < max_customers_) {
    ++largest_[customer][result];
  } else {
    ++others_[result];
  }
  ++in_window_[customer];
  if (++window_size_ >= kWindow) {
    EndWindow();
  }
}

void LargestCustomers::EndWindow() {
  const auto count = [this](const std::string& customer) {
    const auto found = in_window_.find(customer);
    return found == in_window_.end() ? 0 : found->second;
  };
  std::vector<std::pair<std::uint64_t, std::string>> rising;
  for (const auto& [customer, answers] : in_window_) {
    if (!largest_.contains(customer)) {
      rising.emplace_back(answers, customer);
    }
  }
  std::vector<std::pair<std::uint64_t, std::string>> present;
  for (const auto& [customer, counts] : largest_) {
    present.emplace_back(count(customer), customer);
  }
  const std::size_t pairs = std::min(rising.size(), present.size());
  std::partial_sort(rising.begin(),
                    rising.begin() + static_cast<std::ptrdiff_t>(pairs),
                    rising.end(), std::greater<>());
  std::sort(present.begin(), present.end());
  for (std::size_t i = 0; i < pairs; ++i) {
    if (rising[i].first <= kReplaceRatio * present[i].first) {
      break;
    }
    const auto replaced = largest_.extract(present[i].second);
    for (std::size_t result = 0; result < kResults; ++result) {
      others_[result] += replaced.mapped()[result];
    }
    largest_.try_emplace(rising[i].second);
  }
  in_window_.clear();
  window_size_ = 0;
}

const char* LargestCustomers::ToString(Result result) {
  switch (result) {
    case Result::kDone:
      return "done";
    case Result::kNotRun:
      return "not run";
    case Result::kUnknown:
      return "unknown";
    case Result::kOverLimit:
      return "over-limit";
  }
  return "unknown";
}

}  // namespace vanillafall
