#ifndef DECISION_READMISSION_H_
#define DECISION_READMISSION_H_

#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace vanillafall {

// The way of an ejected server back into service: a hold during which it gets
// no work, then probation with one slot and more step by step. The hold
// doubles when ejections follow each other, up to a bound, and halves again
// for each calm time in service.
class Readmission {
 public:
  enum class Phase : std::uint8_t { kInService, kOutOfService, kProbation };

  void Eject(std::chrono::milliseconds base_ejection_time, TimePoint now);

  // Back to service at once.
  void ReturnToService(TimePoint now);

  // Moves on. Takes the slots of the server and its samples since probation
  // began; returns true when a step was made.
  bool Advance(std::uint32_t slots, std::uint32_t samples, TimePoint now);

  Phase phase() const { return phase_; }
  // Slots that may be used on probation.
  std::uint32_t slot_limit() const { return slot_limit_; }
  TimePoint ejected_until() const { return ejected_until_; }

 private:
  Phase phase_ = Phase::kInService;
  std::uint32_t doublings_ = 0;
  std::uint32_t slot_limit_ = 0;
  TimePoint ejected_until_;
  // When the present phase or step began.
  TimePoint since_;
};

}  // namespace vanillafall

#endif  // DECISION_READMISSION_H_
