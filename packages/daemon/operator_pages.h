#ifndef DAEMON_OPERATOR_PAGES_H_
#define DAEMON_OPERATOR_PAGES_H_

#include <string>

#include "config/settings.h"
#include "daemon/event_history.h"
#include "daemon/operator_server.h"
#include "decision/engine.h"

namespace vanillafall {

// The pages of the operators' port, as JSON. Each reads the engine and is
// called on the decide thread.

// Backend servers of this instance, their load and state.
OperatorServer::Page MakeStatusPage(const Engine& engine,
                                    const Settings& settings,
                                    TimePoint now);
// What the daemon knows of one backend server, route, tenant or service.
OperatorServer::Page MakeExplainPage(const Engine& engine,
                                     const std::string& subject,
                                     TimePoint now);
// The latest events; called on any thread.
OperatorServer::Page MakeEventsPage(const EventHistory& history,
                                    const Settings& settings);

}  // namespace vanillafall

#endif  // DAEMON_OPERATOR_PAGES_H_
