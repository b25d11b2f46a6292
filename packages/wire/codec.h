#ifndef WIRE_CODEC_H_
#define WIRE_CODEC_H_

#include <optional>

#include "message/peer.h"
#include "wire/generated/peer.capnp.h"

namespace vanillafall {

// Writes a typed message into a Cap'n Proto builder.
void Encode(const PeerRequest& request, wire::PeerRequest::Builder builder);
void Encode(const PeerReply& reply, wire::PeerReply::Builder builder);

// Reads a typed message. Returns nothing when an enum value is out of range or
// the kind of message is unknown, so that no decision is ever based on a
// malformed message.
std::optional<PeerRequest> Decode(wire::PeerRequest::Reader reader);
std::optional<PeerReply> Decode(wire::PeerReply::Reader reader);

}  // namespace vanillafall

#endif  // WIRE_CODEC_H_
