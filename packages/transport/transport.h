// Module transport: the threads that do network I/O. Each server or client
// class works on its own thread (PlatformClient on two) and reports to a
// listener. Commands from other threads pass through a bounded queue, except in
// CallerServer. The module depends on wire; libraries implement HTTP and RPC.
//
//   address.h         parsing of "host:port"
//   wake_fd.h         wakes a thread that waits on file descriptors
//   caller_server.h   HTTP requests of callers (accept thread)
//   open_sockets.h    finds the socket that an HTTP client library uses
//   backend_client.h  HTTP calls to backend servers (backend thread)
//   peer_node.h       calls between daemons (peers thread)
//   platform_client.h reads and watches of the platform (platform threads)

#ifndef TRANSPORT_TRANSPORT_H_
#define TRANSPORT_TRANSPORT_H_

#include "transport/address.h"
#include "transport/backend_client.h"
#include "transport/caller_server.h"
#include "transport/peer_node.h"
#include "transport/platform_client.h"

#endif  // TRANSPORT_TRANSPORT_H_
