#include "dispatch/server_roster.h"

#include <catch2/catch.hpp>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ListedServer Server(const std::string& id,
                    std::uint64_t revision,
                    bool is_draining = false) {
  ListedServer server;
  server.id = id;
  server.service = "desk";
  server.revision = revision;
  server.is_draining = is_draining;
  return server;
}

TEST_CASE("an older list does not undo changes of single servers", "[roster]") {
  ServerRoster roster;
  const TimePoint now(seconds(100));
  roster.OnList({Server("a", 5), Server("b", 6)}, now);
  roster.UpdateServer(Server("a", 9, true));
  roster.RemoveServer("b", 10, now);
  roster.OnList({Server("a", 5), Server("b", 6)}, now);
  REQUIRE(roster.servers().size() == 1);
  CHECK(roster.servers()[0].is_draining);
  roster.UpdateServer(Server("b", 11));
  CHECK(roster.servers().size() == 2);
}

TEST_CASE(
    "a server missing after an outage is kept until it can register again",
    "[roster]") {
  ServerRoster roster;
  TimePoint now(seconds(100));
  roster.OnList({Server("a", 5), Server("b", 6)}, now);
  roster.SetSourceReachable(false, now);
  now += seconds(10);
  roster.SetSourceReachable(true, now);
  roster.OnList({Server("a", 5)}, now);
  roster.RemoveServer("a", 20, now);
  CHECK(roster.servers().size() == 2);
  now += ServerRoster::kReregistrationTime;
  roster.OnList({Server("a", 21)}, now);
  REQUIRE(roster.servers().size() == 1);
  CHECK(roster.servers()[0].id == "a");
}

// Guards against a late drop: an owner received the removal of its server 0.2 s
// after an outage, but dropped the server only with the next list, which was
// too late.
TEST_CASE("a server that stays missing is dropped without another list",
          "[roster]") {
  ServerRoster roster;
  TimePoint now(seconds(100));
  roster.OnList({Server("a", 5), Server("b", 6), Server("c", 7)}, now);
  CHECK_FALSE(roster.NextWake());
  roster.SetSourceReachable(false, now);
  now += seconds(10);
  roster.SetSourceReachable(true, now);
  const TimePoint reliable_from = now + ServerRoster::kReregistrationTime;
  roster.OnList({Server("a", 5), Server("c", 7)}, now);
  now += milliseconds(200);
  roster.RemoveServer("a", 20, now);
  // A list from before the removal, in which another server is back.
  roster.OnList({Server("a", 5), Server("b", 6)}, now);
  REQUIRE(roster.NextWake() == reliable_from);
  roster.Advance(now);
  CHECK(roster.servers().size() == 3);
  roster.Advance(reliable_from);
  REQUIRE(roster.servers().size() == 1);
  CHECK(roster.servers()[0].id == "b");
  CHECK_FALSE(roster.NextWake());
  // The removal is remembered, so an older revision does not add the server.
  roster.UpdateServer(Server("a", 5));
  CHECK(roster.servers().size() == 1);
}

}  // namespace
}  // namespace vanillafall
