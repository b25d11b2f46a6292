// Module control: how the published configuration reaches a daemon and spreads
// between daemons, as plain computation like module decision. It rests on
// decision.
//
//   membership.h      the other daemons, and who watches the platform
//   assembly.h        one publication on its way
//   config_report.h   what a daemon knows about its configuration
//   config_keeper.h   which configuration is in force, and where news comes
//   from

#ifndef CONTROL_CONTROL_H_
#define CONTROL_CONTROL_H_

#include "control/assembly.h"
#include "control/config_keeper.h"
#include "control/config_report.h"
#include "control/membership.h"

#endif  // CONTROL_CONTROL_H_
