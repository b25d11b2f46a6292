#ifndef PROXY_LINK_CODEC_H_
#define PROXY_LINK_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/link_message.h"
#include "message/body.h"
#include "proxy/memory_account.h"

namespace vanillafall {

// Messages between entries and owners are sent as packed Cap'n Proto, each
// preceded by its length in four bytes, most significant byte first. The length
// does not include these four bytes.
inline constexpr std::size_t kLinkLengthBytes = 4;

// The largest unpacked message: the largest body, its headers and the rest.
inline constexpr std::size_t kMaxLinkMessageBytes =
    std::size_t{80} * 1024 * 1024;

// One encoded message. A large body is not copied into it; it is packed in
// parts while the message is written.
class LinkFrame {
 public:
  LinkFrame(std::string head, Body body)
      : head_(std::move(head)), body_(std::move(body)) {}

  // The bytes before the packed body: the length and the packed head.
  const std::string& head() const { return head_; }
  bool has_body() const { return !body_.empty(); }
  std::size_t size() const { return head_.size() + PackedSize(body_.size()); }
  // Appends the next part of the packed body, of about `max_bytes` bytes.
  // Returns false when there is no further part.
  bool AppendNextPart(std::string* out, std::size_t max_bytes);

  // Bytes that a body takes when it is packed.
  static std::size_t PackedSize(std::size_t body_bytes);

 private:
  std::string head_;
  Body body_;
  // Bytes of the body that have been packed.
  std::size_t packed_bytes_ = 0;
};

// Encodes one message, preceded by its length.
LinkFrame EncodeLinkFrame(const LinkMessage& message);
// The same in one piece.
std::string EncodeLinkMessage(const LinkMessage& message);

// Reads the length from the first kLinkLengthBytes bytes.
std::size_t ReadLinkLength(const unsigned char* bytes);

// Decodes one message, given without its length. Empty when the bytes are not a
// valid message or a value is out of range.
std::optional<LinkMessage> DecodeLinkMessage(
    std::span<const unsigned char> bytes);

// Decodes one message while its bytes arrive, so that a large one is in memory
// once. Its memory is taken from the account before its bytes are.
class LinkUnpacker {
 public:
  enum class Result : std::uint8_t {
    kNeedsBytes,
    // The account has no room for the message. Call Unpack again later, or
    // DropBody first.
    kNeedsRoom,
    kDone,
    kMalformed,
  };
  struct Message {
    LinkMessage message;
    // The message came without its body, for which there was no room.
    bool is_body_dropped = false;
  };

  // `length` is the message's length as announced by ReadLinkLength.
  LinkUnpacker(std::size_t length, const MemoryAccount& account);

  // Takes bytes off the front of `bytes`, at most up to the message's end.
  Result Unpack(std::span<const unsigned char>* bytes);
  // Receives the rest of the message without keeping its body.
  void DropBody();
  // Bytes for which there must be room.
  std::size_t wanted_bytes() const { return total_bytes_; }
  // The message after kDone. Empty when it is not valid.
  std::optional<Message> Take();

 private:
  // What the next packed byte is.
  enum class State : std::uint8_t { kTag, kWord, kZeroCount, kLiteralCount };

  bool has_table() const { return total_bytes_ > 0; }
  // Reads the sizes of the segments once they have arrived. False when they are
  // not valid.
  bool ReadTable();
  void Append(const unsigned char* bytes, std::size_t count);
  void AppendZeros(std::size_t count);
  State StateAfterWord() const;

  const MemoryAccount& account_;
  MemoryAccount::Share share_;
  // Packed bytes that have not arrived.
  std::size_t left_;
  State state_ = State::kTag;
  unsigned tag_ = 0;
  // Position within the word, for State::kWord.
  unsigned byte_ = 0;
  // Bytes of the literal run that have not arrived.
  std::size_t literal_bytes_ = 0;
  // The segments' table and the segments.
  std::string text_;
  // Unpacked bytes so far, also those that were not kept.
  std::size_t position_ = 0;
  // Size of the unpacked message; 0 until the table has arrived.
  std::size_t total_bytes_ = 0;
  // Bytes of the message that are kept: all, or those before the last segment.
  std::size_t kept_bytes_ = 0;
  bool has_room_ = false;
  std::vector<std::size_t> segment_bytes_;
  std::size_t table_bytes_ = 0;
};

}  // namespace vanillafall

#endif  // PROXY_LINK_CODEC_H_
