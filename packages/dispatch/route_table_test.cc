#include "dispatch/route_table.h"

#include <catch2/catch.hpp>
#include <map>

namespace vanillafall {
namespace {

DispatchRoute Route(const std::string& name, const std::string& prefix) {
  DispatchRoute route;
  route.name = name;
  route.host = "Desk.example";
  route.prefix = prefix;
  route.services = {{"desk", 1}};
  return route;
}

TEST_CASE("the route with the longest matching prefix of the host is found",
          "[routes]") {
  const RouteTable table(
      7, {Route("all", "/"), Route("a", "/a/"), Route("ab", "/a/b/")}, {});
  const auto name = [&table](const char* host, const char* target) {
    const DispatchRoutePtr route = table.Find(host, target);
    return route ? route->name : "";
  };
  CHECK(name("desk.example", "/a/b/c") == "ab");
  CHECK(name("DESK.EXAMPLE:8080", "/a/b/") == "ab");
  CHECK(name("desk.example", "/a/bc") == "a");
  CHECK(name("desk.example", "/a/x?y=/a/b/") == "a");
  CHECK(name("desk.example", "/b") == "all");
  CHECK(name("other.example", "/a/").empty());
  CHECK(name("desk.example", "").empty());
}

TEST_CASE("services of a route get requests in proportion to their weights",
          "[routes]") {
  DispatchRoute route = Route("split", "/");
  route.services = {{"old", 90}, {"new", 10}};
  std::mt19937_64 random(3);
  std::map<std::string, int> drawn;
  for (int i = 0; i < 10'000; ++i) {
    ++drawn[route.DrawService(random)];
  }
  CHECK(drawn["new"] > 900);
  CHECK(drawn["new"] < 1100);
}

}  // namespace
}  // namespace vanillafall
