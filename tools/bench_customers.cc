// Measures the table of customers: time to build it, memory that it holds, and
// time to find the customer of a request's key.

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/customer_table.h"

namespace vanillafall {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kKeysPerCustomer = 2;
constexpr int kKeyLength = 20;
constexpr std::size_t kLookups = 2'000'000;

std::string DrawKey(std::mt19937_64& random) {
  constexpr char kDigits[] = "0123456789abcdefghijklmnopqrstuv";
  std::string key;
  for (int i = 0; i < kKeyLength; ++i) {
    key += kDigits[random() % (sizeof(kDigits) - 1)];
  }
  return key;
}

// Nanoseconds that each of kLookups lookups took on average. Adds the number of
// customers found, so that the lookups can't be left out.
double MeasureLookups(const CustomerTable& table,
                      const std::vector<std::string>& keys,
                      std::size_t* found) {
  const auto start = SteadyClock::now();
  for (std::size_t i = 0; i < kLookups; ++i) {
    *found += table.FindByKey(keys[i % keys.size()]) == nullptr ? 0 : 1;
  }
  return std::chrono::duration<double, std::nano>(SteadyClock::now() - start)
             .count() /
         kLookups;
}

std::size_t UsedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::vector<CustomerEntry> MakeEntries(std::size_t customers,
                                       const std::vector<std::string>& keys) {
  std::vector<CustomerEntry> entries;
  for (std::size_t i = 0; i < customers; ++i) {
    CustomerEntry entry;
    entry.customer.name = "customer" + std::to_string(i);
    entry.customer.requests_per_second = 80;
    for (std::size_t k = 0; k < kKeysPerCustomer; ++k) {
      entry.keys.push_back(keys[i * kKeysPerCustomer + k]);
    }
    entries.push_back(std::move(entry));
  }
  return entries;
}

void Run(std::size_t customers) {
  std::mt19937_64 random(1);
  std::vector<std::string> keys;
  std::vector<std::string> unknown;
  for (std::size_t i = 0; i < customers * kKeysPerCustomer; ++i) {
    keys.push_back(DrawKey(random));
    unknown.push_back(DrawKey(random));
  }
  const std::size_t bytes_before = UsedBytes();
  std::vector<CustomerEntry> entries = MakeEntries(customers, keys);
  const auto start = SteadyClock::now();
  const CustomerTable table(std::move(entries), true);
  const std::chrono::duration<double, std::milli> build =
      SteadyClock::now() - start;
  const std::size_t bytes = UsedBytes() - bytes_before;
  // Requests come in random order, so large tables are not in the cache.
  std::shuffle(keys.begin(), keys.end(), random);
  std::size_t found = 0;
  const double known_ns = MeasureLookups(table, keys, &found);
  const double unknown_ns = MeasureLookups(table, unknown, &found);
  std::printf("%9zu %9zu %10.1f %12zu %10.0f %10.0f %9zu\n", customers,
              keys.size(), build.count(), bytes, known_ns, unknown_ns, found);
}

}  // namespace
}  // namespace vanillafall

int main() {
  std::printf("%9s %9s %10s %12s %10s %10s %9s\n", "customers", "keys",
              "build ms", "bytes", "known ns", "unknown ns", "found");
  for (const std::size_t customers : {100, 1000, 10'000, 79'000}) {
    vanillafall::Run(customers);
  }
  return 0;
}
