#ifndef TRANSPORT_ADDRESS_H_
#define TRANSPORT_ADDRESS_H_

#include <netinet/in.h>

#include <optional>
#include <string>

namespace vanillafall {

// Parses "host:port" with an IPv4 host; empty on other text.
std::optional<sockaddr_in> ParseAddress(const std::string& address);

}  // namespace vanillafall

#endif  // TRANSPORT_ADDRESS_H_
