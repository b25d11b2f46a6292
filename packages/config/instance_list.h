#ifndef CONFIG_INSTANCE_LIST_H_
#define CONFIG_INSTANCE_LIST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "message/peer.h"

namespace vanillafall {

// Published name of the platform's list of instances.
inline constexpr char kInstancesName[] = "instances";

// What the platform says of an instance. It says so late.
enum class InstanceState : std::uint8_t { kLive, kLeaving };

struct ListedInstance {
  std::string instance;
  std::string data_centre;
  std::string region;
  PeerAddress peer_address;
  InstanceState state = InstanceState::kLive;
};

// Reads the list, a JSON array of objects with the keys instance, data_centre,
// region, peer_address and state ("live" or "leaving"). An element that can't
// be read is left out and stops no other; empty when the text is no array.
std::optional<std::vector<ListedInstance>> DecodeInstances(
    std::string_view text);

}  // namespace vanillafall

#endif  // CONFIG_INSTANCE_LIST_H_
