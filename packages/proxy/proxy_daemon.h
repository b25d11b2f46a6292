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

// The daemon process: runs the HTTP listeners, the links to other daemons and
// the dispatcher on one event loop, from its start until its drain has ended.
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

  // Opens all ports and starts the source. Returns the step that failed, if
  // any.
  std::optional<Error> Start();
  // Serves until SIGTERM or SIGINT, then drains. Returns true if no request was
  // unfinished when the drain ended.
  bool Run();

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // PROXY_PROXY_DAEMON_H_
