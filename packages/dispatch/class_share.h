#ifndef DISPATCH_CLASS_SHARE_H_
#define DISPATCH_CLASS_SHARE_H_

#include <map>
#include <string>

#include "base/clock.h"

namespace vanillafall {

// How often the requests of each class (here: route) got a slot of one backend
// server lately, compared with the requests of all classes. Recent requests
// count more than earlier ones.
class ClassShare {
 public:
  // A class is underserved when its share of served requests is below this part
  // of the share over all classes. Above the quarter that every class must get
  // at least, so that chance does not bring a class below it.
  static constexpr double kMinRelativeShare = 0.3;
  // Limits memory; further classes are never underserved.
  static constexpr std::size_t kMaxClasses = 128;

  // This many requests have asked for a slot; a request that asks several
  // backend servers counts as a part of one at each.
  void OnAsked(const std::string& name, double requests, TimePoint now);
  // A request got a slot.
  void OnServed(const std::string& name, TimePoint now);

  bool IsUnderserved(const std::string& name, TimePoint now) const;

 private:
  struct Counts {
    double asked = 0;
    double served = 0;
    TimePoint updated;
  };

  static Counts Decayed(Counts counts, TimePoint now);
  // Null when there are too many classes.
  Counts* Find(const std::string& name, TimePoint now);

  Counts all_;
  std::map<std::string, Counts> classes_;
};

}  // namespace vanillafall

#endif  // DISPATCH_CLASS_SHARE_H_
