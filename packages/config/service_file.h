#ifndef CONFIG_SERVICE_FILE_H_
#define CONFIG_SERVICE_FILE_H_

#include <string>
#include <string_view>

#include "config/fleet_config.h"
#include "config/problem.h"

namespace vanillafall {

// Parses the TOML file that operators keep beside a service's code and reports
// all its problems. The file name is used in the problems only. The document
// number and the former guards stay unset; MakeBundle (operator/bundle.h) fills
// them in.
Parsed<ServiceConfig> ParseServiceFile(std::string_view text,
                                       const std::string& file);

}  // namespace vanillafall

#endif  // CONFIG_SERVICE_FILE_H_
