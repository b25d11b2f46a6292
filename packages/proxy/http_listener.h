#ifndef PROXY_HTTP_LISTENER_H_
#define PROXY_HTTP_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/error.h"
#include "base/outcome.h"
#include "dispatch/dispatch_delegate.h"
#include "dispatch/route_table.h"
#include "message/http.h"
#include "proxy/memory_account.h"

namespace vanillafall {

// Why the connection of a caller was closed, or its request refused, for the
// sake of others.
enum class CallerCut : std::uint8_t {
  // It read its answer below the minimum rate.
  kSlowReader,
  // It held the most memory for the longest time when there was none left.
  kMemory,
  // It was idle, or slow to send a head, when there were too many connections.
  kConnections,
};
inline constexpr std::size_t kCallerCuts = 3;
const char* ToString(CallerCut cut);

// Listens on a port for HTTP requests. Rejects a request whose end is
// ambiguous, so that bytes sent by one caller cannot be taken for a request of
// another (request smuggling). Detects when a caller closes its connection
// while its request is being handled.
class HttpListener {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    // A complete request, with its Host header but without hop-by-hop headers.
    // Its first byte arrived at the given time; a large body takes a while. It
    // must be answered by one call of Answer.
    virtual void OnRequest(RequestId id,
                           HttpRequest request,
                           TimePoint first_byte_at) = 0;
    // The caller has closed its connection; no answer is needed.
    virtual void OnCallerGone(RequestId id) = 0;
    // A request that was malformed, too large, sent too slowly or for which
    // there is no memory was answered with this status; OnRequest is not called
    // for it.
    virtual void OnRejected(Reason reason,
                            int status,
                            const std::string& detail) = 0;
    // The connection of a caller was closed. It had so many bytes to read.
    virtual void OnCallerCut(CallerCut /*cut*/, std::size_t /*unread_bytes*/) {}
    // Size and time limits, read again for each request.
    virtual CallerLimits GetLimits() const = 0;
  };

  // What is expected of callers at least, and how many there may be.
  struct Options {
    // A caller is cut that reads less than min_read_rate bytes a second on
    // average over the span, while its answer waits.
    std::size_t min_read_rate = 4096;
    std::chrono::milliseconds read_span{30'000};
    std::size_t max_connections = 1000;
  };

  // Each listener numbers its own requests from 1. Heads and bodies are held in
  // the account, which must outlive this object.
  HttpListener(boost::asio::io_context& loop,
               std::string address,
               const Clock& clock,
               const MemoryAccount& account,
               Options options,
               Handler& handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Opens the port. Returns the error when that fails.
  std::optional<Error> Start();
  // Sends the answer; does nothing if no request with this id is open.
  void Answer(RequestId id, HttpResponse response);
  // From now on each connection is closed after its next answer.
  void BeginStop();
  // Closes the port and all connections without calling the handler.
  void Stop();
  // Closes the connections of callers that hold memory, the largest and slowest
  // first, until there is room for so many bytes or no such caller is left.
  void MakeRoom(std::size_t bytes);
  std::size_t connection_count() const;
  // Connections on which a request is being received or handled, or its answer
  // is being sent.
  std::size_t busy_count() const;

 private:
  class Impl;
  const std::shared_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // PROXY_HTTP_LISTENER_H_
