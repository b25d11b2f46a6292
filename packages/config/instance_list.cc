#include "config/instance_list.h"

#include <nlohmann/json.hpp>

namespace vanillafall {
namespace {

using nlohmann::json;

std::optional<ListedInstance> InstanceFrom(const json& value) {
  try {
    ListedInstance listed;
    listed.instance = value.at("instance");
    listed.data_centre = value.at("data_centre");
    listed.region = value.at("region");
    listed.peer_address = value.at("peer_address");
    listed.state = value.at("state") == "leaving" ? InstanceState::kLeaving
                                                  : InstanceState::kLive;
    return listed;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::optional<std::vector<ListedInstance>> DecodeInstances(
    std::string_view text) {
  const json list = json::parse(text, nullptr, false);
  if (!list.is_array()) {
    return std::nullopt;
  }
  std::vector<ListedInstance> instances;
  for (const json& element : list) {
    if (std::optional<ListedInstance> listed = InstanceFrom(element)) {
      instances.push_back(std::move(*listed));
    }
  }
  return instances;
}

}  // namespace vanillafall
