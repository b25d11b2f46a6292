#ifndef CONTROL_CONFIG_KEEPER_H_
#define CONTROL_CONFIG_KEEPER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/log_event.h"
#include "config/fleet_config.h"
#include "decision/event.h"
#include "message/peer.h"

namespace vanillafall {

// Read a value of the platform once.
struct ReadPlatform {
  std::string name;
};

// Watch a value until its revision exceeds the one given.
struct WatchPlatform {
  std::string name;
  std::uint64_t after = 0;
  std::chrono::milliseconds wait{0};
};

// A newer configuration is complete and in force from now on.
struct PutInForce {
  FleetConfigPtr config;
};

using ControlAction = std::variant<ReadPlatform,
                                   WatchPlatform,
                                   AskPeer,
                                   PutInForce,
                                   PeerUpToDate,
                                   LogEvent>;
using ControlActions = std::vector<ControlAction>;

// A value that the platform holds.
struct PlatformValue {
  std::uint64_t revision = 0;
  std::string body;
};

// Keeps one daemon's configuration: takes whole, numbered publications from
// the platform or from peers, never an older one after a newer one, and tells
// peers of news. One thread owns it.
class ConfigKeeper {
 public:
  struct Identity {
    PeerAddress self;
    std::string instance;
    std::string data_centre;
    std::vector<PeerAddress> seeds;
    bool has_platform = false;
    std::uint64_t seed = 0;
  };

  explicit ConfigKeeper(Identity identity);

  void Start(TimePoint now, ControlActions& actions);
  // A read or watch has ended; no value when there is none.
  void OnPlatformValue(const std::string& name,
                       const std::optional<PlatformValue>& value,
                       bool is_reached,
                       TimePoint now,
                       ControlActions& actions);
  ConfigProbeReply OnProbe(const ConfigProbe& probe,
                           TimePoint now,
                           ControlActions& actions);
  DocumentReply OnDocumentRequest(const DocumentRequest& request) const;
  void OnPeerReplied(PeerCallId call,
                     const std::variant<PeerReply, PeerFailure>& result,
                     TimePoint now,
                     ControlActions& actions);
  void Advance(TimePoint now, ControlActions& actions);

  std::uint64_t manifest_number() const { return manifest_.number; }

 private:
  // A publication that is being fetched, from a peer or, with an empty peer,
  // from the platform.
  struct Assembly {
    PeerAddress peer;
    Manifest manifest;
    std::string manifest_body;
    std::map<std::string, std::string, std::less<>> bodies;
    std::set<std::string> missing;
    TimePoint started;
  };
  struct PeerCall {
    PeerAddress peer;
    // Document asked for; empty for a probe.
    std::string document;
  };

  void BeginAssembly(const PeerAddress& peer,
                     const std::string& manifest_body,
                     TimePoint now,
                     ControlActions& actions);
  void TakeDocument(const std::string& name,
                    const std::string& body,
                    TimePoint now,
                    ControlActions& actions);
  void Complete(TimePoint now, ControlActions& actions);
  void PutManifestInForce(Assembly assembly, ControlActions& actions);
  void FetchManifestFrom(const PeerAddress& peer, ControlActions& actions);
  void Fetch(const PeerAddress& peer,
             const std::string& name,
             ControlActions& actions);
  void Probe(const PeerAddress& peer, ControlActions& actions);
  void ProbeSome(std::size_t count, ControlActions& actions);
  void WatchAgain(ControlActions& actions);
  void LearnPeers();

  const Identity identity_;
  std::mt19937_64 random_;
  PeerCallId last_call_ = 0;
  Manifest manifest_;
  std::map<std::string, std::string, std::less<>> bodies_;
  std::optional<Assembly> assembly_;
  std::vector<PeerAddress> peers_;
  std::unordered_map<PeerCallId, PeerCall> calls_;
  std::uint64_t platform_revision_ = 0;
  bool is_platform_reached_ = true;
  std::optional<TimePoint> watch_at_;
  TimePoint next_probe_;
};

}  // namespace vanillafall

#endif  // CONTROL_CONFIG_KEEPER_H_
