#include "control/config_manager.h"

#include <algorithm>
#include <utility>

#include "config/document.h"
#include "config/instance_list.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Calls to other daemons.
constexpr milliseconds kMinProbePeriod{900};
constexpr milliseconds kMaxProbePeriod{1100};
constexpr milliseconds kProbeTimeout{1000};
constexpr milliseconds kDocumentTimeout{2000};
// A call that has not ended this long after its timeout was lost inside this
// daemon and is given up.
constexpr milliseconds kLostCallMargin{1000};
// When a manifest has not arrived within this time, it is requested from
// another source as well.
constexpr milliseconds kHedgeDelay{300};
// Peers that are probed at once when a configuration has been put in force.
constexpr std::size_t kPushFanout = 4;
constexpr std::size_t kMaxInFlight = 8;

// Start.
constexpr milliseconds kStartWait{2000};
constexpr std::size_t kStartFanout = 4;
// The first read of the platform is delayed by up to this time, so that a fleet
// that starts all at once does not read it all at once.
constexpr milliseconds kMaxFirstReadDelay{1500};
// Time until a daemon that has no configuration and is not a watcher reads the
// platform itself.
constexpr milliseconds kMinColdWait{30'000};
constexpr milliseconds kMaxColdWait{60'000};

// Assemblies.
// An assembly without progress for this time is given up: the first limit
// applies when a newer version is available, the second when any other is.
constexpr milliseconds kStallTimeoutWithNewer{2500};
constexpr milliseconds kStallTimeout{5000};
constexpr std::size_t kMaxCandidates = 4;
constexpr std::size_t kMaxSourcesPerCandidate = 16;

// Platform.
// Each watch waits for a random time, so that watches don't all end together.
constexpr milliseconds kMinWatchWait{15'000};
constexpr milliseconds kMaxWatchWait{20'000};
constexpr milliseconds kLostWatchMargin{5000};
constexpr milliseconds kMinWatchPeriod{100};
// When a watch ends empty before this time, the platform did not wait for a
// change, and the next watch is delayed as after a failure.
constexpr milliseconds kShortWatch{1000};
constexpr milliseconds kMinBackoff{500};
constexpr std::uint32_t kMaxBackoffDoublings = 3;
// Whenever this many watches have ended empty, the manifest is read whatever
// its revision, in case the platform has restarted its count of revisions.
constexpr std::uint32_t kEmptyWatchesPerFullRead = 6;
// Limits of reading documents from the platform: the first two for a watcher,
// the other two for a daemon that does not watch (cold reads).
constexpr double kReadsPerSecond = 70;
constexpr double kMaxReadBurst = 10;
constexpr double kColdReadsPerSecond = 3;
constexpr double kMaxColdReadBurst = 2;
constexpr milliseconds kReadTimeout{5000};
constexpr milliseconds kMinInstancesPeriod{240'000};
constexpr milliseconds kMaxInstancesPeriod{360'000};

// Reports and log events.
constexpr std::size_t kMaxArrivals = 64;
constexpr std::size_t kMaxReportedEvents = 256;
constexpr std::size_t kShownDigestDigits = 8;

std::string ToText(const ConfigSource& source) {
  return source.empty() ? "platform" : source;
}

std::string ToText(const ConfigVersion& version) {
  return std::to_string(version.number) + "-" +
         version.digest.ToHex().substr(0, kShownDigestDigits);
}

}  // namespace

ConfigManager::ConfigManager(Identity identity)
    : identity_(std::move(identity)),
      random_(identity_.seed),
      membership_(identity_.self, identity_.data_centre) {
  membership_.LearnSeeds(identity_.seeds);
}

void ConfigManager::Start(TimePoint now, ControlActions& actions) {
  start_until_ = now + kStartWait;
  next_probe_ = now + Draw(milliseconds(0), kMaxProbePeriod);
  next_cold_read_ = now + Draw(kMinColdWait, kMaxColdWait);
  next_instances_ = now + Draw(kMinInstancesPeriod, kMaxInstancesPeriod);
  tokens_updated_ = now;
  read_tokens_ = kMaxReadBurst;
  for (const PeerAddress& peer : membership_.Choose(kStartFanout, random_)) {
    Probe(peer, now, actions);
  }
  if (identity_.has_platform) {
    is_awaiting_instances_ = true;
    next_instances_ = now + Draw(milliseconds(0), kMaxFirstReadDelay);
  }
  EndStartIfDue(now);
}

void ConfigManager::OnPlatformValue(const std::string& name,
                                    const std::optional<PlatformValue>& value,
                                    bool is_reached,
                                    TimePoint now,
                                    ControlActions& actions) {
  UpdatePlatformReached(is_reached, name, actions);
  if (name == kManifestName) {
    OnWatchEnded(value, is_reached, now, actions);
  } else if (name == kInstancesName) {
    if (value) {
      ApplyInstances(value->body, actions);
    }
    OnListReadEnded(is_reached, now);
    if (is_starting_ && is_awaiting_instances_) {
      for (const PeerAddress& peer :
           membership_.Choose(kStartFanout, random_)) {
        Probe(peer, now, actions);
      }
    }
    is_awaiting_instances_ = false;
  } else {
    open_reads_.erase(name);
    OnDocument(name,
               value ? std::optional<std::string>(value->body) : std::nullopt,
               kFromPlatform, now, actions);
  }
  EndStartIfDue(now);
  FetchNewerConfig(now, actions);
}

ConfigProbeReply ConfigManager::OnProbe(const ConfigProbe& probe,
                                        TimePoint now,
                                        ControlActions& actions) {
  if (membership_.OnProbe(probe, now)) {
    OnVersion(probe.version, probe.sender, now, actions);
    if (probe.version <= version_ && version_.number != 0) {
      actions.emplace_back(PeerUpToDate{probe.sender});
    }
    FetchNewerConfig(now, actions);
  }
  return {version_, identity_.incarnation, identity_.data_centre,
          identity_.has_platform && (is_platform_reached_ || !is_watching_)};
}

void ConfigManager::OnPeerReplied(
    PeerCallId call,
    const std::variant<PeerReply, PeerFailure>& result,
    TimePoint now,
    ControlActions& actions) {
  const auto node = calls_.extract(call);
  if (node.empty()) {
    return;
  }
  const PeerCall& done = node.mapped();
  const auto* reply = std::get_if<PeerReply>(&result);
  const auto* probe =
      reply == nullptr ? nullptr : std::get_if<ConfigProbeReply>(reply);
  const auto* document =
      reply == nullptr ? nullptr : std::get_if<DocumentReply>(reply);
  if (done.kind == CallKind::kProbe && probe != nullptr) {
    OnProbeReplied(done.peer, *probe, now, actions);
  } else if (done.kind != CallKind::kProbe && document != nullptr) {
    OnDocumentReplied(done, *document, now, actions);
  } else {
    OnCallFailed(done);
  }
  EndStartIfDue(now);
  FetchNewerConfig(now, actions);
}

void ConfigManager::Advance(TimePoint now, ControlActions& actions) {
  GiveUpLostCalls(now);
  EndStartIfDue(now);
  GiveUpStalledAssembly(now);
  ProbeEachPeriod(now, actions);
  WatchIfDue(now, actions);
  RefreshInstancesIfDue(now, actions);
  FetchNewerConfig(now, actions);
}

DocumentReply ConfigManager::OnDocumentRequest(
    const DocumentRequest& request) const {
  if (request.name == kInstancesName) {
    return instances_body_.empty() ? DocumentReply{}
                                   : DocumentReply{instances_body_};
  }
  const auto held = bodies_.find(request.name);
  const bool is_any = request.digest == Hash128{};
  if (held != bodies_.end() &&
      (is_any || DigestOf(*held->second) == request.digest)) {
    return {*held->second};
  }
  if (assembly_ && !is_any) {
    const auto received = assembly_->bodies().find(request.name);
    if (received != assembly_->bodies().end() &&
        DigestOf(*received->second) == request.digest) {
      return {*received->second};
    }
  }
  return {};
}

ConfigReport ConfigManager::GetReport() const {
  ConfigReport report;
  report.version = version_;
  report.newest = version_;
  if (!candidates_.empty() && candidates_.rbegin()->first > version_) {
    const auto& [version, candidate] = *candidates_.rbegin();
    report.newest = version;
    report.newest_source = candidate.first_source;
    report.lagging_since = candidates_.begin()->second.first_seen;
  }
  if (assembly_) {
    report.missing = assembly_->GetMissing();
  }
  report.is_starting = is_starting_;
  report.is_watching = is_watching_;
  report.is_platform_reached = is_platform_reached_;
  report.members = membership_.GetCounts();
  report.arrivals = {arrivals_.begin(), arrivals_.end()};
  return report;
}

void ConfigManager::ApplyInstances(const std::string& body,
                                   ControlActions& actions) {
  const auto instances = DecodeInstances(body);
  if (!instances) {
    ReportOnce({LogEventId::kConfigDamaged, kInstancesName,
                "the list of instances can't be read"},
               actions);
    return;
  }
  instances_body_ = body;
  membership_.LearnInstances(*instances);
}

void ConfigManager::OnListReadEnded(bool is_reached, TimePoint now) {
  is_list_read_open_ = false;
  if (!is_reached) {
    BackOff(now);
    return;
  }
  if (!is_list_read_answered_) {
    is_list_read_answered_ = true;
    next_cold_read_ = now + Draw(kMinColdWait, kMaxColdWait);
    next_watch_ = now;
  }
}

void ConfigManager::BackOff(TimePoint now) {
  const milliseconds longest =
      kMinBackoff * (1U << std::min(watch_failures_, kMaxBackoffDoublings));
  next_watch_ = now + Draw(longest / 2, longest);
  ++watch_failures_;
}

void ConfigManager::OnWatchEnded(const std::optional<PlatformValue>& value,
                                 bool is_reached,
                                 TimePoint now,
                                 ControlActions& actions) {
  is_watch_open_ = false;
  const bool did_wait = now - watch_began_ >= kShortWatch;
  if (value) {
    watch_failures_ = 0;
    empty_watches_ = 0;
    platform_revision_ = value->revision;
    next_watch_ = now + kMinWatchPeriod;
    OnManifest(value->body, kFromPlatform, now, actions);
    return;
  }
  if (is_reached && did_wait) {
    watch_failures_ = 0;
    next_watch_ = now;
    if (++empty_watches_ % kEmptyWatchesPerFullRead == 0) {
      platform_revision_ = 0;
    }
    return;
  }
  BackOff(now);
}

void ConfigManager::OnVersion(const ConfigVersion& version,
                              const ConfigSource& source,
                              TimePoint now,
                              ControlActions& actions) {
  ReportConflict(version, source, actions);
  if (version <= version_ || refused_version_ == version) {
    return;
  }
  const auto [found, is_new] = candidates_.try_emplace(version);
  Candidate& candidate = found->second;
  if (is_new) {
    candidate.first_seen = now;
    candidate.first_source = ToText(source);
  }
  if (candidate.sources.size() < kMaxSourcesPerCandidate) {
    candidate.sources.insert(source);
  }
  if (assembly_ && assembly_->version() == version &&
      (source == kFromPlatform || membership_.IsReached(source) ||
       !assembly_->HasSources())) {
    assembly_->AddSource(source);
  }
  if (candidates_.size() > kMaxCandidates) {
    const auto first = candidates_.begin();
    const bool is_in_progress =
        assembly_ && assembly_->version() == first->first;
    candidates_.erase(is_in_progress ? std::next(first) : first);
  }
}

void ConfigManager::OnManifest(const std::string& body,
                               const ConfigSource& source,
                               TimePoint now,
                               ControlActions& actions) {
  const std::optional<Manifest> manifest = DecodeManifest(body);
  if (!manifest) {
    ReportOnce({LogEventId::kConfigDamaged, ToText(source),
                "the manifest can't be read"},
               actions);
    return;
  }
  const ConfigVersion version{manifest->number, DigestOf(body)};
  if (version.number < version_.number) {
    ReportOnce({LogEventId::kConfigRefusedOlder, ToText(source),
                ToText(version) + " is older than " + ToText(version_)},
               actions);
  }
  OnVersion(version, source, now, actions);
  const auto candidate = candidates_.find(version);
  if (candidate != candidates_.end()) {
    candidate->second.manifest_body = body;
  }
}

void ConfigManager::OnProbeReplied(const PeerAddress& peer,
                                   const ConfigProbeReply& reply,
                                   TimePoint now,
                                   ControlActions& actions) {
  membership_.OnReply(peer, reply, now);
  OnVersion(reply.version, peer, now, actions);
  if (reply.version <= version_ && version_.number != 0) {
    actions.emplace_back(PeerUpToDate{peer});
  }
}

void ConfigManager::OnDocumentReplied(const PeerCall& call,
                                      const DocumentReply& reply,
                                      TimePoint now,
                                      ControlActions& actions) {
  if (call.kind == CallKind::kInstances) {
    if (reply.body) {
      ApplyInstances(*reply.body, actions);
    }
    return;
  }
  if (call.kind == CallKind::kDocument) {
    OnDocument(call.document, reply.body, call.peer, now, actions);
    return;
  }
  if (reply.body && DigestOf(*reply.body) == call.version.digest) {
    OnManifest(*reply.body, call.peer, now, actions);
    return;
  }
  if (reply.body) {
    ReportOnce({LogEventId::kConfigDamaged, call.peer,
                "the manifest's digest differs from the requested one"},
               actions);
  }
  // The peer holds another version by now, or its copy is damaged. Probe it to
  // learn which version it holds.
  OnCallFailed(call);
  Probe(call.peer, now, actions);
}

void ConfigManager::OnCallFailed(const PeerCall& call) {
  if (call.kind == CallKind::kProbe) {
    membership_.OnFailure(call.peer);
  } else if (call.kind == CallKind::kManifest) {
    const auto candidate = candidates_.find(call.version);
    if (candidate != candidates_.end()) {
      candidate->second.sources.erase(call.peer);
    }
  } else if (call.kind == CallKind::kDocument && assembly_) {
    assembly_->OnFetchFailed(call.document, call.peer);
    assembly_->RemoveSource(call.peer);
  }
}

void ConfigManager::OnDocument(const std::string& name,
                               const std::optional<std::string>& body,
                               const ConfigSource& source,
                               TimePoint now,
                               ControlActions& actions) {
  if (!assembly_) {
    return;
  }
  const Assembly::AddResult added =
      body ? assembly_->AddDocument(name, *body, now)
           : Assembly::AddResult::kDamaged;
  if (added != Assembly::AddResult::kDamaged) {
    return;
  }
  assembly_->OnFetchFailed(name, source);
  // A peer that does not hold this digest sends a reply without a body, which
  // is normal. The platform is not queried by digest, so a missing value is
  // reported.
  if (body || source == kFromPlatform) {
    ReportOnce({LogEventId::kConfigDamaged, name,
                (body ? "the digest differs from the manifest's; sent by "
                      : "the document is missing; requested from ") +
                    ToText(source)},
               actions);
  }
}

void ConfigManager::EndStartIfDue(TimePoint now) {
  if (!is_starting_) {
    return;
  }
  const bool have_calls_ended =
      !is_awaiting_instances_ &&
      std::none_of(calls_.begin(), calls_.end(), [](const auto& each) {
        return each.second.kind == CallKind::kProbe;
      });
  if (have_calls_ended || now >= start_until_) {
    is_starting_ = false;
    next_watch_ = now;
  }
}

void ConfigManager::FetchNewerConfig(TimePoint now, ControlActions& actions) {
  if (is_starting_) {
    return;
  }
  // After one assembly completes, another candidate may follow at once.
  while (true) {
    if (!assembly_) {
      StartBestCandidate(now, actions);
    }
    if (!assembly_) {
      return;
    }
    if (!assembly_->IsComplete()) {
      RequestDocuments(now, actions);
      return;
    }
    CompleteAssembly(now, actions);
  }
}

void ConfigManager::StartBestCandidate(TimePoint now, ControlActions& actions) {
  std::erase_if(candidates_, [this](const auto& each) {
    return each.first <= version_ ||
           (each.second.sources.empty() && each.second.manifest_body.empty());
  });
  for (auto each = candidates_.rbegin(); each != candidates_.rend(); ++each) {
    const ConfigVersion& version = each->first;
    const Candidate& candidate = each->second;
    if (candidate.not_before > now) {
      continue;
    }
    if (!candidate.manifest_body.empty()) {
      BeginAssembly(version, candidate, now);
      return;
    }
    const bool is_requested =
        std::any_of(calls_.begin(), calls_.end(), [&](const auto& call) {
          return call.second.kind == CallKind::kManifest &&
                 call.second.version == version &&
                 call.second.deadline - now >
                     kDocumentTimeout + kLostCallMargin - kHedgeDelay;
        });
    if (!is_requested) {
      const std::vector<ConfigSource> sources = GetReachable(candidate.sources);
      std::vector<ConfigSource> source;
      std::sample(sources.begin(), sources.end(), std::back_inserter(source), 1,
                  random_);
      RequestDocument({CallKind::kManifest, source.front(), kManifestName,
                       version, now + kDocumentTimeout + kLostCallMargin},
                      version.digest, actions);
    }
    return;
  }
}

void ConfigManager::BeginAssembly(const ConfigVersion& version,
                                  const Candidate& candidate,
                                  TimePoint now) {
  // OnManifest has decoded this manifest before, so decoding does not fail.
  Manifest manifest =
      DecodeManifest(candidate.manifest_body).value_or(Manifest{});
  assembly_.emplace(version, std::move(manifest), candidate.manifest_body, now);
  assembly_->Reuse(bodies_);
  assembly_->Reuse(reusable_bodies_);
  reusable_bodies_.clear();
  for (const ConfigSource& source : GetReachable(candidate.sources)) {
    assembly_->AddSource(source);
  }
  if (is_watching_ && candidate.sources.empty()) {
    assembly_->AddSource(kFromPlatform);
  }
}

std::vector<ConfigSource> ConfigManager::GetReachable(
    const std::set<ConfigSource>& sources) const {
  std::vector<ConfigSource> reached;
  std::vector<ConfigSource> others;
  for (const ConfigSource& source : sources) {
    if (source == kFromPlatform || membership_.IsReached(source)) {
      reached.push_back(source);
    } else if (!membership_.IsSuspected(source)) {
      others.push_back(source);
    }
  }
  if (!reached.empty()) {
    return reached;
  }
  return others.empty() ? std::vector(sources.begin(), sources.end()) : others;
}

void ConfigManager::RequestDocuments(TimePoint now, ControlActions& actions) {
  const std::chrono::duration<double> passed = now - tokens_updated_;
  tokens_updated_ = now;
  const double rate = is_watching_ ? kReadsPerSecond : kColdReadsPerSecond;
  const double burst = is_watching_ ? kMaxReadBurst : kMaxColdReadBurst;
  read_tokens_ = std::min(burst, read_tokens_ + passed.count() * rate);
  for (const Assembly::Fetch& fetch :
       assembly_->NextFetches(kMaxInFlight, now, random_)) {
    if (fetch.source != kFromPlatform) {
      RequestDocument(
          {CallKind::kDocument, fetch.source, fetch.name, assembly_->version(),
           now + kDocumentTimeout + kLostCallMargin},
          fetch.digest, actions);
    } else if (read_tokens_ >= 1 && !open_reads_.contains(fetch.name)) {
      read_tokens_ -= 1;
      open_reads_[fetch.name] = now + kReadTimeout;
      actions.emplace_back(ReadPlatform{fetch.name});
    } else {
      assembly_->CancelFetch(fetch.name);
    }
  }
}

void ConfigManager::CompleteAssembly(TimePoint now, ControlActions& actions) {
  const Assembly completed = std::move(*assembly_);
  assembly_.reset();
  std::optional<FleetConfig> config = BuildConfig(completed, actions);
  if (!config) {
    refused_version_ = completed.version();
    candidates_.erase(completed.version());
    return;
  }
  const auto candidate = candidates_.find(completed.version());
  const std::string source =
      candidate == candidates_.end() ? "" : candidate->second.first_source;
  const TimePoint first_seen =
      candidate == candidates_.end() ? now : candidate->second.first_seen;
  version_ = completed.version();
  manifest_ = completed.manifest();
  bodies_ = completed.bodies();
  bodies_[kManifestName] =
      std::make_shared<const std::string>(completed.manifest_body());
  config_ = std::make_shared<FleetConfig>(std::move(*config));
  membership_.LearnOwners(*config_);
  candidates_.erase(candidates_.begin(), candidates_.upper_bound(version_));
  reported_events_.clear();
  arrivals_.push_back({version_, source, first_seen, now});
  if (arrivals_.size() > kMaxArrivals) {
    arrivals_.pop_front();
  }
  actions.emplace_back(
      LogEvent{LogEventId::kConfigInForce, ToText(version_), "from " + source});
  actions.emplace_back(PutInForce{config_});
  for (const PeerAddress& peer : membership_.Choose(kPushFanout, random_)) {
    Probe(peer, now, actions);
  }
}

std::optional<FleetConfig> ConfigManager::BuildConfig(const Assembly& assembly,
                                                      ControlActions& actions) {
  FleetConfig config;
  config.manifest_number = assembly.version().number;
  std::map<std::string_view, const ManifestEntry*> held;
  for (const ManifestEntry& entry : manifest_.entries) {
    held[entry.service] = &entry;
  }
  for (const ManifestEntry& entry : assembly.manifest().entries) {
    const auto before = held.find(entry.service);
    if (before != held.end() && before->second->digest == entry.digest) {
      config.services[entry.service] = config_->services.at(entry.service);
      continue;
    }
    std::string body;
    for (const DocumentPart& part : PartsOf(entry)) {
      body += *assembly.bodies().at(part.name);
    }
    std::optional<ServiceConfig> service = DecodeService(body);
    if (!service || DigestOf(body) != entry.digest ||
        service->name != entry.service || service->number != entry.number) {
      ReportOnce(
          {LogEventId::kConfigDamaged, ServiceDocumentName(entry.service),
           "the document can't be read or differs from its manifest entry; "
           "version " +
               ToText(assembly.version()) + " is refused"},
          actions);
      return std::nullopt;
    }
    config.services[entry.service] = std::move(*service);
  }
  return config;
}

void ConfigManager::GiveUpStalledAssembly(TimePoint now) {
  if (!assembly_) {
    return;
  }
  const auto can_replace = [this, now](const auto& each) {
    return each.first != assembly_->version() && each.first > version_ &&
           each.second.not_before <= now;
  };
  const bool has_other =
      std::any_of(candidates_.begin(), candidates_.end(), can_replace);
  const bool has_newer =
      std::any_of(candidates_.upper_bound(assembly_->version()),
                  candidates_.end(), can_replace);
  const Duration stalled = now - assembly_->last_progress();
  if (!(has_newer && stalled > kStallTimeoutWithNewer) &&
      !(has_other && stalled > kStallTimeout)) {
    return;
  }
  const auto candidate = candidates_.find(assembly_->version());
  if (candidate != candidates_.end()) {
    candidate->second.not_before = now + kStallTimeout;
  }
  reusable_bodies_ = assembly_->bodies();
  assembly_.reset();
}

void ConfigManager::Probe(const PeerAddress& peer,
                          TimePoint now,
                          ControlActions& actions) {
  const PeerCallId call = ++last_call_;
  calls_[call] = {
      CallKind::kProbe, peer, {}, {}, now + kProbeTimeout + kLostCallMargin};
  actions.emplace_back(
      AskPeer{call, peer,
              ConfigProbe{version_, identity_.self, identity_.incarnation,
                          identity_.data_centre},
              kProbeTimeout});
}

void ConfigManager::ProbeEachPeriod(TimePoint now, ControlActions& actions) {
  if (now < next_probe_) {
    return;
  }
  next_probe_ = now + Draw(kMinProbePeriod, kMaxProbePeriod);
  membership_.Expire(now);
  std::set<PeerAddress> peers;
  for (PeerAddress& peer : membership_.Choose(1, random_)) {
    peers.insert(std::move(peer));
  }
  for (PeerAddress& peer : membership_.GetMonitored(random_)) {
    peers.insert(std::move(peer));
  }
  PeerAddress co_owner = membership_.ChooseUnreachedCoOwner(random_);
  if (!co_owner.empty()) {
    peers.insert(std::move(co_owner));
  }
  for (const PeerAddress& peer : peers) {
    Probe(peer, now, actions);
  }
}

void ConfigManager::RequestDocument(PeerCall call,
                                    const Hash128& digest,
                                    ControlActions& actions) {
  const PeerCallId id = ++last_call_;
  actions.emplace_back(AskPeer{
      id, call.peer, DocumentRequest{call.document, digest}, kDocumentTimeout});
  calls_[id] = std::move(call);
}

void ConfigManager::GiveUpLostCalls(TimePoint now) {
  for (auto call = calls_.begin(); call != calls_.end();) {
    if (call->second.deadline > now) {
      ++call;
      continue;
    }
    const PeerCall lost = std::move(call->second);
    call = calls_.erase(call);
    OnCallFailed(lost);
  }
  for (auto read = open_reads_.begin(); read != open_reads_.end();) {
    if (read->second > now) {
      ++read;
      continue;
    }
    if (assembly_) {
      assembly_->OnFetchFailed(read->first, kFromPlatform);
    }
    read = open_reads_.erase(read);
  }
  if (is_list_read_open_ && now >= list_read_deadline_) {
    is_list_read_open_ = false;
  }
  if (is_watch_open_ && now >= watch_deadline_) {
    is_watch_open_ = false;
  }
}

void ConfigManager::WatchIfDue(TimePoint now, ControlActions& actions) {
  if (!identity_.has_platform || is_starting_) {
    return;
  }
  // A daemon that knows no other daemon would consider itself a watcher. When a
  // whole fleet has lost its configuration, the list of instances determines
  // who the watchers are.
  if (version_.number == 0 && !is_list_read_answered_) {
    if (!is_list_read_open_ && now >= next_watch_) {
      is_list_read_open_ = true;
      list_read_deadline_ = now + kReadTimeout;
      actions.emplace_back(ReadPlatform{kInstancesName});
    }
    return;
  }
  is_watching_ = membership_.ShouldWatch();
  if (is_watch_open_) {
    return;
  }
  const bool is_cold = version_.number == 0 && now >= next_cold_read_;
  if (is_watching_ ? now < next_watch_ : !is_cold) {
    return;
  }
  next_cold_read_ = now + Draw(kMinColdWait, kMaxColdWait);
  const milliseconds wait =
      is_watching_ ? Draw(kMinWatchWait, kMaxWatchWait) : milliseconds(0);
  is_watch_open_ = true;
  watch_began_ = now;
  watch_deadline_ = now + wait + kLostWatchMargin;
  actions.emplace_back(WatchPlatform{
      kManifestName, is_watching_ ? platform_revision_ : 0, wait});
}

void ConfigManager::RefreshInstancesIfDue(TimePoint now,
                                          ControlActions& actions) {
  if (now < next_instances_) {
    return;
  }
  next_instances_ = now + Draw(kMinInstancesPeriod, kMaxInstancesPeriod);
  if (is_watching_ || is_awaiting_instances_) {
    actions.emplace_back(ReadPlatform{kInstancesName});
    return;
  }
  for (const PeerAddress& peer : membership_.Choose(1, random_)) {
    RequestDocument({CallKind::kInstances,
                     peer,
                     kInstancesName,
                     {},
                     now + kDocumentTimeout + kLostCallMargin},
                    Hash128{}, actions);
  }
}

void ConfigManager::UpdatePlatformReached(bool is_reached,
                                          const std::string& name,
                                          ControlActions& actions) {
  if (is_reached == is_platform_reached_) {
    return;
  }
  is_platform_reached_ = is_reached;
  const LogEventId id = is_reached ? LogEventId::kPlatformReached
                                   : LogEventId::kPlatformUnreachable;
  actions.emplace_back(LogEvent{id, "platform", name});
}

void ConfigManager::ReportConflict(const ConfigVersion& other,
                                   const ConfigSource& source,
                                   ControlActions& actions) {
  if (other.number != version_.number || other.digest == version_.digest) {
    return;
  }
  const ConfigVersion& winner = std::max(other, version_);
  ReportOnce({LogEventId::kConfigConflict, std::to_string(other.number),
              ToText(version_) + " in force, " + ToText(other) + " from " +
                  ToText(source) + "; " + ToText(winner) + " takes precedence"},
             actions);
}

void ConfigManager::ReportOnce(LogEvent event, ControlActions& actions) {
  const std::string key = std::to_string(static_cast<int>(event.id)) + " " +
                          event.subject + " " + event.detail;
  if (reported_events_.size() < kMaxReportedEvents &&
      reported_events_.insert(key).second) {
    actions.emplace_back(std::move(event));
  }
}

milliseconds ConfigManager::Draw(milliseconds shortest, milliseconds longest) {
  std::uniform_int_distribution<milliseconds::rep> draw(shortest.count(),
                                                        longest.count());
  return milliseconds(draw(random_));
}

}  // namespace vanillafall
