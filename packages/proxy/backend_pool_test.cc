#include "proxy/backend_pool.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>

#include "transport/raw_socket_test.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using Kind = HttpDialect::AnswerKind;

constexpr std::size_t kAnswerMemory = std::size_t{256} * 1024;
// More than fits into the buffers of a connection.
const std::string kLongUpload =
    std::string(std::size_t{8} * 1024 * 1024, 'u') + "the end of the upload";

// Reads the id of the answered request from the header "Id". Status 421 stands
// for another server, 503 for a request that was not run.
class DialectFake final : public HttpDialect {
 public:
  EntryRequest ReadCallerRequest(
      HttpRequest /*request*/,
      const std::string& /*caller_service*/) const override {
    return {};
  }
  void PrepareForBackend(const std::string& server,
                         milliseconds /*time_left*/,
                         const std::string& /*customer*/,
                         HttpRequest* request) const override {
    request->headers.push_back({"Server-Id", server});
  }
  AnswerKind ClassifyAnswer(const HttpResponse& response,
                            const std::string& request_id) const override {
    const auto id = FindHeader(response.headers, "Id");
    if (!id.empty() && id != request_id) {
      return Kind::kOtherRequest;
    }
    if (response.status == 421) {
      return Kind::kOtherServer;
    }
    return response.status == 503 ? Kind::kNotRun : Kind::kThisRequest;
  }
  ServerNotice ReadServerNotice(const HttpResponse& response) const override {
    ServerNotice notice;
    notice.is_leaving = !FindHeader(response.headers, "Leaving").empty();
    return notice;
  }
  HttpResponse WriteCallerAnswer(const std::string& /*request_id*/,
                                 CallerAnswer answer) const override {
    return answer.response;
  }
  std::string ReadinessPath() const override { return "/"; }
};

// A pool whose backend server runs a script, or is whatever listens at an
// address.
struct Fixture final : private BackendPool::Handler {
  explicit Fixture(RawServer::Script script)
      : Fixture(std::make_unique<RawServer>(std::move(script)), "") {}
  explicit Fixture(const std::string& address) : Fixture(nullptr, address) {}

  // Makes a call and waits until it has ended; cancels it after cancel_after if
  // that is set.
  BackendCallEnd Call(const std::string& id,
                      bool is_idempotent = false,
                      milliseconds left = milliseconds(1000)) {
    Begin(id, is_idempotent, left);
    if (cancel_after) {
      loop.run_for(*cancel_after);
      pool.Cancel(calls);
    }
    return WaitFor(calls);
  }
  // Makes a call; `calls` is its id.
  void Begin(const std::string& id,
             bool is_idempotent = false,
             milliseconds left = std::chrono::seconds(10),
             const std::string& body = "") {
    BackendCall call;
    call.id = ++calls;
    call.server = "s1";
    call.request_id = id;
    call.request.method = body.empty() ? "GET" : "POST";
    call.request.body = body;
    call.request.target = "/" + id;
    call.request.headers = {{"Host", "a"}};
    call.time_left = left;
    call.is_idempotent = is_idempotent;
    pool.Call(std::move(call));
  }
  BackendCallEnd WaitFor(BackendCallId call) {
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    loop.restart();
    while (!ends.contains(call) && std::chrono::steady_clock::now() < until) {
      loop.run_one_for(milliseconds(20));
      loop.restart();
    }
    REQUIRE(ends.contains(call));
    return ends[call];
  }

  SystemClock clock;
  DialectFake dialect;
  boost::asio::io_context loop;
  std::unique_ptr<RawServer> server;
  MemoryAccount memory{kAnswerMemory};
  BackendPool pool;
  BackendCallId calls = 0;
  std::map<BackendCallId, BackendCallEnd> ends;
  std::optional<milliseconds> cancel_after;

 private:
  Fixture(std::unique_ptr<RawServer> started, const std::string& address)
      : server(std::move(started)),
        pool(loop,
             server ? server->address() : address,
             clock,
             dialect,
             memory,
             *this) {}

