#include "decision/keyed_execution.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "decision/idempotency_key.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Purpose = KeyedExecution::Purpose;

constexpr TimePoint kStart{std::chrono::hours(10)};
constexpr KeyedExecution::Ticket kTicket = 7;
const KeyClaim kClaim{"restyle", {1, 2}, {3, 4}, milliseconds(0)};

struct SentRequest {
  PeerCallId call = 0;
  PeerAddress peer;
  PeerRequest request;
};

// Records the requests that the object under test sends to other daemons.
class FakePeers final : public PeerCaller {
 public:
  PeerCallId Ask(const PeerAddress& peer,
                 PeerRequest request,
                 milliseconds /*timeout*/,
                 Actions& /*actions*/) override {
    requests.push_back({++last_call_, peer, std::move(request)});
    return last_call_;
  }
  void Reply(PeerCallId /*call*/,
             PeerReply /*reply*/,
             Actions& /*actions*/) override {}

  // Returns and clears the requests sent since the last call.
  std::vector<SentRequest> Take() { return std::exchange(requests, {}); }

  std::vector<SentRequest> requests;

 private:
  PeerCallId last_call_ = 0;
};

// Counts the grants and records the refusals that are reported to it.
class FakeListener final : public KeyedExecution::Listener {
 public:
  void OnGranted(KeyedExecution::Ticket /*ticket*/,
                 TimePoint /*now*/,
                 Actions& /*actions*/) override {
    ++granted;
  }
  void OnRefused(KeyedExecution::Ticket /*ticket*/,
                 const RunReply& reply,
                 TimePoint /*now*/,
                 Actions& /*actions*/) override {
    refused.push_back(reply);
  }

  int granted = 0;
  std::vector<RunReply> refused;
};

FleetConfigPtr ConfigWithThreeOwners() {
  ServiceConfig service;
  service.name = "restyle";
  service.number = 1;
  service.resend_window = seconds(60);
  for (const char* owner : {"o1", "o2", "o3"}) {
    service.backend_servers.push_back({owner, owner, owner, "a"});
  }
  auto config = std::make_shared<FleetConfig>();
  config->services["restyle"] = service;
  return config;
}

VoteReply Vote(VoteResult result, std::optional<Outcome> settled = {}) {
  VoteReply reply;
  reply.result = result;
  reply.holder = {99, 1};
  reply.holder_owner = "o9";
  reply.settled = settled;
  return reply;
}

// A KeyedExecution of the owner "o1" whose guards are "o1", "o2" and "o3".
class KeyedFixture {
 protected:
  explicit KeyedFixture(Purpose purpose = Purpose::kRun)
      : keyed_("o1", 5, purpose, 10, peers_, listener_) {
    keyed_.Configure(ConfigWithThreeOwners());
  }

  std::vector<SentRequest> Begin() {
    keyed_.Begin(kTicket, kClaim, kStart + seconds(5), kStart, actions_);
    return peers_.Take();
  }
  void ReplyToAll(const std::vector<SentRequest>& requests,
                  const VoteReply& reply) {
    for (const SentRequest& each : requests) {
      keyed_.OnPeerReply(each.call, reply, kStart, actions_);
    }
  }

  FakePeers peers_;
  FakeListener listener_;
  Actions actions_;
  KeyedExecution keyed_;
};

// A KeyedFixture whose purpose is to prove `not run`.
class ProofFixture : public KeyedFixture {
 protected:
  ProofFixture() : KeyedFixture(Purpose::kProveNotRun) {}
};

}  // namespace

TEST_CASE_METHOD(KeyedFixture, "a majority of grants lets the work run once") {
  ReplyToAll(Begin(), Vote(VoteResult::kGranted));
  CHECK(listener_.granted == 1);
  CHECK(listener_.refused.empty());
}

TEST_CASE_METHOD(KeyedFixture,
                 "a key that is being released is requested again") {
  const std::vector<SentRequest> first = Begin();
  ReplyToAll(first, Vote(VoteResult::kTaken));
  CHECK(listener_.refused.empty());
  peers_.Take();

  keyed_.Advance(kStart + seconds(1), actions_);
  const std::vector<SentRequest> second = peers_.Take();
  REQUIRE(second.size() == 3);
  CHECK(std::get<VoteRequest>(second.front().request).attempt !=
        std::get<VoteRequest>(first.front().request).attempt);
  ReplyToAll(second, Vote(VoteResult::kGranted));
  CHECK(listener_.granted == 1);
}

