#ifndef DISPATCH_SERVICE_RECORD_H_
#define DISPATCH_SERVICE_RECORD_H_

#include "base/clock.h"
#include "dispatch/link_message.h"

namespace vanillafall {

// How the last few seconds' requests of one service ended, as one entry saw it.
// Recent requests count more than earlier ones.
class ServiceRecord {
 public:
  // The service is in trouble when at least this share of its recent requests
  // was not served. Then the servers that are left may fail too, and suspected
  // servers are tested with requests that may not be repeated.
  static constexpr double kTroubleShare = 0.1;

  // A request has ended: the caller got a success, or it did not.
  void Add(bool is_served, TimePoint now);
  bool IsInTrouble(TimePoint now);
  // An owner has said that the service is in trouble in the whole fleet.
  void OnTroubleReported(TimePoint now);
  // Whether one has said so lately.
  bool IsTroubleReported(TimePoint now) const { return now < reported_until_; }
  // The recent requests, to report to owners.
  ServiceTally Tally(TimePoint now);
  // Whether a server that the entry has not heard of for a while may get an
  // offer now although others are preferred: the service is in trouble here or
  // in the fleet. Such an offer counts at once, so that each entry makes few.
  bool TryTakeTest(TimePoint now);

 private:
  void Decay(TimePoint now);

  ServiceTally tally_;
  TimePoint decayed_at_;
  TimePoint next_test_at_;
  // An owner's report of trouble holds until then.
  TimePoint reported_until_;
};

}  // namespace vanillafall

#endif  // DISPATCH_SERVICE_RECORD_H_
