#ifndef DAEMON_OPERATOR_SERVER_H_
#define DAEMON_OPERATOR_SERVER_H_

#include <memory>
#include <optional>
#include <string>

#include "base/error.h"

namespace vanillafall {

// The HTTP server for operators, on a thread of its own. GET reads a page and
// POST executes a command.
class OperatorServer {
 public:
  struct Page {
    int status = 404;
    std::string content_type = "text/plain; charset=utf-8";
    std::string body;
  };

  // Called on the operators' thread.
  class Listener {
   public:
    virtual ~Listener() = default;
    // Returns the page of a path such as "/status". The subject is empty when
    // the request has none.
    virtual Page OnOperatorQuery(const std::string& path,
                                 const std::string& subject) = 0;
    // Executes the command of a path such as "/drain".
    virtual Page OnOperatorCommand(const std::string& path,
                                   const std::string& subject) = 0;
  };

  OperatorServer(std::string address, Listener& listener);
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  // Opens the port and starts the thread.
  std::optional<Error> Start();
  void Stop();

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // DAEMON_OPERATOR_SERVER_H_
