#ifndef DAEMON_CONFIG_PAGE_H_
#define DAEMON_CONFIG_PAGE_H_

#include "config/settings.h"
#include "control/config_report.h"
#include "daemon/operator_server.h"

namespace vanillafall {

// The operators' page /config, as JSON: the configuration in force, whether
// and since when the daemon lags behind the newest that it has heard of, and
// when each one arrived from where. Times are ages in milliseconds, so that
// clocks of different daemons need not agree. The config may be null.
OperatorServer::Page MakeConfigPage(const ConfigReport& report,
                                    const FleetConfigPtr& config,
                                    const Settings& settings,
                                    TimePoint now);

}  // namespace vanillafall

#endif  // DAEMON_CONFIG_PAGE_H_