  void MakeRoom(std::size_t /*bytes*/) override {}
  void OnBackendEnd(BackendCallEnd end) override {
    const BackendCallId id = end.id;
    ends[id] = std::move(end);
  }
};

std::string Answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nId: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

TEST_CASE("consecutive calls share one connection", "[pool]") {
  Fixture f([](RawSocket& socket, int) {
    while (socket.is_open()) {
      const std::string request = socket.ReadUntil("\r\n\r\n");
      const std::size_t slash = request.find('/');
      socket.Send(Answer(request.substr(slash + 1, 1), "x"));
    }
  });
  for (const char* id : {"1", "2", "3"}) {
    const BackendCallEnd end = f.Call(id);
    CHECK(end.end == RunEnd::kAnswered);
    CHECK(end.response.body == "x");
  }
  CHECK(f.pool.opened_count() == 1);
}

TEST_CASE("an extra answer to an earlier request is skipped", "[pool]") {
  Fixture f([](RawSocket& socket, int) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(Answer("0", "stale") + Answer("1", "own"));
    // Keeps the connection open; the text never arrives.
    socket.ReadUntil("never", milliseconds(500));
  });
  CHECK(f.Call("1").response.body == "own");
}

TEST_CASE("a late extra answer is not taken for the answer to the next request",
          "[pool]") {
  Fixture f([](RawSocket& socket, int) {
    for (const char* id : {"1", "2"}) {
      socket.ReadUntil("\r\n\r\n");
      socket.Send(Answer("0", "stale"));
      socket.Send(Answer(id, std::string("own") + id));
    }
    socket.ReadUntil("never", milliseconds(500));
  });
  CHECK(f.Call("1").response.body == "own1");
  CHECK(f.Call("2").response.body == "own2");
}

TEST_CASE("a second copy of a refusal does not refuse the next request",
          "[pool]") {
  const std::string refusal =
      "HTTP/1.1 503 Busy\r\nId: 1\r\nContent-Length: 0\r\n\r\n";
  std::atomic<int> served{0};
  Fixture f([&](RawSocket& socket, int) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(refusal);
    socket.ReadUntil("\r\n\r\n");
    ++served;
    socket.Send(refusal);
    socket.Send(Answer("2", "own"));
    socket.ReadUntil("never", milliseconds(500));
  });
  CHECK(f.Call("1").end == RunEnd::kNotRun);
  const BackendCallEnd end = f.Call("2");
  CHECK(end.end == RunEnd::kAnswered);
  CHECK(end.response.body == "own");
  CHECK(served == 1);
}

TEST_CASE("an incomplete or malformed answer leaves the outcome unknown",
          "[pool]") {
  const std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nshort",
      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
      "not http at all\r\n\r\n", "HTTP/1.1 20"};
  for (const std::string& answer : answers) {
    CAPTURE(answer);
    Fixture f([&answer](RawSocket& socket, int) {
      socket.ReadUntil("\r\n\r\n");
      socket.Send(answer);
    });
    CHECK(f.Call("1").end == RunEnd::kUnknown);
  }
}

TEST_CASE("an answer that is broken off in its head is not passed on",
          "[pool]") {
  const bool has_length = GENERATE(true, false);
  const std::string head = std::string("HTTP/1.1 200 OK\r\nId: 1\r\n") +
                           (has_length ? "Content-Length: 2\r\n\r\n" : "\r\n");
  for (std::size_t length = 1; length < head.size(); ++length) {
    CAPTURE(length);
    Fixture f([part = head.substr(0, length)](RawSocket& socket, int) {
      socket.ReadUntil("\r\n\r\n");
      socket.Send(part);
    });
    CHECK(f.Call("1").end == RunEnd::kUnknown);
  }
}

TEST_CASE(
    "an answer without a length ends when its connection is closed, but not "
    "when it is reset",
    "[pool]") {
  const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nbody";
  SECTION("closed") {
    Fixture f([&head](RawSocket& socket, int) {
      socket.ReadUntil("\r\n\r\n");
      socket.Send(head);
    });
    const BackendCallEnd end = f.Call("1");
    CHECK(end.end == RunEnd::kAnswered);
    CHECK(end.response.body == "body");
  }
  SECTION("reset") {
    Fixture f([&head](RawSocket& socket, int) {
      socket.ReadUntil("\r\n\r\n");
      socket.Send(head);
      std::this_thread::sleep_for(milliseconds(50));
      socket.Reset();
    });
    CHECK(f.Call("1").end == RunEnd::kUnknown);
  }
}

