#include "operator/bundle.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>

#include "config/document.h"
#include "operator/change_report.h"
#include "operator/config_summary.h"

namespace vanillafall {
namespace {

const WallTime kPublishedAt = WallTime() + std::chrono::hours(500'000);

// Size of the largest fleet to support.
constexpr int kServices = 470;
constexpr int kRoutes = 2500;
constexpr int kBackendServers = 12'000;
constexpr int kCustomers = 79'000;
constexpr int kDaemons = 1100;

struct ServiceShape {
  std::string name = "desk";
  int floor = 1;
  int servers = 2;
  int first_server = 0;
  int routes = 1;
  int callers = 0;
};

std::string MakeText(const ServiceShape& shape) {
  std::string text = "service = \"" + shape.name +
                     "\"\nfloor = " + std::to_string(shape.floor) +
                     "\ncallers = [";
  for (int i = 0; i < shape.callers; ++i) {
    text += "\"tenant-" + std::to_string(i) + "\",";
  }
  text += shape.callers == 0 ? "\"*\"]\n" : "]\n";
  for (int i = 0; i < shape.routes; ++i) {
    text += "[[route]]\nprefix = \"/" + shape.name + "/" + std::to_string(i) +
            "\"\nclass = \"work\"\nnon_idempotent = [\"POST\"]\n";
  }
  for (int i = 0; i < shape.servers; ++i) {
    const int n = shape.first_server + i;
    constexpr int kAddressesPerBlock = 250;
    const int owner = n % kDaemons;
    text += "[[backend_server]]\nname = \"" + shape.name + "-" +
            std::to_string(i) + "\"\naddress = \"10." +
            std::to_string(n / kAddressesPerBlock / kAddressesPerBlock) + "." +
            std::to_string(n / kAddressesPerBlock % kAddressesPerBlock) + "." +
            std::to_string(n % kAddressesPerBlock + 1) +
            ":80\"\nowner = \"10.9." +
            std::to_string(owner / kAddressesPerBlock) + "." +
            std::to_string(owner % kAddressesPerBlock + 1) +
            ":7100\"\ndata_centre = \"nekala\"\nslots = 3\n";
  }
  return text;
}

ServiceFile MakeFile(const ServiceShape& shape) {
  return {shape.name + ".toml", MakeText(shape)};
}

bool HasService(const Bundle& bundle, const std::string& name) {
  return std::any_of(bundle.services.begin(), bundle.services.end(),
                     [&name](const auto& each) { return each.name == name; });
}

const ServiceFile kDesk = MakeFile({"desk", 1, 2, 0, 1, 0});
const ServiceFile kMill = MakeFile({"mill", 1, 2, 10, 1, 0});

TEST_CASE("only a changed service gets a new number", "[bundle]") {
  const Bundle first = MakeBundle({kDesk, kMill}, {}, kPublishedAt);
  const ServiceFile changed = MakeFile({"mill", 2, 2, 10, 1, 0});
  const Bundle second =
      MakeBundle({kDesk, changed}, first.documents, kPublishedAt);
  CHECK(first.manifest.number == 1);
  CHECK(second.manifest.number == 2);
  CHECK(second.documents.at("service-desk") ==
        first.documents.at("service-desk"));
  CHECK(second.manifest.entries.at(1).number == 2);
}

TEST_CASE("a file with problems keeps its service and does not affect others",
          "[bundle]") {
  const Bundle first = MakeBundle({kDesk, kMill}, {}, kPublishedAt);
  const ServiceFile bad = {"desk.toml", "service = \"desk\"\nfloor = -1\n"};
  const ServiceFile changed = MakeFile({"mill", 2, 2, 10, 1, 0});
  const Bundle second =
      MakeBundle({bad, changed}, first.documents, kPublishedAt);
  CHECK_FALSE(second.problems.empty());
  CHECK(second.documents.at("service-desk") ==
        first.documents.at("service-desk"));
  CHECK(second.manifest.entries.at(1).number == 2);
}

TEST_CASE("a service without a file is removed", "[bundle]") {
  const Bundle first = MakeBundle({kDesk, kMill}, {}, kPublishedAt);
  const Bundle second = MakeBundle({kDesk}, first.documents, kPublishedAt);
  CHECK(second.removed == std::vector<std::string>{"mill"});
  CHECK_FALSE(HasService(second, "mill"));
  CHECK_FALSE(second.documents.contains("service-mill"));
}

TEST_CASE("no service is removed while some file has no readable service name",
          "[bundle]") {
  const Bundle first = MakeBundle({kDesk, kMill}, {}, kPublishedAt);
  const ServiceFile unreadable = {"mill.toml", "service = \"mill\nfloor ="};
  const Bundle second =
      MakeBundle({kDesk, unreadable}, first.documents, kPublishedAt);
  CHECK(second.removed.empty());
  CHECK(second.kept == std::vector<std::string>{"mill"});
  CHECK(HasService(second, "mill"));
}

TEST_CASE("two files of one service are a problem that names both files",
          "[bundle]") {
  const Bundle bundle =
      MakeBundle({kDesk, {"copy.toml", kDesk.text}, kMill}, {}, kPublishedAt);
  REQUIRE(bundle.problems.size() == 1);
  CHECK(bundle.problems.front().file == "copy.toml");
  CHECK(bundle.problems.front().found.find("desk.toml") != std::string::npos);
  CHECK(HasService(bundle, "mill"));
}

TEST_CASE("documents of the largest fleet fit into the platform's values",
          "[bundle][size]") {
  std::vector<ServiceFile> files;
  int server = 0;
  for (int s = 0; s < kServices; ++s) {
    ServiceShape shape;
    shape.name = "service-with-a-long-name-" + std::to_string(s);
    shape.servers = kBackendServers * (s + 1) / kServices - server;
    shape.first_server = server;
    shape.routes = kRoutes * (s + 1) / kServices - kRoutes * s / kServices;
    shape.callers = s == 0 ? kCustomers : 0;
    server += shape.servers;
    files.push_back(MakeFile(shape));
  }
  const Bundle bundle = MakeBundle(files, {}, kPublishedAt);
  REQUIRE(bundle.problems.empty());
  REQUIRE(bundle.services.size() == kServices);
  std::size_t largest = 0;
  std::size_t total = 0;
  for (const auto& [name, body] : bundle.documents) {
    largest = std::max(largest, body.size());
    total += body.size();
  }
  CHECK(largest <= kMaxValueBytes);
  const std::vector<ServiceConfig> read = ReadServices(bundle.documents);
  REQUIRE(read.size() == kServices);
  CHECK(read.front().callers.size() == kCustomers);
  std::cout << "bundle of the largest fleet: " << bundle.documents.size()
            << " documents, " << total << " bytes, largest " << largest
            << ", manifest " << bundle.documents.at(kManifestName).size()
            << "\n";
}

bool Mentions(const std::vector<std::string>& lines, const std::string& text) {
  return std::any_of(lines.begin(), lines.end(), [&text](const auto& line) {
    return line.find(text) != std::string::npos;
  });
}

TEST_CASE("comparing services lists changes and warnings", "[change]") {
  const Bundle before = MakeBundle({kDesk, kMill}, {}, kPublishedAt);
  std::vector<ServiceConfig> after = before.services;
  after[0].floor = 2;
  after[0].backend_servers[0].owner = "10.9.0.77:7100";
  after[0].backend_servers.push_back(after[1].backend_servers[0]);
  after[0].routes.push_back(after[1].routes[0]);
  after[1].backend_servers.pop_back();
  after[1].floor = 5;
  const ChangeReport report = CompareServices(before.services, after);
  CHECK(Mentions(report.changes, "desk: floor raised from 1 to 2"));
  CHECK(Mentions(report.changes, "desk-0 moved to another owner"));
  CHECK(Mentions(report.changes, "backend server mill-0 added"));
  CHECK(Mentions(report.changes, "mill: backend server mill-1 removed"));
  CHECK(Mentions(report.warnings, "route /mill/0 is also named by desk"));
  CHECK(Mentions(report.warnings, "backend server mill-0 is also named by"));
  CHECK(Mentions(report.warnings, "mill: the floor 5 can't be met by 1"));
  const ChangeReport after_removal =
      CompareServices(before.services, {after[0]});
  CHECK(Mentions(after_removal.warnings, "mill: removed"));
  CHECK(CompareServices(before.services, before.services).changes.empty());
}

TEST_CASE("the summary shows which daemons lag and why", "[summary]") {
  const std::string text = SummarizeConfig(
      {{"a:1", R"({"manifest_number":7,"manifest_digest":"0123456789abcdef",
           "data_centre":"nekala","arrivals":[{"number":7,"source":"b:1",
           "heard_age_ms":4500,"in_force_age_ms":4400}]})"},
       {"b:1", R"({"manifest_number":6,"lagging_ms":2500,"newest_number":7,
           "newest_source":"a:1","missing_documents":["service-x"]})"},
       {"c:1", ""},
       {"d:1", R"({"manifest_number":"seven"})"}});
  CHECK(text.find("a:1  nekala  version 7-01234567") != std::string::npos);
  CHECK(text.find("from b:1 4.4s ago, 100 ms") != std::string::npos);
  CHECK(text.find("LAGS 2.5s behind 7-") != std::string::npos);
  CHECK(text.find("\"service-x\"") != std::string::npos);
  CHECK(text.find("c:1  no answer") != std::string::npos);
  CHECK(text.find("newest 7, in force in 1 of 4") != std::string::npos);
}

}  // namespace
}  // namespace vanillafall
