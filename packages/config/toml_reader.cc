#include "config/toml_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxShownValueBytes = 60;

std::string Show(const toml::node& node) {
  std::ostringstream out;
  node.visit([&out](const auto& value) { out << value; });
  std::string text = out.str();
  if (text.size() > kMaxShownValueBytes) {
    text.resize(kMaxShownValueBytes);
    text += "...";
  }
  return text;
}

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  in_addr parsed{};
  if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) != 1) {
    return false;
  }
  const char* first = text.data() + colon + 1;
  const char* last = text.data() + text.size();
  std::uint16_t port = 0;
  const auto [end, failure] = std::from_chars(first, last, port);
  return failure == std::errc() && end == last && port != 0;
}

std::optional<milliseconds> ParseDuration(std::string_view text) {
  double count = 0;
  const char* last = text.data() + text.size();
  const auto [end, failure] =
      std::from_chars(text.data(), last, count, std::chars_format::fixed);
  constexpr double kMaxCount = 1'000'000'000;
  const bool is_count =
      failure == std::errc() && count >= 0 && count <= kMaxCount;
  if (!is_count) {
    return std::nullopt;
  }
  const std::string_view unit(end, static_cast<std::size_t>(last - end));
  const auto to_milliseconds = [count](milliseconds unit_length) {
    return std::chrono::round<milliseconds>(
        count * std::chrono::duration<double, std::milli>(unit_length));
  };
  if (unit == "ms") {
    return to_milliseconds(milliseconds(1));
  }
  if (unit == "s") {
    return to_milliseconds(std::chrono::seconds(1));
  }
  if (unit == "m") {
    return to_milliseconds(std::chrono::minutes(1));
  }
  if (unit == "h") {
    return to_milliseconds(std::chrono::hours(1));
  }
  return std::nullopt;
}

std::string Show(milliseconds duration) {
  return std::to_string(duration.count()) + "ms";
}

const toml::table& EmptyTable() {
  static const toml::table empty;
  return empty;
}

constexpr char kAddressForm[] = "an IPv4 address and port, \"host:port\"";

}  // namespace

void ThrowTomlError(const char* failed_condition) {
  throw std::logic_error(failed_condition);
}

toml::table ParseToml(std::string_view text,
                      const std::string& file,
                      std::vector<Problem>* problems) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    problems->push_back({file, error.source().begin.line, "(syntax)",
                         std::string(error.description()), "TOML"});
  } catch (const std::logic_error&) {
    problems->push_back(
        {file, 0, "(syntax)", "text that cannot be parsed", "TOML"});
  }
  return {};
}

TomlReader::TomlReader(const toml::table& table,
                       std::string path,
                       const std::string& file,
                       std::vector<Problem>* problems)
    : table_(table), path_(std::move(path)), file_(file), problems_(problems) {}

std::string TomlReader::GetString(std::string_view key, Need need) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    if (need == Need::kRequired) {
      ReportMissingKey(key, "a string");
    }
    return {};
  }
  const auto value = node->value_exact<std::string>();
  if (!value || value->empty()) {
    AddProblem(key, node, Show(*node), "a non-empty string");
    return {};
  }
  return *value;
}

std::string TomlReader::GetAddress(std::string_view key, Need need) {
  std::string text = GetString(key, need);
  if (!text.empty() && !IsAddress(text)) {
    AddProblem(key, table_.get(key), text, kAddressForm);
  }
  return text;
}

std::int64_t TomlReader::GetInteger(std::string_view key,
                                    std::int64_t fallback,
                                    std::int64_t min,
                                    std::int64_t max) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return fallback;
  }
  const auto value = node->value_exact<std::int64_t>();
  if (!value || *value < min || *value > max) {
    AddProblem(key, node, Show(*node),
               std::to_string(min) + " to " + std::to_string(max));
    return fallback;
  }
  return *value;
}

double TomlReader::GetNumber(std::string_view key,
                             double fallback,
                             double min,
                             double max) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return fallback;
  }
  const auto value = node->value<double>();
  if (!node->is_number() || !(*value >= min && *value <= max)) {
    std::ostringstream range;
    range << min << " to " << max;
    AddProblem(key, node, Show(*node), range.str());
    return fallback;
  }
  return *value;
}

