#include "dispatch/dispatcher.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "dispatch/dispatch_delegate_fake.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

RouteTablePtr Table(std::uint64_t version, const std::string& prefix) {
  DispatchRoute route;
  route.name = "r";
  route.host = "a.example";
  route.prefix = prefix;
  route.services = {{"desk", 1}};
  return std::make_shared<RouteTable>(
      version, std::vector<DispatchRoute>{route}, CallerLimits{});
}

// A configuration with one customer, whose key is "key".
RouteTablePtr TableWithCustomer(std::uint64_t version,
                                const std::string& key,
                                bool is_public = false) {
  DispatchRoute route;
  route.name = "r";
  route.host = "a.example";
  route.prefix = "/";
  route.priority = 2;
  route.is_public = is_public;
  route.services = {{"desk", 1}};
  return std::make_shared<RouteTable>(
      version, std::vector<DispatchRoute>{route}, CallerLimits{},
      CustomerTable({{{"club", 1, 0, 0}, {key}}}, true));
}

// A configuration whose customer "club" may send this many requests.
RouteTablePtr TableWithLimit(std::uint64_t version,
                             double per_second,
                             double burst) {
  const RouteTablePtr plain = TableWithCustomer(version, "key");
  const DispatchRoutePtr route = plain->Find("a.example", "/");
  return std::make_shared<RouteTable>(
      version, std::vector<DispatchRoute>{*route}, CallerLimits{},
      CustomerTable({{{"club", 1, per_second, burst}, {"key"}}}, true));
}

ListedServer Server(const std::string& id,
                    const std::string& host,
                    std::uint64_t revision = 1) {
  ListedServer server;
  server.id = id;
  server.service = "desk";
  server.address = host + ":8080";
  server.owner = host + ":7100";
  server.data_centre = "north";
  server.slots = 2;
  server.revision.number = revision;
  return server;
}

struct Fixture {
  void Request(const std::string& target, const std::string& key = "") {
    EntryRequest request;
    request.key.text = key;
    request.key.state =
        key.empty() ? CallerKey::State::kNone : CallerKey::State::kPresent;
    request.id = ++requests;
    request.request_id = "id";
    request.host = "a.example";
    request.request.target = target;
    request.time_left = seconds(1);
    dispatcher.OnCallerRequest(std::move(request), now);
  }

  TimePoint now = TimePoint(seconds(100));
  RequestId requests = 0;
  DispatchDelegateFake delegate;
  Dispatcher dispatcher{{"10.0.0.1:7100", "north", "10.0.0.1:8080", 11, 12},
                        delegate};
};

TEST_CASE("a request for the instance's own server sends no message",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/"), "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.Request("/x");
  CHECK(f.delegate.to_owners.empty());
  REQUIRE(f.delegate.calls.size() == 1);
  CHECK(f.delegate.calls[0].server == "own");
  BackendCallEnd end;
  end.id = f.delegate.calls[0].id;
  end.end = RunEnd::kAnswered;
  end.response.status = 200;
  f.dispatcher.OnBackendEnd(std::move(end), f.now);
  REQUIRE(f.delegate.answers.size() == 1);
  CHECK(f.delegate.answers[0].outcome == Outcome::kDone);
}

TEST_CASE("an older configuration does not replace a newer one",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/new/"), "", f.now);
  f.dispatcher.OnConfig(Table(4, "/old/"), "", f.now);
  CHECK(f.dispatcher.table()->version() == 5);
}

TEST_CASE("a newer configuration is requested from the daemon that reports it",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/"), "", f.now);
  f.dispatcher.OnEntryMessage(3, Hello{99, 6}, f.now);
  CHECK(f.delegate.SentToEntries<ConfigWanted>().size() == 1);
  // No second request is sent before the reply can have arrived.
  f.dispatcher.OnEntryMessage(4, Hello{98, 6}, f.now);
  CHECK(f.delegate.SentToEntries<ConfigWanted>().size() == 1);
  f.delegate.own_config = {5, "text"};
  f.dispatcher.OnEntryMessage(3, ConfigWanted{}, f.now);
  CHECK(f.delegate.SentToEntries<ConfigText>().back().text == "text");
}

// Guards against a slow link that is filled with copies of one large text.
TEST_CASE("a text that is on its way is not requested again", "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/"), "", f.now);
  const auto count_requests = [&f] {
    return f.delegate.SentToEntries<ConfigWanted>().size();
  };
  for (int i = 0; i < 10; ++i) {
    f.dispatcher.OnEntryMessage(3, Hello{99, 6}, f.now);
    f.now += milliseconds(99);
  }
  CHECK(count_requests() == 1);
  // The daemon that was asked may have stopped.
  f.dispatcher.OnEntryLinkLost(3, f.now);
  f.dispatcher.OnEntryMessage(4, Hello{98, 6}, f.now);
  CHECK(count_requests() == 2);
  f.dispatcher.OnEntryLinkLost(5, f.now);
  f.dispatcher.OnEntryMessage(4, Hello{98, 6}, f.now);
  CHECK(count_requests() == 2);
  // It may also be silent.
  f.now += seconds(1);
  f.dispatcher.OnEntryMessage(4, Hello{98, 6}, f.now);
  CHECK(count_requests() == 3);
}

TEST_CASE(
    "a request without a route is not refused before the source has confirmed "
    "that there is none",
    "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/old/"), "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  f.Request("/new/x");
  REQUIRE(f.delegate.answers.size() == 1);
  CHECK(f.delegate.answers[0].reason == Reason::kUnknownRoute);
  f.now += seconds(5);
  f.Request("/new/x");
  f.Request("/none/x");
  f.Request("/old/x");
  CHECK(f.delegate.answers.size() == 1);
  CHECK(f.delegate.calls.size() == 1);
  CHECK(f.delegate.source_checks > 0);
  f.dispatcher.OnConfig(Table(6, "/new/"), "", f.now);
  CHECK(f.delegate.calls.size() == 2);
  CHECK(f.delegate.answers.size() == 1);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  REQUIRE(f.delegate.answers.size() == 2);
  CHECK(f.delegate.answers[1].reason == Reason::kUnknownRoute);
}

