#ifndef OPERATOR_DAEMON_QUERY_H_
#define OPERATOR_DAEMON_QUERY_H_

#include <string>
#include <variant>

#include "base/error.h"

namespace vanillafall {

// Fetches a page from a daemon's operator port and returns its body. The
// address is "host:port"; a subject that is not empty is sent as query
// parameter "subject". Blocks for at most 5 s. Returns an error when the daemon
// does not answer with status 200.
std::variant<std::string, Error> QueryDaemon(const std::string& address,
                                             const std::string& path,
                                             const std::string& subject);

}  // namespace vanillafall

#endif  // OPERATOR_DAEMON_QUERY_H_
