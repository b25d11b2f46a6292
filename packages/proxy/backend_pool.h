#ifndef PROXY_BACKEND_POOL_H_
#define PROXY_BACKEND_POOL_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/clock.h"
#include "dispatch/dispatch_delegate.h"
#include "proxy/http_dialect.h"
#include "proxy/memory_account.h"

namespace vanillafall {

// Makes HTTP calls to this instance's backend server over persistent
// connections, one call at a time on each. A connection that carries unexpected
// bytes is closed. An answer that is incomplete or belongs to another request
// is never passed on, and one that is too large ends its call as unknown.
class BackendPool {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    // A call has ended. Called once for each call, never from within Call or
    // Cancel, and not after Stop.
    virtual void OnBackendEnd(BackendCallEnd end) = 0;
    // Frees memory for an answer of this size, if there are others to whom it
    // is worth less.
    virtual void MakeRoom(std::size_t bytes) = 0;
  };

  // Answers are held in the account, which must outlive this object. Where
  // answers to similar requests were large, a call for whose answer there is no
  // room ends as not run. An answer that turns out too large for the room is
  // not read on for a while, and then given up.
  BackendPool(boost::asio::io_context& loop,
              const std::string& address,
              const Clock& clock,
              const HttpDialect& dialect,
              const MemoryAccount& account,
              Handler& handler);
  ~BackendPool();
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  void Call(BackendCall call);
  // Closes the connection of a call, whose end is then reported as usual. Does
  // nothing if the call has ended.
  void Cancel(BackendCallId id);
  // Closes all connections.
  void Stop();
  // Connections opened so far, failed attempts included.
  std::uint64_t opened_count() const;

 private:
  class Impl;
  const std::shared_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // PROXY_BACKEND_POOL_H_