TEST_CASE(
    "a request whose route the source does not confirm in time is refused with "
    "an invitation to come back",
    "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/old/"), "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.Request("/new/x");
  CHECK(f.dispatcher.unfinished_count() == 1);
  REQUIRE(f.dispatcher.NextWake());
  CHECK(*f.dispatcher.NextWake() <= f.now + seconds(1));
  f.now = *f.dispatcher.NextWake();
  f.dispatcher.Advance(f.now);
  REQUIRE(f.delegate.answers.size() == 1);
  CHECK(f.delegate.answers[0].outcome == Outcome::kNotRun);
  CHECK(f.delegate.answers[0].reason == Reason::kNoConfig);
  CHECK(f.delegate.answers[0].retry_after > milliseconds(0));
  // A source that does not answer this daemon may have published the route.
  f.dispatcher.SetSourceReachable(false, f.now);
  f.Request("/new/x");
  CHECK(f.delegate.answers.size() == 1);
  CHECK(*f.dispatcher.NextWake() <= f.now + milliseconds(250));
  f.now = *f.dispatcher.NextWake();
  f.dispatcher.Advance(f.now);
  REQUIRE(f.delegate.answers.size() == 2);
  CHECK(f.delegate.answers[1].reason == Reason::kNoConfig);
  CHECK(f.delegate.answers[1].retry_after > milliseconds(0));
}

// Guards against requests that reach a server which has long reported that it
// is leaving: the daemon beside it has just seen it, as ready, on a list that
// is seconds old, and the source refuses the read of its entry.
TEST_CASE("no offer is granted by an entry that the source refuses to confirm",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/"), "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.dispatcher.HoldOffers(f.now);
  for (int refusal = 0; refusal < 20; ++refusal) {
    f.dispatcher.SetSourceReachable(false, f.now);
    f.Request("/x");
    f.now += milliseconds(200);
    f.dispatcher.Advance(f.now);
    // Another call is answered.
    f.dispatcher.SetSourceReachable(true, f.now);
    f.now += milliseconds(50);
    f.dispatcher.Advance(f.now);
  }
  CHECK(f.delegate.calls.empty());
  f.Request("/x");
  f.dispatcher.OnOwnServerConfirmed(f.now);
  CHECK_FALSE(f.delegate.calls.empty());
}

TEST_CASE("offers wait a second at most for a source that answers nobody",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/"), "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.dispatcher.HoldOffers(f.now);
  f.dispatcher.SetSourceReachable(false, f.now);
  REQUIRE(f.dispatcher.NextWake());
  CHECK(*f.dispatcher.NextWake() <= f.now + seconds(1));
  f.now += seconds(1);
  f.dispatcher.Advance(f.now);
  f.Request("/x");
  CHECK(f.delegate.calls.size() == 1);
}

TEST_CASE("a key is not refused as unknown because the source does not answer",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(TableWithCustomer(5, "key"), "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.Request("/x", "added");
  f.dispatcher.SetSourceReachable(false, f.now);
  f.Request("/x", "added");
  CHECK(f.delegate.answers.empty());
  f.dispatcher.OnConfig(TableWithCustomer(6, "added"), "", f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 8}, f.now);
  CHECK(f.delegate.calls.size() == 2);
}

// Guards against requests that run without a customer's key, and against a
// customer's key or priority that is lost on the way to the server.
TEST_CASE("a request runs for the customer that has its key", "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(TableWithCustomer(5, "key"), "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  f.Request("/x");
  f.Request("/x", "other");
  REQUIRE(f.delegate.answers.size() == 2);
  for (const CallerAnswer& answer : f.delegate.answers) {
    CHECK(answer.reason == Reason::kUnknownKey);
    CHECK(answer.outcome == Outcome::kNotRun);
  }
  CHECK(f.delegate.calls.empty());
  f.Request("/x", "key");
  REQUIRE(f.delegate.calls.size() == 1);
  CHECK(f.delegate.calls[0].customer == "club");
  f.dispatcher.OnConfig(TableWithCustomer(6, "key", true), "", f.now);
  f.Request("/x");
  REQUIRE(f.delegate.calls.size() == 2);
  CHECK(f.delegate.calls[1].customer.empty());
}

