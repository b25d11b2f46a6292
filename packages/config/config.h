// Module config: the daemon's settings, the operators' service files, and the
// documents that the publishing step makes of them. It rests on message. It
// reads text that it is given and opens no socket.
//
//   problem.h        what is wrong with a file, with line and key
//   settings.h       the TOML settings of one daemon
//   service_file.h   the TOML file beside a service's code
//   fleet_config.h   the configuration in force, as the decisions use it
//   document.h       published documents as JSON
//   instance_list.h  the platform's list of instances

#ifndef CONFIG_CONFIG_H_
#define CONFIG_CONFIG_H_

#include "config/document.h"
#include "config/fleet_config.h"
#include "config/instance_list.h"
#include "config/problem.h"
#include "config/service_file.h"
#include "config/settings.h"

#endif  // CONFIG_CONFIG_H_
