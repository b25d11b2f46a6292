// Module daemon: one vanillafalld process. It joins the threads of module
// transport to the decisions of modules decision and control. It rests on
// control and transport.
//
//   daemon.h           the process as a whole: start, drain, stop
//   engine_thread.h    runs the engine
//   control_thread.h   runs the config keeper
//   operator_server.h  the operators' port
//   metrics.h          histograms and counters
//   log.h              numbered events as lines of text or JSON
//   event_history.h    the latest events, for operators

#ifndef DAEMON_DAEMON_MODULE_H_
#define DAEMON_DAEMON_MODULE_H_

#include "daemon/daemon.h"

#endif  // DAEMON_DAEMON_MODULE_H_
