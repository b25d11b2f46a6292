#ifndef TRANSPORT_CALLER_SERVER_H_
#define TRANSPORT_CALLER_SERVER_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "base/outcome.h"
#include "message/http.h"

namespace vanillafall {

// HTTP server for the callers' port. One thread, the accept thread, reads the
// requests and passes each complete one to the listener. Any thread may answer.
class CallerServer {
 public:
  using RequestId = std::uint64_t;

  struct Options {
    // "host:port" to listen on.
    std::string address;
    std::uint32_t max_header_bytes = 0;
    std::uint32_t max_body_bytes = 0;
    std::uint32_t max_connections = 0;
    // Max time from a request's first line to the end of its body. Connections
    // without traffic are closed after the same time, but not before 1 s.
    std::chrono::milliseconds send_timeout{0};
  };

  // An answer to a caller. Without a response (status 0), the caller receives
  // the HTTP status of the reason, and the outcome and reason as text.
  struct Answer {
    Outcome outcome = Outcome::kNotRun;
    Reason reason = Reason::kInternal;
    HttpResponse response;
  };

  // Called on the accept thread.
  class Listener {
   public:
    virtual ~Listener() = default;
    // A complete request has arrived. Returns false when there is no capacity
    // for it, and then it is refused as overloaded.
    virtual bool OnCallerRequest(RequestId id, HttpRequest request) = 0;
    // A request was refused without being passed to OnCallerRequest.
    virtual void OnCallerRefused(Reason reason) = 0;
  };

  CallerServer(Options options, const Clock& clock, Listener& listener);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Opens the port and starts the thread. Returns an error when the port cannot
  // be opened.
  std::optional<Error> Start();
  // Closes the port to new connections. Open requests continue, and each
  // connection is closed after its answer.
  void StopAccepting();
  // Ends the thread. Open requests that were passed to the listener are
  // answered with outcome unknown and reason deadline-passed; others are
  // refused or dropped.
  void Stop();

  // Answers a request. Does nothing when no request with that id is open.
  void SendAnswer(RequestId id, Answer answer);

  // Number of requests that are being read, decided or answered.
  std::size_t open_request_count() const;

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // TRANSPORT_CALLER_SERVER_H_
