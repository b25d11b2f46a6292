#include "config/document.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>

namespace vanillafall {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Parts stay 64 KiB below the platform's limit, in case the platform adds data
// to a value.
constexpr std::size_t kMaxPartBytes = kMaxValueBytes - (1U << 16U);
constexpr std::int64_t kMaxResendWindowMs = 24LL * 3600 * 1000;

std::uint64_t ParseHex(std::string_view hex) {
  constexpr int kBase = 16;
  std::uint64_t value = 0;
  const auto [end, failure] =
      std::from_chars(hex.data(), hex.data() + hex.size(), value, kBase);
  if (failure != std::errc() || end != hex.data() + hex.size()) {
    throw std::invalid_argument("digest");
  }
  return value;
}

Hash128 ParseHash(const std::string& hex) {
  constexpr std::size_t kDigitsPerHalf = 16;
  if (hex.size() != 2 * kDigitsPerHalf) {
    throw std::invalid_argument("digest");
  }
  const std::string_view text(hex);
  return {ParseHex(text.substr(0, kDigitsPerHalf)),
          ParseHex(text.substr(kDigitsPerHalf))};
}

// Reads a whole number within the bounds and throws std::out_of_range on
// anything else, which the JSON library's own conversion would accept.
std::uint64_t UnsignedFrom(const json& value,
                           std::uint64_t min_value,
                           std::uint64_t max_value) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() < min_value ||
      value.get<std::uint64_t>() > max_value) {
    throw std::out_of_range("number");
  }
  return value.get<std::uint64_t>();
}

std::uint64_t NumberFrom(const json& value) {
  return UnsignedFrom(value, 1, std::numeric_limits<std::uint64_t>::max());
}

std::uint32_t CountFrom(const json& value) {
  return static_cast<std::uint32_t>(
      UnsignedFrom(value, 1, std::numeric_limits<std::uint32_t>::max()));
}

std::string NonEmptyTextFrom(const json& value) {
  auto text = value.get<std::string>();
  if (text.empty()) {
    throw std::invalid_argument("empty text");
  }
  return text;
}

template <typename Enum>
Enum EnumFrom(const json& value, Enum last) {
  return static_cast<Enum>(
      UnsignedFrom(value, 0, static_cast<std::uint64_t>(last)));
}

json ToJson(const Route& route) {
  return {{"prefix", route.prefix},
          {"class", route.request_class},
          {"non_idempotent", route.non_idempotent_methods}};
}

json ToJson(const BackendServer& server) {
  return {{"name", server.name},
          {"address", server.address},
          {"owner", server.owner},
          {"data_centre", server.data_centre},
          {"slots", server.slots}};
}

json ToJson(const GuardSet& set) {
  return {{"number", set.service_number},
          {"guards", set.guards},
          {"resend_window_ms", set.resend_window.count()},
          {"replaced_at_ms", set.replaced_at.count()},
          {"data_centres", set.data_centres}};
}

Route RouteFrom(const json& value) {
  return {NonEmptyTextFrom(value.at("prefix")),
          NonEmptyTextFrom(value.at("class")), value.at("non_idempotent")};
}

BackendServer BackendServerFrom(const json& value) {
  return {
      NonEmptyTextFrom(value.at("name")), NonEmptyTextFrom(value.at("address")),
      NonEmptyTextFrom(value.at("owner")),
      NonEmptyTextFrom(value.at("data_centre")), CountFrom(value.at("slots"))};
}

GuardSet GuardSetFrom(const json& value) {
  return {NumberFrom(value.at("number")), value.at("guards"),
          milliseconds(UnsignedFrom(value.at("resend_window_ms"), 1,
                                    kMaxResendWindowMs)),
          milliseconds(UnsignedFrom(value.at("replaced_at_ms"), 0,
                                    std::numeric_limits<std::int64_t>::max())),
          value.at("data_centres")};
}

template <typename T>
json ToJsonArray(const std::vector<T>& values) {
  json array = json::array();
  for (const T& value : values) {
    array.push_back(ToJson(value));
  }
  return array;
}

