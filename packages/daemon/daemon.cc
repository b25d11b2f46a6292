#include "daemon/daemon.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

#include "daemon/config_page.h"
#include "daemon/operator_pages.h"

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kBadRequest = 400;
constexpr int kAccepted = 202;
constexpr int kUnavailable = 503;

// Set in the ids of peer calls that the control thread makes, so that their
// replies are passed to it and not to the engine thread.
constexpr PeerCallId kControlBit = PeerCallId{1} << 62;

// Returns a random number from the operating system, for incarnations and for
// the seeds of random number generators.
std::uint64_t DrawRandomNumber() {
  std::random_device device;
  std::uniform_int_distribution<std::uint64_t> distribution;
  return distribution(device);
}

Engine::Identity EngineIdentity(const Settings& settings, const Clock& clock) {
  const auto started_at =
      duration_cast<milliseconds>(clock.wall_now().time_since_epoch());
  return {settings.peer_address, settings.data_centre, DrawRandomNumber(),
          DrawRandomNumber(), started_at};
}

ConfigManager::Identity ConfigManagerIdentity(const Settings& settings) {
  return {settings.peer_address,
          settings.instance,
          settings.data_centre,
          settings.seeds,
          !settings.platform_address.empty(),
          DrawRandomNumber(),
          DrawRandomNumber()};
}

CallerServer::Options CallerOptions(const Settings& settings) {
  const Limits& limits = settings.limits;
  return {settings.caller_address, limits.max_header_bytes,
          limits.max_body_bytes, limits.max_connections, limits.send_timeout};
}

// Returns how long the caller waits for its answer according to the header
// kTimeLeftHeader, but at most max_time; max_time when the header is missing or
// is not a positive number.
milliseconds ParseTimeLeft(const HttpRequest& request, milliseconds max_time) {
  const std::string_view text = FindHeader(request.headers, kTimeLeftHeader);
  std::int64_t given = 0;
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), given);
  const bool is_given =
      failure == std::errc() && given > 0 && end == text.data() + text.size();
  return is_given ? std::min(max_time, milliseconds(given)) : max_time;
}

// The two enums have the same values in the same order.
BackendEnd ToBackendEnd(BackendClient::End end) {
  return static_cast<BackendEnd>(end);
}

// True when the request is handled by the control thread instead of the engine
// thread.
bool IsForControl(const PeerRequest& request) {
  return std::holds_alternative<ConfigProbe>(request) ||
         std::holds_alternative<DocumentRequest>(request);
}

}  // namespace

Daemon::Daemon(const Settings& settings, const Clock& clock)
    : settings_(settings),
      clock_(clock),
      history_(clock),
      metrics_(settings.limits.max_customers_measured),
      engine_thread_(EngineIdentity(settings, clock),
                     settings.limits,
                     clock,
                     *this),
      control_thread_(ConfigManagerIdentity(settings), clock, *this),
      backend_(settings.limits.max_answer_bytes, *this),
      peers_(settings.peer_listen_address, *this),
      platform_(settings.platform_address, *this),
      callers_(CallerOptions(settings), clock, *this),
      operators_(settings.operator_address, *this) {}

Daemon::~Daemon() {
  Stop();
}

std::optional<Error> Daemon::Start() {
  engine_thread_.Start();
  backend_.Start();
  if (auto error = peers_.Start()) {
    return error;
  }
  if (auto error = operators_.Start()) {
    return error;
  }
  platform_.Start();
  control_thread_.Start();
  if (auto error = callers_.Start()) {
    return error;
  }
  Report({LogEventId::kDaemonStarted, settings_.instance,
          "callers " + settings_.caller_address + ", peers " +
              settings_.peer_address + ", operators " +
              settings_.operator_address});
  return std::nullopt;
}

void Daemon::BeginDrain() {
  is_draining_ = true;
  engine_thread_.PushBlocking(DrainChanged{"", true});
  callers_.StopAccepting();
}

