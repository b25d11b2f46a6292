#include "decision/idempotency_key.h"

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>

namespace vanillafall {
namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kFirstDash = 8;
constexpr std::size_t kSecondDash = 13;
constexpr int kHexadecimal = 16;

}  // namespace

std::chrono::milliseconds TimeOfKey(std::string_view key) {
  const bool is_uuid_v7 = key.size() == kUuidLength && key[kFirstDash] == '-' &&
                          key[kSecondDash] == '-' &&
                          key[kVersionPosition] == '7';
  if (!is_uuid_v7) {
    return std::chrono::milliseconds(0);
  }
  const std::string digits =
      std::string(key.substr(0, kFirstDash)) +
      std::string(key.substr(kFirstDash + 1, kSecondDash - kFirstDash - 1));
  std::int64_t milliseconds = 0;
  const char* last = digits.data() + digits.size();
  const auto [end, failure] =
      std::from_chars(digits.data(), last, milliseconds, kHexadecimal);
  const bool is_number = failure == std::errc() && end == last;
  return std::chrono::milliseconds(is_number ? milliseconds : 0);
}

}  // namespace vanillafall
