#include "proxy/proxy_daemon.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <exception>
#include <map>
#include <random>
#include <sstream>
#include <utility>

#include "daemon/log.h"
#include "daemon/metrics.h"
#include "dispatch/dispatcher.h"
#include "dispatch/server_roster.h"
#include "proxy/backend_pool.h"
#include "proxy/http_listener.h"
#include "proxy/log_budget.h"
#include "proxy/memory_account.h"
#include "proxy/peer_links.h"

namespace vanillafall {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

// Customers with a label of their own in the metrics. Each has at most four
// lines; the latency histograms do not distinguish customers.
constexpr std::size_t kMaxCustomers = 50;

// The pages that the daemon answers itself need no large bodies and few
// connections.
constexpr std::size_t kPageMemory = std::size_t{1024} * 1024;
constexpr std::size_t kMaxPageConnections = 32;

// How often the settings file is checked and dropped log lines are reported.
constexpr milliseconds kHousekeepingPeriod{1000};
constexpr milliseconds kDrainCheckPeriod{100};
// Shortest drain. Callers are sent elsewhere after two failed readiness probes,
// one second apart, and the stopping daemon serves them until then.
constexpr milliseconds kMinDrainTime{2600};
// The owner stops granting this long after the start of the drain, so that all
// granted work ends within the drain.
constexpr milliseconds kGrantCutoff{1200};
// Requests that are still open this long before the drain timeout, after which
// the process would be killed, are answered with what is known of them.
constexpr milliseconds kEndMargin{300};
// The process exits this long before the drain timeout.
constexpr milliseconds kStopMargin{200};
// The source may have stopped answering this long before that is noticed.
constexpr milliseconds kLossDetectionTime{3000};
// In the first part of the drain (1 / divisor) every request is taken, since
// callers do not know of the drain yet and most requests end in time.
constexpr int kOpenDrainDivisor = 2;

std::uint64_t DrawRandomNumber() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> distribution(1);
  return distribution(device);
}

// Memory that may be held for others: what the process itself and the buffers
// of its connections need is left out.
std::size_t MemoryForOthers(const ProxySettings& settings) {
  constexpr std::size_t kBytesPerMb = 1'000'000;
  constexpr std::size_t kOwnBytes = 32 * kBytesPerMb;
  const std::size_t memory = settings.memory_mb * kBytesPerMb;
  return memory - std::min(kOwnBytes, memory / 2);
}

// Connections of callers: bounded by the descriptors, of which a quarter is
// kept for links, the store and the backend server, and by the memory.
std::size_t MaxConnections(const ProxySettings& settings) {
  constexpr rlim_t kReserveDivisor = 4;
  constexpr rlim_t kMinReserve = 64;
  constexpr std::size_t kBytesPerConnection = std::size_t{32} * 1024;
  std::size_t most = MemoryForOthers(settings) / kBytesPerConnection;
  if (settings.max_connections > 0) {
    most = std::min<std::size_t>(most, settings.max_connections);
  }
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return most;
  }
  const rlim_t reserve =
      std::max(kMinReserve, limit.rlim_cur / kReserveDivisor);
  const rlim_t left =
      limit.rlim_cur > reserve ? limit.rlim_cur - reserve : rlim_t{1};
  return std::min<std::size_t>(most, left);
}

// Unix time at the epoch of the monotonic clock.
milliseconds UnixOffset(const Clock& clock) {
  return std::chrono::duration_cast<milliseconds>(
      clock.wall_now().time_since_epoch() - clock.now().time_since_epoch());
}

HttpResponse PlainPage(int status, std::string body) {
  return {status, {{"Content-Type", "text/plain"}}, std::move(body)};
}

}  // namespace

