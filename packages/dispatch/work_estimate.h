#ifndef DISPATCH_WORK_ESTIMATE_H_
#define DISPATCH_WORK_ESTIMATE_H_

#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace vanillafall {

// Moving averages of the processing time of requests, by route name. A route
// keeps its average when the configuration changes.
class WorkEstimate {
 public:
  // Limits memory; further routes count only towards the average of all routes.
  static constexpr std::size_t kMaxRoutes = 512;

  // Records that one request of the route took this long.
  void Add(const std::string& route, Duration work);

  // The average of the route, or the fallback while there are too few samples.
  Duration Expected(std::string_view route, Duration fallback) const;
  // The average over all routes, or the fallback while there are too few
  // samples.
  Duration ExpectedForAnyRoute(Duration fallback) const;

 private:
  struct Average {
    Duration value{0};
    std::uint32_t samples = 0;
  };

  static void AddTo(Average& average, Duration work);

  std::map<std::string, Average, std::less<>> routes_;
  Average all_;
};

}  // namespace vanillafall

#endif  // DISPATCH_WORK_ESTIMATE_H_
