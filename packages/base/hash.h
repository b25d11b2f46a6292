#ifndef BASE_HASH_H_
#define BASE_HASH_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace vanillafall {

// A 128-bit content hash. Equal content has the same hash on every daemon.
struct Hash128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const Hash128&, const Hash128&) = default;

  // 32 lower-case hexadecimal digits.
  std::string ToHex() const;
};

// Hashes a sequence of strings. The length of each is part of the hash, so that
// ("ab", "c") and ("a", "bc") differ.
Hash128 HashParts(std::initializer_list<std::string_view> parts);

// Weight of a member for a key in rendezvous (highest random weight) hashing:
// the members of a key are ordered by descending weight.
std::uint64_t RendezvousWeight(const Hash128& key, std::string_view member);

}  // namespace vanillafall

template <>
struct std::hash<vanillafall::Hash128> {
  std::size_t operator()(const vanillafall::Hash128& hash) const noexcept {
    return static_cast<std::size_t>(hash.low);
  }
};

#endif  // BASE_HASH_H_