class ProxyDaemon::Impl final : private DispatchDelegate,
                                private HttpListener::Handler,
                                private PeerLinks::Handler,
                                private BackendPool::Handler,
                                private FleetSource::Listener {
 public:
  Impl(asio::io_context& loop,
       ProxySettings settings,
       const Clock& clock,
       const HttpDialect& dialect,
       FleetSource& source,
       ProxySettingsSource& settings_source)
      : loop_(loop),
        settings_(std::move(settings)),
        clock_(clock),
        dialect_(dialect),
        source_(source),
        settings_source_(settings_source),
        memory_(MemoryForOthers(settings_)),
        page_memory_(kPageMemory),
        log_budget_(settings_.log_lines_per_second),
        metrics_(kMaxCustomers),
        dispatcher_(
            {settings_.peer_address, settings_.data_centre,
             settings_.backend_address, DrawRandomNumber(), DrawRandomNumber(),
             UnixOffset(clock), settings_.limit_tolerance},
            *this),
        caller_listener_(loop,
                         settings_.caller_address,
                         clock,
                         memory_,
                         {settings_.min_read_rate, settings_.read_span,
                          MaxConnections(settings_)},
                         *this),
        readiness_page_(*this),
        readiness_listener_(loop,
                            settings_.readiness_address,
                            clock,
                            page_memory_,
                            {.max_connections = kMaxPageConnections},
                            readiness_page_),
        metrics_page_(*this),
        metrics_listener_(loop,
                          settings_.metrics_address,
                          clock,
                          page_memory_,
                          {.max_connections = kMaxPageConnections},
                          metrics_page_),
        peer_links_(loop, settings_.peer_address, clock, memory_, *this),
        backend_pool_(loop,
                      settings_.backend_address,
                      clock,
                      dialect,
                      memory_,
                      *this),
        signals_(loop, SIGTERM, SIGINT, SIGHUP),
        wake_timer_(loop),
        housekeeping_timer_(loop),
        drain_timer_(loop) {}

  std::optional<Error> Start();
  bool Run();

 private:
  // A caller's request that has not been answered yet.
  struct OpenRequest {
    TimePoint arrived;
    std::string request_id;
  };

  // Base class of the pages that the daemon itself answers immediately.
  class Page : public HttpListener::Handler {
   public:
    explicit Page(Impl& daemon) : daemon_(daemon) {}
    void OnCallerGone(RequestId /*id*/) override {}
    void OnRejected(Reason /*reason*/,
                    int /*status*/,
                    const std::string& /*detail*/) override {}
    CallerLimits GetLimits() const override { return {}; }

   protected:
    Impl& daemon_;
  };
  class ReadinessPage final : public Page {
   public:
    using Page::Page;
    void OnRequest(RequestId id,
                   HttpRequest request,
                   TimePoint /*first_byte_at*/) override {
      daemon_.OnReadinessProbe(id, request);
    }
  };
  class MetricsPage final : public Page {
   public:
    using Page::Page;
    void OnRequest(RequestId id,
                   HttpRequest /*request*/,
                   TimePoint /*first_byte_at*/) override {
      daemon_.OnMetricsRead(id);
    }
  };

  // DispatchDelegate.
  void AnswerCaller(CallerAnswer answer) override;
  void SendToOwner(const PeerAddress& owner, LinkMessage message) override;
  void SendToSomeDaemons(const LinkMessage& message) override;
  void ResetLink(const PeerAddress& owner) override;
  void ReplyTo(LinkId link, LinkMessage message) override;
  void CallBackend(BackendCall call) override;
  void CancelBackend(BackendCallId id) override;
  void RefreshServers(RefreshReason refresh_reason) override;
  void CheckSource() override;
  void CheckOwnServer() override;
  void OnConfigConfirmedElsewhere(const SourceRevision& revision) override;
  void OnConfigText(const ConfigText& config) override;
  ConfigText GetConfigText() override { return config_text_; }
  void Log(LogEvent event) override;
  // HttpListener::Handler.
  void OnRequest(RequestId id,
                 HttpRequest request,
                 TimePoint first_byte_at) override;
  void OnCallerGone(RequestId id) override;
  void OnRejected(Reason reason,
                  int status,
                  const std::string& detail) override;
  void OnCallerCut(CallerCut cut, std::size_t unread_bytes) override;
  CallerLimits GetLimits() const override;
  // PeerLinks::Handler.
  Hello MakeHello() override { return dispatcher_.MakeHello(); }
  void OnOwnerMessage(const PeerAddress& owner, LinkMessage message) override;
  void OnOwnerLinkLost(const PeerAddress& owner,
                       const std::string& detail) override;
  void OnEntryMessage(LinkId link, LinkMessage message) override;
  void OnEntryLinkLost(LinkId link) override;
  void OnRunWithoutMemory(LinkId link, const OfferId& id) override;
  void OnMalformedMessage(const std::string& peer) override;
  // BackendPool::Handler.
  void OnBackendEnd(BackendCallEnd end) override;
  // PeerLinks::Handler and BackendPool::Handler.
  void MakeRoom(std::size_t bytes) override {
    caller_listener_.MakeRoom(bytes);
  }
  // FleetSource::Listener.
  void OnConfig(ConfigText text,
                RouteTablePtr table,
                const std::string& origin) override;
  void OnConfigConfirmed(TimePoint as_of,
                         const SourceRevision& revision) override;
  void OnServers(std::vector<ListedServer> servers) override;
  void OnServerChanged(ListedServer server) override;
  void OnServerRemoved(const std::string& id,
                       const SourceRevision& revision) override;
  void OnSourceRestored() override;
  void OnReachabilityChanged(bool is_reached, TimePoint away_at) override;
  void OnSourceEvent(LogEvent event) override;

  void OnReadinessProbe(RequestId id, const HttpRequest& request);
  void OnMetricsRead(RequestId id);
  // The memory held for others and the callers that were cut, as metrics.
  std::string RenderMemory() const;
  bool IsReady() const;
  // Passes the roster's servers to the dispatcher if they have changed.
  void ApplyRoster();
  void LogRosterChange(const std::vector<ListedServer>& servers);
  // Sets the timer for the next wake-up that the dispatcher or the roster
  // needs.
  void ArmWakeTimer();
  void WaitForSignal();
  void OnSignal(int signal);
  void ReloadSettings(const std::string& cause);
  void RunHousekeeping();
  void BeginDrain();
  void CheckDrain();
  void StopAll();

  asio::io_context& loop_;
  ProxySettings settings_;
  const Clock& clock_;
  const HttpDialect& dialect_;
  FleetSource& source_;
  ProxySettingsSource& settings_source_;
  MemoryAccount memory_;
  MemoryAccount page_memory_;
  std::array<std::uint64_t, kCallerCuts> cut_counts_{};
  LogBudget log_budget_;
  Metrics metrics_;
  Dispatcher dispatcher_;
  HttpListener caller_listener_;
  ReadinessPage readiness_page_;
  HttpListener readiness_listener_;
  MetricsPage metrics_page_;
  HttpListener metrics_listener_;
  PeerLinks peer_links_;
  BackendPool backend_pool_;
  asio::signal_set signals_;
  asio::steady_timer wake_timer_;
  asio::steady_timer housekeeping_timer_;
  asio::steady_timer drain_timer_;
  // When the timer fires; max while it is not set.
  TimePoint next_wake_ = TimePoint::max();
  ConfigText config_text_;
  ServerRoster roster_;
  // Id of this instance's backend server; empty when none is listed.
  std::string watched_server_;
  // When the source was last found not to answer.
  TimePoint source_lost_at_;
  // The servers last passed to the dispatcher.
  std::vector<ListedServer> servers_;
  std::map<RequestId, OpenRequest> open_requests_;
  bool was_ready_ = false;
  std::optional<TimePoint> drain_began_;
  // When the requests that are still open are answered with what is known.
  TimePoint drain_end_;
  bool is_drain_timed_out_ = false;
  bool is_owner_stopping_ = false;
  bool is_drained_ = false;
};