// Guards against a part of an answer that passes for the whole one because the
// reset that broke it off was reported to the write of the request.
TEST_CASE(
    "an early answer without a length that is reset during the upload is not "
    "passed on",
    "[pool]") {
  const std::string head =
      GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
               "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n",
               "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n");
  const std::size_t body_bytes = GENERATE(0, 10, 30'000);
  const milliseconds reset_after = GENERATE(milliseconds(0), milliseconds(30));
  CAPTURE(head, body_bytes, reset_after.count());
  Fixture f([&](RawSocket& socket, int) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(head + std::string(body_bytes, 'a'));
    std::this_thread::sleep_for(reset_after);
    socket.Reset();
  });
  f.Begin("1", false, std::chrono::seconds(10), kLongUpload);
  CHECK(f.WaitFor(1).end == RunEnd::kUnknown);
}

// An answer that is complete before the connection ends must not be lost with
// the rest of the upload.
TEST_CASE("a sound early answer to a long upload is passed on", "[pool]") {
  const std::string start = "HTTP/1.1 200 OK\r\nId: 1\r\n";
  struct Row {
    const char* name;
    std::string answer;
    std::function<void(RawSocket&)> finish;
  };
  const auto read_on = [](RawSocket& socket) {
    socket.ReadUntil("the end of the upload", milliseconds(5000));
  };
  const auto shut_down = [](RawSocket& socket) {
    shutdown(socket.fd(), SHUT_WR);
  };
  const Row rows[] = {
      {"with a length, then reset", start + "Content-Length: 3\r\n\r\nown",
       [](RawSocket& socket) { socket.Reset(); }},
      {"in chunks, then reset",
       start + "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n",
       [](RawSocket& socket) { socket.Reset(); }},
      {"ended by a close, upload read on", start + "\r\nown",
       [&](RawSocket& socket) {
         shut_down(socket);
         read_on(socket);
       }},
      {"ended by a close, then reset", start + "\r\nown",
       [&](RawSocket& socket) {
         shut_down(socket);
         std::this_thread::sleep_for(milliseconds(30));
         socket.Reset();
       }},
      {"ended by a close and reset at once", start + "\r\nown",
       [&](RawSocket& socket) {
         shut_down(socket);
         socket.Reset();
       }},
      {"upload read first", start + "\r\nown", [&](RawSocket&) {}},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    const bool reads_first = std::string(row.name) == "upload read first";
    Fixture f([&](RawSocket& socket, int) {
      socket.ReadUntil("\r\n\r\n");
      if (reads_first) {
        read_on(socket);
      }
      socket.Send(row.answer);
      row.finish(socket);
    });
    f.Begin("1", false, std::chrono::seconds(10), kLongUpload);
    const BackendCallEnd end = f.WaitFor(1);
    CHECK(end.end == RunEnd::kAnswered);
    CHECK(end.response.body == "own");
  }
}

// Guards against a number that is no status being passed on, or being taken for
// that of an interim answer.
TEST_CASE("an answer whose status is none is not passed on", "[pool]") {
  const std::string status = GENERATE(as<std::string>(), "000", "099", "600",
                                      "999", "00 ", "20", "2000");
  const bool has_more = GENERATE(false, true);
  CAPTURE(status, has_more);
  Fixture f([&](RawSocket& socket, int) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send("HTTP/1.1 " + status +
                " X\r\nId: 1\r\nContent-Length: 0\r\n\r\n" +
                (has_more ? Answer("1", "own") : ""));
    socket.ReadUntil("never", milliseconds(1000));
  });
  const BackendCallEnd end = f.Call("1", false, milliseconds(5000));
  CHECK(end.end == RunEnd::kUnknown);
  CHECK(end.reason == Reason::kAnswerTruncated);
}

