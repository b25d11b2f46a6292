// Module control: how a published configuration reaches a daemon and spreads
// between daemons. It does no input or output and reads no clock: callers pass
// in events and the time, and carry out the actions that it returns. It depends
// on module decision.
//
//   membership.h       the other daemons, and which daemons watch the platform
//   assembly.h         collects the documents of one publication
//   config_report.h    what a daemon knows about its configuration
//   config_manager.h   decides which configuration is in force and fetches
//                      newer ones

#ifndef CONTROL_CONTROL_H_
#define CONTROL_CONTROL_H_

#include "control/assembly.h"
#include "control/config_manager.h"
#include "control/config_report.h"
#include "control/membership.h"

#endif  // CONTROL_CONTROL_H_