std::optional<Error> ProxyDaemon::Impl::Start() {
  for (HttpListener* listener : {&readiness_listener_, &caller_listener_}) {
    if (auto error = listener->Start()) {
      return error;
    }
  }
  if (!settings_.metrics_address.empty()) {
    if (auto error = metrics_listener_.Start()) {
      return error;
    }
  }
  if (auto error = peer_links_.Start()) {
    return error;
  }
  source_.Start(*this);
  WaitForSignal();
  RunHousekeeping();
  Log({LogEventId::kDaemonStarted,
       settings_.instance,
       "",
       {{"version", VF_VERSION},
        {"data_centre", settings_.data_centre},
        {"service", settings_.service},
        {"callers", settings_.caller_address},
        {"peers", settings_.peer_address},
        {"backend_server", settings_.backend_address},
        {"platform", settings_.platform_address}}});
  return std::nullopt;
}

bool ProxyDaemon::Impl::Run() {
  while (true) {
    try {
      loop_.run();
      return is_drained_;
    } catch (const std::exception& error) {
      // One input that can't be handled, such as a message too large for the
      // memory, must not end the requests of all other callers.
      Log({LogEventId::kUnexpectedError, error.what(), ""});
    }
  }
}

void ProxyDaemon::Impl::AnswerCaller(CallerAnswer answer) {
  const auto node = open_requests_.extract(answer.id);
  if (node.empty()) {
    return;
  }
  const OpenRequest& open = node.mapped();
  metrics_.CountAnswer(
      {answer.service, answer.route, ""}, answer.outcome, answer.reason,
      duration_cast<microseconds>(clock_.now() - open.arrived));
  if (!answer.customer.empty()) {
    metrics_.CountCustomerAnswer(answer.customer, answer.outcome,
                                 answer.reason);
  }
  const RequestId id = answer.id;
  caller_listener_.Answer(
      id, dialect_.WriteCallerAnswer(open.request_id, std::move(answer)));
}

