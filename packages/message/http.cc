#include "message/http.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace vanillafall {
namespace {

constexpr std::array<std::string_view, 12> kHopByHopHeaders = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect",
    "Host",
    "Proxy-Authorization"};

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name) {
  const auto found = std::find_if(
      headers.begin(), headers.end(), [name](const HttpHeader& header) {
        return EqualsIgnoringCase(header.name, name);
      });
  return found == headers.end() ? std::string_view() : found->value;
}

bool IsHopByHopHeader(std::string_view name) {
  return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                     [name](std::string_view hop_by_hop) {
                       return EqualsIgnoringCase(name, hop_by_hop);
                     });
}

bool IsHeadComplete(std::string_view line, bool was_complete) {
  // An interim answer is followed by the head of another one.
  const bool is_first_line = line.starts_with("HTTP/");
  return line == "\r\n" || line == "\n" || (was_complete && !is_first_line);
}

}  // namespace vanillafall
