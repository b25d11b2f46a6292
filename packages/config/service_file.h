#ifndef CONFIG_SERVICE_FILE_H_
#define CONFIG_SERVICE_FILE_H_

#include <string>
#include <string_view>

#include "config/fleet_config.h"
#include "config/problem.h"

namespace vanillafall {

// Reads the TOML file that operators keep beside a service's code and lists
// everything that is wrong with it. The number and the former guards stay
// unset; the publishing step fills them.
Parsed<ServiceConfig> ParseServiceFile(std::string_view text,
                                       const std::string& file);

}  // namespace vanillafall

#endif  // CONFIG_SERVICE_FILE_H_
