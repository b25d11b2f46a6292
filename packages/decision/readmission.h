#ifndef DECISION_READMISSION_H_
#define DECISION_READMISSION_H_

#include <chrono>
#include <cstdint>

#include "base/clock.h"

namespace vanillafall {

// Brings one ejected server back into service. While it is ejected, the server
// gets no work. Then it is on probation: it has one slot at first and one more
// after each step. The ejection time doubles when ejections follow each other,
// up to a bound, and halves for each stable period in service.
class Readmission {
 public:
  // The server is ejected during kOutOfService.
  enum class Phase : std::uint8_t { kInService, kOutOfService, kProbation };

  // Starts an ejection. It lasts the base time, doubled as described above.
  void Eject(std::chrono::milliseconds base_ejection_time, TimePoint now);

  // Ends an ejection or probation at once.
  void ReturnToService(TimePoint now);

  // Moves to the next phase or probation step if it is due; returns whether it
  // did. Takes the slots of the server and its samples since probation began.
  bool Advance(std::uint32_t slots, std::uint32_t samples, TimePoint now);

  Phase phase() const { return phase_; }
  // Slots that may be used on probation; 0 during an ejection.
  std::uint32_t slot_limit() const { return slot_limit_; }
  TimePoint ejected_until() const { return ejected_until_; }

 private:
  Phase phase_ = Phase::kInService;
  // How often the base time is doubled at the next ejection.
  std::uint32_t doublings_ = 0;
  std::uint32_t slot_limit_ = 0;
  TimePoint ejected_until_;
  // When the current phase or probation step began, or, in service, when
  // doublings_ was last lowered.
  TimePoint since_;
};

}  // namespace vanillafall

#endif  // DECISION_READMISSION_H_
