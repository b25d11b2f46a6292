#ifndef MESSAGE_HTTP_H_
#define MESSAGE_HTTP_H_

#include <string>
#include <string_view>
#include <vector>

#include "message/body.h"

namespace vanillafall {

// A header field of an HTTP message.
struct HttpHeader {
  std::string name;
  std::string value;
};

// Compares two header names, ignoring case.
bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Returns the value of the first header with that name, ignoring case; empty
// when there is none.
std::string_view FindHeader(const std::vector<HttpHeader>& headers,
                            std::string_view name);

// True for headers that apply to a single connection and are therefore never
// forwarded. Includes those that each sender sets itself, such as Host and
// Content-Length.
bool IsHopByHopHeader(std::string_view name);

// Whether the head of an answer is complete after this line of it;
// `was_complete` is the result for the line before, false for the first one.
// libcurl reports success when a connection is closed within the head, so its
// callers pass all lines of heads and trailers to this function.
bool IsHeadComplete(std::string_view line, bool was_complete);

// Whether a header field may have this name: a token, without blanks and
// control characters.
bool IsHeaderName(std::string_view name);

// Whether HTTP defines this status, or the range that it is in.
bool IsStatus(int status);

// Whether a line of an answer's head or trailer, with the end of the line, is
// valid: a status line, a header field or the empty line. libcurl accepts other
// lines too, so its callers check each one.
bool IsHeadLineValid(std::string_view line);

// An HTTP request. The target is the path and query as the caller sent them.
struct HttpRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  Body body;
};

// A complete HTTP answer. A status of 0 means that there is no answer.
struct HttpResponse {
  int status = 0;
  std::vector<HttpHeader> headers;
  Body body;
};

// Whether the answer has a final status and valid header names, and may
// therefore be passed on to a caller.
bool IsFinalAnswer(const HttpResponse& response);

// Request headers that the daemons interpret: the customer that sends the
// request, the idempotency key, and the time in ms that the caller still waits.
inline constexpr char kCustomerHeader[] = "Vanillafall-Tenant";
inline constexpr char kKeyHeader[] = "Idempotency-Key";
inline constexpr char kTimeLeftHeader[] = "Vanillafall-Time-Left-Ms";

}  // namespace vanillafall

#endif  // MESSAGE_HTTP_H_
