#include "dispatch/link_message.h"

#include <cmath>

namespace vanillafall {

void ServiceTally::Decay(std::chrono::duration<double> time) {
  const double remaining = std::exp(-time / kDecayTime);
  served *= remaining;
  unserved *= remaining;
}

const char* ToString(DenyReason reason) {
  switch (reason) {
    case DenyReason::kFull:
      return "full";
    case DenyReason::kSuspect:
      return "suspect";
    case DenyReason::kLeaving:
      return "leaving";
    case DenyReason::kDown:
      return "down";
    case DenyReason::kNotOwner:
      return "not-owner";
    case DenyReason::kTooLate:
      return "too-late";
    case DenyReason::kCrashSuspect:
      return "crash-suspect";
    case DenyReason::kRepeatLimit:
      return "repeat-limit";
  }
  return "unknown";
}

const char* ToString(RunEnd end) {
  switch (end) {
    case RunEnd::kAnswered:
      return "answered";
    case RunEnd::kNotRun:
      return "not-run";
    case RunEnd::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace vanillafall
