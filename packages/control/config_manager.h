#ifndef CONTROL_CONFIG_MANAGER_H_
#define CONTROL_CONFIG_MANAGER_H_

#include <chrono>
#include <cstdint>
#include <deque>
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
#include "control/assembly.h"
#include "control/config_report.h"
#include "control/membership.h"
#include "decision/event.h"
#include "message/peer.h"

namespace vanillafall {

// Action: read a value of the platform once.
struct ReadPlatform {
  std::string name;
};

// Action: wait until the value's revision exceeds `after`, for at most `wait`.
struct WatchPlatform {
  std::string name;
  std::uint64_t after = 0;
  std::chrono::milliseconds wait{0};
};

// Action: use this configuration from now on. It is complete and newer than the
// one before.
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

// A value stored on the platform, with its revision.
struct PlatformValue {
  std::uint64_t revision = 0;
  std::string body;
};

// Manages one daemon's configuration: fetches complete, numbered publications
// from the platform or from peers, never puts an older one in force after a
// newer one, and informs peers of new versions. The rules are in
// docs/design/configuration.md.
//
// Each method that takes `actions` appends to it what the caller must do. The
// caller answers each ReadPlatform and WatchPlatform by one OnPlatformValue and
// each AskPeer by one OnPeerReplied; calls that are never answered time out.
// Call Advance at least every 100 ms. Not thread-safe: use it from one thread,
// or under one lock.
class ConfigManager {
 public:
  // The daemon that the manager belongs to.
  struct Identity {
    PeerAddress self;
    std::string instance;
    std::string data_centre;
    std::vector<PeerAddress> seeds;
    bool has_platform = false;
    // Seed of the random numbers.
    std::uint64_t seed = 0;
    // Distinguishes this process from earlier and later ones at its address.
    std::uint64_t incarnation = 0;
  };

  explicit ConfigManager(Identity identity);
  ConfigManager(const ConfigManager&) = delete;
  ConfigManager& operator=(const ConfigManager&) = delete;

  // Call once, before any other method. Nothing is put in force until the calls
  // that are made at start (probes of peers and the first read of the list of
  // instances) have ended or 2 s have passed.
  void Start(TimePoint now, ControlActions& actions);
  // Reports the end of a read or watch. `value` is empty when the platform has
  // none, or no newer one; `is_reached` tells whether the platform answered.
  void OnPlatformValue(const std::string& name,
                       const std::optional<PlatformValue>& value,
                       bool is_reached,
                       TimePoint now,
                       ControlActions& actions);
  // Handles a peer's probe and returns the reply to send.
  ConfigProbeReply OnProbe(const ConfigProbe& probe,
                           TimePoint now,
                           ControlActions& actions);
  // Reports the reply to an AskPeer or its failure. Unknown calls are ignored.
  void OnPeerReplied(PeerCallId call,
                     const std::variant<PeerReply, PeerFailure>& result,
                     TimePoint now,
                     ControlActions& actions);
  // Does what is due at this time: timeouts, probes and platform calls.
  void Advance(TimePoint now, ControlActions& actions);

  // Returns the list of instances, a document in force, or one of the
  // publication being fetched. The reply has no body when this daemon does not
  // hold the document with the requested digest.
  DocumentReply OnDocumentRequest(const DocumentRequest& request) const;
  // Number of the manifest in force; 0 when none is.
  std::uint64_t manifest_number() const { return version_.number; }
  const ConfigVersion& version() const { return version_; }
  ConfigReport GetReport() const;

 private:
  // A version newer than the one in force that peers or the platform hold.
  struct Candidate {
    TimePoint first_seen;
    // The source that reported it first, as ConfigReport names it.
    std::string first_source;
    std::set<ConfigSource> sources;
    // The manifest; empty until it has arrived.
    std::string manifest_body;
    // After its assembly has stalled, the candidate is not tried again before
    // this time.
    TimePoint not_before;
  };
  enum class CallKind : std::uint8_t {
    kProbe,
    kManifest,
    kDocument,
    kInstances
  };
  struct PeerCall {
    CallKind kind = CallKind::kProbe;
    PeerAddress peer;
    std::string document;
    ConfigVersion version;
    // When the call is given up.
    TimePoint deadline;
  };

  // Answers of the platform and of peers.
  void ApplyInstances(const std::string& body, ControlActions& actions);
  // The read of the list of instances has ended.
  void OnListReadEnded(bool is_reached, TimePoint now);
  // Postpones the next call to the platform, longer with each failure.
  void BackOff(TimePoint now);
  void OnWatchEnded(const std::optional<PlatformValue>& value,
                    bool is_reached,
                    TimePoint now,
                    ControlActions& actions);
  // A source has reported that it holds this version.
  void OnVersion(const ConfigVersion& version,
                 const ConfigSource& source,
                 TimePoint now,
                 ControlActions& actions);
  void OnManifest(const std::string& body,
                  const ConfigSource& source,
                  TimePoint now,
                  ControlActions& actions);
  void OnProbeReplied(const PeerAddress& peer,
                      const ConfigProbeReply& reply,
                      TimePoint now,
                      ControlActions& actions);
  void OnDocumentReplied(const PeerCall& call,
                         const DocumentReply& reply,
                         TimePoint now,
                         ControlActions& actions);
  void OnCallFailed(const PeerCall& call);
  void OnDocument(const std::string& name,
                  const std::optional<std::string>& body,
                  const ConfigSource& source,
                  TimePoint now,
                  ControlActions& actions);