// Guards against refusing a key that was added while no news arrived, and
// against serving one that was removed.
TEST_CASE("a key is refused only on recent evidence", "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(TableWithCustomer(5, "old"), "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.Request("/x", "new");
  CHECK(f.delegate.answers.empty());
  CHECK(f.delegate.source_checks > 0);
  f.dispatcher.OnConfig(TableWithCustomer(6, "new"), "", f.now);
  REQUIRE(f.delegate.calls.size() == 1);
  BackendCallEnd end;
  end.id = f.delegate.calls[0].id;
  end.end = RunEnd::kAnswered;
  end.response.status = 200;
  f.dispatcher.OnBackendEnd(std::move(end), f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  f.Request("/x", "old");
  REQUIRE(f.delegate.answers.size() == 2);
  CHECK(f.delegate.answers[1].reason == Reason::kUnknownKey);
  // Without evidence in time, the caller is invited to come back.
  f.now += seconds(5);
  f.Request("/x", "newer");
  f.now += seconds(1);
  f.dispatcher.Advance(f.now);
  REQUIRE(f.delegate.answers.size() == 3);
  CHECK(f.delegate.answers[2].reason == Reason::kNoConfig);
  CHECK(f.delegate.answers[2].retry_after > milliseconds(0));
}

// Guards against suspecting the own server when calls of its runs fail.
TEST_CASE("failed calls of the own server's runs do not make it suspected",
          "[dispatcher]") {
  Fixture f;
  DispatchRoute desk;
  desk.name = "desk-route";
  desk.host = "a.example";
  desk.prefix = "/";
  desk.services = {{"desk", 1}};
  DispatchRoute works = desk;
  works.name = "works-route";
  works.prefix = "/works/";
  works.services = {{"works", 1}};
  f.dispatcher.OnConfig(
      std::make_shared<RouteTable>(5, std::vector<DispatchRoute>{desk, works},
                                   CallerLimits{}),
      "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  constexpr std::size_t kRuns = 8;
  for (std::size_t i = 0; i < kRuns; ++i) {
    f.Request("/x");
    REQUIRE(f.delegate.calls.size() == i + 1);
    // The called service has no server.
    f.Request("/works/x");
    BackendCallEnd end;
    end.id = f.delegate.calls.back().id;
    end.end = RunEnd::kAnswered;
    end.has_arrived = true;
    end.response.status = 500;
    f.dispatcher.OnBackendEnd(std::move(end), f.now);
  }
  CHECK(std::none_of(f.delegate.events.begin(), f.delegate.events.end(),
                     [](const LogEvent& event) {
                       return event.id == LogEventId::kOwnServerSuspected;
                     }));
}

// Ends the last call to the backend server with status 200.
void AnswerLastCall(Fixture& f) {
  BackendCallEnd end;
  end.id = f.delegate.calls.back().id;
  end.end = RunEnd::kAnswered;
  end.response.status = 200;
  f.dispatcher.OnBackendEnd(std::move(end), f.now);
}

// Guards against a removed key that goes on working on a daemon that stood
// still or had no traffic, and against valid requests that are late or refused
// because a source does not answer.
TEST_CASE("a valid key is checked against a newer configuration",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(TableWithCustomer(5, "key"), "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  f.Request("/x", "key");
  CHECK(f.delegate.calls.size() == 1);
  AnswerLastCall(f);
  // The process stands still while the key is removed.
  f.now += seconds(4);
  f.Request("/x", "key");
  CHECK(f.delegate.calls.size() == 1);
  CHECK(f.delegate.source_checks > 0);
  f.dispatcher.OnConfig(TableWithCustomer(6, "other"), "", f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 8}, f.now);
  CHECK(f.delegate.calls.size() == 1);
  REQUIRE(f.delegate.answers.size() == 2);
  CHECK(f.delegate.answers[1].reason == Reason::kUnknownKey);
  // It is valid still.
  f.now += seconds(4);
  f.Request("/x", "other");
  CHECK(f.delegate.calls.size() == 1);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 8}, f.now);
  CHECK(f.delegate.calls.size() == 2);
  AnswerLastCall(f);
  // No answer comes from the source.
  f.now += seconds(4);
  f.Request("/x", "other");
  REQUIRE(f.dispatcher.NextWake());
  CHECK(*f.dispatcher.NextWake() <= f.now + milliseconds(100));
  f.now += milliseconds(100);
  f.dispatcher.Advance(f.now);
  CHECK(f.delegate.calls.size() == 3);
  AnswerLastCall(f);
  // The source is known not to answer.
  f.dispatcher.SetSourceReachable(false, f.now);
  f.Request("/x", "other");
  CHECK(f.delegate.calls.size() == 4);
}

// Guards against delays in fleets without customers.
TEST_CASE("without customers a request with a route is not held",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/"), "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.Request("/x", "key");
  REQUIRE(f.delegate.calls.size() == 1);
  CHECK(f.delegate.calls[0].customer.empty());
}

