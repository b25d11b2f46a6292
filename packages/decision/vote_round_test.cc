#include "decision/vote_round.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "decision/key_retention.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using State = VoteRound::State;

const std::vector<PeerAddress> kFormer = {"o0", "o1", "o2"};

VoteRequest Request() {
  VoteRequest request;
  request.service = "restyle";
  request.key = {1, 2};
  request.service_number = 2;
  return request;
}

// The owners are o2, o3 and o4; under the former document they were o0, o1 and
// o2.
ServiceConfig ServiceWithMovedOwners() {
  ServiceConfig service;
  service.name = "restyle";
  service.number = 2;
  service.resend_window = milliseconds(1'000);
  for (const char* owner : {"o2", "o3", "o4"}) {
    service.backend_servers.push_back({owner, owner, owner});
  }
  service.former_guards = {
      {1, kFormer, milliseconds(1'000), milliseconds(0), {"a", "a", "a"}}};
  return service;
}

GuardSet GuardSetOf(const std::vector<PeerAddress>& owners,
                    const std::string& data_centre) {
  GuardSet set;
  set.guards = owners;
  set.data_centres.assign(owners.size(), data_centre);
  return set;
}

VoteReply ReplyWith(VoteResult result) {
  VoteReply reply;
  reply.result = result;
  return reply;
}

VoteReply ReplyOfNumber(std::uint64_t number, milliseconds age) {
  VoteReply reply;
  reply.service_number = number;
  reply.service_number_age = age;
  return reply;
}

}  // namespace

TEST_CASE("guards of a key are at most five, the same for every daemon") {
  const GuardSet owners = GuardSetOf({"a", "b", "c", "d", "e", "f", "g"}, "x");
  const GuardSet reversed =
      GuardSetOf({"g", "f", "e", "d", "c", "b", "a"}, "x");
  CHECK(GuardsOfKey({1, 2}, owners).size() == kMaxGuardsPerKey);
  CHECK(GuardsOfKey({1, 2}, owners) == GuardsOfKey({1, 2}, reversed));
  CHECK(GuardsOfKey({1, 2}, GuardSetOf({"a", "b"}, "x")).size() == 2);
}

TEST_CASE("the loss of a data centre leaves a majority of the guards") {
  GuardSet owners =
      GuardSetOf({"a", "b", "c", "d", "e", "f", "g", "h", "i"}, "x");
  owners.data_centres = {"x", "x", "x", "x", "x", "y", "y", "z", "z"};
  for (std::uint64_t key = 0; key < 100; ++key) {
    const std::vector<PeerAddress> guards = GuardsOfKey({key, key}, owners);
    const auto in_x = std::count_if(guards.begin(), guards.end(),
                                    [](const auto& g) { return g < "f"; });
    CHECK(guards.size() == kMaxGuardsPerKey);
    CHECK(in_x <= 2);
  }
}

TEST_CASE("an attempt needs a majority of the former guards too") {
  VoteRound round(Request(), ServiceWithMovedOwners(), GuardVersions());
  for (const char* guard : {"o2", "o3", "o4"}) {
    round.OnReply(guard, ReplyWith(VoteResult::kGranted));
  }
  CHECK(round.state() == State::kPending);
  SECTION("one more grant of a former guard completes it") {
    round.OnReply("o1", ReplyWith(VoteResult::kGranted));
    CHECK(round.state() == State::kGranted);
  }
  SECTION("without it the round is lost") {
    round.OnFailure("o0");
    round.OnReply("o1", ReplyWith(VoteResult::kTaken));
    CHECK(round.state() == State::kLost);
    CHECK_FALSE(round.ProvesNotRun());
  }
}

TEST_CASE(
    "former guards retire one retention after a majority got a newer number") {
  const milliseconds retention = RetentionOf(ServiceWithMovedOwners());
  GuardVersions versions;
  versions.OnReply("o0", ReplyOfNumber(2, retention));
  CHECK_FALSE(versions.IsRetired(kFormer, 1, retention));
  versions.OnReply("o1", ReplyOfNumber(2, retention - milliseconds(1)));
  CHECK_FALSE(versions.IsRetired(kFormer, 1, retention));
  versions.OnReply("o1", ReplyOfNumber(2, retention));
  CHECK(versions.IsRetired(kFormer, 1, retention));
  CHECK_FALSE(versions.IsRetired(kFormer, 2, retention));
}

TEST_CASE("an older number from a restarted guard undoes the retirement") {
  const milliseconds retention(1'000);
  GuardVersions versions;
  versions.OnReply("o0", ReplyOfNumber(2, retention));
  versions.OnReply("o1", ReplyOfNumber(2, retention));
  REQUIRE(versions.IsRetired(kFormer, 1, retention));
  versions.OnReply("o1", ReplyOfNumber(1, milliseconds(5)));
  CHECK_FALSE(versions.IsRetired(kFormer, 1, retention));
}

TEST_CASE("not run needs a majority that holds no grant") {
  ServiceConfig service = ServiceWithMovedOwners();
  service.former_guards.clear();
  VoteRound round(Request(), service, GuardVersions());
  SECTION("lost replies and abstentions prove nothing") {
    round.OnFailure("o2");
    round.OnReply("o3", ReplyWith(VoteResult::kAbstained));
    CHECK(round.state() == State::kLost);
    CHECK_FALSE(round.ProvesNotRun());
  }
  SECTION("full tables hold no grant of the key") {
    round.OnReply("o2", ReplyWith(VoteResult::kTableFull));
    round.OnReply("o3", ReplyWith(VoteResult::kTableFull));
    CHECK(round.state() == State::kLost);
    CHECK(round.ProvesNotRun());
    CHECK(round.reason() == Reason::kKeyTableFull);
  }
  SECTION("another body under the key shows that this one never ran") {
    round.OnReply("o2", ReplyWith(VoteResult::kOtherBody));
    round.OnReply("o3", ReplyWith(VoteResult::kOtherBody));
    CHECK(round.ProvesNotRun());
    CHECK(round.reason() == Reason::kKeyOfOtherBody);
  }
}

TEST_CASE("guards that refused are not notified of the outcome") {
  ServiceConfig service = ServiceWithMovedOwners();
  service.former_guards.clear();
  VoteRound round(Request(), service, GuardVersions());
  round.OnReply("o2", ReplyWith(VoteResult::kTaken));
  round.OnReply("o3", ReplyWith(VoteResult::kGranted));
  round.OnFailure("o4");
  const std::vector<PeerAddress> settled = round.GuardsToSettle();
  CHECK(settled.size() == 2);
  CHECK(std::find(settled.begin(), settled.end(), "o2") == settled.end());
  CHECK(round.IsContended());
}

}  // namespace vanillafall
