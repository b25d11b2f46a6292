#ifndef CONTROL_CONFIG_KEEPER_H_
#define CONTROL_CONFIG_KEEPER_H_

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
// peers of news. docs/design/configuration.md gives the rules.
//
// Commands take the present time and append what is to be done. Each
// ReadPlatform and WatchPlatform is answered by one OnPlatformValue, each
// AskPeer by one OnPeerReplied; an answer that never comes is given up after a
// while. Call Advance at least every 100 ms. One thread owns a keeper.
class ConfigKeeper {
 public:
  struct Identity {
    PeerAddress self;
    std::string instance;
    std::string data_centre;
    std::vector<PeerAddress> seeds;
    bool has_platform = false;
    std::uint64_t seed = 0;
    // Tells this process from others before and after it at the address.
    std::uint64_t incarnation = 0;
  };

  explicit ConfigKeeper(Identity identity);
  ConfigKeeper(const ConfigKeeper&) = delete;
  ConfigKeeper& operator=(const ConfigKeeper&) = delete;

  // Call once, first. Until peers have answered, or a bounded wait is over,
  // nothing is put in force.
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
  void OnPeerReplied(PeerCallId call,
                     const std::variant<PeerReply, PeerFailure>& result,
                     TimePoint now,
                     ControlActions& actions);
  void Advance(TimePoint now, ControlActions& actions);

  DocumentReply OnDocumentRequest(const DocumentRequest& request) const;
  std::uint64_t manifest_number() const { return version_.number; }
  const ConfigVersion& version() const { return version_; }
  ConfigReport GetReport() const;

 private:
  // A version that somebody holds and this daemon does not.
  struct Candidate {
    TimePoint first_seen;
    std::string first_source;
    std::set<ConfigSource> sources;
    // The manifest itself, when it has already come.
    std::string manifest_body;
    // It stalled; others go first until then.
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
    TimePoint deadline;
  };

  // What platform and peers say.
  void ApplyInstances(const std::string& body, ControlActions& actions);
  void OnListAnswered(bool is_reached, TimePoint now);
  // Puts the next call to the platform off, longer with each failure.
  void BackOff(TimePoint now);
  void OnWatchEnded(const std::optional<PlatformValue>& value,
                    bool is_reached,
                    TimePoint now,
                    ControlActions& actions);
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

  // Towards the best version that is known of.
  void EndStartIfDue(TimePoint now);
  void FetchNewerConfig(TimePoint now, ControlActions& actions);
  void StartBestCandidate(TimePoint now, ControlActions& actions);
  void BeginAssembly(const ConfigVersion& version,
                     const Candidate& candidate,
                     TimePoint now);
  // The sources that have answered before; else those that are not suspected;
  // else all. Who can be heard can't always be asked.
  std::vector<ConfigSource> GetReachable(
      const std::set<ConfigSource>& sources) const;
  void RequestDocuments(TimePoint now, ControlActions& actions);
  void CompleteAssembly(TimePoint now, ControlActions& actions);
  std::optional<FleetConfig> BuildConfig(const Assembly& assembly,
                                         ControlActions& actions);
  void GiveUpStalledAssembly(TimePoint now);

  // Exchange with others.
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
  void ReportConflict(const ConfigVersion& other,
                      const ConfigSource& source,
                      ControlActions& actions);
  // Logs the event once for each configuration in force.
  void ReportOnce(LogEvent event, ControlActions& actions);
  std::chrono::milliseconds Draw(std::chrono::milliseconds shortest,
                                 std::chrono::milliseconds longest);

  const Identity identity_;
  std::mt19937_64 random_;
  Membership membership_;

  // In force.
  ConfigVersion version_;
  Manifest manifest_;
  DocumentBodies bodies_;
  FleetConfigPtr config_;
  std::deque<ConfigArrival> arrivals_;

  // On the way.
  std::map<ConfigVersion, Candidate> candidates_;
  std::optional<Assembly> assembly_;
  // What a stalled assembly had gathered.
  DocumentBodies reusable_bodies_;
  // A publication with a document that can't be read.
  std::optional<ConfigVersion> refused_version_;
  std::set<std::string> reported_events_;

  // Calls.
  PeerCallId last_call_ = 0;
  std::unordered_map<PeerCallId, PeerCall> calls_;
  TimePoint next_probe_;
  bool is_starting_ = true;
  TimePoint start_until_;
  bool is_awaiting_instances_ = false;
  TimePoint next_instances_;

  // Platform.
  std::string instances_body_;
  // Whether the platform has ever answered for the list, with one or without.
  bool is_list_answered_ = false;
  bool is_list_open_ = false;
  TimePoint list_deadline_;
  bool is_watching_ = false;
  bool is_platform_reached_ = true;
  bool is_watch_open_ = false;
  TimePoint watch_deadline_;
  TimePoint watch_began_;
  TimePoint next_watch_;
  TimePoint next_cold_read_;
  std::uint32_t watch_failures_ = 0;
  std::uint32_t empty_watches_ = 0;
  std::uint64_t platform_revision_ = 0;
  double read_tokens_ = 0;
  TimePoint tokens_updated_;
  std::map<std::string, TimePoint> open_reads_;
};

}  // namespace vanillafall

#endif  // CONTROL_CONFIG_KEEPER_H_