// Guards against a field with a malformed name that is passed on, or that
// changes how the answer is read.
TEST_CASE("an answer with a malformed field name is not passed on", "[pool]") {
  const std::string status = "HTTP/1.1 200 OK\r\nId: 1\r\n";
  const std::string sound = Answer("1", "own");
  std::vector<std::string> lines = {" X: y",  "\tX: y",  "X : y",
                                    "X Y: z", "X\tY: z", " Content-Length: 1",
                                    ": y",    "no field"};
  for (int byte = 0; byte < 0x100; ++byte) {
    const bool is_control = byte < ' ' || byte >= 0x7f;
    if (is_control) {
      lines.push_back(std::string("X") + static_cast<char>(byte) + "Y: z");
    }
  }
  for (const std::string& line : lines) {
    const std::string end = line + "\r\n\r\n";
    std::string with_length = status + "Content-Length: 3\r\nA: b\r\n";
    with_length.append(end).append("own");
    std::string interim = "HTTP/1.1 102 Processing\r\nA: b\r\n";
    interim.append(end).append(sound);
    const std::string chunked =
        status + "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n";
    std::string first_line = status;
    first_line.append(line).append("\r\nContent-Length: 3\r\n\r\nown");
    const std::string answers[] = {with_length, first_line, interim,
                                   chunked + end};
    for (const std::string& answer : answers) {
      CAPTURE(answer);
      // A folded line in a trailer belongs to no field that is passed on.
      const bool is_folded = line.front() == ' ' || line.front() == '\t';
      if (is_folded && answer.find("chunked") != std::string::npos) {
        continue;
      }
      Fixture f([&answer](RawSocket& socket, int) {
        socket.ReadUntil("\r\n\r\n");
        socket.Send(answer);
      });
      CHECK(f.Call("1").end == RunEnd::kUnknown);
    }
  }
}

TEST_CASE(
    "a lost connection leaves the outcome unknown, a refused one means not run",
    "[pool]") {
  Fixture lost([](RawSocket& socket, int) { socket.ReadUntil("\r\n\r\n"); });
  const BackendCallEnd unknown = lost.Call("1");
  CHECK(unknown.end == RunEnd::kUnknown);
  CHECK_FALSE(unknown.is_down);
  Fixture closed(ClosedAddress());
  const BackendCallEnd refused = closed.Call("1");
  CHECK(refused.end == RunEnd::kNotRun);
  CHECK(refused.is_down);
}

TEST_CASE("a request that the server reports as not run counts as not run",
          "[pool]") {
  Fixture f([](RawSocket& socket, int connection) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(connection == 1
                    ? "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
                      "Connection: close\r\n\r\n"
                    : "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n");
  });
  CHECK(f.Call("1").end == RunEnd::kNotRun);
  const BackendCallEnd other = f.Call("2");
  CHECK(other.end == RunEnd::kNotRun);
  CHECK(other.is_other_server);
}

TEST_CASE("a call does not use a connection that was closed while idle",
          "[pool]") {
  std::atomic<int> closed{0};
  Fixture f([&closed](RawSocket& socket, int) {
    const std::string request = socket.ReadUntil("\r\n\r\n");
    socket.Send(Answer(request.substr(request.find('/') + 1, 1), "x"));
    socket.Close();
    ++closed;
  });
  const bool is_idempotent = GENERATE(true, false);
  CHECK(f.Call("1", is_idempotent).end == RunEnd::kAnswered);
  REQUIRE(Eventually([&closed] { return closed == 1; }));
  CHECK(f.Call("2", is_idempotent).end == RunEnd::kAnswered);
}

// A second send by the owner is a repeat that the entry's budget doesn't count.
TEST_CASE("a call whose kept connection is lost is sent only once", "[pool]") {
  const milliseconds lost_after = GENERATE(milliseconds(0), milliseconds(400));
  std::atomic<int> requests{0};
  Fixture f([&requests, lost_after](RawSocket& socket, int) {
    socket.ReadUntil("\r\n\r\n");
    if (++requests == 1) {
      socket.Send(Answer("1", "x"));
      requests += socket.ReadUntil("\r\n\r\n").empty() ? 0 : 1;
      std::this_thread::sleep_for(lost_after);
    }
  });
  CHECK(f.Call("1", true).end == RunEnd::kAnswered);
  const BackendCallEnd end = f.Call("2", true, milliseconds(3000));
  CHECK(end.end == RunEnd::kUnknown);
  CHECK(end.has_arrived);
  CHECK(end.sends == 1);
  CHECK(requests == 2);
}

