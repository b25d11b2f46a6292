#include "decision/lease_book.h"

#include <catch2/catch.hpp>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr TimePoint kNow = kStart + kTakeoverTime;

TEST_CASE("a held lease is valid from the time of its request") {
  LeaseBook book(kStart);
  book.RecordHeld("a", milliseconds(2000), kNow - milliseconds(1500));
  REQUIRE(book.MayRestrict(1, kNow + milliseconds(499)));
  REQUIRE(!book.MayRestrict(1, kNow + milliseconds(500)));
  book.RecordHeld("a", milliseconds(2000), kNow - milliseconds(1900));
  REQUIRE(book.MayRestrict(1, kNow + milliseconds(499)));
}

TEST_CASE("a granted lease binds its grantor for longer than its duration") {
  LeaseBook book(kStart);
  book.RecordHeld("a", milliseconds(2000), kNow + milliseconds(1000));
  book.Grant(milliseconds(2000), kNow);
  REQUIRE(!book.MayRestrict(1, kNow + milliseconds(2099)));
  REQUIRE(book.MayRestrict(1, kNow + milliseconds(2100)));
}

TEST_CASE("a server that was just taken over is not restricted") {
  LeaseBook book(kNow - milliseconds(1));
  book.RecordHeld("a", kMaxLeaseDuration, kNow);
  REQUIRE(!book.MayRestrict(1, kNow));
}

TEST_CASE("leases of servers that left the service do not count") {
  LeaseBook book(kStart);
  book.RecordHeld("a", kMaxLeaseDuration, kNow);
  book.RecordHeld("b", kMaxLeaseDuration, kNow);
  book.RetainGrantors({"b"}, kNow);
  REQUIRE(book.CountHeld(kNow) == 1);
}

}  // namespace
}  // namespace vanillafall
