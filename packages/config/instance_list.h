#ifndef CONFIG_INSTANCE_LIST_H_
#define CONFIG_INSTANCE_LIST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "message/peer.h"

namespace vanillafall {

// Name under which the platform publishes its list of instances.
inline constexpr char kInstancesName[] = "instances";

// State of an instance as published by the platform, with a delay.
enum class InstanceState : std::uint8_t { kLive, kLeaving };

// One element of the platform's list.
struct ListedInstance {
  // Name of the instance.
  std::string instance;
  std::string data_centre;
  std::string region;
  // Peer address of the daemon on the instance.
  PeerAddress peer_address;
  InstanceState state = InstanceState::kLive;
};

// Decodes the list: a JSON array of objects with the keys instance,
// data_centre, region, peer_address and state ("live" or "leaving"). Skips
// elements that cannot be decoded. Returns nullopt when the text is not a JSON
// array.
std::optional<std::vector<ListedInstance>> DecodeInstances(
    std::string_view text);

}  // namespace vanillafall

#endif  // CONFIG_INSTANCE_LIST_H_
