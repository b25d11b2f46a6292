#include "transport/caller_server.h"

#include <catch2/catch.hpp>

#include <thread>

#include "transport/raw_socket_test.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxHeaderBytes = 4096;
constexpr std::uint32_t kMaxBodyBytes = 1000;
constexpr char kGet[] = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";

// Records the requests, so that the test can answer them later.
class Requests final : public CallerServer::Listener {
 public:
  struct Request {
    CallerServer::RequestId id = 0;
    HttpRequest http;
  };

  bool OnCallerRequest(CallerServer::RequestId id, HttpRequest http) override {
    std::size_t index = 0;
    {
      const std::lock_guard lock(mutex_);
      index = requests_.size();
      requests_.push_back({id, std::move(http)});
    }
    while (blocked_index_ == index) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    return !is_full_;
  }
  void OnCallerRefused(Reason reason) override {
    const std::lock_guard lock(mutex_);
    refusals_.push_back(reason);
  }
  std::size_t count() {
    const std::lock_guard lock(mutex_);
    return requests_.size();
  }
  Request WaitFor(std::size_t index) {
    REQUIRE(Eventually([&] { return count() > index; }));
    const std::lock_guard lock(mutex_);
    return requests_[index];
  }
  std::vector<Reason> refusals() {
    const std::lock_guard lock(mutex_);
    return refusals_;
  }
  // Refuses every request from now on.
  void set_full() { is_full_ = true; }
  // Blocks the accept thread in OnCallerRequest for the request with this index
  // until another index is given or Unblock is called.
  void BlockOn(std::size_t index) { blocked_index_ = index; }
  void Unblock() { blocked_index_ = kNone; }

 private:
  static constexpr std::size_t kNone = ~std::size_t{0};

  std::mutex mutex_;
  std::atomic<bool> is_full_{false};
  std::atomic<std::size_t> blocked_index_{kNone};
  std::vector<Request> requests_;
  std::vector<Reason> refusals_;
};

// A server on a free port whose listener records the requests.
class Fixture {
 public:
  Fixture() { REQUIRE(!server_.Start()); }
  CallerServer& server() { return server_; }
  Requests& requests() { return requests_; }
  const std::string& address() const { return address_; }

  // Answers the request with this index; the body contains its target.
  void Answer(std::size_t index) {
    const Requests::Request request = requests_.WaitFor(index);
    const HttpResponse response{200, {}, "for " + request.http.target + "."};
    server_.SendAnswer(request.id, {Outcome::kDone, Reason::kOk, response});
  }