void ProxyDaemon::Impl::SendToOwner(const PeerAddress& owner,
                                    LinkMessage message) {
  peer_links_.SendToOwner(owner, message);
}

void ProxyDaemon::Impl::SendToSomeDaemons(const LinkMessage& message) {
  peer_links_.SendToSomeDaemons(message);
}

void ProxyDaemon::Impl::ResetLink(const PeerAddress& owner) {
  peer_links_.Reset(owner);
}

void ProxyDaemon::Impl::ReplyTo(LinkId link, LinkMessage message) {
  peer_links_.ReplyTo(link, message);
}

void ProxyDaemon::Impl::CallBackend(BackendCall call) {
  backend_pool_.Call(std::move(call));
}

void ProxyDaemon::Impl::CancelBackend(BackendCallId id) {
  backend_pool_.Cancel(id);
}

void ProxyDaemon::Impl::RefreshServers(RefreshReason refresh_reason) {
  source_.RefreshServers(refresh_reason);
}

void ProxyDaemon::Impl::CheckSource() {
  source_.Check();
}

void ProxyDaemon::Impl::OnConfigConfirmedElsewhere(
    const SourceRevision& revision) {
  source_.OnConfigConfirmedElsewhere(revision);
}

void ProxyDaemon::Impl::CheckOwnServer() {
  source_.CheckServer();
}

void ProxyDaemon::Impl::OnConfigText(const ConfigText& config) {
  // The dispatcher makes this call and must not be called back from within it,
  // so the configuration is applied in a later turn of the event loop.
  asio::post(loop_, [this, config] {
    // Several daemons may have sent it, and a large one takes long to decode.
    const RouteTablePtr& current = dispatcher_.table();
    if (current && config.version <= current->version()) {
      return;
    }
    if (const RouteTablePtr table = source_.ReadConfig(config)) {
      OnConfig(config, table, "another daemon");
    }
  });
}

void ProxyDaemon::Impl::Log(LogEvent event) {
  if (log_budget_.Admit(event, clock_.now())) {
    WriteLog(event);
  }
}

