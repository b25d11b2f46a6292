#ifndef STANDINS_STANDIN_SERVER_H_
#define STANDINS_STANDIN_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "message/http.h"

namespace vanillafall {

// HTTP server of the stand-ins. It runs the handler on one thread per
// connection, so the handler may block and must be thread-safe.
class StandinServer {
 public:
  struct Request {
    std::string method;
    // Without the query.
    std::string path;
    // Query arguments by name.
    std::map<std::string, std::string> arguments;
    HttpRequest http;

    // Returns a query argument as a number, or the fallback if the argument is
    // absent or no number.
    std::int64_t GetNumber(const std::string& name,
                           std::int64_t fallback) const;
  };

  struct Response {
    HttpResponse http;
    // Number of body bytes to send before the connection is closed; negative
    // sends the whole body.
    std::int64_t cut_after = -1;
  };

  using Handler = std::function<Response(const Request&)>;

  // Listens on HOST:PORT. Throws std::system_error when the address is
  // malformed or the port can't be opened.
  StandinServer(const std::string& address, Handler handler);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

// Blocks SIGTERM and SIGINT in the calling thread and those that it starts, so
// call it before any thread starts. Also ignores SIGPIPE.
void BlockStopSignals();

// Waits until SIGTERM or SIGINT arrives.
void WaitForStopSignal();

}  // namespace vanillafall

#endif  // STANDINS_STANDIN_SERVER_H_
