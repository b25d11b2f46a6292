#include "transport/peer_node.h"

#include <catch2/catch.hpp>
#include <map>

#include "transport/raw_socket_test.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{2000};
constexpr char kMarker[] = "body-that-must-not-arrive";

PeerRequest MakeRun(const std::string& target) {
  RunRequest run;
  run.request = {"POST", target, {}, kMarker};
  return run;
}

// Records requests and results, so that the test can reply later.
class Calls final : public PeerNode::Listener {
 public:
  bool OnPeerRequest(PeerNode::CallId call, PeerRequest request) override {
    const std::lock_guard lock(mutex_);
    requests_.push_back(call);
    targets_[call] = std::holds_alternative<RunRequest>(request)
                         ? std::get<RunRequest>(request).request.target
                         : "";
    return !is_full_;
  }
  void OnPeerResult(PeerNode::CallId call, PeerNode::Result result) override {
    const std::lock_guard lock(mutex_);
    ++end_counts_[call];
    results_[call] = std::move(result);
  }
  void OnMalformedMessage() override { ++malformed_; }

  PeerNode::CallId WaitForRequest(std::size_t index) {
    REQUIRE(Eventually([&] {
      const std::lock_guard lock(mutex_);
      return requests_.size() > index;
    }));
    const std::lock_guard lock(mutex_);
    return requests_[index];
  }
  PeerNode::Result WaitForResult(PeerNode::CallId call) {
    REQUIRE(Eventually([&] {
      const std::lock_guard lock(mutex_);
      return results_.contains(call);
    }));
    const std::lock_guard lock(mutex_);
    CHECK(end_counts_[call] == 1);
    return results_[call];
  }
  std::string TargetOf(PeerNode::CallId call) {
    const std::lock_guard lock(mutex_);
    return targets_[call];
  }
  int malformed() const { return malformed_; }
  // Refuses every request from now on.
  void set_full() { is_full_ = true; }

 private:
  std::mutex mutex_;
  std::atomic<bool> is_full_{false};
  std::atomic<int> malformed_{0};
  std::vector<PeerNode::CallId> requests_;
  std::map<PeerNode::CallId, std::string> targets_;
  std::map<PeerNode::CallId, PeerNode::Result> results_;
  std::map<PeerNode::CallId, int> end_counts_;
};

// A node that listens on a free port.
class Node {
 public:
  Node() { REQUIRE(!node_.Start()); }
  PeerNode& node() { return node_; }
  Calls& calls() { return calls_; }
  const std::string& address() const { return address_; }

  // Replies to the request with this index; the body is the request's target.
  void Reply(std::size_t index, Outcome outcome = Outcome::kDone) {
    const PeerNode::CallId call = calls_.WaitForRequest(index);
    RunReply reply;
    reply.outcome = outcome;
    reply.response.body = calls_.TargetOf(call);
    node_.SendReply(call, reply);
  }

 private:
  const std::string address_ = ClosedAddress();
  Calls calls_;
  PeerNode node_{address_, calls_};
};

PeerFailure FailureOf(const PeerNode::Result& result) {
  REQUIRE(std::holds_alternative<PeerFailure>(result));
  return std::get<PeerFailure>(result);
}

std::string BodyOf(const PeerNode::Result& result) {
  REQUIRE(std::holds_alternative<PeerReply>(result));
  return std::get<RunReply>(std::get<PeerReply>(result)).response.body;
}

}  // namespace

TEST_CASE("replies that arrive out of order are matched to their calls") {
  Node entry;
  Node owner;
  entry.node().SendRequest(1, owner.address(), MakeRun("/1"), kTimeout);
  owner.calls().WaitForRequest(0);
  entry.node().SendRequest(2, owner.address(), MakeRun("/2"), kTimeout);
  owner.Reply(1);
  CHECK(BodyOf(entry.calls().WaitForResult(2)) == "/2");
  owner.Reply(0);
  CHECK(BodyOf(entry.calls().WaitForResult(1)) == "/1");
}

TEST_CASE("a call to a peer that does not listen ends as not sent") {
  Node entry;
  entry.node().SendRequest(1, ClosedAddress(), MakeRun("/1"), kTimeout);
  CHECK(FailureOf(entry.calls().WaitForResult(1)) == PeerFailure::kNotSent);
}

TEST_CASE("a request to a stopped peer is not sent over its old connection") {
  Node entry;
  auto owner = std::make_unique<Node>();
  const PeerAddress address = owner->address();
  entry.node().SendRequest(1, address, MakeRun("/1"), kTimeout);
  owner->Reply(0);
  entry.calls().WaitForResult(1);
  owner->node().Stop();
  std::this_thread::sleep_for(milliseconds(50));
  entry.node().SendRequest(2, address, MakeRun("/2"), kTimeout);
  CHECK(FailureOf(entry.calls().WaitForResult(2)) == PeerFailure::kNotSent);
}

