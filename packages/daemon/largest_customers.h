#ifndef DAEMON_LARGEST_CUSTOMERS_H_
#define DAEMON_LARGEST_CUSTOMERS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "base/outcome.h"

namespace vanillafall {

// Counts the answers of the customers with the most requests, each by itself,
// and those of all other customers together. Its size does not depend on the
// number of customers.
//
// The largest customers are found anew in windows of kWindow answers. All
// counts only grow until a customer is no longer among the largest: its counts
// then go into those of the others.
class LargestCustomers {
 public:
  // How an answered request ended.
  enum class Result : std::uint8_t { kDone, kNotRun, kUnknown, kOverLimit };
  static constexpr std::size_t kResults = 4;
  using Counts = std::array<std::uint64_t, kResults>;

  static constexpr std::uint64_t kWindow = 4096;
  // A customer replaces one of the largest if it had more than this many times
  // its answers in a window; customers of similar size thus stay where they
  // are.
  static constexpr std::uint64_t kReplaceRatio = 2;

  explicit LargestCustomers(std::size_t max_customers);

  void Count(const std::string& customer, Outcome outcome, Reason reason);

  // The largest customers.
  const std::map<std::string, Counts>& largest() const { return largest_; }
  // The answers of all other customers.
  const Counts& others() const { return others_; }
  // Whether no answer was counted.
  bool empty() const { return largest_.empty(); }

  static const char* ToString(Result result);

 private:
  // Replaces the smallest of the largest customers by larger ones.
  void EndWindow();

  const std::size_t max_customers_;
  std::map<std::string, Counts> largest_;
  Counts others_{};
  // Answers of each customer in this window.
  std::unordered_map<std::string, std::uint64_t> in_window_;
  std::uint64_t window_size_ = 0;
};

}  // namespace vanillafall

#endif  // DAEMON_LARGEST_CUSTOMERS_H_
