#include "decision/route_index.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>

namespace vanillafall {
namespace {

// A path of up to four segments over a small alphabet, so that prefixes and
// near misses are common.
std::string RandomPath(std::mt19937_64& random) {
  std::string path;
  const auto segments = random() % 4 + 1;
  for (std::uint64_t segment = 0; segment < segments; ++segment) {
    path += '/';
    const auto length = random() % 3;
    for (std::uint64_t i = 0; i < length; ++i) {
      path += static_cast<char>('a' + random() % 2);
    }
  }
  return path;
}

TEST_CASE("the index finds the same routes as the plain search", "[route]") {
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
  INFO("seed " << seed);
  std::mt19937_64 random(seed);
  FleetConfig config;
  for (int service = 0; service < 5; ++service) {
    ServiceConfig each;
    each.name = "service-" + std::to_string(service);
    for (int route = 0; route < 8; ++route) {
      each.routes.push_back({RandomPath(random), "class", {}});
    }
    config.services[each.name] = each;
  }
  const RouteIndex index(config);
  for (int run = 0; run < 5000; ++run) {
    const std::string target =
        RandomPath(random) + (run % 3 == 0 ? "?q=/a/b" : "");
    const FleetConfig::Match plain = config.FindRoute(target);
    const FleetConfig::Match fast = index.Find(target);
    INFO("target " << target);
    REQUIRE((plain.route == nullptr) == (fast.route == nullptr));
    if (plain.route != nullptr) {
      REQUIRE(plain.route->prefix == fast.route->prefix);
      REQUIRE(plain.service == fast.service);
    }
  }
}

TEST_CASE("an empty index finds nothing", "[route]") {
  REQUIRE(RouteIndex().Find("/a").route == nullptr);
}

}  // namespace
}  // namespace vanillafall
