#include "message/peer.h"

namespace vanillafall {

const char* ToString(ServingState state) {
  switch (state) {
    case ServingState::kInService:
      return "in service";
    case ServingState::kProbation:
      return "probation";
    case ServingState::kEjected:
      return "ejected";
    case ServingState::kDraining:
      return "draining";
  }
  return "unknown";
}

}  // namespace vanillafall