 private:
  const std::string address_ = ClosedAddress();
  const SystemClock clock_;
  Requests requests_;
  CallerServer server_{
      {address_, kMaxHeaderBytes, kMaxBodyBytes, 100, milliseconds(1000)},
      clock_,
      requests_};
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("each pipelined request gets its own answer, in order") {
  Fixture fixture;
  RawSocket caller(fixture.address());
  caller.Send(std::string(kGet) + "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
  fixture.Answer(0);
  CHECK(Contains(caller.ReadUntil("for /1."), "Vanillafall-Outcome: done"));
  fixture.Answer(1);
  CHECK(Contains(caller.ReadUntil("for /2."), "for /2."));
}

TEST_CASE("a request that is too large is refused with outcome not run") {
  Fixture fixture;
  RawSocket caller(fixture.address());
  SECTION("a declared body") {
    caller.Send("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n");
  }
  SECTION("a chunked body") {
    caller.Send(
        "POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        "7d0\r\n" +
        std::string(2000, 'x') + "\r\n0\r\n\r\n");
  }
  SECTION("headers") {
    caller.Send("GET /1 HTTP/1.1\r\nHost: x\r\nX-Long: " +
                std::string(kMaxHeaderBytes + 100, 'x') + "\r\n\r\n");
  }
  const std::string answer = caller.ReadUntil("too-large\n");
  CHECK(Contains(answer, "HTTP/1.1 413"));
  CHECK(Contains(answer, "Vanillafall-Outcome: not run"));
  CHECK(fixture.requests().count() == 0);
  CHECK(fixture.requests().refusals() == std::vector{Reason::kTooLarge});
}

TEST_CASE(
    "a request that the HTTP library refuses never reaches the listener") {
  Fixture fixture;
  RawSocket caller(fixture.address());
  SECTION("a malformed request line") {
    caller.Send("GARBAGE\r\n\r\n");
  }
  SECTION("headers beyond the connection's memory") {
    caller.Send("GET /1 HTTP/1.1\r\nHost: x\r\nX-Long: " +
                std::string(kMaxHeaderBytes * 4, 'x') + "\r\n\r\n");
  }
  SECTION("a length that is not a number") {
    caller.Send("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: x\r\n\r\n");
  }
  const std::string answer = caller.ReadUntil("never", milliseconds(500));
  CHECK((answer.empty() || Contains(answer, "HTTP/1.1 4")));
  CHECK(fixture.requests().count() == 0);
  CHECK(Eventually([&] { return fixture.server().open_request_count() == 0; }));
}

TEST_CASE("a request that is sent too slowly is ended and counted") {
  Fixture fixture;
  RawSocket caller(fixture.address());
  SECTION("the caller stops sending") {
    caller.Send("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nx");
    caller.ReadUntil("never", milliseconds(4000));
  }
  SECTION("the caller sends single bytes with pauses") {
    caller.Send("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n");
    for (int i = 0; i < 5; ++i) {
      caller.Send("x");
      std::this_thread::sleep_for(milliseconds(300));
    }
    CHECK(Contains(caller.ReadUntil("slow-sender\n"), "HTTP/1.1 408"));
  }
  CHECK(fixture.requests().count() == 0);
  CHECK(Eventually([&] {
    return fixture.requests().refusals() == std::vector{Reason::kSlowSender};
  }));
}

TEST_CASE(
    "a request beyond the listener's capacity is refused with outcome not "
    "run") {
  Fixture fixture;
  fixture.requests().set_full();
  RawSocket caller(fixture.address());
  caller.Send(kGet);
  CHECK(Contains(caller.ReadUntil("overloaded\n"),
                 "Vanillafall-Outcome: not run"));
}

TEST_CASE("a request whose caller disconnects while it waits is released") {
  Fixture fixture;
  {
    RawSocket caller(fixture.address());
    caller.Send(kGet);
    fixture.requests().WaitFor(0);
    caller.Reset();
  }
  CHECK(fixture.server().open_request_count() == 1);
  fixture.Answer(0);
  CHECK(Eventually([&] { return fixture.server().open_request_count() == 0; }));
  RawSocket next(fixture.address());
  next.Send(kGet);
  fixture.Answer(1);
  CHECK(Contains(next.ReadUntil("for /1."), "done"));
}

TEST_CASE("an idle connection does not delay a drain") {
  Fixture fixture;
  RawSocket caller(fixture.address());
  caller.Send(kGet);
  fixture.Answer(0);
  caller.ReadUntil("for /1.");
  CHECK(Eventually([&] { return fixture.server().open_request_count() == 0; }));
}

TEST_CASE("a port that another process serves is not shared") {
  const Fixture fixture;
  const SystemClock clock;
  Requests requests;
  CallerServer second({fixture.address(), kMaxHeaderBytes, kMaxBodyBytes, 100,
                       milliseconds(1000)},
                      clock, requests);
  CHECK(second.Start().has_value());
}

TEST_CASE("a drain answers open requests and takes no new connection") {
  Fixture fixture;
  RawSocket caller(fixture.address());
  caller.Send(kGet);
  fixture.requests().WaitFor(0);
  fixture.server().StopAccepting();
  const RawSocket late(fixture.address());
  CHECK_FALSE(late.is_open());
  fixture.Answer(0);
  const std::string answer = caller.ReadUntil("for /1.");
  CHECK(Contains(answer, "HTTP/1.1 200"));
  // If the connection stayed open, it could bring further requests until the
  // drain times out.
  CHECK(Contains(answer, "Connection: close"));
  caller.ReadUntil("never", milliseconds(1000));
  CHECK_FALSE(caller.is_open());
}

// The HTTP library aborts the process if it is stopped while a connection is
// suspended. That could happen when a request was passed to the listener, and
// its connection suspended, after Stop had resumed the suspended connections.
TEST_CASE("a request that arrives during the stop does not abort the process") {
  Fixture fixture;
  RawSocket first(fixture.address());
  RawSocket second(fixture.address());
  RawSocket third(fixture.address());
  fixture.requests().BlockOn(0);
  first.Send(kGet);
  fixture.requests().WaitFor(0);
  // Both requests are in their sockets while the accept thread is blocked, so
  // the server reads both in one pass: one before the stop, the other during
  // it.
  second.Send(kGet);
  third.Send(kGet);
  fixture.requests().BlockOn(1);
  fixture.requests().WaitFor(1);
  std::thread stopping([&fixture] { fixture.server().Stop(); });
  // In this time Stop resumes the connections that are suspended.
  std::this_thread::sleep_for(milliseconds(50));
  fixture.requests().Unblock();
  stopping.join();
  // A request that reached the listener may have run; the other has not.
  for (RawSocket* caller : {&first, &second, &third}) {
    const std::string answer = caller->ReadUntil("\n\n");
    const bool is_unknown = Contains(answer, "HTTP/1.1 504") &&
                            Contains(answer, "Vanillafall-Outcome: unknown");
    const bool is_refused = Contains(answer, "HTTP/1.1 503") &&
                            Contains(answer, "Vanillafall-Outcome: not run");
    CHECK((is_unknown || is_refused));
  }
  CHECK(fixture.requests().refusals() == std::vector{Reason::kDraining});
}

}  // namespace vanillafall
