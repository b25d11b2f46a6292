#include "base/hash.h"

#include <xxhash.h>

#include <array>
#include <cstdio>

namespace vanillafall {
namespace {

constexpr std::size_t kHexDigits = 32;

}  // namespace

std::string Hash128::ToHex() const {
  std::array<char, kHexDigits + 1> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(high),
                static_cast<unsigned long long>(low));
  return std::string(text.data());
}

Hash128 HashParts(std::initializer_list<std::string_view> parts) {
  std::string joined;
  for (std::string_view part : parts) {
    joined += std::to_string(part.size());
    joined += ':';
    joined += part;
  }
  const XXH128_hash_t hash = XXH3_128bits(joined.data(), joined.size());
  return {hash.high64, hash.low64};
}

std::uint64_t RendezvousWeight(const Hash128& key, std::string_view member) {
  return XXH3_64bits_withSeed(member.data(), member.size(), key.high ^ key.low);
}

}  // namespace vanillafall
