// Module proxy: the network side of module dispatch, on one thread with one
// event loop. The target machines run one thread at a time and account for
// processor time with a price for each wake-up of the process, so wake-ups are
// kept few: a request never moves between threads, and only the log has a
// thread of its own. HTTP uses Boost.Beast, the closest equivalent to the HTTP
// libraries of module transport, because the event loop must see when a caller
// closes its connection while its request is running, and must know what was
// sent on each connection. Depends on modules dispatch and daemon.
//
//   http_dialect.h   meaning of the platform's HTTP headers
//   http_listener.h  HTTP requests from callers and probes
//   backend_pool.h   HTTP calls to this instance's backend server
//   link_codec.h     encoding of messages between entries and owners
//   peer_links.h     connections between daemons
//   answer_buffer.h  buffer that checks the heads of answers
//   one_shot_timer.h timer whose former waits have no effect
//   fleet_source.h   source of the configuration and the list of servers
//   log_budget.h     rate limit of the log
//   proxy_daemon.h   the daemon process

#ifndef PROXY_PROXY_H_
#define PROXY_PROXY_H_

#include "proxy/fleet_source.h"
#include "proxy/http_dialect.h"
#include "proxy/proxy_daemon.h"

#endif  // PROXY_PROXY_H_
