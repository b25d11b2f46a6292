#include "proxy/peer_links.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <variant>
#include <vector>

#include "proxy/link_codec.h"
#include "transport/raw_socket_test.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMemory = std::size_t{1024} * 1024;

// Records the results that owners send.
class HandlerFake final : public PeerLinks::Handler {
 public:
  Hello MakeHello() override { return {}; }
  void OnOwnerMessage(const PeerAddress& /*owner*/,
                      LinkMessage message) override {
    if (auto* result = std::get_if<RunResult>(&message)) {
      results.push_back(std::move(*result));
    }
  }
  void OnOwnerLinkLost(const PeerAddress& /*owner*/,
                       const std::string& /*detail*/) override {}
  void OnEntryMessage(LinkId /*link*/, LinkMessage /*message*/) override {}
  void OnEntryLinkLost(LinkId /*link*/) override {}
  void OnRunWithoutMemory(LinkId /*link*/, const OfferId& /*id*/) override {}
  void MakeRoom(std::size_t /*bytes*/) override {}
  void OnMalformedMessage(const std::string& /*peer*/) override {}

  std::vector<RunResult> results;
};

RunResult Answered(HttpResponse response) {
  RunResult result;
  result.end = RunEnd::kAnswered;
  result.has_arrived = true;
  result.response = std::move(response);
  return result;
}

// Guards against passing on an answer that the daemon beside the backend server
// has let through, such as one of another version.
TEST_CASE("an answer of another daemon with a malformed head is dropped",
          "[links]") {
  RawServer owner([](RawSocket& socket, int) {
    socket.Send(EncodeLinkMessage(Answered({0, {}, "own"})));
    socket.Send(EncodeLinkMessage(Answered({600, {}, "own"})));
    socket.Send(EncodeLinkMessage(Answered({200, {{"X Mark", "m"}}, "own"})));
    socket.Send(EncodeLinkMessage(Answered({503, {{"X-Mark", "m"}}, "own"})));
    socket.ReadUntil("never", milliseconds(5000));
  });
  boost::asio::io_context loop;
  const SystemClock clock;
  const MemoryAccount memory(kMemory);
  HandlerFake handler;
  PeerLinks links(loop, ClosedAddress(), clock, memory, handler);
  links.SendToOwner(owner.address(), Ping{});
  constexpr std::size_t kResults = 4;
  for (int turn = 0; handler.results.size() < kResults && turn < 200; ++turn) {
    loop.run_one_for(milliseconds(50));
  }
  REQUIRE(handler.results.size() == kResults);
  for (std::size_t i = 0; i + 1 < kResults; ++i) {
    CAPTURE(i);
    CHECK(handler.results[i].end == RunEnd::kUnknown);
    CHECK(handler.results[i].reason == Reason::kAnswerTruncated);
    CHECK(handler.results[i].has_arrived);
    CHECK(handler.results[i].response.status == 0);
  }
  CHECK(handler.results.back().end == RunEnd::kAnswered);
  CHECK(handler.results.back().response.body == "own");
  links.Stop();
}

}  // namespace
}  // namespace vanillafall
