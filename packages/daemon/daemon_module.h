// Module daemon: one vanillafalld process. It connects the network threads of
// module transport with the decision logic of modules decision and control. It
// depends on control and transport.
//
//   daemon.h           the process as a whole: start, drain, stop
//   engine_thread.h    runs the engine
//   control_thread.h   runs the config manager
//   config_page.h      the operators' page /config
//   operator_pages.h   the other pages for operators
//   operator_server.h  the HTTP server for operators
//   metrics.h          histograms and counters
//   log.h              numbered events as lines of text or JSON
//   event_history.h    the latest log events, for operators

#ifndef DAEMON_DAEMON_MODULE_H_
#define DAEMON_DAEMON_MODULE_H_

#include "daemon/daemon.h"

#endif  // DAEMON_DAEMON_MODULE_H_
