#ifndef TRANSPORT_ADDRESS_H_
#define TRANSPORT_ADDRESS_H_

#include <netinet/in.h>

#include <optional>
#include <string>

namespace vanillafall {

// Parses "host:port" with a numeric IPv4 host, such as "10.0.0.7:7100". Returns
// nothing for any other text.
std::optional<sockaddr_in> ParseAddress(const std::string& address);

}  // namespace vanillafall

#endif  // TRANSPORT_ADDRESS_H_
