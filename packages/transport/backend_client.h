#ifndef TRANSPORT_BACKEND_CLIENT_H_
#define TRANSPORT_BACKEND_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "message/http.h"

namespace vanillafall {

// HTTP calls to backend servers, on one backend thread. No request is ever
// sent twice: where the library would resend on a fresh connection, the call
// ends as lost instead. A connection with anything left over is closed, and the
// request goes over a fresh one.
class BackendClient {
 public:
  using CallId = std::uint64_t;

  // How a call ended. Only kNotConnected proves that no byte of the request
  // was sent.
  enum class End : std::uint8_t {
    kAnswered,
    kNotConnected,
    kLost,
    kTruncated,
    kTooLarge,
    kTimeout,
    kCancelled,
  };

  struct Call {
    CallId id = 0;
    // "host:port" of the backend server.
    std::string address;
    HttpRequest request;
    std::chrono::milliseconds timeout{0};
  };

  struct Result {
    CallId id = 0;
    End end = End::kLost;
    HttpResponse response;
  };

  // Called on the backend thread, once for each call.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnBackendResult(Result result) = 0;
  };

  BackendClient(std::size_t max_answer_bytes, Listener& listener);
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  void Start();
  void Stop();

  // Starts a call; false when the ring is full, and then nothing is sent.
  bool Send(Call call);
  // Closes the connection of a call, which ends as kCancelled.
  bool Cancel(CallId id);

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // TRANSPORT_BACKEND_CLIENT_H_
