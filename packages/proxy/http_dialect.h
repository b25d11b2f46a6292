#ifndef PROXY_HTTP_DIALECT_H_
#define PROXY_HTTP_DIALECT_H_

#include <chrono>
#include <optional>
#include <string>

#include "dispatch/dispatch_delegate.h"
#include "dispatch/request_entry.h"
#include "message/http.h"

namespace vanillafall {

// Translates between the platform's HTTP headers and the types of module
// dispatch. It makes no decisions.
class HttpDialect {
 public:
  // What a backend server's answer says about the request.
  enum class AnswerKind : std::uint8_t {
    // The answer to this request.
    kThisRequest,
    // A late or extra answer to another request.
    kOtherRequest,
    // The backend server reports that it has not run the request.
    kNotRun,
    // Another backend server listens at this address and has not run the
    // request.
    kOtherServer,
    // The answer lacks what backend servers put on every answer of theirs, so
    // it shows nothing about the request.
    kUnmarked,
  };

  virtual ~HttpDialect() = default;

  // Reads the request's id, time limit and customer's key, and sets the header
  // that names the calling service, overwriting any value from the caller. The
  // key and any name of a customer are taken out of the request.
  virtual EntryRequest ReadCallerRequest(
      HttpRequest request,
      const std::string& caller_service) const = 0;

  // Sets the request's headers for the backend server: the server that the
  // request is meant for, the time left, and the customer unless it is empty.
  virtual void PrepareForBackend(const std::string& server,
                                 std::chrono::milliseconds time_left,
                                 const std::string& customer,
                                 HttpRequest* request) const = 0;

  // Classifies an answer that arrived after a request with this id was sent.
  virtual AnswerKind ClassifyAnswer(const HttpResponse& response,
                                    const std::string& request_id) const = 0;

  // Reads what the backend server says about itself in its answer.
  virtual ServerNotice ReadServerNotice(const HttpResponse& response) const = 0;

  // Builds the complete HTTP answer for a caller.
  virtual HttpResponse WriteCallerAnswer(const std::string& request_id,
                                         CallerAnswer answer) const = 0;

  // Path of the readiness probe.
  virtual std::string ReadinessPath() const = 0;
};

}  // namespace vanillafall

#endif  // PROXY_HTTP_DIALECT_H_
