#include "config/document.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace vanillafall {
namespace {

using nlohmann::json;

Hash128 ParseHash(const std::string& hex) {
  constexpr std::size_t kHalf = 16;
  constexpr int kBase = 16;
  if (hex.size() != 2 * kHalf) {
    throw std::invalid_argument("digest");
  }
  return {std::stoull(hex.substr(0, kHalf), nullptr, kBase),
          std::stoull(hex.substr(kHalf), nullptr, kBase)};
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
  return {value.at("prefix"), value.at("class"), value.at("non_idempotent")};
}

BackendServer BackendServerFrom(const json& value) {
  return {value.at("name"), value.at("address"), value.at("owner"),
          value.at("data_centre"), value.at("slots")};
}

GuardSet GuardSetFrom(const json& value) {
  return {
      value.at("number"), value.at("guards"),
      std::chrono::milliseconds(
          value.at("resend_window_ms").get<std::int64_t>()),
      std::chrono::milliseconds(value.at("replaced_at_ms").get<std::int64_t>()),
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

// Runs a reader over parsed JSON and turns every failure into "no value".
template <typename T, typename Reader>
std::optional<T> Guarded(std::string_view text, Reader reader) {
  try {
    return reader(json::parse(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

bool IsUsable(const ServiceConfig& service) {
  return !service.name.empty() && service.floor >= 1 &&
         service.resend_window > std::chrono::milliseconds(0) &&
         service.profile <= Profile::kFast &&
         service.missing_key <= MissingKeyRule::kRunOnce &&
         std::all_of(service.former_guards.begin(), service.former_guards.end(),
                     [](const GuardSet& set) {
                       return set.data_centres.size() == set.guards.size();
                     });
}

}  // namespace

std::string ServiceDocumentName(std::string_view service) {
  return "service-" + std::string(service);
}

std::string EncodeManifest(const Manifest& manifest) {
  json entries = json::array();
  for (const ManifestEntry& entry : manifest.entries) {
    entries.push_back({{"service", entry.service},
                       {"number", entry.number},
                       {"digest", entry.digest.ToHex()}});
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
  return Guarded<Manifest>(text, [](const json& value) {
    Manifest manifest;
    manifest.number = value.at("number");
    for (const json& entry : value.at("services")) {
      manifest.entries.push_back({entry.at("service"), entry.at("number"),
                                  ParseHash(entry.at("digest"))});
    }
    return manifest;
  });
}

std::optional<ServiceConfig> DecodeService(std::string_view text) {
  const auto read = [](const json& value) {
    ServiceConfig service;
    service.name = value.at("service");
    service.number = value.at("number");
    service.floor = value.at("floor");
    service.profile = static_cast<Profile>(value.at("profile").get<int>());
    service.missing_key =
        static_cast<MissingKeyRule>(value.at("missing_key").get<int>());
    service.callers = value.at("callers");
    service.resend_window = std::chrono::milliseconds(
        value.at("resend_window_ms").get<std::int64_t>());
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
  std::optional<ServiceConfig> service = Guarded<ServiceConfig>(text, read);
  return service && IsUsable(*service) ? service : std::nullopt;
}

Hash128 DigestOf(std::string_view text) {
  return HashParts({text});
}

}  // namespace vanillafall
