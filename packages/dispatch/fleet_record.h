#ifndef DISPATCH_FLEET_RECORD_H_
#define DISPATCH_FLEET_RECORD_H_

#include <map>

#include "base/clock.h"
#include "dispatch/dispatch_delegate.h"
#include "dispatch/link_message.h"

namespace vanillafall {

// How the recent requests of one service ended, as the entries report with
// their offers. In a large fleet each entry has too few requests of a service
// to tell whether the service is in trouble; an owner hears from many entries.
class FleetRecord {
 public:
  // The entry at the other end of the link has reported these requests. Each
  // report replaces the former one of the link.
  void OnReport(LinkId link, const ServiceTally& tally, TimePoint now);
  // The link is lost.
  void Remove(LinkId link) { reports_.erase(link); }
  // Whether a considerable share of the recent requests was not served.
  bool IsInTrouble(TimePoint now);

 private:
  struct Report {
    ServiceTally tally;
    TimePoint at;
  };

  std::map<LinkId, Report> reports_;
  bool is_in_trouble_ = false;
  // When the sum of the reports is computed next.
  TimePoint recompute_at_;
};

}  // namespace vanillafall

#endif  // DISPATCH_FLEET_RECORD_H_
