#include "decision/key_retention.h"

#include <algorithm>

namespace vanillafall {

std::chrono::milliseconds RetentionOf(const ServiceConfig& service) {
  std::chrono::milliseconds window = service.resend_window;
  for (const GuardSet& former : service.former_guards) {
    window = std::max(window, former.resend_window);
  }
  return window + kMaxRequestAge;
}

void PauseDetector::OnEvent(TimePoint now) {
  if (now - last_ > kMaxEventGap) {
    stale_until_ = now + kStalePeriod;
  }
  last_ = now;
}

}  // namespace vanillafall
