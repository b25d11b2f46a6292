#include "dispatch/server_roster.h"

#include <catch2/catch.hpp>
#include <set>

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
  server.revision.number = revision;
  server.is_draining = is_draining;
  return server;
}

TEST_CASE("an older list does not undo changes of single servers", "[roster]") {
  ServerRoster roster;
  const TimePoint now(seconds(100));
  roster.OnList({Server("a", 5), Server("b", 6)}, now);
  roster.UpdateServer(Server("a", 9, true), now);
  roster.RemoveServer("b", {0, 10}, now);
  roster.OnList({Server("a", 5), Server("b", 6)}, now);
  REQUIRE(roster.servers().size() == 1);
  CHECK(roster.servers()[0].is_draining);
  roster.UpdateServer(Server("b", 11), now);
  CHECK(roster.servers().size() == 2);
}

TEST_CASE(
    "a server missing after an outage is kept until it can register again",
    "[roster]") {
  ServerRoster roster;
  TimePoint now(seconds(100));
  roster.OnList({Server("a", 5), Server("b", 6)}, now);
  roster.OnSourceLost();
  now += seconds(10);
  roster.OnSourceReached(false, now, now);
  roster.OnList({Server("a", 5)}, now);
  roster.RemoveServer("a", {0, 20}, now);
  CHECK(roster.servers().size() == 2);
  now += ServerRoster::kReregistrationTime;
  roster.OnList({Server("a", 21)}, now);
  REQUIRE(roster.servers().size() == 1);
  CHECK(roster.servers()[0].id == "a");
}

TEST_CASE(
    "a server that leaves while only this daemon can't reach the source is "
    "dropped at once",
    "[roster]") {
  ServerRoster roster;
  TimePoint now(seconds(100));
  for (int cut = 0; cut < 2; ++cut) {
    roster.OnList({Server("a", 5), Server("b", 6)}, now);
    roster.OnSourceLost();
    now += seconds(10);
    roster.OnSourceReached(true, now, now);
    roster.OnList({Server("a", 5)}, now);
    CHECK(roster.servers().size() == 1);
    roster.RemoveServer("a", {0, 20}, now);
    CHECK(roster.servers().empty());
    roster = ServerRoster();
  }
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
  roster.OnSourceLost();
  now += seconds(10);
  roster.OnSourceReached(false, now, now);
  const TimePoint reliable_from = now + ServerRoster::kReregistrationTime;
  roster.OnList({Server("a", 5), Server("c", 7)}, now);
  now += milliseconds(200);
  roster.RemoveServer("a", {0, 20}, now);
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
  roster.UpdateServer(Server("a", 5), reliable_from);
  CHECK(roster.servers().size() == 1);
}

// Guards against requests that reach a server long after its removal, because
// this daemon has found the source again only some time after an outage.
TEST_CASE("a removal is in force within 3 s of the end of an outage",
          "[roster]") {
  // Time from the last call that failed to the first that was answered.
  const milliseconds uncertainty =
      GENERATE(milliseconds(0), milliseconds(300), milliseconds(800));
  CAPTURE(uncertainty.count());
  ServerRoster roster;
  const TimePoint away_at(seconds(100));
  const TimePoint reached = away_at + uncertainty;
  roster.OnList({Server("a", 5), Server("b", 6)}, away_at - seconds(10));
  roster.OnSourceLost();
  roster.OnSourceReached(false, away_at, reached);
  roster.RemoveServer("a", {0, 20}, reached + milliseconds(200));
  // Its registration may have expired in the outage, which ended by then.
  roster.Advance(reached + milliseconds(1999));
  CHECK(roster.servers().size() == 2);
  REQUIRE(roster.NextWake());
  CHECK(*roster.NextWake() < away_at + seconds(3));
  roster.Advance(*roster.NextWake());
  CHECK(roster.servers().size() == 1);
}

// A registration of the process that was started at `started_at`.
ListedServer Published(const std::string& id,
                       const SourceRevision& revision,
                       std::uint64_t sequence,
                       bool is_draining = false,
                       milliseconds started_at = milliseconds(1000)) {
  ListedServer server = Server(id, 0, is_draining);
  server.revision = revision;
  server.sequence = sequence;
  server.started_at = started_at;
  return server;
}

std::set<std::string> IdsOf(const ServerRoster& roster) {
  std::set<std::string> ids;
  for (const ListedServer& server : roster.servers()) {
    ids.insert(server.id);
  }
  return ids;
}

