#include "proxy/link_codec.h"

#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "proxy/generated/link.capnp.h"

namespace vanillafall {
namespace {

std::span<const unsigned char> Payload(const std::string& framed) {
  return {
      reinterpret_cast<const unsigned char*>(framed.data()) + kLinkLengthBytes,
      framed.size() - kLinkLengthBytes};
}

template <typename Message>
Message RoundTrip(const Message& message) {
  const std::string framed = EncodeLinkMessage(message);
  const auto* bytes = reinterpret_cast<const unsigned char*>(framed.data());
  REQUIRE(ReadLinkLength(bytes) == framed.size() - kLinkLengthBytes);
  const auto decoded = DecodeLinkMessage(Payload(framed));
  REQUIRE(decoded);
  REQUIRE(std::holds_alternative<Message>(*decoded));
  return std::get<Message>(*decoded);
}

TEST_CASE("messages are decoded as they were encoded", "[codec]") {
  Offer offer;
  offer.id = {1, 2};
  offer.server = "s";
  offer.route = "r";
  offer.priority = 3;
  offer.is_idempotent = offer.may_wait = offer.is_late = true;
  offer.copies = 3;
  offer.max_wait = std::chrono::milliseconds(77);
  offer.time_left = std::chrono::milliseconds(1234);
  offer.fingerprint = {5, 6};
  offer.config_version = 9;
  offer.customer = 77;
  offer.is_call = true;
  offer.is_continued = true;
  offer.tally = {2.5, 0.25};
  offer.is_service_in_trouble = true;
  const Offer decoded_offer = RoundTrip(offer);
  CHECK(decoded_offer.id == offer.id);
  CHECK(decoded_offer.route == "r");
  CHECK(decoded_offer.copies == 3);
  CHECK(decoded_offer.is_late);
  CHECK(decoded_offer.customer == 77);
  CHECK(decoded_offer.is_call);
  CHECK(decoded_offer.is_continued);
  CHECK(decoded_offer.tally.served == Approx(2.5));
  CHECK(decoded_offer.tally.unserved == Approx(0.25));
  CHECK(decoded_offer.is_service_in_trouble);
  CHECK_FALSE(decoded_offer.accepts_suspect);
  CHECK(decoded_offer.max_wait == offer.max_wait);
  CHECK(decoded_offer.time_left == offer.time_left);
  CHECK(decoded_offer.fingerprint == offer.fingerprint);

  const ConfigConfirmed confirmed =
      RoundTrip(ConfigConfirmed{7, std::chrono::milliseconds(12), {2, 55}});
  CHECK(confirmed.version == 7);
  CHECK(confirmed.revision == SourceRevision{2, 55});
  CHECK(confirmed.age == std::chrono::milliseconds(12));
  CHECK_FALSE(confirmed.asked_at);
  CHECK(RoundTrip(ConfigConfirmed{7, {}, {}, std::chrono::milliseconds(5)})
            .asked_at == std::chrono::milliseconds(5));
  CHECK(RoundTrip(ConfirmationWanted{std::chrono::milliseconds(1'234)})
            .asked_at == std::chrono::milliseconds(1'234));

  CHECK(RoundTrip(ServerLeaving{"s"}).server == "s");

  const CreditRequest wanted = RoundTrip(CreditRequest{"club", 3, 4, 5, 6});
  CHECK(wanted.limit == "club");
  CHECK(wanted.waiting == 4);
  CHECK(wanted.advance == 5);
  const CreditReply credits = RoundTrip(
      CreditReply{"club", 3, 4, std::chrono::milliseconds(25), true, 6});
  CHECK(credits.sequence == 3);
  CHECK(credits.granted == 4);
  CHECK(credits.retry_after == std::chrono::milliseconds(25));
  CHECK(credits.is_declined);

  Run run;
  run.id = {1, 2};
  run.request_id = "id";
  run.request.method = "POST";
  run.request.target = "/x?y";
  run.request.headers = {{"Host", "a"}, {"X", "b"}};
  run.request.body = std::string("\0\xff", 2);
  run.is_repeat = true;
  run.customer = "club";
  const Run decoded_run = RoundTrip(run);
  CHECK(decoded_run.is_repeat);
  CHECK(decoded_run.customer == "club");
  CHECK(decoded_run.request.body == run.request.body);
  CHECK(decoded_run.request.headers[1].value == "b");

  RunResult result;
  result.end = RunEnd::kNotRun;
  result.reason = Reason::kBackendServerShed;
  result.has_arrived = true;
  result.response.status = 503;
  result.load.in_use = 2;
  result.load.failure_probability = 0.25;
  result.load.is_service_in_trouble = true;
  result.load.is_leaving = true;
  result.load.leaving_started_at = std::chrono::milliseconds(1'700'000'000'123);
  const RunResult decoded_result = RoundTrip(result);
  CHECK(decoded_result.end == RunEnd::kNotRun);
  CHECK(decoded_result.reason == Reason::kBackendServerShed);
  CHECK(decoded_result.load.failure_probability == Approx(0.25));
  CHECK(decoded_result.load.is_service_in_trouble);
  CHECK(decoded_result.load.is_leaving);
  CHECK(decoded_result.load.leaving_started_at ==
        result.load.leaving_started_at);

  CHECK(RoundTrip(Resume{{{1, 2}, {3, 4}}}).ids.size() == 2);
  CHECK(RoundTrip(Hello{4, 5}).config_version == 5);
  CHECK(RoundTrip(ConfigText{3, "text"}).text == "text");
  CHECK(RoundTrip(CrashNotice{"desk", {1, 2}, true}).alone);
  CHECK(RoundTrip(Deny{{1, 2}, DenyReason::kTooLate, {}, 4}).reason ==
        DenyReason::kTooLate);
  RoundTrip(Ping{});
  RoundTrip(CancelRun{{8, 9}});
}

// Large bodies are packed in parts and unpacked where they arrive; all sizes
// and all bytes must survive, in pieces of any size.
TEST_CASE("a message with a large body is decoded in pieces", "[codec]") {
  std::mt19937_64 random(7);
  for (const std::size_t size : {65'536, 65'537, 200'003, 1'048'576}) {
    Run run;
    run.id = {1, 2};
    run.request_id = "id";
    run.request.target = "/x";
    run.request.headers = {{"Host", "a"}, {"X", std::string(3000, 'b')}};
    run.customer = "club";
    std::string body(size, '\0');
    for (std::size_t i = 0; i < size; i += 1 + random() % 20) {
      body[i] = static_cast<char>(random());
    }
    run.request.body = body;
    LinkFrame frame = EncodeLinkFrame(run);
    REQUIRE(frame.has_body());
    std::string framed = frame.head();
    while (frame.AppendNextPart(&framed, 10'000)) {
    }
    REQUIRE(framed.size() == frame.size());
    CHECK(framed == EncodeLinkMessage(run));
    MemoryAccount account(4'000'000);
    {
      LinkUnpacker unpacker(framed.size() - kLinkLengthBytes, account);
      std::span<const unsigned char> rest = Payload(framed);
      LinkUnpacker::Result result = LinkUnpacker::Result::kNeedsBytes;
      while (!rest.empty()) {
        std::span<const unsigned char> piece =
            rest.first(std::min<std::size_t>(rest.size(), 1 + random() % 3000));
        rest = rest.subspan(piece.size());
        REQUIRE(result == LinkUnpacker::Result::kNeedsBytes);
        result = unpacker.Unpack(&piece);
        REQUIRE(piece.empty());
      }
      REQUIRE(result == LinkUnpacker::Result::kDone);
      const auto decoded = unpacker.Take();
      REQUIRE(decoded);
      CHECK_FALSE(decoded->is_body_dropped);
      const Run& taken = std::get<Run>(decoded->message);
      CHECK(taken.request.body == run.request.body);
      CHECK(taken.customer == "club");
      CHECK(taken.request.headers[1].value == run.request.headers[1].value);
      CHECK(account.held() >= size);
    }
    CHECK(account.held() == 0);
  }
}

// Daemons of the version before this one unpack with the library.
TEST_CASE("a large body is packed as the library expects it", "[codec]") {
  RunResult result;
  result.response.body = std::string(300'001, 'x');
  const std::string framed = EncodeLinkMessage(result);
  const auto payload = Payload(framed);
  kj::ArrayInputStream in(
      kj::ArrayPtr<const kj::byte>(payload.data(), payload.size()));
  capnp::PackedMessageReader reader(in);
  const auto body = reader.getRoot<link::Message>().getRunResult().getBody();
  CHECK(result.response.body ==
        std::string(reinterpret_cast<const char*>(body.begin()), body.size()));
}

// Without memory for a body its head must still arrive, so that the request can
// be refused as not run.
TEST_CASE("a body for which there is no room is dropped", "[codec]") {
  Run run;
  run.id = {3, 4};
  run.request.body = std::string(500'000, 'x');
  const std::string framed = EncodeLinkMessage(run);
  MemoryAccount account(100'000);
  LinkUnpacker unpacker(framed.size() - kLinkLengthBytes, account);
  std::span<const unsigned char> rest = Payload(framed);
  REQUIRE(unpacker.Unpack(&rest) == LinkUnpacker::Result::kNeedsRoom);
  CHECK(unpacker.wanted_bytes() > 500'000);
  unpacker.DropBody();
  REQUIRE(unpacker.Unpack(&rest) == LinkUnpacker::Result::kDone);
  const auto decoded = unpacker.Take();
  REQUIRE(decoded);
  CHECK(decoded->is_body_dropped);
  CHECK(std::get<Run>(decoded->message).id == run.id);
  CHECK(std::get<Run>(decoded->message).request.body.empty());
  CHECK(account.held() < 100'000);
}

// A few bytes may announce gigabytes.
TEST_CASE("a message that announces too much is refused at once", "[codec]") {
  // One packed word: one segment of 0x0fffffff words.
  const unsigned char bytes[] = {0xf0, 0xff, 0xff, 0xff, 0x0f};
  MemoryAccount account(1'000'000);
  LinkUnpacker unpacker(1000, account);
  std::span<const unsigned char> rest(bytes);
  CHECK(unpacker.Unpack(&rest) == LinkUnpacker::Result::kMalformed);
  CHECK(account.held() == 0);
}

TEST_CASE("decoding damaged bytes does not crash", "[codec]") {
  std::mt19937_64 random(5);
  Run run;
  run.request.body = std::string(300, 'x');
  run.request.headers = {{"Host", "a"}};
  const std::string framed = EncodeLinkMessage(run);
  for (int i = 0; i < 2000; ++i) {
    std::string damaged = framed.substr(kLinkLengthBytes);
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t change = 0; change < changes; ++change) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    damaged.resize(random() % (damaged.size() + 1));
    // Both results are correct, because some changes leave a valid message.
    static_cast<void>(DecodeLinkMessage(
        {reinterpret_cast<const unsigned char*>(damaged.data()),
         damaged.size()}));
  }
}

}  // namespace
}  // namespace vanillafall
