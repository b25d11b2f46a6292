#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "config/document.h"
#include "operator/bundle.h"

namespace vanillafall {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;
using Documents = std::map<std::string, std::string>;

constexpr WallTime kPublishedAt{hours(500'000)};

ServiceFile MakeFile(const std::string& owner, const std::string& window) {
  return {"restyle.toml",
          "service = \"restyle\"\nfloor = 1\nprofile = \"careful\"\n"
          "missing_key = \"refuse\"\ncallers = [\"*\"]\n"
          "resend_window = \"" +
              window +
              "\"\n[[route]]\nprefix = \"/\"\nclass = \"job\"\n"
              "[[backend_server]]\nname = \"b\"\naddress = \"10.0.0.1:80\"\n"
              "owner = \"" +
              owner + "\"\ndata_centre = \"a\"\nslots = 3\n"};
}

Bundle Publish(const ServiceFile& file,
               const Documents& previous,
               WallTime published_at) {
  return MakeBundle({file}, previous, published_at);
}

ServiceConfig ServiceOf(const Bundle& bundle) {
  return DecodeService(bundle.documents.at("service-restyle")).value();
}

}  // namespace

TEST_CASE("a document lists replaced owners as former guards for a day") {
  const Bundle first =
      Publish(MakeFile("10.0.0.1:7100", "15m"), {}, kPublishedAt);
  REQUIRE(first.problems.empty());
  const Bundle second = Publish(MakeFile("10.0.0.2:7100", "15m"),
                                first.documents, kPublishedAt + seconds(1));
  REQUIRE(ServiceOf(second).former_guards.size() == 1);
  const GuardSet former = ServiceOf(second).former_guards.front();
  CHECK(former.service_number == 1);
  CHECK(former.guards.front() == "10.0.0.1:7100");
  CHECK(former.resend_window == minutes(15));

  const Bundle same_day = Publish(MakeFile("10.0.0.3:7100", "15m"),
                                  second.documents, kPublishedAt + hours(23));
  CHECK(ServiceOf(same_day).former_guards.size() == 2);
  const Bundle next_day = Publish(MakeFile("10.0.0.3:7100", "15m"),
                                  second.documents, kPublishedAt + hours(25));
  CHECK(ServiceOf(next_day).former_guards.size() == 1);
}

TEST_CASE(
    "a document lists the former guards when the resend window is shortened") {
  const Bundle first =
      Publish(MakeFile("10.0.0.1:7100", "15m"), {}, kPublishedAt);
  const Bundle second = Publish(MakeFile("10.0.0.1:7100", "1m"),
                                first.documents, kPublishedAt + seconds(1));
  REQUIRE(ServiceOf(second).former_guards.size() == 1);
  CHECK(ServiceOf(second).former_guards.front().resend_window == minutes(15));
}

TEST_CASE("a change that needs too many former guard sets is not published") {
  Documents documents;
  Bundle bundle;
  for (int change = 0; change < 66; ++change) {
    const std::string owner = "10.0.0." + std::to_string(change) + ":7100";
    bundle = Publish(MakeFile(owner, "15m"), documents,
                     kPublishedAt + minutes(change));
    documents = bundle.documents;
  }
  CHECK(bundle.problems.size() == 1);
  CHECK(ServiceOf(bundle).number == 65);
  CHECK(ServiceOf(bundle).former_guards.size() == 64);
}

}  // namespace vanillafall