TEST_CASE("a state of a later era counts although its revision is lower",
          "[roster]") {
  ServerRoster roster;
  const TimePoint now(seconds(100));
  roster.OnList({Published("a", {1, 55}, 4)}, now);
  roster.OnSourceRestored(now);
  roster.UpdateServer(Published("a", {2, 48}, 9, true), now);
  CHECK(roster.servers()[0].is_draining);
  // An answer of the former era that comes late.
  roster.UpdateServer(Published("a", {1, 60}, 8), now);
  CHECK(roster.servers()[0].revision == SourceRevision{2, 48});
}

TEST_CASE("a draining server is not ready again in a restored copy",
          "[roster]") {
  ServerRoster roster;
  const TimePoint now(seconds(100));
  roster.OnList({Published("a", {1, 50}, 4)}, now);
  roster.UpdateServer(Published("a", {1, 55}, 9, true), now);
  for (const std::uint64_t era : {2, 3}) {
    roster.OnSourceRestored(now);
    roster.OnList({Published("a", {era, 50}, 4)}, now);
    CHECK(roster.servers()[0].is_draining);
  }
  // Long after the drill the store's state is taken, but a process that drains
  // still never becomes ready.
  const TimePoint later = now + ServerRoster::kRestoredRemovalTime;
  roster.OnList({Published("a", {3, 50}, 4)}, later);
  CHECK(roster.servers()[0].is_draining);
  roster.OnList({Published("a", {3, 60}, 1, false, milliseconds(9000))}, later);
  CHECK_FALSE(roster.servers()[0].is_draining);
}

TEST_CASE("a removed server that is back in a restored copy stays removed",
          "[roster]") {
  ServerRoster roster;
  const TimePoint now(seconds(100));
  roster.OnList({Published("a", {1, 50}, 4), Published("b", {1, 51}, 4),
                 Published("c", {1, 52}, 4), Published("d", {1, 53}, 4)},
                now);
  roster.RemoveServer("a", {1, 60}, now);
  roster.RemoveServer("b", {1, 61}, now);
  roster.RemoveServer("c", {1, 62}, now);
  // Only missing from a list.
  roster.OnList({}, now);
  for (const std::uint64_t era : {2, 3}) {
    roster.OnSourceRestored(now);
    roster.OnList({Published("a", {era, 50}, 4), Published("d", {era, 53}, 4)},
                  now);
    CHECK(IdsOf(roster).empty());
  }
  // The same process has published again since, or another one has started.
  roster.UpdateServer(Published("b", {3, 54}, 5), now);
  roster.UpdateServer(Published("c", {3, 55}, 1, false, milliseconds(2000)),
                      now);
  CHECK(IdsOf(roster) == std::set<std::string>{"b", "c"});
  // An entry that is still listed then belongs to a process that runs.
  roster.OnList({Published("a", {3, 50}, 4), Published("b", {3, 54}, 5),
                 Published("c", {3, 55}, 1, false, milliseconds(2000))},
                now + ServerRoster::kRestoredRemovalTime);
  CHECK(IdsOf(roster) == std::set<std::string>{"a", "b", "c"});
}

TEST_CASE("a server that a restored copy lacks is kept until it can register",
          "[roster]") {
  ServerRoster roster;
  TimePoint now(seconds(100));
  roster.OnList({Published("a", {1, 50}, 4), Published("b", {1, 51}, 1),
                 Published("c", {1, 52}, 1)},
                now);
  roster.OnSourceRestored(now);
  roster.OnList({Published("a", {2, 50}, 4)}, now);
  CHECK(roster.servers().size() == 3);
  now += milliseconds(500);
  // The lost registration is made again, at a revision that is given out again.
  roster.UpdateServer(Published("b", {2, 51}, 1), now);
  REQUIRE(roster.NextWake());
  now = *roster.NextWake();
  roster.Advance(now);
  CHECK(IdsOf(roster) == std::set<std::string>{"a", "b"});
}

TEST_CASE("a removal shortly after a restore is carried out at its end",
          "[roster]") {
  ServerRoster roster;
  TimePoint now(seconds(100));
  roster.OnList({Published("a", {1, 50}, 4)}, now);
  roster.RemoveServer("a", {1, 60}, now);
  roster.OnList({Published("a", {1, 61}, 6)}, now);
  roster.OnSourceRestored(now);
  roster.RemoveServer("a", {2, 40}, now);
  roster.OnList({Published("a", {2, 30}, 4)}, now);
  REQUIRE(roster.NextWake());
  now = *roster.NextWake();
  roster.Advance(now);
  CHECK(IdsOf(roster).empty());
  roster.UpdateServer(Published("a", {2, 30}, 4), now);
  CHECK(IdsOf(roster).empty());
}

}  // namespace
}  // namespace vanillafall