bool Daemon::IsDrained() {
  std::size_t unfinished = 0;
  const bool is_answered =
      engine_thread_.RunQuery([&unfinished](const Engine& engine, TimePoint) {
        unfinished = engine.unfinished_count();
      });
  return is_answered && unfinished == 0 && callers_.open_request_count() == 0;
}

void Daemon::Stop() {
  callers_.Stop();
  operators_.Stop();
  control_thread_.Stop();
  platform_.Stop();
  peers_.Stop();
  backend_.Stop();
  engine_thread_.Stop();
}

bool Daemon::OnCallerRequest(RequestId id, HttpRequest request) {
  const milliseconds time_left =
      ParseTimeLeft(request, settings_.limits.request_timeout);
  {
    const std::lock_guard lock(arrivals_mutex_);
    arrivals_[id] = {clock_.now()};
  }
  if (engine_thread_.Push(CallerRequest{id, std::move(request), time_left})) {
    return true;
  }
  TakeArrival(id);
  metrics_.CountRefusal(Reason::kOverloaded);
  return false;
}

void Daemon::OnCallerRefused(Reason reason) {
  metrics_.CountRefusal(reason);
  history_.Add({LogEventId::kRequestRefused, "caller", ToString(reason)});
}

void Daemon::OnBackendResult(BackendClient::Result result) {
  engine_thread_.PushBlocking(BackendReplied{
      result.id, ToBackendEnd(result.end), std::move(result.response)});
}

bool Daemon::OnPeerRequest(PeerCallId call, PeerRequest request) {
  PeerAsked incoming{call, std::move(request)};
  return IsForControl(incoming.request)
             ? control_thread_.Push(std::move(incoming))
             : engine_thread_.Push(std::move(incoming));
}

void Daemon::OnPeerResult(PeerCallId call, PeerNode::Result result) {
  if ((call & kControlBit) != 0) {
    control_thread_.Push(PeerReplied{call & ~kControlBit, std::move(result)});
    return;
  }
  engine_thread_.PushBlocking(PeerReplied{call, std::move(result)});
}

void Daemon::OnMalformedMessage() {
  history_.Add({LogEventId::kMalformedPeerMessage, "peer", ""});
}

void Daemon::OnPlatformValue(const std::string& name,
                             std::optional<PlatformClient::Value> value,
                             bool is_reached) {
  ControlThread::PlatformAnswer answer{name, std::nullopt, is_reached};
  if (value) {
    answer.value = PlatformValue{value->revision, std::move(value->body)};
  }
  control_thread_.Push(std::move(answer));
}

OperatorServer::Page Daemon::OnOperatorQuery(const std::string& path,
                                             const std::string& subject) {
  OperatorServer::Page page;
  if (path == "/metrics") {
    return MakeMetricsPage();
  }
  if (path == "/events") {
    return MakeEventsPage(history_, settings_);
  }
  const bool is_answered =
      engine_thread_.RunQuery([&](const Engine& engine, TimePoint now) {
        if (path == "/status") {
          page = MakeStatusPage(engine, settings_, now);
        } else if (path == "/config") {
          page = MakeConfigPage(control_thread_.GetReport(), engine.config(),
                                settings_, now);
        } else if (path == "/explain") {
          page = MakeExplainPage(engine, subject, now);
        }
      });
  if (!is_answered) {
    page.status = kUnavailable;
  }
  return page;
}

OperatorServer::Page Daemon::OnOperatorCommand(const std::string& path,
                                               const std::string& subject) {
  const bool is_drain = path == "/drain";
  if (!is_drain && path != "/undrain") {
    return {};
  }
  if (subject.empty()) {
    return {kBadRequest, "text/plain", "name a backend server as subject\n"};
  }
  engine_thread_.PushBlocking(DrainChanged{subject, is_drain});
  return {kAccepted, "text/plain", "accepted\n"};
}

