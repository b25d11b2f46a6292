#ifndef DISPATCH_CUSTOMER_TABLE_H_
#define DISPATCH_CUSTOMER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillafall {

// A customer as one published configuration describes it.
struct Customer {
  std::string name;
  // Replaces the priority of the routes for this customer's requests; nothing
  // when routes decide.
  std::optional<std::uint32_t> priority;
  // Requests per second over the whole fleet; 0 sets no limit.
  double requests_per_second = 0;
  // Requests that may come at once in addition.
  double burst = 0;

  bool has_limit() const { return requests_per_second > 0; }
};

using CustomerPtr = std::shared_ptr<const Customer>;

// The key that a request carries, as its caller sent it. It is a secret, so it
// is neither logged nor passed on.
struct CallerKey {
  enum class State : std::uint8_t {
    kNone,
    kPresent,
    // Empty, too long, or sent more than once.
    kMalformed,
  };
  // No customer's key is longer, in bytes.
  static constexpr std::size_t kMaxLength = 256;

  State state = State::kNone;
  std::string text;
};

// A customer and the keys that its requests may carry.
struct CustomerEntry {
  Customer customer;
  std::vector<std::string> keys;
};

// Customers of one configuration that contradict each other.
struct CustomerConflicts {
  // Customers that were left out because an earlier one has their name.
  std::size_t repeated_names = 0;
  // The name of the first of them.
  std::string repeated_name;
  // Keys that belong to no customer because several have them.
  std::size_t shared_keys = 0;
  // Names of two customers that share the first of these keys.
  std::string first_sharer;
  std::string second_sharer;
};

// The customers of one published configuration, found by key or name in
// constant time. Immutable; copies share their data. All daemons hold all
// customers, so the data is kept in few blocks without a node for each key.
class CustomerTable {
 public:
  CustomerTable() = default;
  // Of two customers of one name the first counts. A key of two customers
  // belongs to none. `requires_keys` is set where the configuration has
  // customers, so that they are not left open when none can be read.
  // `conflicts`, unless it is null, receives what was left out.
  CustomerTable(std::vector<CustomerEntry> entries,
                bool requires_keys,
                CustomerConflicts* conflicts = nullptr);

  // Null when no customer has the key. A customer that is found keeps the data
  // of its table alive.
  CustomerPtr FindByKey(std::string_view key) const;
  // Null when there is no customer of this name.
  CustomerPtr FindByName(std::string_view name) const;
  // Whether requests of routes that are not public need a customer's key.
  bool requires_keys() const { return requires_keys_; }
  std::size_t size() const;

 private:
  class Data;

  bool requires_keys_ = false;
  std::shared_ptr<const Data> data_;
};

}  // namespace vanillafall

#endif  // DISPATCH_CUSTOMER_TABLE_H_
