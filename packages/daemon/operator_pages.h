#ifndef DAEMON_OPERATOR_PAGES_H_
#define DAEMON_OPERATOR_PAGES_H_

#include <string>

#include "config/settings.h"
#include "daemon/event_history.h"
#include "daemon/operator_server.h"
#include "decision/engine.h"

namespace vanillafall {

// The pages /status, /explain and /events for operators, as JSON. Those that
// read the engine are made on the engine thread.

// The backend servers of this instance with their load and state.
OperatorServer::Page MakeStatusPage(const Engine& engine,
                                    const Settings& settings,
                                    TimePoint now);
// What the daemon knows about the subject: a backend server, a service, the
// path of a request, a customer ("tenant/NAME") or an idempotency key
// ("key/SERVICE/CUSTOMER/KEY").
OperatorServer::Page MakeExplainPage(const Engine& engine,
                                     const std::string& subject,
                                     TimePoint now);
// The latest log events. Safe to call from any thread.
OperatorServer::Page MakeEventsPage(const EventHistory& history,
                                    const Settings& settings);

}  // namespace vanillafall

#endif  // DAEMON_OPERATOR_PAGES_H_
