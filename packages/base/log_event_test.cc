#include "base/log_event.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <string>
#include <vector>

namespace vanillafall {
namespace {

struct CataloguedEvent {
  int number = 0;
  std::string name;
  std::string severity;

  friend bool operator==(const CataloguedEvent&,
                         const CataloguedEvent&) = default;
};

const char* SeverityName(LogSeverity severity) {
  switch (severity) {
    case LogSeverity::kInfo:
      return "info";
    case LogSeverity::kWarning:
      return "warning";
    case LogSeverity::kError:
      return "error";
  }
  return "";
}

// Reads the table rows of docs/EVENTS.md, which have the form
// | 100 | daemon-started | info | meaning |
std::vector<CataloguedEvent> ReadCatalogue() {
  std::ifstream in(std::string(VF_SOURCE_DIR) + "/docs/EVENTS.md");
  const std::regex row(R"(^\| (\d+) \| ([a-z-]+) \| ([a-z]+) \|.*)");
  std::vector<CataloguedEvent> events;
  std::string line;
  std::smatch match;
  while (std::getline(in, line)) {
    if (std::regex_match(line, match, row)) {
      events.push_back({std::stoi(match[1]), match[2], match[3]});
    }
  }
  return events;
}

TEST_CASE("docs/EVENTS.md lists the same events as the code", "[log]") {
  std::vector<CataloguedEvent> in_code;
  for (const LogEventInfo& info : GetLogEvents()) {
    in_code.push_back(
        {static_cast<int>(info.id), info.name, SeverityName(info.severity)});
  }
  REQUIRE(in_code == ReadCatalogue());
}

}  // namespace
}  // namespace vanillafall