std::int64_t TomlReader::GetRequiredInteger(std::string_view key,
                                            std::int64_t min,
                                            std::int64_t max) {
  if (table_.get(key) == nullptr) {
    ReportMissingKey(key, std::to_string(min) + " to " + std::to_string(max));
  }
  return GetInteger(key, min, min, max);
}

milliseconds TomlReader::GetDuration(std::string_view key,
                                     milliseconds fallback,
                                     milliseconds min,
                                     milliseconds max) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return fallback;
  }
  const auto text = node->value_exact<std::string>();
  const auto value = text ? ParseDuration(*text) : std::nullopt;
  if (!value || *value < min || *value > max) {
    AddProblem(
        key, node, Show(*node),
        "a duration such as \"250ms\", " + Show(min) + " to " + Show(max));
    return fallback;
  }
  return *value;
}

std::size_t TomlReader::GetChoice(
    std::string_view key,
    std::initializer_list<std::string_view> choices) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return 0;
  }
  const auto text = node->value_exact<std::string>();
  const auto* found =
      text ? std::find(choices.begin(), choices.end(), *text) : choices.end();
  if (found != choices.end()) {
    return static_cast<std::size_t>(found - choices.begin());
  }
  std::string allowed;
  for (std::string_view choice : choices) {
    allowed += allowed.empty() ? "" : " or ";
    allowed += '"' + std::string(choice) + '"';
  }
  AddProblem(key, node, Show(*node), allowed);
  return 0;
}

std::vector<std::string> TomlReader::GetStrings(std::string_view key,
                                                Need need) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    if (need == Need::kRequired) {
      ReportMissingKey(key, "a list of strings");
    }
    return {};
  }
  std::vector<std::string> values;
  const toml::array* array = node->as_array();
  if (array == nullptr || (array->empty() && need == Need::kRequired)) {
    AddProblem(key, node, Show(*node), "a list of strings");
    return {};
  }
  for (const toml::node& element : *array) {
    const auto value = element.value_exact<std::string>();
    if (!value || value->empty()) {
      AddProblem(key, &element, Show(element), "a non-empty string");
      continue;
    }
    values.push_back(*value);
  }
  return values;
}

std::vector<std::string> TomlReader::GetAddresses(std::string_view key) {
  std::vector<std::string> addresses = GetStrings(key, Need::kOptional);
  for (const std::string& address : addresses) {
    if (!IsAddress(address)) {
      AddProblem(key, table_.get(key), address, kAddressForm);
    }
  }
  return addresses;
}

const toml::table& TomlReader::GetTable(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return EmptyTable();
  }
  if (!node->is_table()) {
    AddProblem(key, node, Show(*node), "a table");
    return EmptyTable();
  }
  return *node->as_table();
}

std::vector<const toml::table*> TomlReader::GetTables(std::string_view key,
                                                      Need need) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    if (need == Need::kRequired) {
      ReportMissingKey(key, "one or more tables [[" + FullKey(key) + "]]");
    }
    return {};
  }
  std::vector<const toml::table*> tables;
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    AddProblem(key, node, Show(*node), "tables [[" + FullKey(key) + "]]");
    return {};
  }
  for (const toml::node& element : *array) {
    if (!element.is_table()) {
      AddProblem(key, &element, Show(element), "a table");
      continue;
    }
    tables.push_back(element.as_table());
  }
  return tables;
}

void TomlReader::AddProblem(std::string_view key,
                            const toml::node* node,
                            std::string found,
                            std::string allowed) {
  const std::uint32_t line = node == nullptr ? 0 : node->source().begin.line;
  problems_->push_back(
      {file_, line, FullKey(key), std::move(found), std::move(allowed)});
}

void TomlReader::ReportUnknownKeys() {
  for (const auto& [key, node] : table_) {
    const bool is_known = std::find(known_keys_.begin(), known_keys_.end(),
                                    key.str()) != known_keys_.end();
    if (is_known) {
      continue;
    }
    std::string allowed;
    for (const std::string& known : known_keys_) {
      allowed += allowed.empty() ? "one of " : ", ";
      allowed += known;
    }
    AddProblem(key.str(), &node, "an unknown key", allowed);
  }
}

const toml::node* TomlReader::Find(std::string_view key) {
  known_keys_.emplace_back(key);
  return table_.get(key);
}

std::string TomlReader::FullKey(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

void TomlReader::ReportMissingKey(std::string_view key, std::string allowed) {
  AddProblem(key, &table_, "nothing", std::move(allowed));
}

}  // namespace vanillafall
