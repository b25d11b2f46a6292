#include "proxy/http_listener.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "transport/raw_socket_test.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMemory = 1'000'000;
// Two bodies fit into the memory with their heads, three do not.
constexpr std::size_t kBodyBytes = 400'000;
constexpr std::size_t kLongAnswer = std::size_t{2} * 1024 * 1024;

// Runs a listener on a thread of its own. Answers each request with its target;
// a request whose target begins with "/hold" is never answered.
class EchoServer final : private HttpListener::Handler {
 public:
  explicit EchoServer(std::uint64_t max_body_bytes = 1000,
                      HttpListener::Options options = {})
      : max_body_bytes_(max_body_bytes),
        address_(ClosedAddress()),
        listener_(loop_, address_, clock_, memory_, options, *this) {
    listener_.Start();
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~EchoServer() override {
    loop_.stop();
    thread_.join();
  }

  const std::string& address() const { return address_; }
  std::vector<HttpRequest> requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }
  int gone_count() const { return gone_count_; }
  int rejected_count() const { return rejected_count_; }
  int cut_count(CallerCut cut) const {
    return cut_counts_[static_cast<std::size_t>(cut)];
  }
  void MakeRoom(std::size_t bytes) {
    boost::asio::post(loop_, [this, bytes] { listener_.MakeRoom(bytes); });
  }

 private:
  void OnRequest(RequestId id,
                 HttpRequest request,
                 TimePoint /*first_byte_at*/) override {
    const std::string target = request.target;
    {
      const std::lock_guard lock(mutex_);
      requests_.push_back(request);
      requests_.back().body = request.body.text();
    }
    if (target.starts_with("/long")) {
      listener_.Answer(id, {200, {}, std::string(kLongAnswer, 'a') + "END"});
      return;
    }
    if (target.starts_with("/hold")) {
      held_[id] = std::move(request);
      return;
    }
    if (!target.starts_with("/hold")) {
      listener_.Answer(id, {200, {{"X-Mark", "m"}}, target});
    }
  }
  void OnCallerGone(RequestId id) override {
    held_.erase(id);
    ++gone_count_;
  }
  void OnCallerCut(CallerCut cut, std::size_t /*unread_bytes*/) override {
    ++cut_counts_[static_cast<std::size_t>(cut)];
  }
  void OnRejected(Reason /*reason*/,
                  int /*status*/,
                  const std::string& /*detail*/) override {
    ++rejected_count_;
  }
  CallerLimits GetLimits() const override {
    CallerLimits limits;
    limits.max_header_bytes = 2048;
    limits.max_body_bytes = max_body_bytes_;
    limits.header_timeout = milliseconds(300);
    return limits;
  }

  const SystemClock clock_;
  const std::uint64_t max_body_bytes_;
  MemoryAccount memory_{kMemory};
  // Requests that are being handled, as long as their callers wait.
  std::map<RequestId, HttpRequest> held_;
  std::array<std::atomic<int>, kCallerCuts> cut_counts_{};
  mutable std::mutex mutex_;
  std::vector<HttpRequest> requests_;
  std::atomic<int> gone_count_{0};
  std::atomic<int> rejected_count_{0};
  boost::asio::io_context loop_;
  const std::string address_;
  HttpListener listener_;
  std::thread thread_;
};

std::string ReadStatus(RawSocket& socket) {
  return socket.ReadUntil("\r\n\r\n").substr(0, 12);
}

