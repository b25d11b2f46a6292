#ifndef CONFIG_FLEET_CONFIG_H_
#define CONFIG_FLEET_CONFIG_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "message/peer.h"

namespace vanillafall {

// Requests whose path starts with the prefix. Methods listed as non-idempotent
// run at most once.
struct Route {
  std::string prefix;
  std::string request_class;
  std::vector<std::string> non_idempotent_methods;

  bool IsIdempotent(std::string_view method) const;
};

struct BackendServer {
  std::string name;
  // Where it serves HTTP.
  std::string address;
  // Peer address of the one daemon that may send it requests.
  PeerAddress owner;
  std::string data_centre;
  std::uint32_t slots = 0;
};

// How eagerly a sick backend server is ejected: kCareful avoids false
// ejections, kFast shortens detection.
enum class Profile : std::uint8_t { kCareful, kFast };

// What a non-idempotent request without a key gets: a refusal, or one run
// without protection against the caller's own resend.
enum class MissingKeyRule : std::uint8_t { kRefuse, kRunOnce };

// The daemons that guarded the service's keys under one document number, the
// resend window that it promised, and when a newer document was made (since the
// Unix epoch).
struct GuardSet {
  std::uint64_t service_number = 0;
  std::vector<PeerAddress> guards;
  std::chrono::milliseconds resend_window{0};
  std::chrono::milliseconds replaced_at{0};
  // Data centre of each guard, in the order of the guards.
  std::vector<std::string> data_centres;

  friend bool operator==(const GuardSet&, const GuardSet&) = default;
};

// Everything that the fleet knows about one service.
struct ServiceConfig {
  std::string name;
  std::uint64_t number = 0;
  std::vector<Route> routes;
  // Least number of backend servers that stay in service.
  std::uint32_t floor = 1;
  Profile profile = Profile::kCareful;
  MissingKeyRule missing_key = MissingKeyRule::kRefuse;
  // Tenants that may call; "*" admits all.
  std::vector<std::string> callers;
  // How long after its first use a key may be resent.
  std::chrono::milliseconds resend_window{0};
  std::vector<BackendServer> backend_servers;
  // Guard sets of former documents whose keys may still be resent, oldest
  // first. Filled by the publishing step.
  std::vector<GuardSet> former_guards;

  bool Admits(std::string_view customer) const;
  const BackendServer* FindBackendServer(std::string_view name) const;
  // Owners of the backend servers, each once, in ascending order. They are the
  // guards of the service's keys.
  std::vector<PeerAddress> Owners() const;
  // The owners as this document's guard set.
  GuardSet CurrentGuards() const;
};

struct ManifestEntry {
  std::string service;
  std::uint64_t number = 0;
  Hash128 digest;
  // Digests of the parts of a document that is too large for one value, in
  // order; empty when it is published whole.
  std::vector<Hash128> parts;
};

// The list of all service documents that together are one configuration.
struct Manifest {
  std::uint64_t number = 0;
  std::vector<ManifestEntry> entries;
};

// One whole configuration in force. Immutable once built; shared between
// threads as shared_ptr<const FleetConfig>.
struct FleetConfig {
  std::uint64_t manifest_number = 0;
  std::map<std::string, ServiceConfig, std::less<>> services;

  struct Match {
    const ServiceConfig* service = nullptr;
    const Route* route = nullptr;
  };

  // The route with the longest prefix of the path; nulls when there is none.
  Match FindRoute(std::string_view target) const;
  const ServiceConfig* FindService(std::string_view name) const;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

}  // namespace vanillafall

#endif  // CONFIG_FLEET_CONFIG_H_
