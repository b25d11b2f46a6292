#ifndef DAEMON_CONFIG_PAGE_H_
#define DAEMON_CONFIG_PAGE_H_

#include "config/settings.h"
#include "control/config_report.h"
#include "daemon/operator_server.h"

namespace vanillafall {

// The operators' page /config, as JSON: the configuration in force, the newest
// one that the daemon knows of and for how long the daemon has lagged behind
// it, and when and from where each configuration arrived. Times are ages in
// milliseconds, so that pages of daemons with different clocks can be compared.
// The config is null until one is in force.
OperatorServer::Page MakeConfigPage(const ConfigReport& report,
                                    const FleetConfigPtr& config,
                                    const Settings& settings,
                                    TimePoint now);

}  // namespace vanillafall

#endif  // DAEMON_CONFIG_PAGE_H_
