#ifndef DECISION_EJECTION_CELL_H_
#define DECISION_EJECTION_CELL_H_

#include <cstdint>
#include <string>
#include <vector>

#include "config/fleet_config.h"

namespace vanillafall {

// A group of backend servers of one service that grant leases to each other. A
// small service is a single cell. A large one is divided into a power of two of
// cells by a hash of the server names, so that doubling the number of cells
// splits each cell in two. This cell is described from the view of one server.
struct EjectionCell {
  // The other servers of the cell, in the order of the service's configuration.
  std::vector<std::string> others;
  // Number of leases that an ejection in this cell needs: the cell's share of
  // the service's floor, rounded up, and at least one.
  std::uint32_t leases_needed = 1;
};

// Number of cells of a service with so many servers.
std::uint64_t CountCells(std::size_t servers);

// Number (from 0) of the cell that a server belongs to. The number of cells
// must be a power of two.
std::uint64_t CellNumber(const std::string& server, std::uint64_t cells);

// Builds the cell of a server of the service.
EjectionCell MakeCell(const ServiceConfig& service, const std::string& server);

}  // namespace vanillafall

#endif  // DECISION_EJECTION_CELL_H_