// Guards against a removed key that goes on working on a daemon that the source
// refuses: only other daemons tell it of the newer version.
TEST_CASE("a daemon that the source refuses asks others for newer versions",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(TableWithCustomer(5, "key"), "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.dispatcher.SetSourceReachable(false, f.now);
  f.dispatcher.OnEntryMessage(3, ConfigConfirmed{5, milliseconds(5), {0, 7}},
                              f.now);
  f.now += milliseconds(100);
  f.dispatcher.OnEntryMessage(3, ConfigConfirmed{6, milliseconds(5), {0, 8}},
                              f.now);
  CHECK(f.delegate.SentToEntries<ConfigWanted>().size() == 1);
}

// Guards against evidence that is as old as the standstill of the process:
// messages wait in its sockets meanwhile, and name the age that they had when
// they were sent. Replies to questions of before the standstill do as well.
TEST_CASE("messages from a standstill do not confirm the configuration",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(TableWithCustomer(5, "key"), "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  f.now += seconds(1);
  const ConfigConfirmed announced{5, milliseconds(5), {0, 7}};
  f.dispatcher.OnEntryMessage(3, announced, f.now);
  auto questions = f.delegate.SentToEntries<ConfirmationWanted>();
  REQUIRE(questions.size() == 1);
  f.now += seconds(4);
  f.dispatcher.OnEntryMessage(3, announced, f.now);
  ConfigConfirmed reply = announced;
  reply.asked_at = questions[0].asked_at;
  f.dispatcher.OnEntryMessage(3, reply, f.now);
  f.Request("/x", "key");
  f.Request("/x", "wrong");
  CHECK(f.delegate.calls.empty());
  CHECK(f.delegate.answers.empty());
  // What the source says is trusted, since it was asked after that.
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  CHECK(f.delegate.calls.size() == 1);
  CHECK(f.delegate.answers.size() == 1);
  // Other daemons are believed when they were asked after that.
  f.now += seconds(4);
  f.dispatcher.OnEntryMessage(3, announced, f.now);
  questions = f.delegate.SentToEntries<ConfirmationWanted>();
  reply.asked_at = questions.back().asked_at;
  f.dispatcher.OnEntryMessage(3, reply, f.now);
  f.Request("/x", "wrong");
  CHECK(f.delegate.answers.size() == 2);
}

// Guards against work that is lost because the key of a request that waits is
// removed, and against one that is refused as a duplicate: admitted requests
// finish.
TEST_CASE("a request that waits for a slot outlives the removal of its key",
          "[dispatcher]") {
  Fixture f;
  ListedServer server = Server("own", "10.0.0.1");
  server.slots = 1;
  f.dispatcher.OnConfig(TableWithCustomer(5, "key"), "", f.now);
  f.dispatcher.OnServers({server}, f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  f.Request("/x", "key");
  f.Request("/x", "key");
  REQUIRE(f.delegate.calls.size() == 1);
  f.dispatcher.OnConfig(TableWithCustomer(6, "other"), "", f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 8}, f.now);
  f.Request("/x", "key");
  REQUIRE(f.delegate.answers.size() == 1);
  CHECK(f.delegate.answers[0].reason == Reason::kUnknownKey);
  AnswerLastCall(f);
  REQUIRE(f.delegate.calls.size() == 2);
  CHECK(f.delegate.calls[1].customer == "club");
  AnswerLastCall(f);
  REQUIRE(f.delegate.answers.size() == 3);
  CHECK(f.delegate.answers[2].outcome == Outcome::kDone);
}

RouteTablePtr TableWithCustomers(std::uint64_t version,
                                 std::vector<CustomerEntry> customers) {
  DispatchRoute route;
  route.name = "r";
  route.host = "a.example";
  route.prefix = "/";
  route.services = {{"desk", 1}};
  return std::make_shared<RouteTable>(
      version, std::vector<DispatchRoute>{route}, CallerLimits{},
      CustomerTable(std::move(customers), true));
}

// Guards against a rotation during which one of the two keys is refused, and
// against a key that stays with its former customer.
TEST_CASE("a key is rotated, moved and removed with each version",
          "[dispatcher]") {
  struct Row {
    const char* name;
    std::vector<CustomerEntry> customers;
    // The customers that requests with the keys "k1" and "k2" run for; empty
    // where they are refused.
    std::string first;
    std::string second;
  };
  const Row rows[] = {
      {"one key", {{{"club"}, {"k1"}}}, "club", ""},
      {"both during a rotation", {{{"club"}, {"k1", "k2"}}}, "club", "club"},
      {"rotated", {{{"club"}, {"k2"}}}, "", "club"},
      {"moved", {{{"club"}, {"k1"}}, {{"court"}, {"k2"}}}, "club", "court"},
      {"shared", {{{"club"}, {"k1", "k2"}}, {{"court"}, {"k2"}}}, "club", ""},
      {"customer removed", {{{"court"}, {"k2"}}}, "", "court"},
      {"no keys left", {{{"court"}, {}}}, "", ""},
  };
  Fixture f;
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  std::uint64_t version = 0;
  const auto customer_of = [&f](const std::string& key) {
    const std::size_t calls = f.delegate.calls.size();
    f.Request("/x", key);
    if (f.delegate.calls.size() == calls) {
      CHECK(f.delegate.answers.back().reason == Reason::kUnknownKey);
      return std::string();
    }
    AnswerLastCall(f);
    return f.delegate.calls.back().customer;
  };
  for (const Row& row : rows) {
    INFO(row.name);
    f.dispatcher.OnConfig(TableWithCustomers(++version, row.customers), "",
                          f.now);
    f.dispatcher.OnConfigConfirmed(f.now, {0, version}, f.now);
    CHECK(customer_of("k1") == row.first);
    CHECK(customer_of("k2") == row.second);
  }
}

// Guards against a priority or a customer that is lost on the way to an owner.
TEST_CASE("an offer has the priority and the customer of its key",
          "[dispatcher]") {
  DispatchRoute route;
  route.name = "r";
  route.host = "a.example";
  route.prefix = "/";
  route.priority = 2;
  route.is_public = true;
  route.services = {{"desk", 1}};
  Customer urgent{"urgent", 0};
  Customer usual{"usual"};
  Fixture f;
  f.dispatcher.OnConfig(
      std::make_shared<RouteTable>(
          5, std::vector<DispatchRoute>{route}, CallerLimits{},
          CustomerTable({{urgent, {"k1"}}, {usual, {"k2"}}}, true)),
      "", f.now);
  f.dispatcher.OnServers({Server("b", "10.0.0.2")}, f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  f.Request("/1", "k1");
  f.Request("/2", "k2");
  f.Request("/3", "wrong");
  f.Request("/4");
  const auto offers = f.delegate.SentToOwners<Offer>();
  REQUIRE(offers.size() == 4);
  CHECK(offers[0].second.priority == 0);
  CHECK(offers[1].second.priority == 2);
  CHECK(offers[2].second.priority == 2);
  CHECK(offers[0].second.customer != 0);
  CHECK(offers[1].second.customer != 0);
  CHECK(offers[0].second.customer != offers[1].second.customer);
  CHECK(offers[2].second.customer == 0);
  CHECK(offers[3].second.customer == 0);
}

// Guards against an owner that judges keys by its own version: only the entry
// does, and the owner runs the request for the customer that the entry names.
TEST_CASE("an owner of another version runs a request for its customer",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(TableWithCustomers(5, {{{"court"}, {"k1"}}}), "",
                        f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  for (const std::uint64_t version : {std::uint64_t{4}, std::uint64_t{6}}) {
    Offer offer;
    offer.id = {7, version};
    offer.server = "own";
    offer.route = "r";
    offer.time_left = seconds(2);
    offer.fingerprint = {0, version};
    offer.config_version = version;
    f.dispatcher.OnEntryMessage(3, offer, f.now);
    Run run;
    run.id = offer.id;
    run.request_id = "id";
    run.time_left = seconds(2);
    run.customer = "club";
    f.dispatcher.OnEntryMessage(3, run, f.now);
  }
  REQUIRE(f.delegate.calls.size() == 2);
  CHECK(f.delegate.calls[0].customer == "club");
  CHECK(f.delegate.calls[1].customer == "club");
  // The newer version of the two is requested.
  CHECK(f.delegate.SentToEntries<ConfigWanted>().size() == 1);
}

// Guards against a request that is refused as unknown by a daemon that is
// behind, or served by it after another daemon has named the newer version.
TEST_CASE("a daemon that is behind learns of a removed key from a reply",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(TableWithCustomer(5, "key"), "", f.now);
  f.dispatcher.OnServers({Server("b", "10.0.0.2")}, f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  f.Request("/x", "key");
  const auto offers = f.delegate.SentToOwners<Offer>();
  REQUIRE(offers.size() == 1);
  f.dispatcher.OnOwnerMessage("10.0.0.2:7100",
                              Grant{offers[0].second.id, {}, 6}, f.now);
  // It was admitted before the removal was known, so it runs.
  CHECK(f.delegate.SentToOwners<Run>().size() == 1);
  CHECK(f.delegate.SentToOwners<ConfigWanted>().size() == 1);
  f.dispatcher.OnConfig(TableWithCustomer(6, "other"), "", f.now);
  f.Request("/x", "key");
  REQUIRE(f.delegate.answers.size() == 1);
  CHECK(f.delegate.answers[0].reason == Reason::kUnknownKey);
}

// Guards against a key in a message, a log line or an answer.
TEST_CASE("no output holds a request's key", "[dispatcher]") {
  const std::string key = "secret-of-the-club";
  Fixture f;
  f.dispatcher.OnConfig(TableWithCustomer(5, key), "", f.now);
  f.dispatcher.OnServers({Server("b", "10.0.0.2")}, f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  f.Request("/x", key);
  const auto offers = f.delegate.SentToOwners<Offer>();
  REQUIRE(offers.size() == 1);
  f.dispatcher.OnOwnerMessage("10.0.0.2:7100",
                              Grant{offers[0].second.id, {}, 5}, f.now);
  const auto runs = f.delegate.SentToOwners<Run>();
  REQUIRE(runs.size() == 1);
  CHECK(runs[0].second.customer == "club");
  CHECK(runs[0].second.request.headers.empty());
  // Refused, once beside a target that repeats the key.
  f.Request("/x", key + "-wrong");
  f.Request("/x?key=" + key + "-wrong", key + "-wrong");
  f.now += seconds(3);
  f.dispatcher.Advance(f.now);
  REQUIRE(f.delegate.answers.size() == 3);
  int refusals = 0;
  for (const LogEvent& event : f.delegate.events) {
    INFO(static_cast<int>(event.id));
    CHECK(event.subject.find(key) == std::string::npos);
    CHECK(event.detail.find(key) == std::string::npos);
    std::map<std::string, std::string> fields;
    for (const LogField& field : event.fields) {
      CHECK(field.value.find(key) == std::string::npos);
      fields[field.name] = field.value;
    }
    if (event.detail == ToString(Reason::kUnknownKey)) {
      ++refusals;
      CHECK(fields["config"] == "5");
      CHECK(fields["config_age_ms"] == "0");
      CHECK(fields["key"] == "unknown");
    }
  }
  CHECK(refusals == 2);
}

TEST_CASE("a refusal says what shows that its configuration is the newest",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/old/"), "", f.now);
  const auto last_fields = [&f] {
    std::map<std::string, std::string> fields;
    for (const LogField& field : f.delegate.events.back().fields) {
      fields[field.name] = field.value;
    }
    return fields;
  };
  f.Request("/none/x");
  f.now += milliseconds(30);
  f.dispatcher.OnConfigConfirmed(f.now - milliseconds(20), {0, 7}, f.now);
  auto fields = last_fields();
  CHECK(fields["config"] == "5");
  CHECK(fields["config_age_ms"] == "20");
  CHECK(fields["config_proof"] == "source");
  CHECK(fields["config_heard"] == "5");
  CHECK(fields["source"] == "reachable");
  CHECK(fields["held_ms"] == "30");
}

TEST_CASE("a held request whose caller leaves is dropped", "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/old/"), "", f.now);
  f.Request("/new/x");
  f.dispatcher.OnCallerGone(1, f.now);
  CHECK(f.dispatcher.unfinished_count() == 0);
  f.Request("/new/x");
  f.dispatcher.EndRequests(f.now);
  REQUIRE(f.delegate.answers.size() == 1);
  CHECK(f.delegate.answers[0].outcome == Outcome::kNotRun);
}

TEST_CASE("a confirmation of one daemon serves the others", "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/old/"), "", f.now);
  f.dispatcher.OnConfigConfirmed(f.now - milliseconds(5), {0, 7}, f.now);
  REQUIRE(f.delegate.to_some_daemons.size() == 1);
  const auto sent =
      std::get<ConfigConfirmed>(f.delegate.to_some_daemons.front());
  CHECK(sent.version == 5);
  CHECK(sent.age == milliseconds(5));
  // It leads others to ask, and the reply serves them.
  f.now += milliseconds(20);
  f.dispatcher.OnEntryMessage(4, ConfirmationWanted{milliseconds(123)}, f.now);
  const auto replies = f.delegate.SentToEntries<ConfigConfirmed>();
  REQUIRE(replies.size() == 1);
  CHECK(replies[0].age == milliseconds(25));
  CHECK(replies[0].asked_at == milliseconds(123));
  const auto reply_to = [&replies](const ConfirmationWanted& question) {
    ConfigConfirmed reply = replies[0];
    reply.asked_at = question.asked_at;
    return reply;
  };

  Fixture other;
  other.dispatcher.OnConfig(Table(5, "/old/"), "", other.now);
  other.Request("/new/x");
  CHECK(other.delegate.answers.empty());
  // It is no evidence about another version.
  other.dispatcher.OnEntryMessage(
      3, ConfigConfirmed{4, milliseconds(5), {0, 7}}, other.now);
  CHECK(other.delegate.answers.empty());
  other.now += milliseconds(50);
  other.dispatcher.OnEntryMessage(3, sent, other.now);
  CHECK(other.delegate.answers.empty());
  const auto asked = other.delegate.SentToEntries<ConfirmationWanted>();
  REQUIRE(asked.size() == 1);
  other.dispatcher.OnEntryMessage(3, reply_to(asked[0]), other.now);
  CHECK(other.delegate.answers.size() == 1);
  CHECK(other.delegate.confirmed_elsewhere == SourceRevision{0, 7});
  // It is passed on once, and no longer asked for.
  const auto count_announced = [&other] {
    return std::count_if(
        other.delegate.to_some_daemons.begin(),
        other.delegate.to_some_daemons.end(), [](const LinkMessage& message) {
          return std::holds_alternative<ConfigConfirmed>(message);
        });
  };
  CHECK(count_announced() == 1);
  other.now += milliseconds(50);
  other.dispatcher.OnEntryMessage(4, sent, other.now);
  CHECK(count_announced() == 1);
  CHECK(other.delegate.SentToEntries<ConfirmationWanted>().size() == 1);
  // A request that has to wait makes the daemon ask some others.
  other.now += seconds(5);
  other.Request("/new/x");
  CHECK(other.delegate.answers.size() == 1);
  REQUIRE(std::holds_alternative<ConfirmationWanted>(
      other.delegate.to_some_daemons.back()));
  other.dispatcher.OnOwnerMessage("10.0.0.2:7100",
                                  reply_to(std::get<ConfirmationWanted>(
                                      other.delegate.to_some_daemons.back())),
                                  other.now);
  CHECK(other.delegate.answers.size() == 2);
  // A daemon that knows its configuration to be recent learns of a newer one by
  // itself.
  other.dispatcher.OnEntryMessage(3, ConfigConfirmed{7, {}, {0, 9}}, other.now);
  CHECK(other.delegate.SentToEntries<ConfigWanted>().empty());
}

TEST_CASE(
    "a daemon without a recent confirmation asks for a newer configuration",
    "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/old/"), "", f.now);
  f.Request("/new/x");
  f.dispatcher.OnEntryMessage(3, ConfigConfirmed{6, milliseconds(5), {0, 7}},
                              f.now);
  CHECK(f.delegate.answers.empty());
  CHECK(f.delegate.SentToEntries<ConfigWanted>().size() == 1);
}

