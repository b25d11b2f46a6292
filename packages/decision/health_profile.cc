#include "decision/health_profile.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr HealthProfile kCarefulProfile = {
    .window = {.samples = 32, .age = milliseconds(15'000)},
    .in_service = {.min_samples = 12,
                   .min_failures = 8,
                   .failures_in_row = 7,
                   .failure_margin = 0.4,
                   .slow_factor = 4.0,
                   .slow_class_factor = 8.0,
                   .min_class_samples = 8,
                   .hang_age = milliseconds(500),
                   .hang_median_factor = 10,
                   .hang_slowest_factor = 2,
                   .confirmation_time = milliseconds(500)},
    .on_probation = {.min_samples = 3,
                     .min_failures = 2,
                     .failures_in_row = 3,
                     .failure_margin = 0.4,
                     .slow_factor = 4.0,
                     .slow_class_factor = 8.0,
                     .min_class_samples = 2,
                     .hang_age = milliseconds(500),
                     .hang_median_factor = 10,
                     .hang_slowest_factor = 2,
                     .confirmation_time = milliseconds(0)},
    .base_ejection_time = milliseconds(5000),
};

constexpr HealthProfile kFastProfile = {
    .window = {.samples = 20, .age = milliseconds(10'000)},
    .in_service = {.min_samples = 7,
                   .min_failures = 5,
                   .failures_in_row = 4,
                   .failure_margin = 0.33,
                   .slow_factor = 3.5,
                   .slow_class_factor = 5.0,
                   .min_class_samples = 7,
                   .hang_age = milliseconds(150),
                   .hang_median_factor = 6,
                   .hang_slowest_factor = 1.5,
                   .confirmation_time = milliseconds(200)},
    .on_probation = {.min_samples = 3,
                     .min_failures = 2,
                     .failures_in_row = 3,
                     .failure_margin = 0.33,
                     .slow_factor = 3.5,
                     .slow_class_factor = 5.0,
                     .min_class_samples = 2,
                     .hang_age = milliseconds(150),
                     .hang_median_factor = 6,
                     .hang_slowest_factor = 1.5,
                     .confirmation_time = milliseconds(0)},
    .base_ejection_time = milliseconds(3000),
};

}  // namespace

const HealthProfile& GetHealthProfile(EjectionProfile profile) {
  return profile == EjectionProfile::kFast ? kFastProfile : kCarefulProfile;
}

}  // namespace vanillafall
