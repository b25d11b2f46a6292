#include "transport/platform_client.h"

#include <catch2/catch.hpp>
#include <optional>

#include "transport/raw_socket_test.h"

namespace vanillafall {
namespace {

// Records the last value and how many answers there were.
class Values final : public PlatformClient::Listener {
 public:
  void OnPlatformValue(const std::string& /*name*/,
                       std::optional<PlatformClient::Value> value,
                       bool is_reached) override {
    const std::lock_guard lock(mutex_);
    last_ = std::move(value);
    is_reached_ = is_reached;
    ++count_;
  }
  // The value of the first answer; nothing when it had none.
  std::optional<PlatformClient::Value> WaitForFirst() {
    REQUIRE(Eventually([this] {
      const std::lock_guard lock(mutex_);
      return count_ > 0;
    }));
    const std::lock_guard lock(mutex_);
    return last_;
  }
  // Whether the last answer shows that the platform serves.
  bool is_reached() {
    const std::lock_guard lock(mutex_);
    return is_reached_;
  }

 private:
  std::mutex mutex_;
  int count_ = 0;
  bool is_reached_ = false;
  std::optional<PlatformClient::Value> last_;
};

std::optional<PlatformClient::Value> ReadFrom(const std::string& bytes) {
  RawServer platform([&bytes](RawSocket& socket, int) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(bytes);
  });
  Values values;
  PlatformClient client(platform.address(), values);
  client.Start();
  REQUIRE(client.Read("manifest"));
  return values.WaitForFirst();
}

TEST_CASE("a value is read with its revision", "[platform_client]") {
  const auto value = ReadFrom(
      "HTTP/1.1 200 OK\r\nX-Revision: 7\r\nContent-Length: 4\r\n\r\ntext");
  REQUIRE(value);
  CHECK(value->revision == 7);
  CHECK(value->body == "text");
}

// Guards against taking a status or a line of the head that HTTP does not allow
// for the platform's word that it has no such value.
TEST_CASE("an answer with a malformed head is no answer of the platform",
          "[platform_client]") {
  const std::string line = GENERATE(
      as<std::string>(), "HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n",
      "HTTP/1.1 404 X\r\nX Mark: m\r\n", "HTTP/1.1 200 OK\r\n X-Mark: m\r\n");
  CAPTURE(line);
  RawServer platform([&line](RawSocket& socket, int) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(line + "Content-Length: 4\r\n\r\ntext");
  });
  Values values;
  PlatformClient client(platform.address(), values);
  client.Start();
  REQUIRE(client.Read("manifest"));
  CHECK_FALSE(values.WaitForFirst());
  CHECK_FALSE(values.is_reached());
}

TEST_CASE("header or trailer fields without end are given up at their bound",
          "[platform_client]") {
  const std::string text =
      GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
  CAPTURE(text);
  std::atomic<std::size_t> sent{0};
  RawServer platform([&](RawSocket& socket, int) {
    socket.ReadUntil("\r\n\r\n");
    sent = SendWithoutEnd(socket, text, "X-Pad: aaaaaaaaaaaaaaaaaaaaaaaaa\r\n");
  });
  Values values;
  PlatformClient client(platform.address(), values);
  client.Start();
  REQUIRE(client.Read("manifest"));
  CHECK_FALSE(values.WaitForFirst());
  // Beside what the client may hold, the connection has socket buffers.
  CHECK(sent < std::size_t{8} * 1024 * 1024);
}

TEST_CASE("an answer that is broken off in its head gives no value",
          "[platform_client]") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Revision: 7\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t length = 1; length < head.size(); ++length) {
    CAPTURE(length);
    CHECK_FALSE(ReadFrom(head.substr(0, length)));
  }
}

}  // namespace
}  // namespace vanillafall