  // Fetching of newer versions.
  void EndStartIfDue(TimePoint now);
  // Continues the current assembly or begins the next one, and puts the
  // publication in force when its assembly is complete.
  void FetchNewerConfig(TimePoint now, ControlActions& actions);
  // Begins the assembly of the newest candidate that is not put off, or
  // requests its manifest.
  void StartBestCandidate(TimePoint now, ControlActions& actions);
  void BeginAssembly(const ConfigVersion& version,
                     const Candidate& candidate,
                     TimePoint now);
  // Returns the sources that are known to be reachable: the platform and the
  // peers that have replied in their present incarnation and are not suspected.
  // If there are none, returns the peers that are not suspected; if there are
  // none of these either, all sources. A peer whose probes arrive here can't
  // always be reached from here.
  std::vector<ConfigSource> GetReachable(
      const std::set<ConfigSource>& sources) const;
  void RequestDocuments(TimePoint now, ControlActions& actions);
  void CompleteAssembly(TimePoint now, ControlActions& actions);
  // Decodes the documents; empty when one can't be read or does not match its
  // manifest entry.
  std::optional<FleetConfig> BuildConfig(const Assembly& assembly,
                                         ControlActions& actions);
  void GiveUpStalledAssembly(TimePoint now);

  // Calls to peers and to the platform.
  void Probe(const PeerAddress& peer, TimePoint now, ControlActions& actions);
  void ProbeEachPeriod(TimePoint now, ControlActions& actions);
  void RequestDocument(PeerCall call,
                       const Hash128& digest,
                       ControlActions& actions);
  void GiveUpLostCalls(TimePoint now);
  void WatchIfDue(TimePoint now, ControlActions& actions);
  void RefreshInstancesIfDue(TimePoint now, ControlActions& actions);

  void UpdatePlatformReached(bool is_reached,
                             const std::string& name,
                             ControlActions& actions);
  // Logs a conflict if the other version has the same number as the one in
  // force, but another digest.
  void ReportConflict(const ConfigVersion& other,
                      const ConfigSource& source,
                      ControlActions& actions);
  // Logs the event once for each configuration in force.
  void ReportOnce(LogEvent event, ControlActions& actions);
  // Returns a random time from `shortest` to `longest`, both included.
  std::chrono::milliseconds Draw(std::chrono::milliseconds shortest,
                                 std::chrono::milliseconds longest);

  const Identity identity_;
  std::mt19937_64 random_;
  Membership membership_;

  // The configuration in force.
  ConfigVersion version_;
  Manifest manifest_;
  DocumentBodies bodies_;
  FleetConfigPtr config_;
  std::deque<ConfigArrival> arrivals_;

  // Newer versions, and the one being fetched.
  std::map<ConfigVersion, Candidate> candidates_;
  std::optional<Assembly> assembly_;
  // Documents that a stalled assembly had collected.
  DocumentBodies reusable_bodies_;
  // A publication that is refused because one of its documents can't be read.
  std::optional<ConfigVersion> refused_version_;
  // Events logged since the last configuration was put in force.
  std::set<std::string> reported_events_;

  // Calls to peers.
  PeerCallId last_call_ = 0;
  std::unordered_map<PeerCallId, PeerCall> calls_;
  TimePoint next_probe_;
  bool is_starting_ = true;
  // The start ends at this time at the latest.
  TimePoint start_until_;
  // The first read of the list of instances has not been answered.
  bool is_awaiting_instances_ = false;
  TimePoint next_instances_;

  // Platform.
  std::string instances_body_;
  // Whether the platform has ever answered a read of the list of instances,
  // even without a value.
  bool is_list_read_answered_ = false;
  // Whether a read of the list of instances is in progress.
  bool is_list_read_open_ = false;
  TimePoint list_read_deadline_;
  bool is_watching_ = false;
  bool is_platform_reached_ = true;
  bool is_watch_open_ = false;
  TimePoint watch_deadline_;
  TimePoint watch_began_;
  TimePoint next_watch_;
  // When this daemon reads the platform itself although it is not a watcher,
  // provided that it has no configuration then.
  TimePoint next_cold_read_;
  std::uint32_t watch_failures_ = 0;
  // Watches that have ended without a value since the last value.
  std::uint32_t empty_watches_ = 0;
  // Revision of the manifest that the platform sent last; 0 makes the next
  // watch return the manifest whatever its revision.
  std::uint64_t platform_revision_ = 0;
  // Token bucket that limits the reads of documents.
  double read_tokens_ = 0;
  TimePoint tokens_updated_;
  // Documents being read from the platform, each with the time at which its
  // read is given up.
  std::map<std::string, TimePoint> open_reads_;
};

}  // namespace vanillafall

#endif  // CONTROL_CONFIG_MANAGER_H_