TEST_CASE_METHOD(KeyedFixture, "a vote of an earlier round is ignored") {
  const std::vector<SentRequest> first = Begin();
  ReplyToAll({first[0], first[1]}, Vote(VoteResult::kTaken));
  keyed_.Advance(kStart + seconds(1), actions_);
  std::vector<SentRequest> second;
  for (const SentRequest& each : peers_.Take()) {
    if (std::holds_alternative<VoteRequest>(each.request)) {
      second.push_back(each);
    }
  }
  REQUIRE(second.size() == 3);
  ReplyToAll({first[2]}, Vote(VoteResult::kGranted));
  ReplyToAll({second[0]}, Vote(VoteResult::kGranted));
  CHECK(listener_.granted == 0);
}

TEST_CASE_METHOD(KeyedFixture, "work whose key stays taken ends as unknown") {
  ReplyToAll(Begin(), Vote(VoteResult::kTaken));
  for (int round = 0; round < 10 && listener_.refused.empty(); ++round) {
    keyed_.Advance(kStart + seconds(1 + round), actions_);
    ReplyToAll(peers_.Take(), Vote(VoteResult::kTaken));
  }
  REQUIRE(listener_.refused.size() == 1);
  CHECK(listener_.refused.front().outcome == Outcome::kUnknown);
  CHECK(listener_.refused.front().reason == Reason::kKeyInProgress);
}

TEST_CASE_METHOD(KeyedFixture,
                 "a resend gets the answer of the attempt that ran") {
  ReplyToAll(Begin(), Vote(VoteResult::kTaken, Outcome::kDone));
  const std::vector<SentRequest> requests = peers_.Take();
  // The first request releases the grant of the guard that has not replied.
  REQUIRE(requests.size() == 2);
  REQUIRE(std::holds_alternative<RecallRequest>(requests.back().request));
  CHECK(requests.back().peer == "o9");
  SECTION("while the answer is kept") {
    RecallReply recalled;
    recalled.reply.emplace();
    recalled.reply->outcome = Outcome::kDone;
    keyed_.OnPeerReply(requests.back().call, recalled, kStart, actions_);
    CHECK(listener_.refused.front().outcome == Outcome::kDone);
  }
  SECTION("and unknown when it is no longer kept") {
    keyed_.OnPeerReply(requests.back().call, PeerFailure::kLost, kStart,
                       actions_);
    CHECK(listener_.refused.front().outcome == Outcome::kUnknown);
    CHECK(listener_.refused.front().reason == Reason::kKeyOutcomeLost);
  }
}

TEST_CASE_METHOD(KeyedFixture, "a lost release is sent again") {
  const std::vector<SentRequest> votes = Begin();
  ReplyToAll(votes, Vote(VoteResult::kGranted));
  keyed_.End(kTicket, {}, kStart, actions_);
  const std::vector<SentRequest> settles = peers_.Take();
  REQUIRE(settles.size() == 3);
  keyed_.OnPeerReply(settles.front().call, PeerFailure::kLost, kStart,
                     actions_);
  keyed_.Advance(kStart + seconds(1), actions_);
  const std::vector<SentRequest> retries = peers_.Take();
  REQUIRE(retries.size() == 1);
  CHECK(std::get<SettleNotice>(retries.front().request).outcome ==
        Outcome::kNotRun);
}

TEST_CASE_METHOD(KeyedFixture,
                 "nothing runs when the configuration lacks the service") {
  keyed_.Configure(std::make_shared<FleetConfig>());
  CHECK(Begin().empty());
  keyed_.Advance(kStart + seconds(1), actions_);
  REQUIRE(listener_.refused.size() == 1);
  CHECK(listener_.refused.front().reason == Reason::kNotOwner);
}

TEST_CASE_METHOD(ProofFixture, "guards that abstain prove nothing") {
  ReplyToAll(Begin(), Vote(VoteResult::kAbstained));
  REQUIRE(listener_.refused.size() == 1);
  CHECK(listener_.refused.front().outcome == Outcome::kUnknown);
}

TEST_CASE("only a UUID of version 7 carries its time") {
  CHECK(TimeOfKey("01a0c451-b6a9-7000-8000-00000000014d") ==
        milliseconds(0x01a0c451b6a9));
  CHECK(TimeOfKey("01a0c451-b6a9-4000-8000-00000000014d").count() == 0);
  CHECK(TimeOfKey("01a0c4zz-b6a9-7000-8000-00000000014d").count() == 0);
  CHECK(TimeOfKey("job-7").count() == 0);
}

}  // namespace vanillafall
