// Module message: the typed messages that daemons exchange and the HTTP values
// that they carry. It rests on base. It holds data only; module wire turns
// these types into bytes.
//
//   http.h   requests and answers of callers and backend servers
//   peer.h   requests and replies between daemons

#ifndef MESSAGE_MESSAGE_H_
#define MESSAGE_MESSAGE_H_

#include "message/http.h"
#include "message/peer.h"

#endif  // MESSAGE_MESSAGE_H_
