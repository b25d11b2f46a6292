#ifndef TOOLS_HTTP_CALLER_H_
#define TOOLS_HTTP_CALLER_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "message/http.h"

namespace vanillafall {

// An ordinary HTTP caller with one connection kept open to each address. Use it
// from one thread; it blocks until the answer is there. It never sends a
// request twice by itself.
class HttpCaller {
 public:
  enum class End : std::uint8_t {
    // A whole answer came.
    kAnswered,
    // No byte of the request was sent.
    kNotSent,
    // The request may have arrived, but no whole answer came.
    kLost,
  };

  struct Result {
    End end = End::kLost;
    HttpResponse response;
  };

  HttpCaller();
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  Result Call(const std::string& address,
              const HttpRequest& request,
              std::chrono::milliseconds timeout);

 private:
  // The handle of the library.
  void* const easy_;
};

}  // namespace vanillafall

#endif  // TOOLS_HTTP_CALLER_H_