TEST_CASE(
    "a confirmation that waited on its way does not make a daemon refuse a "
    "route that was added meanwhile",
    "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/old/"), "", f.now);
  const ConfigConfirmed sent{5, milliseconds(5), {0, 7}};
  f.now += seconds(3);
  f.dispatcher.OnEntryMessage(3, sent, f.now);
  f.dispatcher.OnOwnerMessage("10.0.0.2:7100", sent, f.now);
  f.Request("/new/x");
  CHECK(f.delegate.answers.empty());
}

TEST_CASE(
    "a route is not refused as unknown once a newer configuration was heard of",
    "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/old/"), "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  f.dispatcher.OnEntryMessage(3, ConfigConfirmed{6, {}, {0, 8}}, f.now);
  f.Request("/new/x");
  CHECK(f.delegate.answers.empty());
  // The daemon asks others, and follows the one that replies.
  REQUIRE(f.delegate.to_some_daemons.size() == 2);
  const auto question =
      std::get<ConfirmationWanted>(f.delegate.to_some_daemons.back());
  CHECK(f.delegate.SentToEntries<ConfigWanted>().empty());
  f.dispatcher.OnEntryMessage(
      4, ConfigConfirmed{6, {}, {0, 8}, question.asked_at}, f.now);
  CHECK(f.delegate.SentToEntries<ConfigWanted>().size() == 1);
  f.dispatcher.OnConfig(Table(6, "/new/"), "", f.now);
  CHECK(f.delegate.calls.size() == 1);
}

