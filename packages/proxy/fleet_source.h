#ifndef PROXY_FLEET_SOURCE_H_
#define PROXY_FLEET_SOURCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/log_event.h"
#include "dispatch/link_message.h"
#include "dispatch/route_table.h"
#include "dispatch/server_directory.h"
#include "dispatch/source_revision.h"

namespace vanillafall {

// Source of the published configuration and the list of backend servers. All
// calls, in both directions, are made on the thread of the event loop.
class FleetSource {
 public:
  class Listener {
   public:
    virtual ~Listener() = default;
    // A configuration, both as text and parsed. The origin says for the log
    // how it was received.
    virtual void OnConfig(ConfigText text,
                          RouteTablePtr table,
                          const std::string& origin) = 0;
    // No configuration newer than the last one passed to OnConfig had been
    // published at this time, when the source was at this revision.
    virtual void OnConfigConfirmed(TimePoint as_of,
                                   const SourceRevision& revision) = 0;
    // The complete list of backend servers; it may be some seconds old.
    virtual void OnServers(std::vector<ListedServer> servers) = 0;
    // The current list entry of the watched server.
    virtual void OnServerChanged(ListedServer server) = 0;
    // The entry of the watched server was removed at this revision.
    virtual void OnServerRemoved(const std::string& id,
                                 const SourceRevision& revision) = 0;
    // The source was restored from an older copy and has begun a new era. What
    // it reports from now on belongs to that era.
    virtual void OnSourceRestored() = 0;
    // The source has started or stopped answering; called only on a change. The
    // last call that was not answered had been sent at `away_at`.
    virtual void OnReachabilityChanged(bool is_reached, TimePoint away_at) = 0;
    // An event of the source for the log.
    virtual void OnSourceEvent(LogEvent event) = 0;
  };

  virtual ~FleetSource() = default;
  virtual void Start(Listener& listener) = 0;
  virtual void Stop() = 0;
  // Reports this server's list entry as it is now, and from then on its changes
  // at once. An empty id ends the watch.
  virtual void WatchServer(const std::string& id) = 0;
  // Reads the list again soon, because it may be out of date.
  virtual void RefreshServers(RefreshReason refresh_reason) = 0;
  // Reads what has changed of the list of backend servers and of the
  // configuration, neither older than this call, and reports OnServers,
  // OnConfig and OnConfigConfirmed. Does nothing while a check is pending or
  // the source does not answer.
  virtual void Check() = 0;
  // Another daemon knows that the configuration in force was the newest at this
  // revision of the source.
  virtual void OnConfigConfirmedElsewhere(const SourceRevision& revision) = 0;
  // Reads the list entry of the watched server.
  virtual void CheckServer() = 0;
  // Parses a configuration that another daemon passed on; null when it is
  // damaged.
  virtual RouteTablePtr ReadConfig(const ConfigText& text) const = 0;
  // Network calls made so far.
  virtual std::uint64_t call_count() const = 0;
};

}  // namespace vanillafall

#endif  // PROXY_FLEET_SOURCE_H_
