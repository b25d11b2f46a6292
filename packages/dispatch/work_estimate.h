#ifndef DISPATCH_WORK_ESTIMATE_H_
#define DISPATCH_WORK_ESTIMATE_H_

#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace vanillafall {

// Moving averages of how long work takes, by route. Routes of one name keep
// their average over configurations.
class WorkEstimate {
 public:
  // Bounds the memory that many routes can take.
  static constexpr std::size_t kMaxRoutes = 512;

  void Add(const std::string& route, Duration work);

  // The average of the route, or the fallback while too little is known.
  Duration Expected(std::string_view route, Duration fallback) const;
  // The average over all routes, or the fallback.
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
