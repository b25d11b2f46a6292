#include <capnp/message.h>

#include <catch2/catch.hpp>

#include "wire/codec.h"

namespace vanillafall {
namespace {

// Encodes and decodes a message.
PeerRequest RoundTrip(const PeerRequest& request) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::PeerRequest>();
  Encode(request, root);
  return Decode(root.asReader()).value();
}

PeerReply RoundTrip(const PeerReply& reply) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::PeerReply>();
  Encode(reply, root);
  return Decode(root.asReader()).value();
}

const ConfigVersion kVersion{7, {8, 9}};

TEST_CASE("encoding a config probe and its reply preserves every field",
          "[codec]") {
  const auto probe = std::get<ConfigProbe>(
      RoundTrip(ConfigProbe{kVersion, "10.0.0.1:7100", 11, "nekala"}));
  CHECK(probe.version == kVersion);
  CHECK(probe.sender == "10.0.0.1:7100");
  CHECK(probe.incarnation == 11);
  CHECK(probe.data_centre == "nekala");
  const auto reply = std::get<ConfigProbeReply>(
      RoundTrip(ConfigProbeReply{kVersion, 12, "kauppi", false}));
  CHECK(reply.version == kVersion);
  CHECK(reply.incarnation == 12);
  CHECK(reply.data_centre == "kauppi");
  CHECK_FALSE(reply.is_platform_reached);
}

TEST_CASE("an empty document reply decodes differently from a document",
          "[codec]") {
  const auto request =
      std::get<DocumentRequest>(RoundTrip(DocumentRequest{"manifest", {1, 2}}));
  CHECK(request.name == "manifest");
  CHECK(request.digest == Hash128{1, 2});
  const auto body = std::string("a\0b", 3);
  CHECK(std::get<DocumentReply>(RoundTrip(DocumentReply{body})).body == body);
  CHECK_FALSE(
      std::get<DocumentReply>(RoundTrip(DocumentReply{std::nullopt})).body);
}

}  // namespace
}  // namespace vanillafall