// Parses the text as JSON and passes it to the reader. Returns nullopt when
// either of them throws.
template <typename T, typename Reader>
std::optional<T> DecodeJson(std::string_view text, Reader reader) {
  try {
    return reader(json::parse(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

// Checks the rules that span several fields: the floor is at most the number of
// backend servers, and each former guard has a data centre.
bool IsConsistent(const ServiceConfig& service) {
  return service.floor <= service.backend_servers.size() &&
         std::all_of(service.former_guards.begin(), service.former_guards.end(),
                     [](const GuardSet& set) {
                       return set.data_centres.size() == set.guards.size();
                     });
}

json EntryToJson(const ManifestEntry& entry) {
  json value = {{"service", entry.service},
                {"number", entry.number},
                {"digest", entry.digest.ToHex()}};
  for (const Hash128& part : entry.parts) {
    value["parts"].push_back(part.ToHex());
  }
  return value;
}

ManifestEntry EntryFrom(const json& value) {
  ManifestEntry entry{NonEmptyTextFrom(value.at("service")),
                      NumberFrom(value.at("number")),
                      ParseHash(value.at("digest")),
                      {}};
  for (const json& part : value.value("parts", json::array())) {
    entry.parts.push_back(ParseHash(part));
  }
  return entry;
}

}  // namespace

std::string ServiceDocumentName(std::string_view service) {
  return "service-" + std::string(service);
}

std::vector<DocumentPart> PartsOf(const ManifestEntry& entry) {
  const std::string name = ServiceDocumentName(entry.service);
  if (entry.parts.empty()) {
    return {{name, entry.digest}};
  }
  std::vector<DocumentPart> parts;
  for (std::size_t i = 0; i < entry.parts.size(); ++i) {
    parts.push_back({name + ".part-" + std::to_string(i + 1), entry.parts[i]});
  }
  return parts;
}

std::vector<std::string> SplitDocument(std::string_view body) {
  std::vector<std::string> parts;
  for (std::size_t at = 0; at < body.size(); at += kMaxPartBytes) {
    parts.emplace_back(body.substr(at, kMaxPartBytes));
  }
  return parts;
}

ManifestEntry MakeManifestEntry(const ServiceConfig& service,
                                std::string_view body) {
  ManifestEntry entry{service.name, service.number, DigestOf(body), {}};
  const std::vector<std::string> bodies = SplitDocument(body);
  if (bodies.size() > 1) {
    for (const std::string& part : bodies) {
      entry.parts.push_back(DigestOf(part));
    }
  }
  return entry;
}

std::string EncodeManifest(const Manifest& manifest) {
  json entries = json::array();
  for (const ManifestEntry& entry : manifest.entries) {
    entries.push_back(EntryToJson(entry));
  }
  return json{{"number", manifest.number}, {"services", entries}}.dump();
}

std::string EncodeService(const ServiceConfig& service) {
  return json{{"service", service.name},
              {"number", service.number},
              {"floor", service.floor},
              {"profile", static_cast<int>(service.profile)},
              {"missing_key", static_cast<int>(service.missing_key)},
              {"callers", service.callers},
              {"resend_window_ms", service.resend_window.count()},
              {"routes", ToJsonArray(service.routes)},
              {"backend_servers", ToJsonArray(service.backend_servers)},
              {"former_guards", ToJsonArray(service.former_guards)}}
      .dump();
}

std::optional<Manifest> DecodeManifest(std::string_view text) {
  return DecodeJson<Manifest>(text, [](const json& value) {
    Manifest manifest;
    manifest.number = NumberFrom(value.at("number"));
    std::set<std::string> names;
    for (const json& entry : value.at("services")) {
      manifest.entries.push_back(EntryFrom(entry));
      if (!names.insert(manifest.entries.back().service).second) {
        throw std::invalid_argument("duplicate service");
      }
    }
    return manifest;
  });
}

std::optional<ServiceConfig> DecodeService(std::string_view text) {
  const auto read = [](const json& value) {
    ServiceConfig service;
    service.name = NonEmptyTextFrom(value.at("service"));
    service.number = NumberFrom(value.at("number"));
    service.floor = CountFrom(value.at("floor"));
    service.profile = EnumFrom(value.at("profile"), EjectionProfile::kFast);
    service.missing_key =
        EnumFrom(value.at("missing_key"), MissingKeyRule::kRunOnce);
    service.callers = value.at("callers");
    service.resend_window = std::chrono::milliseconds(
        UnsignedFrom(value.at("resend_window_ms"), 1, kMaxResendWindowMs));
    for (const json& route : value.at("routes")) {
      service.routes.push_back(RouteFrom(route));
    }
    for (const json& server : value.at("backend_servers")) {
      service.backend_servers.push_back(BackendServerFrom(server));
    }
    for (const json& set : value.at("former_guards")) {
      service.former_guards.push_back(GuardSetFrom(set));
    }
    return service;
  };
  std::optional<ServiceConfig> service = DecodeJson<ServiceConfig>(text, read);
  return service && IsConsistent(*service) ? service : std::nullopt;
}

Hash128 DigestOf(std::string_view text) {
  return HashParts({text});
}

}  // namespace vanillafall