void Daemon::Execute(Action action) {
  if (auto* answer = std::get_if<AnswerCaller>(&action)) {
    SendCallerAnswer(std::move(*answer));
  } else if (auto* ask = std::get_if<AskPeer>(&action)) {
    SendPeerRequest(std::move(*ask));
  } else if (auto* reply = std::get_if<ReplyPeer>(&action)) {
    peers_.SendReply(reply->call, std::move(reply->reply));
  } else if (auto* call = std::get_if<CallBackend>(&action)) {
    SendBackendCall(std::move(*call));
  } else if (auto* cancel = std::get_if<CancelBackend>(&action)) {
    backend_.Cancel(cancel->call);
  } else {
    history_.Add(std::get<LogEvent>(action));
  }
}

void Daemon::SendCallerAnswer(AnswerCaller answer) {
  const std::optional<Arrival> arrival = TakeArrival(answer.id);
  const Duration latency =
      arrival ? clock_.now() - arrival->time : Duration::zero();
  metrics_.CountAnswer({answer.service, answer.request_class, answer.customer},
                       answer.outcome, answer.reason,
                       duration_cast<microseconds>(latency));
  if (answer.outcome == Outcome::kUnknown) {
    history_.Add(
        {LogEventId::kRequestUnknown, answer.service, ToString(answer.reason)});
  }
  callers_.SendAnswer(
      answer.id, {answer.outcome, answer.reason, std::move(answer.response)});
}

void Daemon::SendPeerRequest(AskPeer ask) {
  const PeerCallId call = ask.call;
  if (!peers_.SendRequest(call, std::move(ask.peer), std::move(ask.request),
                          ask.timeout)) {
    history_.Add({LogEventId::kRingFull, "peers", ""});
    engine_thread_.Push(PeerReplied{call, PeerFailure::kNotSent});
  }
}

void Daemon::SendBackendCall(CallBackend call) {
  const BackendCallId id = call.call;
  if (!backend_.Send({id, std::move(call.address), std::move(call.request),
                      call.timeout})) {
    history_.Add({LogEventId::kRingFull, "backend", ""});
    engine_thread_.Push(BackendReplied{id, BackendEnd::kNotConnected, {}});
  }
}

void Daemon::ExecuteControl(ControlAction action) {
  if (auto* read = std::get_if<ReadPlatform>(&action)) {
    platform_.Read(std::move(read->name));
  } else if (auto* watch = std::get_if<WatchPlatform>(&action)) {
    platform_.Watch(std::move(watch->name), watch->after, watch->wait);
  } else if (auto* ask = std::get_if<AskPeer>(&action)) {
    peers_.SendRequest(ask->call | kControlBit, std::move(ask->peer),
                       std::move(ask->request), ask->timeout);
  } else if (auto* put = std::get_if<PutInForce>(&action)) {
    engine_thread_.PushBlocking(ConfigChanged{std::move(put->config)});
  } else if (auto* up_to_date = std::get_if<PeerUpToDate>(&action)) {
    engine_thread_.Push(std::move(*up_to_date));
  } else {
    history_.Add(std::get<LogEvent>(action));
  }
}

void Daemon::SendControlReply(PeerCallId call, PeerReply reply) {
  peers_.SendReply(call, std::move(reply));
}

OperatorServer::Page Daemon::MakeMetricsPage() {
  Metrics::Gauges gauges;
  engine_thread_.RunQuery([&gauges](const Engine& engine, TimePoint) {
    gauges.manifest_number = engine.manifest_number();
    gauges.keys = engine.key_count();
    gauges.unfinished = engine.unfinished_count();
  });
  const PeerNode::Traffic traffic = peers_.GetTraffic();
  gauges.control_messages = traffic.control_messages;
  gauges.control_bytes = traffic.control_bytes;
  gauges.platform_calls = platform_.call_count();
  constexpr int kOk = 200;
  return {kOk, "text/plain; version=0.0.4", metrics_.Render(gauges)};
}

std::optional<Daemon::Arrival> Daemon::TakeArrival(RequestId id) {
  const std::lock_guard lock(arrivals_mutex_);
  const auto node = arrivals_.extract(id);
  if (node.empty()) {
    return std::nullopt;
  }
  return node.mapped();
}

}  // namespace vanillafall
