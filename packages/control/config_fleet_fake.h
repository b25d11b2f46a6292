#ifndef CONTROL_CONFIG_FLEET_FAKE_H_
#define CONTROL_CONFIG_FLEET_FAKE_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "config/document.h"
#include "control/config_manager.h"

namespace vanillafall {

// All documents of one generated publication, including the manifest.
struct FakePublication {
  ConfigVersion version;
  std::map<std::string, std::string> documents;
  // Number of each service's document.
  std::map<std::string, std::uint64_t> numbers;
};

// Simulates many ConfigManagers, a platform and a network in one thread, with a
// simulated clock, for tests and measurements. Throws std::logic_error when a
// daemon puts an older version in force after a newer one, or a version that is
// incomplete, mixed from several publications, or was never published.
class ConfigFleetFake {
 public:
  using milliseconds = std::chrono::milliseconds;
  // Functions that return the encoded size of a message in bytes.
  using RequestSizer = std::function<std::size_t(const PeerRequest&)>;
  using ReplySizer = std::function<std::size_t(const PeerReply&)>;

  struct Options {
    std::size_t daemons = 10;
    std::size_t data_centres = 3;
    // The first daemons, whose addresses all daemons have in their settings.
    std::size_t seeds = 2;
    // Whether the platform holds a list of instances.
    bool has_instances = true;
    // Seed of the random numbers.
    std::uint64_t seed = 1;
    // Limits of the one-way latency of a message between daemons.
    milliseconds min_latency{1};
    milliseconds max_latency{3};
  };

  struct Node {
    std::unique_ptr<ConfigManager> manager;
    // Incremented when the daemon is started or killed. Events that were
    // scheduled for an earlier epoch are dropped.
    std::uint64_t epoch = 0;
    bool is_up = false;
    TimePoint paused_until;
    FleetConfigPtr config;
    // When `config` was put in force.
    TimePoint in_force;
    std::vector<LogEvent> events;
    // Number and size of the messages sent and received since the last
    // ResetTraffic.
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
  };