TEST_CASE("the owner of a server that is seen to leave is told",
          "[dispatcher]") {
  Fixture f;
  ListedServer draining = Server("b", "10.0.0.2");
  f.dispatcher.OnServers({Server("own", "10.0.0.1"), Server("b", "10.0.0.2"),
                          Server("c", "10.0.0.3"), Server("d", "10.0.0.4")},
                         f.now);
  draining.is_draining = true;
  f.dispatcher.OnServers({draining, Server("d", "10.0.0.4")}, f.now);
  const auto sent = f.delegate.SentToOwners<ServerLeaving>();
  REQUIRE(sent.size() == 2);
  CHECK(sent[0].first == "10.0.0.2:7100");
  CHECK(sent[0].second.server == "b");
  CHECK(sent[1].first == "10.0.0.3:7100");
  CHECK(sent[1].second.server == "c");
  // A server that drained before it was removed is no news.
  f.dispatcher.OnServers({Server("d", "10.0.0.4")}, f.now);
  CHECK(f.delegate.SentToOwners<ServerLeaving>().size() == 2);
}

TEST_CASE("an owner reads its server's entry when another daemon sees it leave",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.dispatcher.OnEntryMessage(3, ServerLeaving{"former"}, f.now);
  CHECK(f.delegate.own_server_checks == 0);
  f.dispatcher.OnEntryMessage(3, ServerLeaving{"own"}, f.now);
  CHECK(f.delegate.own_server_checks == 1);
  ListedServer draining = Server("own", "10.0.0.1");
  draining.is_draining = true;
  f.dispatcher.OnServers({draining}, f.now);
  f.dispatcher.OnEntryMessage(3, ServerLeaving{"own"}, f.now);
  CHECK(f.delegate.own_server_checks == 1);
}

TEST_CASE(
    "of two servers listed at the instance's backend address the one with the "
    "higher revision is used",
    "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnServers(
      {Server("new", "10.0.0.1", 9), Server("old", "10.0.0.1", 4)}, f.now);
  REQUIRE(f.dispatcher.own_server());
  CHECK(f.dispatcher.own_server()->id == "new");
}

TEST_CASE("a crash is reported to every other owner", "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(5, "/"), "", f.now);
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.Request("/x");
  f.dispatcher.OnServers({Server("own", "10.0.0.1"), Server("b", "10.0.0.2"),
                          Server("c", "10.0.0.3")},
                         f.now);
  BackendCallEnd end;
  end.id = f.delegate.calls[0].id;
  end.end = RunEnd::kUnknown;
  end.is_down = true;
  f.dispatcher.OnBackendEnd(std::move(end), f.now);
  CHECK(f.delegate.SentToOwners<CrashNotice>().size() == 2);
}

