#include "control/config_keeper.h"

#include <algorithm>
#include <utility>

#include "config/document.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kProbePeriod{1000};
constexpr milliseconds kPeerTimeout{2000};
constexpr milliseconds kWatchWait{30'000};
constexpr milliseconds kLeastRetryDelay{500};
constexpr milliseconds kMostRetryDelay{2500};
constexpr milliseconds kAssemblyTimeout{5000};
constexpr std::size_t kPushFanout = 4;

}  // namespace

ConfigKeeper::ConfigKeeper(Identity identity)
    : identity_(std::move(identity)), random_(identity_.seed) {
  LearnPeers();
}

void ConfigKeeper::Start(TimePoint now, ControlActions& actions) {
  next_probe_ = now;
  if (identity_.has_platform) {
    WatchAgain(actions);
  }
}

void ConfigKeeper::OnPlatformValue(const std::string& name,
                                   const std::optional<PlatformValue>& value,
                                   bool is_reached,
                                   TimePoint now,
                                   ControlActions& actions) {
  if (is_reached != is_platform_reached_) {
    is_platform_reached_ = is_reached;
    const LogEventId id = is_reached ? LogEventId::kPlatformReached
                                     : LogEventId::kPlatformUnreachable;
    actions.emplace_back(LogEvent{id, "platform", name});
  }
  if (name != kManifestName) {
    if (value && assembly_ && assembly_->peer.empty()) {
      TakeDocument(name, value->body, now, actions);
    }
    return;
  }
  if (value) {
    platform_revision_ = value->revision;
    BeginAssembly({}, value->body, now, actions);
  }
  if (is_reached) {
    WatchAgain(actions);
    return;
  }
  std::uniform_int_distribution<std::int64_t> delay(kLeastRetryDelay.count(),
                                                    kMostRetryDelay.count());
  watch_at_ = now + milliseconds(delay(random_));
}

ConfigProbeReply ConfigKeeper::OnProbe(const ConfigProbe& probe,
                                       TimePoint /*now*/,
                                       ControlActions& actions) {
  if (probe.manifest_number > manifest_.number && !assembly_) {
    FetchManifestFrom(probe.sender, actions);
  }
  return {manifest_.number};
}

DocumentReply ConfigKeeper::OnDocumentRequest(
    const DocumentRequest& request) const {
  const auto found = bodies_.find(request.name);
  if (found == bodies_.end()) {
    return {};
  }
  return {found->second};
}

void ConfigKeeper::OnPeerReplied(
    PeerCallId call,
    const std::variant<PeerReply, PeerFailure>& result,
    TimePoint now,
    ControlActions& actions) {
  const auto node = calls_.extract(call);
  const auto* reply = std::get_if<PeerReply>(&result);
  if (node.empty() || reply == nullptr) {
    return;
  }
  const PeerCall& done = node.mapped();
  if (const auto* probe = std::get_if<ConfigProbeReply>(reply)) {
    if (probe->manifest_number > manifest_.number) {
      FetchManifestFrom(done.peer, actions);
    } else if (manifest_.number != 0) {
      actions.emplace_back(PeerUpToDate{done.peer});
    }
    return;
  }
  const auto* document = std::get_if<DocumentReply>(reply);
  if (document == nullptr || !document->body) {
    return;
  }
  if (done.document == kManifestName) {
    BeginAssembly(done.peer, *document->body, now, actions);
  } else {
    TakeDocument(done.document, *document->body, now, actions);
  }
}

void ConfigKeeper::Advance(TimePoint now, ControlActions& actions) {
  if (watch_at_ && *watch_at_ <= now) {
    watch_at_.reset();
    WatchAgain(actions);
  }
  if (assembly_ && now - assembly_->started > kAssemblyTimeout) {
    assembly_.reset();
  }
  if (now >= next_probe_) {
    next_probe_ = now + kProbePeriod;
    ProbeSome(1, actions);
  }
}

void ConfigKeeper::BeginAssembly(const PeerAddress& peer,
                                 const std::string& manifest_body,
                                 TimePoint now,
                                 ControlActions& actions) {
  const std::optional<Manifest> manifest = DecodeManifest(manifest_body);
  const std::string source = peer.empty() ? "platform" : peer;
  if (!manifest) {
    actions.emplace_back(LogEvent{LogEventId::kConfigDamaged, source,
                                  "the manifest can't be read"});
    return;
  }
  if (manifest->number < manifest_.number) {
    actions.emplace_back(LogEvent{LogEventId::kConfigRefusedOlder, source,
                                  "number " + std::to_string(manifest->number) +
                                      " after " +
                                      std::to_string(manifest_.number)});
  }
  const bool is_newer =
      manifest->number > manifest_.number &&
      (!assembly_ || manifest->number > assembly_->manifest.number);
  if (!is_newer) {
    return;
  }
  Assembly assembly;
  assembly.peer = peer;
  assembly.manifest = *manifest;
  assembly.manifest_body = manifest_body;
  assembly.started = now;
  for (const ManifestEntry& entry : manifest->entries) {
    const std::string name = ServiceDocumentName(entry.service);
    const auto held = bodies_.find(name);
    if (held != bodies_.end() && DigestOf(held->second) == entry.digest) {
      assembly.bodies[name] = held->second;
    } else {
      assembly.missing.insert(name);
    }
  }
  assembly_ = std::move(assembly);
  for (const std::string& name : assembly_->missing) {
    Fetch(peer, name, actions);
  }
  Complete(now, actions);
}