void ProxyDaemon::Impl::OnRequest(RequestId id,
                                  HttpRequest request,
                                  TimePoint first_byte_at) {
  const TimePoint now = clock_.now();
  EntryRequest entry =
      dialect_.ReadCallerRequest(std::move(request), settings_.service);
  entry.id = id;
  entry.age = duration_cast<milliseconds>(now - first_byte_at);
  open_requests_[id] = {first_byte_at, entry.request_id};
  dispatcher_.OnCallerRequest(std::move(entry), now);
  ArmWakeTimer();
}

void ProxyDaemon::Impl::OnCallerGone(RequestId id) {
  open_requests_.erase(id);
  dispatcher_.OnCallerGone(id, clock_.now());
  ArmWakeTimer();
}

void ProxyDaemon::Impl::OnRejected(Reason reason,
                                   int status,
                                   const std::string& detail) {
  metrics_.CountRefusal(reason);
  Log({LogEventId::kCallerRejected,
       ToString(reason),
       detail,
       {{"status", std::to_string(status)}}});
}

void ProxyDaemon::Impl::OnCallerCut(CallerCut cut, std::size_t unread_bytes) {
  ++cut_counts_[static_cast<std::size_t>(cut)];
  Log({LogEventId::kCallerCut,
       ToString(cut),
       "",
       {{"unread_bytes", std::to_string(unread_bytes)},
        {"held_bytes", std::to_string(memory_.held())},
        {"connections", std::to_string(caller_listener_.connection_count())}}});
}

CallerLimits ProxyDaemon::Impl::GetLimits() const {
  const RouteTablePtr& table = dispatcher_.table();
  return table ? table->limits() : CallerLimits{};
}

void ProxyDaemon::Impl::OnOwnerMessage(const PeerAddress& owner,
                                       LinkMessage message) {
  dispatcher_.OnOwnerMessage(owner, std::move(message), clock_.now());
  ArmWakeTimer();
}

void ProxyDaemon::Impl::OnOwnerLinkLost(const PeerAddress& owner,
                                        const std::string& detail) {
  Log({LogEventId::kOwnerLinkLost, owner, detail});
  dispatcher_.OnOwnerLinkLost(owner, clock_.now());
  ArmWakeTimer();
}

void ProxyDaemon::Impl::OnEntryMessage(LinkId link, LinkMessage message) {
  dispatcher_.OnEntryMessage(link, std::move(message), clock_.now());
  ArmWakeTimer();
}

void ProxyDaemon::Impl::OnEntryLinkLost(LinkId link) {
  dispatcher_.OnEntryLinkLost(link, clock_.now());
  ArmWakeTimer();
}

void ProxyDaemon::Impl::OnRunWithoutMemory(LinkId link, const OfferId& id) {
  dispatcher_.OnRunWithoutBody(link, id, clock_.now());
  ArmWakeTimer();
}

void ProxyDaemon::Impl::OnMalformedMessage(const std::string& peer) {
  Log({LogEventId::kMalformedPeerMessage, peer, ""});
}

void ProxyDaemon::Impl::OnBackendEnd(BackendCallEnd end) {
  dispatcher_.OnBackendEnd(std::move(end), clock_.now());
  ArmWakeTimer();
}

void ProxyDaemon::Impl::OnConfig(ConfigText text,
                                 RouteTablePtr table,
                                 const std::string& origin) {
  const RouteTablePtr& current = dispatcher_.table();
  if (current && table->version() <= current->version()) {
    return;
  }
  config_text_ = std::move(text);
  dispatcher_.OnConfig(table, origin, clock_.now());
  ArmWakeTimer();
}

void ProxyDaemon::Impl::OnConfigConfirmed(TimePoint as_of,
                                          const SourceRevision& revision) {
  dispatcher_.OnConfigConfirmed(as_of, revision, clock_.now());
  ArmWakeTimer();
}

void ProxyDaemon::Impl::OnServers(std::vector<ListedServer> servers) {
  roster_.OnList(servers, clock_.now());
  ApplyRoster();
}

