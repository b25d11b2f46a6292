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

// The port on which callers send HTTP requests. One accept thread reads them
// and hands each whole request to the listener; any thread may answer.
class CallerServer {
 public:
  using RequestId = std::uint64_t;

  struct Options {
    std::string address;
    std::uint32_t max_header_bytes = 0;
    std::uint32_t max_body_bytes = 0;
    std::uint32_t max_connections = 0;
    std::chrono::milliseconds send_timeout{0};
  };

  struct Answer {
    Outcome outcome = Outcome::kNotRun;
    Reason reason = Reason::kInternal;
    HttpResponse response;
  };

  // Called on the accept thread.
  class Listener {
   public:
    virtual ~Listener() = default;
    // Takes a whole request, or returns false when there is no room for it.
    virtual bool OnCallerRequest(RequestId id, HttpRequest request) = 0;
    // A request was refused before it was whole.
    virtual void OnCallerRefused(Reason reason) = 0;
  };

  CallerServer(Options options, const Clock& clock, Listener& listener);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Opens the port and starts the thread.
  std::optional<Error> Start();
  // Closes the port to new connections; open requests go on, and each answer
  // ends its connection.
  void StopAccepting();
  // Ends the thread. Requests not yet answered are cut.
  void Stop();

  // Answers a request; ids that are not open are ignored.
  void SendAnswer(RequestId id, Answer answer);

  // Requests that are being read, decided or answered.
  std::size_t open_count() const;

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // TRANSPORT_CALLER_SERVER_H_
