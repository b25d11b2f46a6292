// Writes an HTML report of measurements. Reads JSON lines with name, value,
// unit and command, and draws one bar chart for each group: measurements of the
// same command and unit whose names begin with the same word. Baselines are
// drawn in the same chart as the other measurements, in grey.

#include <tclap/CmdLine.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <vector>

namespace vanillafall {
namespace {

constexpr int kBarHeight = 18;
constexpr int kNameWidth = 460;
constexpr int kPlotWidth = 420;
constexpr int kValueWidth = 180;

struct Measurement {
  std::string name;
  double value = 0;
  std::string unit;
  std::string command;
};

// Measurements that are drawn in one chart, on one scale.
struct Group {
  std::string command;
  std::string prefix;
  std::string unit;
  std::vector<Measurement> bars;
};

// Escapes text for HTML.
std::string Escape(const std::string& text) {
  std::string escaped;
  for (const char c : text) {
    switch (c) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

// The first word of a name, up to its first underscore. It says what is
// measured.
std::string PrefixOf(const std::string& name) {
  return name.substr(0, name.find('_'));
}

// Skips lines that are not JSON objects.
std::vector<Measurement> Read(std::istream& in) {
  std::vector<Measurement> all;
  std::string line;
  while (std::getline(in, line)) {
    const auto json = nlohmann::json::parse(line, nullptr, false);
    if (!json.is_object()) {
      continue;
    }
    all.push_back({json.value("name", ""), json.value("value", 0.0),
                   json.value("unit", ""), json.value("command", "")});
  }
  return all;
}

std::vector<Group> MakeGroups(const std::vector<Measurement>& all) {
  std::vector<Group> groups;
  for (const Measurement& each : all) {
    const std::string prefix = PrefixOf(each.name);
    const auto found =
        std::find_if(groups.begin(), groups.end(), [&](const Group& group) {
          return group.command == each.command && group.prefix == prefix &&
                 group.unit == each.unit;
        });
    if (found != groups.end()) {
      found->bars.push_back(each);
    } else {
      groups.push_back({each.command, prefix, each.unit, {each}});
    }
  }
  return groups;
}

// Draws one bar with its name and value; max_value is the full width.
void WriteBar(const Measurement& bar,
              double max_value,
              int y,
              std::ostream& out) {
  const bool is_baseline = bar.name.find("baseline") != std::string::npos ||
                           bar.name.find("direct") != std::string::npos;
  const double fraction =
      max_value > 0 ? std::max(0.0, bar.value) / max_value : 0;
  const double width = std::max(1.0, fraction * kPlotWidth);
  out << "<text x=\"0\" y=\"" << y + 13 << "\">" << Escape(bar.name)
      << "</text><rect x=\"" << kNameWidth << "\" y=\"" << y + 2
      << "\" width=\"" << width << "\" height=\"" << kBarHeight - 4
      << "\" fill=\"" << (is_baseline ? "#b0b0b0" : "#3b78b5")
      << "\"/><text x=\"" << kNameWidth + width + 6 << "\" y=\"" << y + 13
      << "\">" << std::setprecision(6) << bar.value << " " << Escape(bar.unit)
      << "</text>\n";
}

void WriteGroup(const Group& group, std::ostream& out) {
  double max_value = 0;
  for (const Measurement& bar : group.bars) {
    max_value = std::max(max_value, bar.value);
  }
  const auto height =
      static_cast<int>(group.bars.size()) * kBarHeight + kBarHeight;
  out << "<h3>" << Escape(group.prefix) << " (" << Escape(group.unit)
      << ")</h3>\n<svg width=\"" << kNameWidth + kPlotWidth + kValueWidth
      << "\" height=\"" << height << "\" font-size=\"12\">\n";
  int y = 0;
  for (const Measurement& bar : group.bars) {
    WriteBar(bar, max_value, y, out);
    y += kBarHeight;
  }
  out << "</svg>\n";
}

void WritePage(const std::vector<Group>& groups,
               const std::string& machine,
               std::ostream& out) {
  out << "<!DOCTYPE html>\n<meta charset=\"utf-8\">\n"
         "<title>vanillafall measurements</title>\n"
         "<style>body { font-family: sans-serif; }</style>\n"
         "<h1>vanillafall measurements</h1>\n<p>"
      << Escape(machine) << ". Baselines are grey.</p>\n";
  std::string command;
  for (const Group& group : groups) {
    if (group.command != command) {
      command = group.command;
      out << "<h2>" << Escape(command) << "</h2>\n";
    }
    WriteGroup(group, out);
  }
}

int Main(int argc, const char* const* argv) {
  TCLAP::CmdLine line("Writes an HTML report of measurements");
  TCLAP::ValueArg<std::string> machine(
      "", "machine", "machine on which the measurements were made", false, "",
      "TEXT", line);
  TCLAP::UnlabeledValueArg<std::string> in("in", "JSON lines", true, "", "FILE",
                                           line);
  TCLAP::UnlabeledValueArg<std::string> out("out", "HTML page to write", true,
                                            "", "FILE", line);
  line.parse(argc, argv);
  std::ifstream measurements(in.getValue());
  std::ofstream page(out.getValue());
  if (!measurements || !page) {
    std::cerr << "vf_report: cannot read " << in.getValue() << " or write "
              << out.getValue() << "\n";
    return 1;
  }
  WritePage(MakeGroups(Read(measurements)), machine.getValue(), page);
  return 0;
}

}  // namespace
}  // namespace vanillafall

int main(int argc, char** argv) {
  return vanillafall::Main(argc, argv);
}
