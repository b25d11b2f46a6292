#include "decision/ejection_cell.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace vanillafall {
namespace {

ServiceConfig MakeConfig(std::size_t servers, std::uint32_t floor) {
  ServiceConfig config;
  config.floor = floor;
  for (std::size_t i = 0; i < servers; ++i) {
    config.backend_servers.push_back(
        {"server-" + std::to_string(i), "", "", "", 3});
  }
  return config;
}

TEST_CASE("the shares of all cells add up to the floor or more") {
  for (const std::size_t servers : {1U, 6U, 20U, 24U, 95U, 96U, 500U}) {
    for (const std::size_t part : {1U, 2U, 5U, 10U}) {
      const auto floor = static_cast<std::uint32_t>(
          std::max<std::size_t>(1, servers * part / 10));
      const ServiceConfig config = MakeConfig(servers, floor);
      std::map<std::uint64_t, std::uint32_t> shares;
      for (const BackendServer& server : config.backend_servers) {
        const EjectionCell cell = MakeCell(config, server.name);
        shares[CellNumber(server.name, CountCells(servers))] =
            cell.leases_needed;
        REQUIRE(cell.leases_needed <= cell.others.size() + 1);
      }
      std::uint32_t sum = 0;
      for (const auto& [number, share] : shares) {
        sum += share;
      }
      REQUIRE(sum >= floor);
    }
  }
}

TEST_CASE("a small service is one cell and doubling splits each cell") {
  REQUIRE(CountCells(0) == 1);
  REQUIRE(CountCells(20) == 1);
  REQUIRE(CountCells(500) == 32);
  for (int i = 0; i < 1000; ++i) {
    const std::string name = "server-" + std::to_string(i);
    const std::uint64_t cell = CellNumber(name, 8);
    const std::uint64_t half = CellNumber(name, 16);
    REQUIRE((half == cell || half == cell + 8));
  }
}

}  // namespace
}  // namespace vanillafall
