// Module control: how the published configuration reaches a daemon and spreads
// between daemons, as plain computation like module decision. It rests on
// decision.
//
//   config_keeper.h   which configuration is in force, and where news comes
//   from

#ifndef CONTROL_CONTROL_H_
#define CONTROL_CONTROL_H_

#include "control/config_keeper.h"

#endif  // CONTROL_CONTROL_H_