TEST_CASE(
    "a call to a server that does not answer ends at its time limit, a "
    "cancelled call at once",
    "[pool]") {
  const RawServer::Script silent = [](RawSocket& socket, int) {
    socket.ReadUntil("never", milliseconds(2000));
  };
  Fixture late(silent);
  const BackendCallEnd timeout = late.Call("1", false, milliseconds(100));
  CHECK(timeout.end == RunEnd::kUnknown);
  CHECK(timeout.reason == Reason::kBackendServerTimeout);
  Fixture cancelled(silent);
  cancelled.cancel_after = milliseconds(50);
  CHECK(cancelled.Call("1").reason == Reason::kCancelled);
}

// Guards against a request that is sent and then reported as not run, because
// the process stood still until the time limit for connecting was over.
TEST_CASE("a call whose connection opens during a standstill is not unsent",
          "[pool]") {
  constexpr milliseconds kOverConnectTimeout{350};
  std::atomic<int> requests{0};
  Fixture f([&requests](RawSocket& socket, int) {
    if (!socket.ReadUntil("\r\n\r\n").empty()) {
      ++requests;
      std::this_thread::sleep_for(milliseconds(50));
      socket.Send(Answer("1", "own"));
    }
  });
  f.Begin("1");
  // Begins to connect; the loop does not run again before the time is over.
  f.loop.poll_one();
  std::this_thread::sleep_for(kOverConnectTimeout);
  const BackendCallEnd end = f.WaitFor(1);
  CHECK(end.end == RunEnd::kAnswered);
  CHECK(end.response.body == "own");
  CHECK(requests == 1);
}

// A failing server may send bytes until its connection is closed. Ten calls at
// once get such bytes while another call is served: no call may hold more than
// its part of the memory, and none may count as not run.
TEST_CASE("an answer without end is given up at its bound", "[pool]") {
  struct Row {
    const char* name;
    std::string text;
    std::string repeated;
  };
  const std::string status = "HTTP/1.1 200 OK\r\nId: 1\r\n";
  const std::string chunked = status + "Transfer-Encoding: chunked\r\n\r\n";
  const Row rows[] = {
      {"header fields", status, "X-Pad: aaaaaaaaaaaaaaaaaaaaaaaaa\r\n"},
      {"one header field", status + "X-Pad: ", "a"},
      {"status line", "HTTP/1.1 200 ", "O"},
      {"body without a length", status + "\r\n", "a"},
      {"declared body", status + "Content-Length: 99999999999\r\n\r\n", "a"},
      {"chunk", chunked + "fffffff\r\n", "a"},
      {"small chunks", chunked, "1\r\na\r\n"},
      {"chunk header", chunked + "1;", "a"},
      {"trailer fields", chunked + "0\r\n", "X-Pad: aaaaaaaaaaaaa\r\n"},
      {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
      {"answers to other requests", "",
       "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 1\r\n\r\na"},
      {"no answer at all", "", "x"},
  };
  constexpr int kCallsAtOnce = 10;
  for (const Row& row : rows) {
    INFO(row.name);
    std::atomic<std::size_t> sent{0};
    Fixture f([&](RawSocket& socket, int) {
      const std::string request = socket.ReadUntil("\r\n\r\n");
      if (request.find("/good") != std::string::npos) {
        socket.Send(Answer("good", "own"));
        return;
      }
      sent += SendWithoutEnd(socket, row.text, row.repeated);
    });
    for (int i = 0; i < kCallsAtOnce; ++i) {
      f.Begin("1");
    }
    CHECK(f.Call("good", false, milliseconds(5000)).response.body == "own");
    for (BackendCallId call = 1; call <= kCallsAtOnce; ++call) {
      const BackendCallEnd end = f.WaitFor(call);
      CHECK(end.end == RunEnd::kUnknown);
      CHECK(end.has_arrived);
      CHECK(end.reason != Reason::kBackendServerTimeout);
    }
    // Beside what the pool may hold, each connection has read and socket
    // buffers.
    constexpr std::size_t kConnectionBytes = std::size_t{8} * 1024 * 1024;
    CHECK(sent < kAnswerMemory + kCallsAtOnce * kConnectionBytes);
  }
}

TEST_CASE("an answer that fills the memory for answers is passed on",
          "[pool]") {
  const std::string body(kAnswerMemory / 2, 'a');
  Fixture f([&body](RawSocket& socket, int) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(Answer("1", body));
  });
  const BackendCallEnd end = f.Call("1");
  CHECK(end.end == RunEnd::kAnswered);
  CHECK(end.response.body == body);
}

