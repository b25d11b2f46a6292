#include "dispatch/service_record.h"

namespace vanillafall {
namespace {

// A single failure among the few requests of one entry says nothing.
constexpr double kMinUnserved = 1.5;
// Minimum time between two tests by one entry.
constexpr std::chrono::milliseconds kTestPeriod{300};
// Owners repeat a report of trouble with every message.
constexpr std::chrono::milliseconds kReportValidity{2000};

}  // namespace

void ServiceRecord::Add(bool is_served, TimePoint now) {
  Decay(now);
  (is_served ? tally_.served : tally_.unserved) += 1;
}

bool ServiceRecord::IsInTrouble(TimePoint now) {
  Decay(now);
  const double weight = tally_.served + tally_.unserved;
  return tally_.unserved >= kMinUnserved &&
         tally_.unserved >= kTroubleShare * weight;
}

void ServiceRecord::OnTroubleReported(TimePoint now) {
  reported_until_ = now + kReportValidity;
}

ServiceTally ServiceRecord::Tally(TimePoint now) {
  Decay(now);
  return tally_;
}

bool ServiceRecord::TryTakeTest(TimePoint now) {
  if (now < next_test_at_ || (!IsTroubleReported(now) && !IsInTrouble(now))) {
    return false;
  }
  next_test_at_ = now + kTestPeriod;
  return true;
}

void ServiceRecord::Decay(TimePoint now) {
  tally_.Decay(now - decayed_at_);
  decayed_at_ = now;
}

}  // namespace vanillafall
