#ifndef DECISION_EJECTION_CELL_H_
#define DECISION_EJECTION_CELL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "config/fleet_config.h"

namespace vanillafall {

// The part of a service among which one backend server collects leases. A
// small service is one cell. A large one is divided by a hash of the server's
// name into a power of two of cells, so that doubling their number splits each
// in two.
struct EjectionCell {
  // The other servers of the cell, in the service's order.
  std::vector<std::string> others;
  // Leases that an ejection in this cell needs: the cell's share of the floor,
  // rounded up, and at least one.
  std::uint32_t leases_needed = 1;
};

// Number of cells of a service of so many servers.
std::uint64_t CountCells(std::size_t servers);

// The cell, among so many, that a server belongs to.
std::uint64_t CellNumber(const std::string& server, std::uint64_t cells);

EjectionCell MakeCell(const ServiceConfig& service, const std::string& server);

}  // namespace vanillafall

#endif  // DECISION_EJECTION_CELL_H_