// Guards against an end of the process by an assertion of the HTTP library when
// the last chunk of an answer arrives in pieces.
TEST_CASE("an empty answer in chunks is read however it is cut into segments",
          "[pool]") {
  const std::string chunks = "0\r\n\r\n";
  for (std::size_t second = 2; second < chunks.size(); ++second) {
    for (std::size_t first = 1; first < second; ++first) {
      CAPTURE(first, second);
      Fixture f([&, first, second](RawSocket& socket, int) {
        socket.ReadUntil("\r\n\r\n");
        socket.Send(
            "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
        socket.SendInSegments(chunks, first, second);
      });
      const BackendCallEnd end = f.Call("1");
      CHECK(end.end == RunEnd::kAnswered);
      CHECK(end.response.body.empty());
    }
  }
}

// The id in a trailer field could make a foreign answer pass for this one.
TEST_CASE("trailer fields of an answer do not become header fields", "[pool]") {
  Fixture f([](RawSocket& socket, int) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(
        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nok\r\n0\r\nX-Late: 1\r\n\r\n");
  });
  const BackendCallEnd end = f.Call("1");
  CHECK(end.end == RunEnd::kAnswered);
  CHECK(end.response.body == "ok");
  CHECK(FindHeader(end.response.headers, "X-Late").empty());
}

// A request must be refused before it runs when the memory is gone: afterwards
// its caller could not be told what became of it.
TEST_CASE("a call ends as not run if answers like its own do not fit",
          "[pool]") {
  const std::string body(kAnswerMemory / 2, 'a');
  std::atomic<int> requests{0};
  Fixture f([&](RawSocket& socket, int) {
    while (socket.is_open()) {
      if (socket.ReadUntil("\r\n\r\n").empty()) {
        return;
      }
      ++requests;
      socket.Send(Answer("1", body));
    }
  });
  const BackendCallEnd held = f.Call("1");
  REQUIRE(held.end == RunEnd::kAnswered);
  CHECK(f.memory.held(MemoryAccount::Stage::kBackendAnswers) >= body.size());
  const BackendCallEnd refused = f.Call("1");
  CHECK(refused.end == RunEnd::kNotRun);
  CHECK(refused.reason == Reason::kOverloaded);
  CHECK(requests == 1);
  f.ends.clear();
}

// The server's second copy of its answer arrives after the connection has been
// taken for the next request.
TEST_CASE("a second copy of an answer is not taken for the next answer",
          "[pool]") {
  Fixture f([](RawSocket& socket, int) {
    socket.ReadUntil("\r\n\r\n");
    socket.Send(Answer("1", "first"));
    if (socket.ReadUntil("\r\n\r\n").find("/2") != std::string::npos) {
      socket.Send(Answer("1", "first"));
      std::this_thread::sleep_for(milliseconds(30));
      socket.Send(Answer("2", "second"));
    }
    socket.ReadUntil("never", milliseconds(300));
  });
  CHECK(f.Call("1").response.body == "first");
  CHECK(f.Call("2").response.body == "second");
  CHECK(f.pool.opened_count() == 1);
}

}  // namespace
}  // namespace vanillafall