// A fleet whose own server "own" of service desk calls service billing.
struct CallingFixture : Fixture {
  CallingFixture() {
    DispatchRoute desk;
    desk.name = "desk";
    desk.host = "a.example";
    desk.prefix = "/desk/";
    desk.services = {{"desk", 1}};
    DispatchRoute billing = desk;
    billing.name = "billing";
    billing.prefix = "/billing/";
    billing.services = {{"billing", 1}};
    dispatcher.OnConfig(
        std::make_shared<RouteTable>(
            5, std::vector<DispatchRoute>{desk, billing}, CallerLimits{}),
        "", now);
    ListedServer called = Server("called", "10.0.0.2");
    called.service = "billing";
    dispatcher.OnServers({Server("own", "10.0.0.1"), called}, now);
  }

  // Offers a request of another daemon and runs it if that is granted: the
  // server makes one call and fails. Returns whether it ran.
  bool RunAndCall(bool is_repeat) {
    Offer offer;
    offer.id = {7, ++offers};
    offer.server = "own";
    offer.route = "desk";
    offer.is_idempotent = true;
    offer.is_repeat = is_repeat;
    offer.accepts_suspect = true;
    offer.time_left = seconds(2);
    offer.fingerprint = {0, offers};
    const std::size_t grants = delegate.SentToEntries<Grant>().size();
    dispatcher.OnEntryMessage(3, offer, now);
    if (delegate.SentToEntries<Grant>().size() == grants) {
      return false;
    }
    Run run;
    run.id = offer.id;
    run.request_id = "id";
    run.time_left = seconds(2);
    run.is_repeat = is_repeat;
    dispatcher.OnEntryMessage(3, run, now);
    Request("/billing/");
    BackendCallEnd end;
    end.id = delegate.calls.back().id;
    end.end = RunEnd::kAnswered;
    end.has_arrived = true;
    end.response.status = 500;
    dispatcher.OnBackendEnd(std::move(end), now);
    now += milliseconds(50);
    return true;
  }

  std::uint64_t offers = 0;
};

TEST_CASE("calls made again by repeats stay within the called service's limit",
          "[dispatcher]") {
  CallingFixture f;
  constexpr int kFirstRuns = 200;
  int calls_of_repeats = 0;
  for (int i = 0; i < kFirstRuns; ++i) {
    REQUIRE(f.RunAndCall(false));
    calls_of_repeats += f.RunAndCall(true) ? 1 : 0;
  }
  // What the fleet may repeat, and what an entry may always repeat.
  constexpr double kFleetShare = 0.2;
  constexpr int kAlwaysAllowed = 1;
  CHECK(calls_of_repeats <= kAlwaysAllowed + kFleetShare * kFirstRuns);
  CHECK(calls_of_repeats > 0);
}

TEST_CASE("a service that is no longer called limits no repeats",
          "[dispatcher]") {
  CallingFixture f;
  while (f.RunAndCall(true)) {
  }
  CHECK_FALSE(f.RunAndCall(true));
  f.now += seconds(11);
  CHECK(f.RunAndCall(true));
}

TEST_CASE("a service that calls none may repeat", "[dispatcher]") {
  CallingFixture f;
  for (int i = 0; i < 20; ++i) {
    // Callers wait longer than any running request, so theirs are no calls.
    f.Request("/billing/");
  }
  CHECK(f.RunAndCall(true));
}

TEST_CASE(
    "a former server of this instance in a restored copy does not replace the "
    "present one",
    "[dispatcher]") {
  Fixture f;
  ListedServer former = Server("former", "10.0.0.1", 50);
  former.revision.era = 2;
  former.started_at = milliseconds(1000);
  ListedServer present = Server("present", "10.0.0.1", 65);
  present.revision.era = 1;
  present.started_at = milliseconds(9000);
  f.dispatcher.OnServers({former, present}, f.now);
  REQUIRE(f.dispatcher.own_server());
  CHECK(f.dispatcher.own_server()->id == "present");
}

// Guards against limits that count nothing, and against credits that are lost
// when a request does not run.
TEST_CASE("requests above a customer's limit are refused", "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.dispatcher.OnConfig(TableWithLimit(5, 1, 2), "", f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  for (int i = 0; i < 3; ++i) {
    f.Request("/x", "key");
  }
  CHECK(f.delegate.calls.size() == 2);
  REQUIRE(f.delegate.answers.size() == 1);
  CHECK(f.delegate.answers[0].reason == Reason::kOverLimit);
  CHECK(f.delegate.answers[0].outcome == Outcome::kNotRun);
  CHECK(f.delegate.answers[0].customer == "club");
  CHECK(f.delegate.answers[0].retry_after > milliseconds(0));
  CHECK(std::any_of(f.delegate.events.begin(), f.delegate.events.end(),
                    [](const LogEvent& event) {
                      return event.id == LogEventId::kOverLimit &&
                             event.subject == "club";
                    }));
  CHECK(f.delegate.to_owners.empty());
  // The backend server refuses one: its credit serves the next request.
  BackendCallEnd end;
  end.id = f.delegate.calls[0].id;
  end.end = RunEnd::kNotRun;
  end.reason = Reason::kBackendServerShed;
  f.dispatcher.OnBackendEnd(std::move(end), f.now);
  REQUIRE(f.delegate.answers.size() == 2);
  CHECK(f.delegate.answers[1].outcome == Outcome::kNotRun);
  f.Request("/x", "key");
  CHECK(f.delegate.answers.size() == 2);
  f.Request("/x", "key");
  CHECK(f.delegate.answers.size() == 3);
}

