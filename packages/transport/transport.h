// Module transport: the threads that carry bytes. Each class runs one duty on
// one thread, takes its work from a bounded ring and reports to a listener. It
// rests on wire, and leaves HTTP and RPC themselves to libraries.
//
//   address.h         parsing of "host:port"
//   wake_fd.h         wakes a thread that waits for file descriptors
//   caller_server.h   HTTP requests of callers (accept thread)
//   open_sockets.h    which socket a client library is about to use
//   backend_client.h  HTTP calls to backend servers (backend thread)
//   peer_node.h       calls between daemons (peers thread)
//   platform_client.h reads and watches of the platform (platform thread)

#ifndef TRANSPORT_TRANSPORT_H_
#define TRANSPORT_TRANSPORT_H_

#include "transport/address.h"
#include "transport/backend_client.h"
#include "transport/caller_server.h"
#include "transport/peer_node.h"
#include "transport/platform_client.h"

#endif  // TRANSPORT_TRANSPORT_H_
