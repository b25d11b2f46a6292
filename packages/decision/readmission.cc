#include "decision/readmission.h"

#include <algorithm>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMostDoublings = 4;
constexpr milliseconds kCalmTime{60'000};
constexpr milliseconds kStepTime{500};
constexpr std::uint32_t kStepSamples = 3;
// A step that gets no work is made after this time.
constexpr milliseconds kLongestStepTime{5000};

}  // namespace

void Readmission::Eject(milliseconds first_hold, TimePoint now) {
  phase_ = Phase::kHeld;
  slot_limit_ = 0;
  held_until_ = now + first_hold * (1U << doublings_);
  doublings_ = std::min(doublings_ + 1, kMostDoublings);
  since_ = now;
}

void Readmission::Release(TimePoint now) {
  phase_ = Phase::kInService;
  since_ = now;
}

bool Readmission::Advance(std::uint32_t slots,
                          std::uint32_t samples,
                          TimePoint now) {
  if (phase_ == Phase::kInService) {
    if (doublings_ > 0 && now - since_ >= kCalmTime) {
      --doublings_;
      since_ = now;
    }
    return false;
  }
  if (phase_ == Phase::kHeld) {
    if (now < held_until_) {
      return false;
    }
    phase_ = Phase::kProbation;
    slot_limit_ = 1;
    since_ = now;
    return true;
  }
  const bool is_tried =
      samples >= kStepSamples * slot_limit_ && now - since_ >= kStepTime;
  if (!is_tried && now - since_ < kLongestStepTime) {
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