// Guards against requests of callers that are taken for calls of the own server
// and, in a service whose runs call nobody, bound its retries.
TEST_CASE("a request with a key is no call of the own server", "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnServers({Server("own", "10.0.0.1")}, f.now);
  f.dispatcher.OnConfig(TableWithCustomer(5, "key", true), "", f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  f.Request("/x", "key");
  f.Request("/x", "key");
  f.Request("/x");
  f.dispatcher.EndRequests(f.now);
  REQUIRE(f.delegate.answers.size() == 3);
  CHECK_FALSE(f.delegate.answers[0].call_deadline);
  CHECK_FALSE(f.delegate.answers[1].call_deadline);
  CHECK(f.delegate.answers[2].call_deadline);
}

// Guards against refusing a customer that stays within its rate and whose
// requests come in clumps.
TEST_CASE("half of the tolerance lets requests come in clumps",
          "[dispatcher]") {
  DispatchDelegateFake delegate;
  Dispatcher dispatcher({.self = "10.0.0.1:7100",
                         .data_centre = "north",
                         .backend_address = "10.0.0.1:8080",
                         .limit_tolerance = 8},
                        delegate);
  TimePoint now(seconds(100));
  ListedServer server = Server("own", "10.0.0.1");
  server.slots = 8;
  dispatcher.OnServers({server}, now);
  dispatcher.OnConfig(TableWithLimit(5, 1, 1), "", now);
  const auto request_at = [&dispatcher](RequestId id, TimePoint time) {
    EntryRequest request;
    request.id = id;
    request.host = "a.example";
    request.request.target = "/x";
    request.time_left = seconds(1);
    request.key = {CallerKey::State::kPresent, "key"};
    dispatcher.OnCallerRequest(std::move(request), time);
  };
  // A young process gives few credits at first.
  request_at(1, now);
  now += seconds(10);
  dispatcher.OnConfigConfirmed(now, {0, 7}, now);
  for (RequestId id = 2; id <= 7; ++id) {
    request_at(id, now);
  }
  REQUIRE_FALSE(delegate.answers.empty());
  CHECK(delegate.answers.back().id == 7);
  CHECK(std::count_if(delegate.answers.begin(), delegate.answers.end(),
                      [](const CallerAnswer& answer) {
                        return answer.reason == Reason::kOverLimit;
                      }) == 1);
}

// Guards against requests that are forgotten, or answered twice, while their
// limit is checked by another daemon.
TEST_CASE("a request waits for the allocator of its customer's limit",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(TableWithLimit(5, 10, 10), "", f.now);
  f.dispatcher.OnConfigConfirmed(f.now, {0, 7}, f.now);
  // The own daemon leaves, so the other one is the allocator.
  ListedServer own = Server("own", "10.0.0.1");
  own.is_draining = true;
  f.dispatcher.OnServers({own, Server("far", "10.0.0.2")}, f.now);
  f.Request("/x", "key");
  f.Request("/x", "key");
  auto asked = f.delegate.SentToOwners<CreditRequest>();
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].first == "10.0.0.2:7100");
  CHECK(asked[0].second.limit == "customer/club");
  CHECK(f.dispatcher.unfinished_count() == 2);
  f.dispatcher.OnOwnerMessage(
      "10.0.0.2:7100",
      CreditReply{"customer/club", asked[0].second.sequence, 1, {}, false, 5},
      f.now);
  CHECK(f.delegate.SentToOwners<Offer>().size() == 1);
  // The second one is asked for next; its caller goes, so its credit is left.
  asked = f.delegate.SentToOwners<CreditRequest>();
  REQUIRE(asked.size() == 2);
  f.dispatcher.OnCallerGone(2, f.now);
  f.dispatcher.OnOwnerMessage(
      "10.0.0.2:7100",
      CreditReply{"customer/club", asked[1].second.sequence, 1, {}, false, 5},
      f.now);
  CHECK(f.delegate.SentToOwners<Offer>().size() == 1);
  f.Request("/x", "key");
  CHECK(f.delegate.SentToOwners<Offer>().size() == 2);
  // Without a reply the request is refused in time.
  f.Request("/x", "key");
  for (int i = 0; i < 20 && f.delegate.answers.empty(); ++i) {
    f.now = *f.dispatcher.NextWake();
    f.dispatcher.Advance(f.now);
  }
  REQUIRE(f.delegate.answers.size() == 1);
  CHECK(f.delegate.answers[0].id == 4);
  CHECK(f.now <= TimePoint(seconds(100)) + milliseconds(200));
  // A request that still waits when the daemon ends is answered.
  f.Request("/x", "key");
  f.dispatcher.EndRequests(f.now);
  const auto last =
      std::find_if(f.delegate.answers.begin(), f.delegate.answers.end(),
                   [](const CallerAnswer& answer) { return answer.id == 5; });
  REQUIRE(last != f.delegate.answers.end());
  CHECK(last->outcome == Outcome::kNotRun);
  CHECK(f.dispatcher.unfinished_count() == 0);
}

TEST_CASE(
    "a configuration does not go back while a restored source repeats former "
    "ones",
    "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnConfig(Table(9, "/new/"), "read", f.now);
  for (const std::uint64_t version : {4, 6, 9}) {
    f.dispatcher.OnConfig(Table(version, "/old/"), "read", f.now);
    f.dispatcher.OnConfig(Table(version, "/old/"), "another daemon", f.now);
    CHECK(f.dispatcher.table()->version() == 9);
    CHECK(f.dispatcher.MakeHello().config_version == 9);
  }
  // A daemon that has started since has only what the source lists.
  Fixture fresh;
  fresh.dispatcher.OnConfig(Table(4, "/old/"), "read", fresh.now);
  fresh.dispatcher.OnEntryMessage(3, f.dispatcher.MakeHello(), fresh.now);
  CHECK(fresh.delegate.SentToEntries<ConfigWanted>().size() == 1);
  fresh.dispatcher.OnConfig(Table(9, "/new/"), "another daemon", fresh.now);
  fresh.dispatcher.OnConfig(Table(6, "/old/"), "watch", fresh.now);
  CHECK(fresh.dispatcher.table()->version() == 9);
}

}  // namespace
}  // namespace vanillafall
