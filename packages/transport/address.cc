#include "transport/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>

namespace vanillafall {

std::optional<sockaddr_in> ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  sockaddr_in parsed{};
  parsed.sin_family = AF_INET;
  const std::string host = address.substr(0, colon);
  if (inet_pton(AF_INET, host.c_str(), &parsed.sin_addr) != 1) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* last = address.data() + address.size();
  const auto [end, failure] =
      std::from_chars(address.data() + colon + 1, last, port);
  if (failure != std::errc() || end != last) {
    return std::nullopt;
  }
  parsed.sin_port = htons(port);
  return parsed;
}

}  // namespace vanillafall
