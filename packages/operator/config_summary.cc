#include "operator/config_summary.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace vanillafall {
namespace {

using nlohmann::json;

constexpr std::size_t kShownDigits = 8;
constexpr std::size_t kShownArrivals = 3;

// One daemon's /config page. Fields that are missing or have the wrong type
// read as an empty or zero value.
class ConfigPage {
 public:
  explicit ConfigPage(const ConfigAnswer& answer)
      : daemon_(answer.daemon),
        page_(json::parse(answer.body, nullptr, false)) {}

  bool IsReadable() const { return page_.is_object(); }
  const std::string& daemon() const { return daemon_; }
  std::uint64_t Number(const char* key) const {
    return Get<std::uint64_t>(key);
  }
  std::string Text(const char* key) const { return Get<std::string>(key); }
  bool Flag(const char* key) const { return Get<bool>(key); }
  bool IsLagging() const { return page_.contains("lagging_ms"); }
  std::string Version(const char* number, const char* digest) const {
    return std::to_string(Number(number)) + "-" +
           Text(digest).substr(0, kShownDigits);
  }
  json List(const char* key) const {
    const json list = page_.value(key, json::array());
    return list.is_array() ? list : json::array();
  }

 private:
  template <typename T>
  T Get(const char* key) const {
    const auto found = page_.find(key);
    try {
      return found == page_.end() ? T{} : found->get<T>();
    } catch (const json::exception&) {
      return T{};
    }
  }

  const std::string daemon_;
  const json page_;
};

std::string FormatAge(std::int64_t age_ms) {
  constexpr std::int64_t kSecond = 1000;
  constexpr std::int64_t kMinute = 60 * kSecond;
  constexpr std::int64_t kHour = 60 * kMinute;
  if (age_ms < kMinute) {
    return std::to_string(age_ms / kSecond) + "." +
           std::to_string(age_ms % kSecond / 100) + "s";
  }
  return age_ms < kHour ? std::to_string(age_ms / kMinute) + "m"
                        : std::to_string(age_ms / kHour) + "h";
}

// Describes why a daemon lags, according to its own page.
std::string DescribeLagReason(const ConfigPage& page) {
  if (page.Flag("is_starting")) {
    return "it has just started and is querying its peers";
  }
  const json missing = page.List("missing_documents");
  if (!missing.empty()) {
    return std::to_string(missing.size()) + " documents are missing, " +
           missing.front().dump() + " first";
  }
  return "it has not received the newer manifest yet";
}

std::string DescribeDaemon(const ConfigPage& page,
                           std::uint64_t newest_number) {
  std::string line = page.daemon() + "  " + page.Text("data_centre") +
                     "  version " +
                     page.Version("manifest_number", "manifest_digest");
  if (page.Flag("is_watching_platform")) {
    line += page.Flag("is_platform_reached") ? "  watches the platform"
                                             : "  cannot reach the platform";
  }
  if (page.IsLagging()) {
    line += "  LAGS " +
            FormatAge(static_cast<std::int64_t>(page.Number("lagging_ms"))) +
            " behind " + page.Version("newest_number", "newest_digest") +
            " of " + page.Text("newest_source") + ": " +
            DescribeLagReason(page);
  } else if (page.Number("manifest_number") < newest_number) {
    line +=
        "  LAGS and does not know of version " + std::to_string(newest_number);
  }
  return line + "\n";
}

std::string DescribeArrivals(const ConfigPage& page) {
  std::string text;
  const json arrivals = page.List("arrivals");
  const std::size_t count = std::min(arrivals.size(), kShownArrivals);
  for (std::size_t i = arrivals.size() - count; i < arrivals.size(); ++i) {
    const json& arrival = arrivals[i];
    const std::int64_t first_seen =
        arrival.value("heard_age_ms", std::int64_t{0});
    const std::int64_t in_force =
        arrival.value("in_force_age_ms", std::int64_t{0});
    text += "    " + std::to_string(arrival.value("number", 0ULL)) + " from " +
            arrival.value("source", "") + " " + FormatAge(in_force) + " ago, " +
            std::to_string(first_seen - in_force) +
            " ms after it was heard of\n";
  }
  return text;
}

}  // namespace

std::string SummarizeConfig(const std::vector<ConfigAnswer>& answers) {
  std::string text;
  std::uint64_t newest = 0;
  std::vector<ConfigPage> pages;
  pages.reserve(answers.size());
  for (const ConfigAnswer& answer : answers) {
    const ConfigPage& page = pages.emplace_back(answer);
    if (page.IsReadable()) {
      newest = std::max({newest, page.Number("manifest_number"),
                         page.Number("newest_number")});
    }
  }
  std::size_t current = 0;
  for (const ConfigPage& page : pages) {
    if (!page.IsReadable()) {
      text += page.daemon() + "  no answer\n";
      continue;
    }
    current += page.Number("manifest_number") == newest ? 1 : 0;
    text += DescribeDaemon(page, newest) + DescribeArrivals(page);
  }
  return text + "newest " + std::to_string(newest) + ", in force in " +
         std::to_string(current) + " of " + std::to_string(answers.size()) +
         " daemons asked\n";
}

}  // namespace vanillafall