TEST_CASE("a call that gets no reply after its bytes were sent ends as lost") {
  Node entry;
  SECTION("the peer is frozen and reads nothing") {
    RawServer peer([](RawSocket&, int) {
      std::this_thread::sleep_for(milliseconds(400));
    });
    entry.node().SendRequest(1, peer.address(), MakeRun("/1"),
                             milliseconds(100));
    CHECK(FailureOf(entry.calls().WaitForResult(1)) == PeerFailure::kLost);
  }
  SECTION("the peer resets the connection after the request") {
    RawServer peer([](RawSocket& socket, int) {
      socket.ReadUntil(kMarker);
      socket.Reset();
    });
    entry.node().SendRequest(1, peer.address(), MakeRun("/1"), kTimeout);
    CHECK(FailureOf(entry.calls().WaitForResult(1)) == PeerFailure::kLost);
  }
  SECTION("the peer answers with garbage") {
    RawServer peer([](RawSocket& socket, int) {
      socket.ReadUntil(kMarker);
      socket.Send(std::string(1000, 'g'));
    });
    entry.node().SendRequest(1, peer.address(), MakeRun("/1"), kTimeout);
    CHECK(FailureOf(entry.calls().WaitForResult(1)) == PeerFailure::kLost);
  }
  SECTION("the peer has no capacity for the request") {
    Node owner;
    owner.calls().set_full();
    entry.node().SendRequest(1, owner.address(), MakeRun("/1"), kTimeout);
    CHECK(FailureOf(entry.calls().WaitForResult(1)) == PeerFailure::kLost);
  }
}

TEST_CASE("a call that times out before its connection is open is never sent") {
  // While the listener's backlog is full, the connection stays half open.
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const std::string address = ClosedAddress();
  const sockaddr_in bound = *ParseAddress(address);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&bound),
               sizeof(bound)) == 0);
  REQUIRE(listen(listener, 0) == 0);
  const RawSocket filler(address);
  Node entry;
  entry.node().SendRequest(1, address, MakeRun("/1"), milliseconds(200));
  CHECK(FailureOf(entry.calls().WaitForResult(1)) == PeerFailure::kNotSent);
  const RawSocket first(accept(listener, nullptr, nullptr));
  pollfd polled{listener, POLLIN, 0};
  if (poll(&polled, 1, 2500) > 0) {
    RawSocket second(accept(listener, nullptr, nullptr));
    const std::string bytes = second.ReadUntil(kMarker, milliseconds(300));
    CHECK(bytes.find(kMarker) == std::string::npos);
  }
  close(listener);
}

TEST_CASE("garbage on the peer port does not affect other connections") {
  Node entry;
  Node owner;
  RawSocket intruder(owner.address());
  SECTION("text") {
    intruder.Send("GET / HTTP/1.1\r\n\r\n" + std::string(500, 'x'));
  }
  SECTION("a message that claims to be huge") {
    intruder.Send(std::string("\0\0\0\0\xff\xff\xff\x7f", 8));
  }
  SECTION("many segments") {
    intruder.Send(std::string("\xff\xff\xff\xff\xff\xff\xff\xff", 8));
  }
  SECTION("half of a message") {
    intruder.Send(std::string("\0\0\0\0\x04\0\0\0half", 12));
    intruder.Reset();
  }
  entry.node().SendRequest(1, owner.address(), MakeRun("/1"), kTimeout);
  owner.Reply(0);
  CHECK(BodyOf(entry.calls().WaitForResult(1)) == "/1");
}

TEST_CASE("messages with values out of range are rejected") {
  Node entry;
  Node owner;
  constexpr auto kInvalidOutcome = static_cast<Outcome>(99);
  SECTION("in a reply") {
    entry.node().SendRequest(1, owner.address(), MakeRun("/1"), kTimeout);
    owner.Reply(0, kInvalidOutcome);
    CHECK(FailureOf(entry.calls().WaitForResult(1)) == PeerFailure::kLost);
    CHECK(entry.calls().malformed() == 1);
  }
  SECTION("in a request") {
    SettleNotice notice;
    notice.outcome = kInvalidOutcome;
    entry.node().SendRequest(1, owner.address(), notice, kTimeout);
    CHECK(FailureOf(entry.calls().WaitForResult(1)) == PeerFailure::kLost);
    CHECK(owner.calls().malformed() == 1);
  }
  entry.node().SendRequest(2, owner.address(), MakeRun("/2"), kTimeout);
  owner.Reply(owner.calls().malformed() == 1 ? 0 : 1);
  CHECK(BodyOf(entry.calls().WaitForResult(2)) == "/2");
}

TEST_CASE("a node can stop while calls to it are open") {
  Node entry;
  auto owner = std::make_unique<Node>();
  entry.node().SendRequest(1, owner->address(), MakeRun("/1"), kTimeout);
  const PeerNode::CallId call = owner->calls().WaitForRequest(0);
  owner->node().Stop();
  CHECK(FailureOf(entry.calls().WaitForResult(1)) == PeerFailure::kLost);
  owner->node().SendReply(call, RunReply{});
}

}  // namespace vanillafall