TEST_CASE("one connection serves several requests, pipelined ones included",
          "[listener]") {
  EchoServer server;
  RawSocket socket(server.address());
  socket.Send("GET /one HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(ReadStatus(socket) == "HTTP/1.1 200");
  CHECK(socket.ReadUntil("/one") == "/one");
  socket.Send(
      "POST /two HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\n\r\nGET /three HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(ReadStatus(socket) == "HTTP/1.1 200");
  CHECK(socket.ReadUntil("/two") == "/two");
  CHECK(ReadStatus(socket) == "HTTP/1.1 200");
  CHECK(socket.ReadUntil("/three") == "/three");
  REQUIRE(server.requests().size() == 3);
  CHECK(server.requests()[1].body == "abc");
}

// Guards against an end of the process by an assertion of the HTTP library when
// the last chunk arrives in pieces.
TEST_CASE("a body in chunks is read however it is cut into segments",
          "[listener]") {
  struct Row {
    std::string chunks;
    std::string body;
  };
  const Row rows[] = {
      {"0\r\n\r\n", ""},
      {"0;x=y\r\n\r\n", ""},
      {"0\r\nX-Late: 1\r\n\r\n", ""},
      {"3\r\nabc\r\n0\r\n\r\n", "abc"},
  };
  EchoServer server;
  RawSocket socket(server.address());
  for (const Row& row : rows) {
    for (std::size_t second = 2; second < row.chunks.size(); ++second) {
      for (std::size_t first = 1; first < second; ++first) {
        CAPTURE(row.chunks, first, second);
        socket.Send(
            "POST /x HTTP/1.1\r\nHost: a\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
        socket.SendInSegments(row.chunks, first, second);
        REQUIRE(ReadStatus(socket) == "HTTP/1.1 200");
        REQUIRE(socket.ReadUntil("/x") == "/x");
        REQUIRE(server.requests().back().body == row.body);
      }
    }
  }
}

TEST_CASE(
    "a malformed request or one with an ambiguous end is rejected, and the "
    "bytes after it are not taken for a request",
    "[listener]") {
  const std::string smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string post = "POST /x HTTP/1.1\r\nHost: a\r\n";
  const std::string get = "GET /x HTTP/1.1\r\n";
  const std::string nul(1, '\0');
  const std::vector<std::string> heads = {
      post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
      post + "Transfer-Encoding: xchunked\r\n\r\n",
      post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      post + "Content-Length : 3\r\n\r\nabc",
      post + "Content-Length: -1\r\n\r\n",
      get + "\r\n",
      get + "Host: a\r\nHost: b\r\n\r\n",
      "GET /x" + nul + "y HTTP/1.1\r\nHost: a\r\n\r\n",
      "nonsense\r\n\r\n",
  };
  for (const std::string& head : heads) {
    CAPTURE(head);
    EchoServer server;
    RawSocket socket(server.address());
    socket.Send(head + smuggled);
    CHECK(ReadStatus(socket) == "HTTP/1.1 400");
    // Reads until the connection is closed; the text never arrives.
    socket.ReadUntil("never");
    CHECK_FALSE(socket.is_open());
    CHECK(server.requests().empty());
    CHECK(server.rejected_count() == 1);
  }
}

TEST_CASE("large headers, large bodies and slow senders get different statuses",
          "[listener]") {
  EchoServer server;
  RawSocket header(server.address());
  header.Send("GET /x HTTP/1.1\r\nHost: a\r\nX: " + std::string(4000, 'x') +
              "\r\n\r\n");
  CHECK(ReadStatus(header) == "HTTP/1.1 431");
  RawSocket body(server.address());
  body.Send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n");
  CHECK(ReadStatus(body) == "HTTP/1.1 413");
  RawSocket slow(server.address());
  slow.Send("GET /x HTTP/1.1\r\nHo");
  CHECK(ReadStatus(slow) == "HTTP/1.1 408");
  CHECK(server.requests().empty());
}

TEST_CASE("a caller's close or reset is detected while its request is handled",
          "[listener]") {
  EchoServer server;
  RawSocket closed(server.address());
  closed.Send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(Eventually([&] { return server.requests().size() == 1; }));
  closed.Close();
  CHECK(Eventually([&] { return server.gone_count() == 1; }));
  RawSocket reset(server.address());
  reset.Send("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(Eventually([&] { return server.requests().size() == 2; }));
  reset.Reset();
  CHECK(Eventually([&] { return server.gone_count() == 2; }));
}

TEST_CASE("hop-by-hop headers are dropped, others are kept", "[listener]") {
  EchoServer server;
  RawSocket socket(server.address());
  socket.Send(
      "GET /x HTTP/1.1\r\nHost: a\r\nConnection: X-Drop\r\nX-Drop: 1\r\n"
      "X-Keep: 2\r\nKeep-Alive: timeout=3\r\n\r\n");
  CHECK(ReadStatus(socket) == "HTTP/1.1 200");
  const HttpRequest request = server.requests().at(0);
  CHECK(FindHeader(request.headers, "X-Keep") == "2");
  CHECK(FindHeader(request.headers, "Host") == "a");
  CHECK(FindHeader(request.headers, "X-Drop").empty());
  CHECK(FindHeader(request.headers, "Keep-Alive").empty());
}

// Trailer fields that pass for header fields could replace the host, the
// request's id or the name of the customer after these were checked.
TEST_CASE("trailer fields do not become header fields", "[listener]") {
  EchoServer server;
  RawSocket socket(server.address());
  socket.Send(
      "POST /x HTTP/1.1\r\nHost: a\r\nX-Kept: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
      "Host: b\r\nX-Request-Id: r\r\nX-Tenant: t\r\nX-Credential: c\r\n\r\n");
  CHECK(ReadStatus(socket) == "HTTP/1.1 200");
  const HttpRequest request = server.requests().at(0);
  CHECK(request.body == "abc");
  CHECK(FindHeader(request.headers, "X-Kept") == "1");
  CHECK(FindHeader(request.headers, "Host") == "a");
  CHECK(std::count_if(request.headers.begin(), request.headers.end(),
                      [](const HttpHeader& header) {
                        return EqualsIgnoringCase(header.name, "Host");
                      }) == 1);
  for (const char* name : {"X-Request-Id", "X-Tenant", "X-Credential"}) {
    CHECK(FindHeader(request.headers, name).empty());
  }
}

// What one caller sends must not use up the memory of all.
TEST_CASE("bodies beyond the memory for them are refused before they are read",
          "[listener]") {
  EchoServer server(kBodyBytes);
  const std::string body(kBodyBytes, 'a');
  const auto post = [&body](const std::string& target) {
    return "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n";
  };
  RawSocket first(server.address());
  RawSocket second(server.address());
  first.Send(post("/hold1") + "\r\n" + body);
  second.Send(post("/hold2") + "\r\n" + body);
  REQUIRE(Eventually([&] { return server.requests().size() == 2; }));
  SECTION("with a declared length") {
    RawSocket third(server.address());
    third.Send(post("/three") + "Expect: 100-continue\r\n\r\n");
    CHECK(ReadStatus(third) == "HTTP/1.1 503");
  }
  SECTION("in chunks") {
    RawSocket third(server.address());
    third.Send(
        "POST /three HTTP/1.1\r\nHost: a\r\n"
        "Transfer-Encoding: chunked\r\n\r\n61a80\r\n" +
        body + "\r\n");
    CHECK(ReadStatus(third) == "HTTP/1.1 503");
  }
  CHECK(server.requests().size() == 2);
  // The memory of a body is free again when its caller has gone.
  first.Close();
  REQUIRE(Eventually([&] { return server.gone_count() == 1; }));
  RawSocket fourth(server.address());
  fourth.Send(post("/four") + "\r\n" + body);
  CHECK(ReadStatus(fourth) == "HTTP/1.1 200");
}

// 413 would tell the caller that its body is never allowed.
TEST_CASE("an allowed body that can't fit into the memory is unavailable",
          "[listener]") {
  EchoServer server(10 * kMemory);
  RawSocket socket(server.address());
  socket.Send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " +
              std::to_string(2 * kMemory) + "\r\n\r\n");
  const std::string head = socket.ReadUntil("\r\n\r\n");
  CHECK(head.starts_with("HTTP/1.1 503"));
  CHECK(head.find("Retry-After: ") != std::string::npos);
  CHECK(server.requests().empty());
}

// Waiting callers would otherwise hold their answers until the memory is gone.
TEST_CASE("a caller that reads below the minimum rate is cut", "[listener]") {
  EchoServer server(1000,
                    {.min_read_rate = 65'536, .read_span = milliseconds(1000)});
  RawSocket silent(server.address());
  silent.Send("GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
  RawSocket reader(server.address());
  reader.Send("GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(reader.ReadUntil("END", milliseconds(5000)).size() > kLongAnswer);
  CHECK(Eventually(
      [&] { return server.cut_count(CallerCut::kSlowReader) == 1; }));
}

// The largest answers that have waited for longest are given up first.
TEST_CASE("memory is taken from a caller that does not read", "[listener]") {
  EchoServer server;
  RawSocket silent(server.address());
  silent.Send("GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(Eventually([&] { return server.requests().size() == 1; }));
  CHECK(Eventually([&] {
    // Answers of the test's server are not in its account, so that every call
    // asks for more than there is.
    server.MakeRoom(2 * kMemory);
    return server.cut_count(CallerCut::kMemory) == 1;
  }));
  RawSocket other(server.address());
  other.Send("GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(ReadStatus(other) == "HTTP/1.1 200");
}

// Idle connections must not keep others out.
TEST_CASE("beyond the bound on connections the longest idle one is closed",
          "[listener]") {
  EchoServer server(1000, {.max_connections = 3});
  std::vector<std::unique_ptr<RawSocket>> sockets;
  sockets.reserve(5);
  for (int i = 0; i < 5; ++i) {
    sockets.push_back(std::make_unique<RawSocket>(server.address()));
  }
  CHECK(Eventually(
      [&] { return server.cut_count(CallerCut::kConnections) == 2; }));
  sockets.back()->Send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(ReadStatus(*sockets.back()) == "HTTP/1.1 200");
}

TEST_CASE("a request that never ends is rejected at its bound", "[listener]") {
  struct Row {
    const char* name;
    std::string text;
    std::string repeated;
  };
  const std::string head = "POST /p HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const Row rows[] = {
      {"header fields", head, "X-Pad: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"},
      {"declared length", head + "Content-Length: 99999999999\r\n\r\n", "a"},
      {"chunk", chunked + "fffffff\r\n", "a"},
      {"small chunks", chunked, "1\r\na\r\n"},
      {"chunk header", chunked + "1;", "a"},
      {"trailer fields", chunked + "0\r\n", "X-Pad: aaaaaaaaaaaaa\r\n"},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    EchoServer server;
    RawSocket socket(server.address());
    socket.Send(row.text);
    std::string repeated = row.repeated;
    while (repeated.size() < 8192) {
      repeated += repeated;
    }
    constexpr int kMaxBlocks = 64;
    int blocks = 0;
    while (server.rejected_count() == 0 && blocks < kMaxBlocks &&
           socket.Send(repeated)) {
      ++blocks;
      std::this_thread::sleep_for(milliseconds(1));
    }
    CHECK(Eventually([&] { return server.rejected_count() == 1; }));
    CHECK(server.requests().empty());
    RawSocket other(server.address());
    other.Send("GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(ReadStatus(other) == "HTTP/1.1 200");
  }
}

}  // namespace
}  // namespace vanillafall
