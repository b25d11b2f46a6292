#include "decision/ejection_cell.h"

#include <algorithm>
#include <bit>

#include "base/hash.h"

namespace vanillafall {
namespace {

// If a service has several cells, they have on average at least this many
// servers and fewer than twice as many.
constexpr std::size_t kMinMeanCellSize = 12;

}  // namespace

std::uint64_t CountCells(std::size_t servers) {
  return std::bit_floor(std::max<std::uint64_t>(1, servers / kMinMeanCellSize));
}

std::uint64_t CellNumber(const std::string& server, std::uint64_t cells) {
  return HashParts({server}).low & (cells - 1);
}

EjectionCell MakeCell(const ServiceConfig& service, const std::string& server) {
  const std::uint64_t servers = service.backend_servers.size();
  const std::uint64_t cells = CountCells(servers);
  const std::uint64_t own_cell = CellNumber(server, cells);
  EjectionCell cell;
  std::uint64_t size = 0;
  for (const BackendServer& each : service.backend_servers) {
    if (CellNumber(each.name, cells) != own_cell) {
      continue;
    }
    ++size;
    if (each.name != server) {
      cell.others.push_back(each.name);
    }
  }
  if (servers > 0) {
    const std::uint64_t share = (service.floor * size + servers - 1) / servers;
    cell.leases_needed =
        static_cast<std::uint32_t>(std::max<std::uint64_t>(1, share));
  }
  return cell;
}

}  // namespace vanillafall