void ProxyDaemon::Impl::OnServerChanged(ListedServer server) {
  const TimePoint now = clock_.now();
  roster_.UpdateServer(server, now);
  ApplyRoster();
  if (server.id == watched_server_) {
    dispatcher_.OnOwnServerConfirmed(now);
    ArmWakeTimer();
  }
}

void ProxyDaemon::Impl::OnServerRemoved(const std::string& id,
                                        const SourceRevision& revision) {
  roster_.RemoveServer(id, revision, clock_.now());
  ApplyRoster();
}

void ProxyDaemon::Impl::OnSourceRestored() {
  roster_.OnSourceRestored(clock_.now());
}

void ProxyDaemon::Impl::OnReachabilityChanged(bool is_reached,
                                              TimePoint away_at) {
  const TimePoint now = clock_.now();
  dispatcher_.SetSourceReachable(is_reached, now);
  ArmWakeTimer();
  if (!is_reached) {
    source_lost_at_ = now;
    roster_.OnSourceLost();
    Log({LogEventId::kPlatformUnreachable, settings_.platform_address, ""});
    return;
  }
  const bool served_others = dispatcher_.HasSourceAnsweredSince(
      source_lost_at_ - kLossDetectionTime, now);
  roster_.OnSourceReached(served_others, away_at, now);
  Log({LogEventId::kPlatformReached,
       settings_.platform_address,
       "",
       {{"served_others", served_others ? "yes" : "no"},
        {"config_age_ms", FormatAge(dispatcher_.ConfigAge(now))},
        {"away_ms_ago", FormatAge(now - away_at)}}});
}

void ProxyDaemon::Impl::ApplyRoster() {
  std::vector<ListedServer> servers = roster_.servers();
  ArmWakeTimer();
  if (dispatcher_.has_servers() && servers == servers_) {
    return;
  }
  LogRosterChange(servers);
  servers_ = std::move(servers);
  dispatcher_.OnServers(servers_, clock_.now());
  const auto& own = dispatcher_.own_server();
  const std::string own_id = own ? own->id : "";
  if (own_id != watched_server_) {
    watched_server_ = own_id;
    if (own) {
      // The list that names it may be seconds old; the source reads its entry.
      dispatcher_.HoldOffers(clock_.now());
    } else {
      dispatcher_.OnOwnServerConfirmed(clock_.now());
    }
  }
  source_.WatchServer(own_id);
  ArmWakeTimer();
}

void ProxyDaemon::Impl::LogRosterChange(
    const std::vector<ListedServer>& servers) {
  const auto count_missing = [](const std::vector<ListedServer>& from,
                                const std::vector<ListedServer>& in) {
    return std::count_if(
        from.begin(), from.end(), [&in](const ListedServer& server) {
          return std::none_of(in.begin(), in.end(),
                              [&server](const ListedServer& other) {
                                return other.id == server.id;
                              });
        });
  };
  const auto draining = std::count_if(
      servers.begin(), servers.end(),
      [](const ListedServer& server) { return server.is_draining; });
  Log({LogEventId::kServersListed,
       std::to_string(servers.size()),
       "",
       {{"added", std::to_string(count_missing(servers, servers_))},
        {"removed", std::to_string(count_missing(servers_, servers))},
        {"draining", std::to_string(draining)}}});
}

void ProxyDaemon::Impl::OnSourceEvent(LogEvent event) {
  Log(std::move(event));
}

bool ProxyDaemon::Impl::IsReady() const {
  return dispatcher_.table() != nullptr && dispatcher_.has_servers() &&
         !drain_began_;
}

void ProxyDaemon::Impl::OnReadinessProbe(RequestId id,
                                         const HttpRequest& request) {
  if (request.target != dialect_.ReadinessPath()) {
    readiness_listener_.Answer(id, PlainPage(kNotFound, ""));
    return;
  }
  const bool is_ready = IsReady();
  if (is_ready != was_ready_) {
    was_ready_ = is_ready;
    Log({LogEventId::kReadinessChanged,
         is_ready ? "ready" : "not ready",
         drain_began_ ? "draining" : "",
         {{"has_config", dispatcher_.table() ? "yes" : "no"},
          {"has_servers", dispatcher_.has_servers() ? "yes" : "no"}}});
  }
  readiness_listener_.Answer(id, PlainPage(is_ready ? kOk : kUnavailable, ""));
}

