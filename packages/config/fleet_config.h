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

// Assigns requests whose path starts with the prefix to a service. Requests
// with one of the listed non-idempotent methods are executed at most once.
struct Route {
  std::string prefix;
  // Latencies are compared between requests of the same class only.
  std::string request_class;
  std::vector<std::string> non_idempotent_methods;

  bool IsIdempotent(std::string_view method) const;
};

// One process of a service that executes requests.
struct BackendServer {
  std::string name;
  // "host:port" of its HTTP server.
  std::string address;
  // Peer address of the only daemon that may send it requests.
  PeerAddress owner;
  std::string data_centre;
  // Number of requests that it may execute at the same time.
  std::uint32_t slots = 0;
};

// How early an unhealthy backend server is ejected: kCareful avoids false
// ejections, kFast shortens detection.
enum class EjectionProfile : std::uint8_t { kCareful, kFast };

// What happens to a non-idempotent request without an idempotency key: kRefuse
// rejects it; kRunOnce executes it without protection against a second
// execution when the caller itself resends it.
enum class MissingKeyRule : std::uint8_t { kRefuse, kRunOnce };

// The guards of a service's idempotency keys under one version of its document:
// daemons that together grant each key to at most one attempt at a time.
struct GuardSet {
  // Number of the service's document that the set belongs to.
  std::uint64_t service_number = 0;
  std::vector<PeerAddress> guards;
  // The resend window of that document.
  std::chrono::milliseconds resend_window{0};
  // Time since the Unix epoch at which a newer document replaced the set; 0 for
  // the current set.
  std::chrono::milliseconds replaced_at{0};
  // Data centre of each guard, in the order of the guards.
  std::vector<std::string> data_centres;

  friend bool operator==(const GuardSet&, const GuardSet&) = default;
};

// Configuration of one service: the content of its published document.
struct ServiceConfig {
  std::string name;
  // Version of the document. It increases when the content changes.
  std::uint64_t number = 0;
  std::vector<Route> routes;
  // Number of backend servers that ejections must leave in service.
  std::uint32_t floor = 1;
  EjectionProfile profile = EjectionProfile::kCareful;
  MissingKeyRule missing_key = MissingKeyRule::kRefuse;
  // Customers whose requests are admitted; "*" admits all.
  std::vector<std::string> callers;
  // How long after the first request with a key the caller may resend it.
  std::chrono::milliseconds resend_window{0};
  std::vector<BackendServer> backend_servers;
  // Guard sets of former documents whose keys may still be resent, oldest
  // first. Filled in by "vanillafall bundle".
  std::vector<GuardSet> former_guards;

  bool Admits(std::string_view customer) const;
  // Null when the service has no backend server of that name.
  const BackendServer* FindBackendServer(std::string_view name) const;
  // Owners of the backend servers, each once, in ascending order. They are the
  // guards of the service's keys.
  std::vector<PeerAddress> Owners() const;
  // The owners as this document's guard set.
  GuardSet CurrentGuards() const;
};

// Version and digest of one service's document.
struct ManifestEntry {
  std::string service;
  // Number of the service's document.
  std::uint64_t number = 0;
  // Digest of the whole document.
  Hash128 digest;
  // Digests of the parts of a document that is too large for one value, in
  // order; empty when the document is published as one value.
  std::vector<Hash128> parts;
};

// Lists the service documents that together make up one configuration.
struct Manifest {
  // Version of the configuration. It increases with every publication.
  std::uint64_t number = 0;
  std::vector<ManifestEntry> entries;
};

// One complete configuration of the fleet. Immutable once built; shared between
// threads as shared_ptr<const FleetConfig>.
struct FleetConfig {
  std::uint64_t manifest_number = 0;
  // By the services' names.
  std::map<std::string, ServiceConfig, std::less<>> services;

  // The route of a request and the service that it belongs to.
  struct Match {
    const ServiceConfig* service = nullptr;
    const Route* route = nullptr;
  };

  // The route whose prefix is the longest that the target's path starts with.
  // A prefix ends at a path segment: "/jobs" matches "/jobs/7" but not
  // "/jobsx". The pointers are null when no route matches.
  Match FindRoute(std::string_view target) const;
  // Null when there is no service of that name.
  const ServiceConfig* FindService(std::string_view name) const;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

}  // namespace vanillafall

#endif  // CONFIG_FLEET_CONFIG_H_
