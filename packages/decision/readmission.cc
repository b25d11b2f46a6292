#include "decision/readmission.h"

#include <algorithm>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMaxDoublings = 4;
// Time in service without an ejection that halves the next ejection time.
constexpr milliseconds kStableTime{60'000};
// A probation step lasts at least this long and takes so many samples for each
// usable slot.
constexpr milliseconds kMinStepTime{500};
constexpr std::uint32_t kSamplesPerSlot = 3;
// A step with too few samples ends after this time all the same.
constexpr milliseconds kMaxStepTime{5000};

}  // namespace

void Readmission::Eject(milliseconds base_ejection_time, TimePoint now) {
  phase_ = Phase::kOutOfService;
  slot_limit_ = 0;
  ejected_until_ = now + base_ejection_time * (1U << doublings_);
  doublings_ = std::min(doublings_ + 1, kMaxDoublings);
  since_ = now;
}

void Readmission::ReturnToService(TimePoint now) {
  phase_ = Phase::kInService;
  since_ = now;
}

bool Readmission::Advance(std::uint32_t slots,
                          std::uint32_t samples,
                          TimePoint now) {
  if (phase_ == Phase::kInService) {
    if (doublings_ > 0 && now - since_ >= kStableTime) {
      --doublings_;
      since_ = now;
    }
    return false;
  }
  if (phase_ == Phase::kOutOfService) {
    if (now < ejected_until_) {
      return false;
    }
    phase_ = Phase::kProbation;
    slot_limit_ = 1;
    since_ = now;
    return true;
  }
  const bool is_step_complete =
      samples >= kSamplesPerSlot * slot_limit_ && now - since_ >= kMinStepTime;
  if (!is_step_complete && now - since_ < kMaxStepTime) {
    return false;
  }
  ++slot_limit_;
  since_ = now;
  if (slot_limit_ >= slots) {
    phase_ = Phase::kInService;
  }
  return true;
}

}  // namespace vanillafall