void ProxyDaemon::Impl::OnMetricsRead(RequestId id) {
  const PeerLinks::Traffic traffic = peer_links_.GetTraffic();
  Metrics::Gauges gauges;
  gauges.manifest_number =
      dispatcher_.table() ? dispatcher_.table()->version() : 0;
  gauges.unfinished = dispatcher_.unfinished_count();
  gauges.control_messages = traffic.messages_sent;
  gauges.control_bytes = traffic.bytes_sent;
  gauges.platform_calls = source_.call_count();
  gauges.config_age = dispatcher_.ConfigAge(clock_.now());
  gauges.newest_heard_version = dispatcher_.newest_heard_version();
  gauges.is_source_reachable = dispatcher_.is_source_reachable();
  metrics_listener_.Answer(
      id, PlainPage(kOk, metrics_.Render(gauges) + RenderMemory()));
}

std::string ProxyDaemon::Impl::RenderMemory() const {
  std::ostringstream out;
  out << "# TYPE vanillafall_held_bytes gauge\n";
  for (std::size_t i = 0; i < MemoryAccount::kStages; ++i) {
    out << "vanillafall_held_bytes{stage=\"" << MemoryAccount::kStageNames[i]
        << "\"} " << memory_.held(static_cast<MemoryAccount::Stage>(i)) << "\n";
  }
  out << "# TYPE vanillafall_held_bytes_limit gauge\n"
      << "vanillafall_held_bytes_limit " << memory_.limit() << "\n"
      << "# TYPE vanillafall_callers_cut_total counter\n";
  for (std::size_t i = 0; i < kCallerCuts; ++i) {
    out << "vanillafall_callers_cut_total{cause=\""
        << ToString(static_cast<CallerCut>(i)) << "\"} " << cut_counts_[i]
        << "\n";
  }
  return out.str();
}

void ProxyDaemon::Impl::ArmWakeTimer() {
  std::optional<TimePoint> next = dispatcher_.NextWake();
  if (const auto roster_wake = roster_.NextWake()) {
    next = next ? std::min(*next, *roster_wake) : *roster_wake;
  }
  if (!next || *next >= next_wake_) {
    return;
  }
  next_wake_ = *next;
  wake_timer_.expires_at(*next);
  wake_timer_.async_wait([this](error_code error) {
    if (error) {
      return;
    }
    next_wake_ = TimePoint::max();
    const std::optional<TimePoint> roster_wake = roster_.NextWake();
    if (roster_wake && *roster_wake <= clock_.now()) {
      roster_.Advance(clock_.now());
      ApplyRoster();
    }
    dispatcher_.Advance(clock_.now());
    ArmWakeTimer();
  });
}

void ProxyDaemon::Impl::WaitForSignal() {
  signals_.async_wait([this](error_code error, int signal) {
    if (error) {
      return;
    }
    OnSignal(signal);
    WaitForSignal();
  });
}

void ProxyDaemon::Impl::OnSignal(int signal) {
  if (signal == SIGHUP) {
    ReloadSettings("SIGHUP");
  } else if (drain_began_) {
    Log({LogEventId::kDaemonDrainAlreadyRunning, "", ""});
  } else {
    BeginDrain();
  }
}

