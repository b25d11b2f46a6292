#ifndef OPERATOR_DAEMON_QUERY_H_
#define OPERATOR_DAEMON_QUERY_H_

#include <string>
#include <variant>

#include "base/error.h"

namespace vanillafall {

// Asks a daemon's operators' port. The address is "host:port"; the subject may
// be empty. Returns the page's body.
std::variant<std::string, Error> QueryDaemon(const std::string& address,
                                             const std::string& path,
                                             const std::string& subject);

}  // namespace vanillafall

#endif  // OPERATOR_DAEMON_QUERY_H_
