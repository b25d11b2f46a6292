#ifndef PROXY_FLEET_SOURCE_H_
#define PROXY_FLEET_SOURCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/log_event.h"
#include "dispatch/link_message.h"
#include "dispatch/route_table.h"
#include "dispatch/server_directory.h"

namespace vanillafall {

// Where configurations and the list of backend servers are published. Lives on
// the event loop.
class FleetSource {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // A configuration, as text and as read.
    virtual void OnConfig(ConfigText text, RouteTablePtr table) = 0;
    // The whole list of backend servers; it may be some seconds old.
    virtual void OnServers(std::vector<ListedServer> servers) = 0;
    // The watched entry as it is now.
    virtual void OnServerChanged(ListedServer server) = 0;
    virtual void OnServerRemoved(const std::string& id,
                                 std::uint64_t revision) = 0;
    // The source answers, or does not any more; only changes are told.
    virtual void OnReached(bool is_reached) = 0;
    virtual void OnSourceEvent(LogEvent event) = 0;
  };

  virtual ~FleetSource() = default;
  virtual void Start(Listener& listener) = 0;
  virtual void Stop() = 0;
  // Tells of changes of that server's entry at once; an empty id of none.
  virtual void WatchServer(const std::string& id) = 0;
  // The list is in doubt: read it again soon.
  virtual void RefreshServers(ListDoubt doubt) = 0;
  // Reads a configuration that another daemon passed on; null when it is
  // damaged.
  virtual RouteTablePtr ReadConfig(const ConfigText& text) const = 0;
  // Calls made so far.
  virtual std::uint64_t call_count() const = 0;
};

}  // namespace vanillafall

#endif  // PROXY_FLEET_SOURCE_H_
