#ifndef PROXY_PROXY_DAEMON_H_
#define PROXY_PROXY_DAEMON_H_

#include <chrono>
#include <memory>
#include <optional>

#include "base/clock.h"
#include "base/error.h"
#include "config/proxy_settings_file.h"
#include "proxy/fleet_source.h"
#include "proxy/http_dialect.h"

namespace boost::asio {
class io_context;
}

namespace vanillafall {

// One daemon on a platform: the listeners, links and decisions on one event
// loop, from start until a drain has ended.
class ProxyDaemon {
 public:
  ProxyDaemon(boost::asio::io_context& loop,
              ProxySettings settings,
              const Clock& clock,
              const HttpDialect& dialect,
              FleetSource& source,
              ProxySettingsSource& settings_source);
  ~ProxyDaemon();
  ProxyDaemon(const ProxyDaemon&) = delete;
  ProxyDaemon& operator=(const ProxyDaemon&) = delete;

  // Opens every port, or says which step failed.
  std::optional<Error> Start();
  // Serves until SIGTERM or SIGINT and the drain that follows. True when the
  // drain was complete.
  bool Run();

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // PROXY_PROXY_DAEMON_H_