  explicit ConfigFleetFake(Options options)
      : options_(options), random_(options.seed), nodes_(options.daemons) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      addresses_[AddressOf(i)] = i;
    }
    if (options_.has_instances) {
      PutValue(kInstancesName, MakeInstances());
    }
  }
  ConfigFleetFake(const ConfigFleetFake&) = delete;
  ConfigFleetFake& operator=(const ConfigFleetFake&) = delete;

  // ---- Daemons ----

  static PeerAddress AddressOf(std::size_t i) {
    constexpr std::size_t kBlock = 250;
    return "10.0." + std::to_string(i / kBlock) + "." +
           std::to_string(i % kBlock) + ":7100";
  }
  std::string DataCentreOf(std::size_t i) const {
    return "dc-" + std::to_string(i % options_.data_centres);
  }
  void StartAll() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      StartNode(i);
    }
  }
  // Starts a daemon, or replaces it by one that has no state but its settings.
  void StartNode(std::size_t i) {
    Node& node = nodes_[i];
    ConfigManager::Identity identity;
    identity.self = AddressOf(i);
    identity.data_centre = DataCentreOf(i);
    identity.has_platform = true;
    identity.seed = random_();
    identity.incarnation = random_();
    for (std::size_t s = 0; s < options_.seeds; ++s) {
      identity.seeds.push_back(AddressOf(s));
    }
    node.manager = std::make_unique<ConfigManager>(identity);
    ++node.epoch;
    node.is_up = true;
    node.paused_until = {};
    node.config.reset();
    ControlActions actions;
    node.manager->Start(now_, actions);
    Execute(i, actions);
    Tick(i, node.epoch, milliseconds(Draw(1, kTickMs)));
  }
  void KillNode(std::size_t i) {
    nodes_[i].is_up = false;
    ++nodes_[i].epoch;
  }
  // Stops the daemon's execution for this time. The daemon keeps its state, and
  // events that were due meanwhile are handled when it resumes.
  void Pause(std::size_t i, Duration time) {
    nodes_[i].paused_until = now_ + time;
  }
  // Drops all messages in this direction.
  void BreakLink(std::size_t from, std::size_t to) {
    broken_links_.insert({from, to});
  }
  void RepairLinks() { broken_links_.clear(); }

  // ---- Platform ----

  // kStale: the platform serves the values that it held when this mode was set.
  enum class PlatformMode : std::uint8_t { kOk, kDown, kStale };
  void SetPlatform(PlatformMode mode, milliseconds delay) {
    if (mode == PlatformMode::kStale && mode_ != mode) {
      stale_values_ = values_;
    }
    mode_ = mode;
    platform_delay_ = delay;
    EndWatches();
  }
  void PutValue(const std::string& name, const std::string& body) {
    values_[name] = {++revision_, body};
    EndWatches();
  }
  void RemoveValue(const std::string& name) { values_.erase(name); }
  void Publish(const FakePublication& publication) {
    Register(publication);
    for (const auto& [name, body] : publication.documents) {
      if (name != kManifestName) {
        PutValue(name, body);
      }
    }
    PutValue(kManifestName, publication.documents.at(kManifestName));
  }
  // Lets the checks accept a publication, without publishing it.
  void Register(const FakePublication& publication) {
    published_[publication.version] = publication.numbers;
  }
  // Makes a publication from the one before, with new documents for the first
  // service and for the services in `changed`.
  FakePublication Make(std::uint64_t number,
                       const FakePublication& before,
                       const std::set<std::size_t>& changed,
                       std::size_t services = 12) {
    FakePublication made;
    Manifest manifest;
    manifest.number = number;
    for (std::size_t s = 0; s < services; ++s) {
      const std::string name = "service-" + std::to_string(s);
      const auto held = before.numbers.find(name);
      const bool is_changed =
          held == before.numbers.end() || s == 0 || changed.contains(s);
      ServiceConfig service = MakeService(s);
      service.number = held == before.numbers.end() ? 1
                       : is_changed                 ? held->second + 1
                                                    : held->second;
      std::string body =
          is_changed ? EncodeService(service)
                     : before.documents.at(ServiceDocumentName(service.name));
      manifest.entries.push_back(MakeManifestEntry(service, body));
      made.numbers[service.name] = service.number;
      made.documents[ServiceDocumentName(service.name)] = std::move(body);
    }
    std::string body = EncodeManifest(manifest);
    made.version = {number, DigestOf(body)};
    made.documents[kManifestName] = std::move(body);
    return made;
  }

  // ---- Time ----

  void Run(Duration time) {
    const TimePoint until = now_ + time;
    while (!events_.empty() && events_.top().time <= until) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      event.run();
    }
    now_ = until;
  }
  // Runs until all running daemons have the version in force. Returns the
  // simulated time this took, or more than `time_limit` if some daemon does
  // not have it in force by then.
  Duration RunUntilAll(const ConfigVersion& version, Duration time_limit) {
    const TimePoint begin = now_;
    while (now_ - begin <= time_limit && !AllHold(version)) {
      Run(milliseconds(10));
    }
    return now_ - begin;
  }
  bool AllHold(const ConfigVersion& version) const {
    return std::all_of(
        nodes_.begin(), nodes_.end(), [&version](const Node& node) {
          return !node.is_up || node.manager->version() == version;
        });
  }

  // ---- Observations ----

  TimePoint now() const { return now_; }
  std::vector<Node>& nodes() { return nodes_; }
  std::uint64_t platform_calls() const { return platform_calls_; }
  // Maximum number of platform calls within one second since the last call of
  // this method.
  std::uint64_t GetAndResetMaxCallsInSecond() {
    return std::exchange(max_calls_in_second_, 0);
  }
  std::size_t CountWatchers() const {
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [](const Node& node) {
          return node.is_up && node.manager->GetReport().is_watching;
        }));
  }
  std::size_t CountEvents(LogEventId id) const {
    std::size_t count = 0;
    for (const Node& node : nodes_) {
      count += static_cast<std::size_t>(std::count_if(
          node.events.begin(), node.events.end(),
          [id](const LogEvent& event) { return event.id == id; }));
    }
    return count;
  }
  // Messages count as 0 bytes unless this is called.
  void SetSizers(RequestSizer request, ReplySizer reply) {
    request_sizer_ = std::move(request);
    reply_sizer_ = std::move(reply);
  }
  void ResetTraffic() {
    for (Node& node : nodes_) {
      node.messages = 0;
      node.bytes = 0;
    }
  }

 private:
  static constexpr std::int64_t kTickMs = 100;
  static constexpr milliseconds kPlatformLatency{2};

  struct Event {
    TimePoint time;
    std::uint64_t sequence = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };
  struct Watch {
    std::size_t node = 0;
    std::uint64_t epoch = 0;
    std::string name;
    std::uint64_t after = 0;
    bool is_ended = false;
  };
  // An open call to a peer. It ends with its reply or its timeout, whichever
  // comes first.
  struct Pending {
    std::size_t node = 0;
    std::uint64_t epoch = 0;
    PeerCallId call = 0;
    bool is_ended = false;
  };

  std::int64_t Draw(std::int64_t lowest, std::int64_t highest) {
    return std::uniform_int_distribution<std::int64_t>(lowest,
                                                       highest)(random_);
  }
  milliseconds DrawLatency() {
    return milliseconds(
        Draw(options_.min_latency.count(), options_.max_latency.count()));
  }
  void Schedule(Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, ++sequence_, std::move(run)});
  }
  // Schedules for one epoch of the node. When the node is paused at that time,
  // `run` is called when it resumes.
  void ScheduleOnNode(std::size_t i,
                      std::uint64_t epoch,
                      Duration delay,
                      std::function<void()> run) {
    Schedule(delay, [this, i, epoch, run = std::move(run)] {
      Node& node = nodes_[i];
      if (node.epoch != epoch) {
        return;
      }
      if (node.paused_until > now_) {
        ScheduleOnNode(i, epoch, node.paused_until - now_, run);
        return;
      }
      run();
    });
  }
  void Tick(std::size_t i, std::uint64_t epoch, Duration delay) {
    ScheduleOnNode(i, epoch, delay, [this, i, epoch] {
      ControlActions actions;
      nodes_[i].manager->Advance(now_, actions);
      Execute(i, actions);
      Tick(i, epoch, milliseconds(kTickMs));
    });
  }

  ServiceConfig MakeService(std::size_t s) const {
    constexpr std::size_t kServers = 5;
    ServiceConfig service;
    service.name = "service-" + std::to_string(s);
    service.callers = {"*"};
    service.resend_window = std::chrono::minutes(15);
    service.routes = {{"/s" + std::to_string(s), "work", {"POST"}}};
    for (std::size_t k = 0; k < kServers; ++k) {
      const std::size_t owner = (s * kServers + k) % nodes_.size();
      service.backend_servers.push_back(
          {service.name + "-" + std::to_string(k),
           "10.9.0.1:" + std::to_string(s * kServers + k + 1), AddressOf(owner),
           DataCentreOf(owner), 3});
    }
    return service;
  }
  std::string MakeInstances() const {
    std::string list;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      list += (list.empty() ? "" : ",") +
              std::string(R"({"instance":"i","region":"r","state":"live",)") +
              R"("data_centre":")" + DataCentreOf(i) + R"(","peer_address":")" +
              AddressOf(i) + "\"}";
    }
    return "[" + list + "]";
  }

  void Execute(std::size_t i, ControlActions& actions) {
    for (ControlAction& action : actions) {
      if (const auto* ask = std::get_if<AskPeer>(&action)) {
        SendRequest(i, *ask);
      } else if (const auto* read = std::get_if<ReadPlatform>(&action)) {
        ExecuteRead(i, read->name);
      } else if (const auto* watch = std::get_if<WatchPlatform>(&action)) {
        ExecuteWatch(i, *watch);
      } else if (auto* put = std::get_if<PutInForce>(&action)) {
        CheckConfig(i, put->config);
      } else if (auto* event = std::get_if<LogEvent>(&action)) {
        nodes_[i].events.push_back(std::move(*event));
      }
    }
    actions.clear();
  }

  // Throws when the configuration must not be in force on this node.
  void CheckConfig(std::size_t i, const FleetConfigPtr& config) {
    Node& node = nodes_[i];
    const auto known = published_.find(node.manager->version());
    if (known == published_.end() ||
        known->first.number != config->manifest_number) {
      throw std::logic_error("a version in force that was never published");
    }
    if (node.config && config->manifest_number < node.config->manifest_number) {
      throw std::logic_error("an older version in force after a newer one");
    }
    if (config->services.size() != known->second.size()) {
      throw std::logic_error("an incomplete publication in force");
    }
    for (const auto& [name, number] : known->second) {
      if (config->services.at(name).number != number) {
        throw std::logic_error(
            "documents of different publications in force together");
      }
    }
    node.config = config;
    node.in_force = now_;
  }

  void Count(std::size_t i, std::size_t bytes) {
    ++nodes_[i].messages;
    nodes_[i].bytes += bytes;
  }

  void SendRequest(std::size_t from, const AskPeer& ask) {
    auto pending = std::make_shared<Pending>(
        Pending{from, nodes_[from].epoch, ask.call, false});
    const auto found = addresses_.find(ask.peer);
    if (found == addresses_.end() || !nodes_[found->second].is_up) {
      EndCall(pending, DrawLatency(), PeerFailure::kNotSent);
      return;
    }
    const std::size_t to = found->second;
    EndCall(pending, ask.timeout, PeerFailure::kLost);
    Count(from, request_sizer_ ? request_sizer_(ask.request) : 0);
    if (broken_links_.contains({from, to})) {
      return;
    }
    ScheduleOnNode(to, nodes_[to].epoch, DrawLatency(),
                   [this, pending, to, request = ask.request] {
                     DeliverRequest(to, request, pending);
                   });
  }
  void DeliverRequest(std::size_t to,
                      const PeerRequest& request,
                      const std::shared_ptr<Pending>& pending) {
    Node& node = nodes_[to];
    ControlActions actions;
    PeerReply reply;
    if (const auto* probe = std::get_if<ConfigProbe>(&request)) {
      reply = node.manager->OnProbe(*probe, now_, actions);
    } else {
      reply =
          node.manager->OnDocumentRequest(std::get<DocumentRequest>(request));
    }
    Count(to, request_sizer_ ? request_sizer_(request) : 0);
    Count(to, reply_sizer_ ? reply_sizer_(reply) : 0);
    Execute(to, actions);
    if (!broken_links_.contains({to, pending->node})) {
      EndCall(pending, DrawLatency(), std::move(reply));
    }
  }
  void EndCall(const std::shared_ptr<Pending>& pending,
               Duration delay,
               std::variant<PeerReply, PeerFailure> result) {
    ScheduleOnNode(pending->node, pending->epoch, delay,
                   [this, pending, result = std::move(result)] {
                     if (std::exchange(pending->is_ended, true)) {
                       return;
                     }
                     if (const auto* reply = std::get_if<PeerReply>(&result)) {
                       Count(pending->node,
                             reply_sizer_ ? reply_sizer_(*reply) : 0);
                     }
                     ControlActions actions;
                     nodes_[pending->node].manager->OnPeerReplied(
                         pending->call, result, now_, actions);
                     Execute(pending->node, actions);
                   });
  }

  void CountPlatformCall() {
    ++platform_calls_;
    if (now_ - second_began_ >= std::chrono::seconds(1)) {
      second_began_ = now_;
      calls_in_second_ = 0;
    }
    max_calls_in_second_ = std::max(max_calls_in_second_, ++calls_in_second_);
  }
  std::optional<PlatformValue> FindValue(const std::string& name,
                                         std::uint64_t after) const {
    const auto& values =
        mode_ == PlatformMode::kStale ? stale_values_ : values_;
    const auto found = values.find(name);
    if (mode_ == PlatformMode::kDown || found == values.end() ||
        found->second.revision <= after) {
      return std::nullopt;
    }
    return found->second;
  }
  void AnswerFromPlatform(std::size_t i,
                          std::uint64_t epoch,
                          const std::string& name,
                          const std::optional<PlatformValue>& value) {
    const bool is_reached = mode_ != PlatformMode::kDown;
    ScheduleOnNode(i, epoch, kPlatformLatency + platform_delay_,
                   [this, i, name, value, is_reached] {
                     ControlActions actions;
                     nodes_[i].manager->OnPlatformValue(name, value, is_reached,
                                                        now_, actions);
                     Execute(i, actions);
                   });
  }
  void ExecuteRead(std::size_t i, const std::string& name) {
    CountPlatformCall();
    AnswerFromPlatform(i, nodes_[i].epoch, name, FindValue(name, 0));
  }
  void ExecuteWatch(std::size_t i, const WatchPlatform& watch) {
    CountPlatformCall();
    auto open = std::make_shared<Watch>(
        Watch{i, nodes_[i].epoch, watch.name, watch.after, false});
    watches_.push_back(open);
    Schedule(watch.wait, [this, open] { EndWatch(*open); });
    EndWatches();
  }
  void EndWatches() {
    for (const auto& watch : watches_) {
      if (mode_ == PlatformMode::kDown ||
          FindValue(watch->name, watch->after)) {
        EndWatch(*watch);
      }
    }
    std::erase_if(watches_, [](const auto& watch) { return watch->is_ended; });
  }
  void EndWatch(Watch& watch) {
    if (!std::exchange(watch.is_ended, true)) {
      AnswerFromPlatform(watch.node, watch.epoch, watch.name,
                         FindValue(watch.name, watch.after));
    }
  }

  const Options options_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Node> nodes_;
  std::map<PeerAddress, std::size_t> addresses_;
  std::set<std::pair<std::size_t, std::size_t>> broken_links_;
  RequestSizer request_sizer_;
  ReplySizer reply_sizer_;

  PlatformMode mode_ = PlatformMode::kOk;
  milliseconds platform_delay_{0};
  std::map<std::string, PlatformValue> values_;
  std::map<std::string, PlatformValue> stale_values_;
  std::uint64_t revision_ = 0;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::uint64_t platform_calls_ = 0;
  std::uint64_t calls_in_second_ = 0;
  std::uint64_t max_calls_in_second_ = 0;
  TimePoint second_began_;
  // Service numbers of the publications that daemons may put in force.
  std::map<ConfigVersion, std::map<std::string, std::uint64_t>> published_;
};

}  // namespace vanillafall

#endif  // CONTROL_CONFIG_FLEET_FAKE_H_
