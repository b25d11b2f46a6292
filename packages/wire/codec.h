#ifndef WIRE_CODEC_H_
#define WIRE_CODEC_H_

#include <optional>

#include "message/peer.h"
#include "wire/generated/peer.capnp.h"

namespace vanillafall {

// Fills a builder from a typed message.
void Encode(const PeerRequest& request, wire::PeerRequest::Builder builder);
void Encode(const PeerReply& reply, wire::PeerReply::Builder builder);

// Reads a typed message; empty when a value is out of its range or the kind is
// unknown, so that a malformed message never reaches a decision.
std::optional<PeerRequest> Decode(wire::PeerRequest::Reader reader);
std::optional<PeerReply> Decode(wire::PeerReply::Reader reader);

}  // namespace vanillafall

#endif  // WIRE_CODEC_H_
