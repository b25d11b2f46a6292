// Module config: the daemon's settings, the operators' service files, and the
// documents that "vanillafall bundle" makes of the service files. It depends on
// module message. Its parsers work on text passed by the caller; it opens no
// sockets.
//
//   problem.h              one error in a file, with line and key
//   settings.h             TOML settings of one daemon
//   proxy_settings.h       TOML settings of one daemon in proxy mode
//   proxy_settings_file.h  detects changes of the proxy settings file and reads
//                          it again
//   service_file.h         TOML description of a service, written by operators
//   fleet_config.h         the configuration in force, in memory
//   document.h             encodes and decodes published documents (JSON)
//   instance_list.h        the platform's list of instances

#ifndef CONFIG_CONFIG_H_
#define CONFIG_CONFIG_H_

#include "config/document.h"
#include "config/fleet_config.h"
#include "config/instance_list.h"
#include "config/problem.h"
#include "config/service_file.h"
#include "config/settings.h"

#endif  // CONFIG_CONFIG_H_
