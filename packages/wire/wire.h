// Module wire: encodes the messages of module message as Cap'n Proto bytes and
// decodes them. It depends on message. The generated code under generated/ is
// committed; run `scripts/generate.sh` after a change of peer.capnp.

#ifndef WIRE_WIRE_H_
#define WIRE_WIRE_H_

#include "wire/codec.h"

#endif  // WIRE_WIRE_H_
