#include "dispatch/service_record.h"

#include <catch2/catch.hpp>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a service is in trouble while a tenth of its requests fail",
          "[dispatch]") {
  TimePoint now(seconds(100));
  ServiceRecord record;
  CHECK_FALSE(record.IsInTrouble(now));
  for (int i = 0; i < 17; ++i) {
    record.Add(true, now);
  }
  record.Add(false, now);
  CHECK_FALSE(record.TryTakeTest(now));
  record.Add(false, now);
  CHECK(record.IsInTrouble(now));
  SECTION("an entry makes few tests") {
    CHECK(record.TryTakeTest(now));
    CHECK_FALSE(record.TryTakeTest(now + milliseconds(250)));
    CHECK(record.TryTakeTest(now + milliseconds(350)));
  }
  SECTION("old requests are forgotten") {
    now += seconds(10);
    record.Add(true, now);
    CHECK_FALSE(record.IsInTrouble(now));
  }
}

}  // namespace
}  // namespace vanillafall
