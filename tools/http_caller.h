#ifndef TOOLS_HTTP_CALLER_H_
#define TOOLS_HTTP_CALLER_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "message/http.h"

namespace vanillafall {

// A blocking HTTP client that keeps one connection open to each address. Use
// each object from one thread only. It never sends a request twice by itself.
class HttpCaller {
 public:
  // How a call ended.
  enum class End : std::uint8_t {
    // A complete response was received.
    kAnswered,
    // No byte of the request was sent.
    kNotSent,
    // The request may have arrived, but no complete response was received.
    kLost,
  };

  struct Result {
    End end = End::kLost;
    // May be incomplete unless end is kAnswered.
    HttpResponse response;
  };

  HttpCaller();
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  // Sends the request to "host:port" and blocks until the response is complete
  // or the timeout has passed.
  Result Call(const std::string& address,
              const HttpRequest& request,
              std::chrono::milliseconds timeout);

 private:
  // The easy handle of libcurl.
  void* const easy_;
};

}  // namespace vanillafall

#endif  // TOOLS_HTTP_CALLER_H_
