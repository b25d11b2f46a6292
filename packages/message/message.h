// Module message: the typed messages that daemons exchange and the HTTP values
// that they carry. It holds data only and depends on module base. Module wire
// encodes these types as bytes.
//
//   http.h   HTTP requests and answers, and the headers that daemons interpret
//   peer.h   requests and replies between daemons

#ifndef MESSAGE_MESSAGE_H_
#define MESSAGE_MESSAGE_H_

#include "message/http.h"
#include "message/peer.h"

#endif  // MESSAGE_MESSAGE_H_
