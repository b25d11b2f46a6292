#include "message/http.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

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

constexpr std::string_view kNamePunctuation = "!#$%&'*+-.^_`|~";
constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kEndOfStatuses = 600;

bool IsAsciiAlphanumeric(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z');
}

// Whether a status line names a status: three digits after the first blank, at
// the end of the line or before another blank.
bool HasStatus(std::string_view status_line) {
  constexpr std::size_t kDigits = 3;
  const std::size_t blank = status_line.find(' ');
  if (blank == std::string_view::npos) {
    return false;
  }
  const std::string_view rest = status_line.substr(blank + 1);
  const std::string_view digits = rest.substr(0, rest.find(' '));
  int status = 0;
  const char* last = digits.data() + digits.size();
  const auto [end, failure] = std::from_chars(digits.data(), last, status);
  return digits.size() == kDigits && failure == std::errc() && end == last &&
         IsStatus(status);
}

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

bool IsHeaderName(std::string_view name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](char c) {
    return IsAsciiAlphanumeric(c) ||
           kNamePunctuation.find(c) != std::string_view::npos;
  });
}

bool IsStatus(int status) {
  return status >= kFirstStatus && status < kEndOfStatuses;
}

bool IsHeadLineValid(std::string_view line) {
  const std::size_t last = line.find_last_not_of("\r\n");
  if (last == std::string_view::npos) {
    return true;
  }
  const std::string_view text = line.substr(0, last + 1);
  if (text.starts_with("HTTP/")) {
    return HasStatus(text);
  }
  const std::size_t colon = text.find(':');
  return colon != std::string_view::npos && IsHeaderName(text.substr(0, colon));
}

bool IsFinalAnswer(const HttpResponse& response) {
  return response.status >= kFirstFinalStatus && IsStatus(response.status) &&
         std::all_of(response.headers.begin(), response.headers.end(),
                     [](const HttpHeader& header) {
                       return IsHeaderName(header.name);
                     });
}

}  // namespace vanillafall