void ProxyDaemon::Impl::ReloadSettings(const std::string& cause) {
  const std::optional<ProxySettings> fresh = settings_source_.Read();
  if (!fresh) {
    Log({LogEventId::kSettingsReloaded, cause,
         "unreadable or wrong; the former ones stay in force"});
    return;
  }
  const bool needs_restart =
      fresh->caller_address != settings_.caller_address ||
      fresh->peer_address != settings_.peer_address ||
      fresh->backend_address != settings_.backend_address ||
      fresh->platform_address != settings_.platform_address ||
      fresh->data_centre != settings_.data_centre;
  settings_.service = fresh->service;
  settings_.drain_timeout = fresh->drain_timeout;
  settings_.log_lines_per_second = fresh->log_lines_per_second;
  log_budget_.SetRate(fresh->log_lines_per_second);
  Log({LogEventId::kSettingsReloaded,
       cause,
       needs_restart ? "changed addresses need a restart" : "in force",
       {{"service", settings_.service},
        {"drain_ms", std::to_string(settings_.drain_timeout.count())}}});
}

void ProxyDaemon::Impl::RunHousekeeping() {
  if (const std::uint64_t dropped = log_budget_.TakeDroppedCount()) {
    WriteLog({LogEventId::kLogLinesDropped, std::to_string(dropped), ""});
  }
  if (settings_source_.HasChanged()) {
    ReloadSettings("the file has changed");
  }
  housekeeping_timer_.expires_after(kHousekeepingPeriod);
  housekeeping_timer_.async_wait([this](error_code error) {
    if (!error) {
      RunHousekeeping();
    }
  });
}

void ProxyDaemon::Impl::BeginDrain() {
  drain_began_ = clock_.now();
  Log({LogEventId::kDaemonDrainStarted,
       settings_.instance,
       "",
       {{"unfinished", std::to_string(dispatcher_.unfinished_count())}}});
  caller_listener_.BeginStop();
  const Duration time = settings_.drain_timeout;
  drain_end_ = *drain_began_ + time - kEndMargin;
  dispatcher_.BeginDrain(*drain_began_ + time / kOpenDrainDivisor, drain_end_);
  CheckDrain();
}

void ProxyDaemon::Impl::CheckDrain() {
  const TimePoint now = clock_.now();
  const Duration elapsed = now - *drain_began_;
  if (elapsed >= kGrantCutoff && !is_owner_stopping_) {
    is_owner_stopping_ = true;
    dispatcher_.StopOwner();
  }
  const bool is_idle =
      dispatcher_.unfinished_count() == 0 && caller_listener_.busy_count() == 0;
  const bool is_over = now >= drain_end_;
  if (is_idle && (is_over || elapsed >= kMinDrainTime)) {
    is_drained_ = !is_drain_timed_out_;
    StopAll();
    return;
  }
  if (is_over && !is_drain_timed_out_) {
    is_drain_timed_out_ = true;
    dispatcher_.EndRequests(now);
  }
  // Until then the last answers are sent.
  if (now >= drain_end_ + (kEndMargin - kStopMargin)) {
    StopAll();
    return;
  }
  drain_timer_.expires_after(kDrainCheckPeriod);
  drain_timer_.async_wait([this](error_code error) {
    if (!error) {
      CheckDrain();
    }
  });
}

void ProxyDaemon::Impl::StopAll() {
  Log({LogEventId::kDaemonStopped, settings_.instance,
       is_drained_ ? "drained" : "drain timed out"});
  signals_.cancel();
  wake_timer_.cancel();
  housekeeping_timer_.cancel();
  source_.Stop();
  readiness_listener_.Stop();
  metrics_listener_.Stop();
  caller_listener_.Stop();
  peer_links_.Stop();
  backend_pool_.Stop();
  loop_.stop();
}

ProxyDaemon::ProxyDaemon(asio::io_context& loop,
                         ProxySettings settings,
                         const Clock& clock,
                         const HttpDialect& dialect,
                         FleetSource& source,
                         ProxySettingsSource& settings_source)
    : impl_(std::make_unique<Impl>(loop,
                                   std::move(settings),
                                   clock,
                                   dialect,
                                   source,
                                   settings_source)) {}

ProxyDaemon::~ProxyDaemon() = default;

std::optional<Error> ProxyDaemon::Start() {
  return impl_->Start();
}

bool ProxyDaemon::Run() {
  return impl_->Run();
}

}  // namespace vanillafall
