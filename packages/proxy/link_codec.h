#ifndef PROXY_LINK_CODEC_H_
#define PROXY_LINK_CODEC_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string>

#include "dispatch/link_message.h"

namespace vanillafall {

// Messages between entries and owners are sent as packed Cap'n Proto, each
// preceded by its length in four bytes, most significant byte first. The length
// does not include these four bytes.
inline constexpr std::size_t kLinkLengthBytes = 4;

// Encodes one message, preceded by its length.
std::string EncodeLinkMessage(const LinkMessage& message);

// Reads the length from the first kLinkLengthBytes bytes.
std::size_t ReadLinkLength(const unsigned char* bytes);

// Decodes one message, given without its length. Empty when the bytes are not a
// valid message or a value is out of range.
std::optional<LinkMessage> DecodeLinkMessage(
    std::span<const unsigned char> bytes);

}  // namespace vanillafall

#endif  // PROXY_LINK_CODEC_H_
