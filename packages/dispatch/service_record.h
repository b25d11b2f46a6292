#ifndef DISPATCH_SERVICE_RECORD_H_
#define DISPATCH_SERVICE_RECORD_H_

#include "base/clock.h"

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
  // Whether a suspected server may be tested now with a request that may not be
  // repeated. Such a test counts at once, so that each entry makes few of them.
  bool TryTakeTest(TimePoint now);

 private:
  void Decay(TimePoint now);

  double served_ = 0;
  double unserved_ = 0;
  TimePoint decayed_at_;
  TimePoint next_test_at_;
};

}  // namespace vanillafall

#endif  // DISPATCH_SERVICE_RECORD_H_
