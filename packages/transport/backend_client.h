#ifndef TRANSPORT_BACKEND_CLIENT_H_
#define TRANSPORT_BACKEND_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "message/http.h"

namespace vanillafall {

// Makes HTTP calls to backend servers on one thread, the backend thread. No
// request is ever sent twice: where the HTTP library would resend it on a new
// connection, the call ends as kLost instead. A kept connection that has unread
// input before a request is sent is closed without being used, and the request
// goes over a new connection.
class BackendClient {
 public:
  using CallId = std::uint64_t;

  // How a call ended. Only kNotConnected proves that no byte of the request
  // was sent.
  enum class End : std::uint8_t {
    // With a complete answer of any status.
    kAnswered,
    kNotConnected,
    // The connection ended before any valid part of an answer arrived.
    kLost,
    // The connection ended in the middle of the answer, or the answer did not
    // state its length.
    kTruncated,
    // The answer's body exceeds max_answer_bytes.
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

  // Called on the backend thread, once for each call that Send accepted, unless
  // the client stops first.
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnBackendResult(Result result) = 0;
  };

  BackendClient(std::size_t max_answer_bytes, Listener& listener);
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  // Starts the thread.
  void Start();
  // Ends the thread. Calls in progress end without a result.
  void Stop();

  // Starts a call. May be called from any thread. Returns false when the queue
  // is full, and then nothing is sent.
  bool Send(Call call);
  // Closes the connection of a call in progress, which then ends as kCancelled.
  // May be called from any thread. Returns false when the queue is full.
  bool Cancel(CallId id);

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // TRANSPORT_BACKEND_CLIENT_H_
