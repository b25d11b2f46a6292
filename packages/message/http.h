#ifndef MESSAGE_HTTP_H_
#define MESSAGE_HTTP_H_

#include <string>
#include <string_view>
#include <vector>

namespace vanillafall {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Compares header names, in which case does not count.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Value of the first header of that name, compared without case; empty when
// there is none.
std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name);

// True for headers that concern one connection only and are never passed on.
bool IsHopByHopHeader(std::string_view name);

// An HTTP request. The target is path and query as the caller sent them.
struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
};

// A whole HTTP answer. A status of 0 means that there is none.
struct HttpResponse {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

// Request headers with a meaning for the fleet.
inline constexpr char kTenantHeader[] = "Vanillafall-Tenant";
inline constexpr char kKeyHeader[] = "Idempotency-Key";
inline constexpr char kTimeLeftHeader[] = "Vanillafall-Time-Left-Ms";

}  // namespace vanillafall

#endif  // MESSAGE_HTTP_H_