void ConfigKeeper::TakeDocument(const std::string& name,
                                const std::string& body,
                                TimePoint now,
                                ControlActions& actions) {
  if (!assembly_ || !assembly_->missing.contains(name)) {
    return;
  }
  const auto& entries = assembly_->manifest.entries;
  const auto entry = std::find_if(
      entries.begin(), entries.end(), [&name](const ManifestEntry& each) {
        return ServiceDocumentName(each.service) == name;
      });
  if (entry == entries.end() || DigestOf(body) != entry->digest) {
    actions.emplace_back(
        LogEvent{LogEventId::kConfigDamaged, name, "its digest differs"});
    return;
  }
  assembly_->missing.erase(name);
  assembly_->bodies[name] = body;
  Complete(now, actions);
}

void ConfigKeeper::Complete(TimePoint /*now*/, ControlActions& actions) {
  if (!assembly_->missing.empty()) {
    return;
  }
  Assembly whole = std::move(*assembly_);
  assembly_.reset();
  PutManifestInForce(std::move(whole), actions);
}

void ConfigKeeper::PutManifestInForce(Assembly assembly,
                                      ControlActions& actions) {
  auto config = std::make_shared<FleetConfig>();
  config->manifest_number = assembly.manifest.number;
  for (const auto& [name, body] : assembly.bodies) {
    const std::optional<ServiceConfig> service = DecodeService(body);
    if (!service) {
      actions.emplace_back(
          LogEvent{LogEventId::kConfigDamaged, name, "it can't be read"});
      return;
    }
    config->services[service->name] = *service;
  }
  manifest_ = std::move(assembly.manifest);
  bodies_ = std::move(assembly.bodies);
  bodies_[kManifestName] = std::move(assembly.manifest_body);
  LearnPeers();
  for (const auto& [name, service] : config->services) {
    for (const PeerAddress& owner : service.Owners()) {
      peers_.push_back(owner);
    }
  }
  std::sort(peers_.begin(), peers_.end());
  peers_.erase(std::unique(peers_.begin(), peers_.end()), peers_.end());
  std::erase(peers_, identity_.self);
  actions.emplace_back(
      LogEvent{LogEventId::kConfigInForce, std::to_string(manifest_.number),
               "from " + (assembly.peer.empty() ? "platform" : assembly.peer)});
  actions.emplace_back(PutInForce{std::move(config)});
  ProbeSome(kPushFanout, actions);
}

void ConfigKeeper::FetchManifestFrom(const PeerAddress& peer,
                                     ControlActions& actions) {
  Fetch(peer, kManifestName, actions);
}

void ConfigKeeper::Fetch(const PeerAddress& peer,
                         const std::string& name,
                         ControlActions& actions) {
  if (peer.empty()) {
    actions.emplace_back(ReadPlatform{name});
    return;
  }
  const PeerCallId call = ++last_call_;
  calls_[call] = {peer, name};
  actions.emplace_back(
      AskPeer{call, peer, DocumentRequest{name, 0}, kPeerTimeout});
}

void ConfigKeeper::Probe(const PeerAddress& peer, ControlActions& actions) {
  const PeerCallId call = ++last_call_;
  calls_[call] = {peer, {}};
  actions.emplace_back(AskPeer{
      call, peer, ConfigProbe{manifest_.number, identity_.self}, kPeerTimeout});
}

void ConfigKeeper::ProbeSome(std::size_t count, ControlActions& actions) {
  std::vector<PeerAddress> chosen;
  std::sample(peers_.begin(), peers_.end(), std::back_inserter(chosen), count,
              random_);
  for (const PeerAddress& peer : chosen) {
    Probe(peer, actions);
  }
}

void ConfigKeeper::WatchAgain(ControlActions& actions) {
  actions.emplace_back(
      WatchPlatform{kManifestName, platform_revision_, kWatchWait});
}

void ConfigKeeper::LearnPeers() {
  peers_ = identity_.seeds;
  std::erase(peers_, identity_.self);
}

}  // namespace vanillafall
