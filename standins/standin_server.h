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

// A small HTTP server with one thread a connection, for stand-ins only. The
// handler may block.
class StandinServer {
 public:
  struct Request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> arguments;
    HttpRequest http;

    // Value of a query argument as a number, or the fallback.
    std::int64_t GetNumber(const std::string& name,
                           std::int64_t fallback) const;
  };

  struct Response {
    HttpResponse http;
    // Bytes of the body that are sent before the connection is cut; negative
    // for all of them.
    std::int64_t cut_after = -1;
  };

  using Handler = std::function<Response(const Request&)>;

  // Throws std::system_error when the port can't be opened.
  StandinServer(const std::string& address, Handler handler);
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

// Blocks until SIGTERM or SIGINT. Call BlockStopSignals before any thread
// starts.
void BlockStopSignals();
void WaitForStopSignal();

}  // namespace vanillafall

#endif  // STANDINS_STANDIN_SERVER_H_
