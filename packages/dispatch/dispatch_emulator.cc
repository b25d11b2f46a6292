#include "dispatch/dispatch_emulator.h"

#include <algorithm>
#include <functional>
#include <set>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// One-way latency between daemons in the same data centre and in different
// ones.
constexpr microseconds kSameDataCentreLatency{200};
constexpr microseconds kOtherDataCentreLatency{1500};
// Time until a failing server answers, without doing the work.
constexpr milliseconds kFastFailure{1};
constexpr int kOk = 200;
constexpr int kError = 500;

}  // namespace

// One daemon and the backend server on the same instance.
class DispatchEmulator::Node final : public DispatchDelegate {
 public:
  Node(DispatchEmulator& fleet, int index)
      : fleet_(fleet),
        index_(index),
        data_centre_("dc" + std::to_string(index % fleet.load_.data_centres)) {}

  static PeerAddress Address(int index) {
    return "10.0.0." + std::to_string(index) + ":7100";
  }
  static std::string Backend(int index) {
    return "10.0.0." + std::to_string(index) + ":8080";
  }
  ListedServer MakeListedServer() const {
    ListedServer server;
    server.id = "s" + std::to_string(index_);
    server.service = "desk";
    server.address = Backend(index_);
    server.owner = Address(index_);
    server.data_centre = data_centre_;
    server.slots = fleet_.load_.slots;
    server.revision.number = 1;
    return server;
  }

  // Starts a process of the daemon that knows nothing but the configuration
  // and the list of servers.
  void Start() {
    ++starts_;
    started_at_ = fleet_.now_;
    scheduled_at_ = TimePoint::max();
    dispatcher_ = std::make_unique<Dispatcher>(
        Dispatcher::Identity{Address(index_), data_centre_, Backend(index_),
                             OwnLink(), fleet_.load_.seed * 1000 + index_},
        *this);
    dispatcher_->OnConfig(fleet_.table_, "", fleet_.now_);
    dispatcher_->OnServers(fleet_.servers_, fleet_.now_);
  }
  // Ends the process. Its requests are answered with what is known of them, its
  // calls to the backend server are lost, and the links to it break.
  void Stop() {
    dispatcher_->EndRequests(fleet_.now_);
    dispatcher_.reset();
    open_calls_.clear();
    greeted_.clear();
    for (const auto& other : fleet_.nodes_) {
      if (other.get() != this) {
        NotifyLinkLost(*other);
        fleet_.At(fleet_.now_ + LatencyTo(*other),
                  [to = other.get(), link = OwnLink()] {
                    if (to->is_up()) {
                      to->dispatcher().OnEntryLinkLost(link, to->fleet_.now_);
                      to->ScheduleAdvance();
                    }
                  });
      }
    }
  }
  bool is_up() const { return dispatcher_ != nullptr; }
  Dispatcher& dispatcher() { return *dispatcher_; }
  int index() const { return index_; }
  bool IsCut() const {
    const Load& load = fleet_.load_;
    return index_ >= load.servers - load.cut_servers && index_ < load.servers &&
           fleet_.IsBetween(load.cut_from, load.cut_until);
  }
  // Whether the backend server has been sound for kFloorWindow.
  bool IsSound() const {
    const Load& load = fleet_.load_;
    const bool was_cut =
        index_ >= load.servers - load.cut_servers &&
        fleet_.IsBetween(load.cut_from,
                         load.cut_until + kSoundAfter + kFloorWindow);
    const bool was_failing =
        index_ < load.failing_servers &&
        fleet_.IsBetween(load.failing_from,
                         load.failing_until + kSoundAfter + kFloorWindow);
    const bool was_restarted =
        starts_ > 1 && started_at_ + kSoundAfter + kFloorWindow >= fleet_.now_;
    return is_up() && !was_cut && !was_failing && !was_restarted &&
           last_failure_at_ + kSoundAfterPhase + kFloorWindow < fleet_.now_;
  }
  bool HasRunRecently() const {
    return !open_calls_.empty() || last_run_at_ + kFloorWindow >= fleet_.now_;
  }

  // Schedules the dispatcher's next Advance, unless one is scheduled before it.
  void ScheduleAdvance() {
    const auto next = dispatcher_->NextWake();
    if (!next || *next >= scheduled_at_) {
      return;
    }
    scheduled_at_ = *next;
    fleet_.At(*next, [this, at = *next, process = starts_] {
      if (!is_up() || process != starts_) {
        return;
      }
      if (scheduled_at_ == at) {
        scheduled_at_ = TimePoint::max();
      }
      dispatcher_->Advance(fleet_.now_);
      ScheduleAdvance();
    });
  }

  void AnswerCaller(CallerAnswer answer) override { fleet_.OnAnswer(answer); }
  void SendToOwner(const PeerAddress& owner, LinkMessage message) override {
    Node* to = fleet_.FindOwner(owner);
    ++fleet_.outcomes_.messages;
    if (IsCut() || to->IsCut()) {
      return;
    }
    if (!to->is_up()) {
      to->NotifyLinkLost(*this);
      return;
    }
    Greet(*to);
    Deliver(*to, [this, to, link = OwnLink(), message = std::move(message)] {
      to->dispatcher_->OnEntryMessage(link, message, fleet_.now_);
    });
  }
  void SendToSomeDaemons(const LinkMessage& /*message*/) override {}
  void CheckSource() override {}
  void CheckOwnServer() override {}
  void OnConfigConfirmedElsewhere(const SourceRevision& /*revision*/) override {
  }
  void ResetLink(const PeerAddress& /*owner*/) override {}
  void ReplyTo(LinkId link, LinkMessage message) override {
    const auto daemons = static_cast<LinkId>(fleet_.DaemonCount());
    Node* to = fleet_.nodes_[(link - 1) % daemons].get();
    ++fleet_.outcomes_.messages;
    if (IsCut() || to->IsCut() || !to->is_up() || to->OwnLink() != link) {
      return;
    }
    Deliver(*to, [this, to, message = std::move(message)] {
      to->dispatcher_->OnOwnerMessage(Address(index_), message, fleet_.now_);
    });
  }
  void CallBackend(BackendCall call) override {
    const RequestId request = std::stoull(call.request_id);
    fleet_.OnRun(request);
    last_run_at_ = fleet_.now_;
    const Load& load = fleet_.load_;
    const bool is_failing_phase =
        (index_ < load.failing_servers &&
         fleet_.IsBetween(load.failing_from, load.failing_until)) ||
        IsInRandomFailingPhase();
    const bool fails_at_once =
        is_failing_phase &&
        std::bernoulli_distribution(load.failing_share)(fleet_.random_);
    const bool fails = fails_at_once || std::bernoulli_distribution(
                                            load.error_share)(fleet_.random_);
    if (fails_at_once) {
      last_failure_at_ = fleet_.now_;
      ++fleet_.outcomes_.fast_failures;
    }
    const milliseconds work = fails_at_once ? kFastFailure : fleet_.DrawWork();
    open_calls_.insert(call.id);
    fleet_.At(fleet_.now_ + work,
              [this, id = call.id, fails, process = starts_] {
                if (process != starts_ || open_calls_.erase(id) == 0) {
                  return;
                }
                BackendCallEnd end;
                end.id = id;
                end.end = RunEnd::kAnswered;
                end.has_arrived = true;
                end.response.status = fails ? kError : kOk;
                dispatcher_->OnBackendEnd(std::move(end), fleet_.now_);
                ScheduleAdvance();
              });
  }
  void CancelBackend(BackendCallId id) override {
    if (open_calls_.erase(id) == 0) {
      return;
    }
    fleet_.At(fleet_.now_, [this, id, process = starts_] {
      if (!is_up() || process != starts_) {
        return;
      }
      BackendCallEnd end;
      end.id = id;
      end.reason = Reason::kCancelled;
      dispatcher_->OnBackendEnd(std::move(end), fleet_.now_);
      ScheduleAdvance();
    });
  }
  void RefreshServers(RefreshReason /*refresh_reason*/) override {}
  void OnConfigText(const ConfigText& /*config*/) override {}
  ConfigText GetConfigText() override { return {}; }
  void Log(LogEvent /*event*/) override {}

 private:
  // The number of this process's links to the other daemons: the process's
  // incarnation.
  LinkId OwnLink() const {
    const auto daemons = static_cast<LinkId>(fleet_.DaemonCount());
    return static_cast<LinkId>(starts_ - 1) * daemons +
           static_cast<LinkId>(index_) + 1;
  }
  // Runs the action, an input to the process that is up now, after the latency
  // of a message. It is lost when that process ends before.
  void Deliver(Node& to, std::function<void()> action) {
    fleet_.At(fleet_.now_ + LatencyTo(to),
              [&to, process = to.starts_, action = std::move(action)] {
                if (to.is_up() && process == to.starts_) {
                  action();
                  to.ScheduleAdvance();
                }
              });
  }
  // The entry learns that its link to this daemon is lost, or refused.
  void NotifyLinkLost(Node& entry) {
    entry.greeted_.erase(index_);
    if (entry.is_up()) {
      Deliver(entry, [this, &entry] {
        entry.dispatcher_->OnOwnerLinkLost(Address(index_), fleet_.now_);
      });
    }
  }
  // Exchanges the first messages of a new link to the owner.
  void Greet(Node& owner) {
    if (!greeted_.insert(owner.index_).second) {
      return;
    }
    Deliver(owner,
            [this, &owner, link = OwnLink(), hello = dispatcher_->MakeHello()] {
              owner.dispatcher_->OnEntryMessage(link, hello, fleet_.now_);
            });
    owner.Deliver(*this, [this, &owner,
                          hello = owner.dispatcher_->MakeHello()] {
      dispatcher_->OnOwnerMessage(Address(owner.index_), hello, fleet_.now_);
    });
  }
  // Whether the server is in a random failing phase. Phases follow each other
  // with pauses of random length.
  bool IsInRandomFailingPhase() {
    const Load& load = fleet_.load_;
    if (load.phase_share <= 0) {
      return false;
    }
    if (phase_end_ == TimePoint()) {
      // The first phase may have begun before the start of the simulation.
      const bool starts_in_phase =
          std::bernoulli_distribution(load.phase_share)(fleet_.random_);
      std::uniform_real_distribution<double> draw(0, 1);
      const auto length = std::chrono::duration_cast<Duration>(
          load.phase_length * draw(fleet_.random_));
      phase_end_ = fleet_.now_ + (starts_in_phase ? length : Duration(0));
      phase_begin_ = phase_end_ - (starts_in_phase ? length : Duration(0));
    }
    while (phase_end_ <= fleet_.now_) {
      phase_begin_ = phase_end_ + fleet_.DrawPause();
      phase_end_ = phase_begin_ + load.phase_length;
    }
    return fleet_.now_ >= phase_begin_;
  }
  Duration LatencyTo(const Node& other) const {
    return other.data_centre_ == data_centre_ ? kSameDataCentreLatency
                                              : kOtherDataCentreLatency;
  }

  DispatchEmulator& fleet_;
  const int index_;
  const std::string data_centre_;
  // Null while the daemon is stopped.
  std::unique_ptr<Dispatcher> dispatcher_;
  // Number of processes that the daemon has had.
  int starts_ = 0;
  TimePoint started_at_;
  // Owners to which this process has an open link.
  std::set<int> greeted_;
  TimePoint scheduled_at_ = TimePoint::max();
  TimePoint phase_begin_;
  TimePoint phase_end_;
  TimePoint last_run_at_;
  TimePoint last_failure_at_;
  std::set<BackendCallId> open_calls_;
};

DispatchEmulator::DispatchEmulator(const Load& load)
    : load_(load), random_(load.seed), end_(now_ + load.length) {
  std::vector<DispatchRoute> routes;
  for (const bool is_idempotent : {false, true}) {
    DispatchRoute route;
    route.name = is_idempotent ? "read" : "write";
    route.host = "a";
    route.prefix = "/" + route.name + "/";
    route.is_idempotent = is_idempotent;
    route.timeout = load.time_limit;
    route.target_latency = load.target_latency;
    route.priority = is_idempotent ? 1 : 0;
    route.max_attempts = 2;
    route.services = {{"desk", 1}};
    routes.push_back(route);
  }
  table_ = std::make_shared<RouteTable>(1, std::move(routes), CallerLimits{});
  for (int i = 0; i < DaemonCount(); ++i) {
    nodes_.push_back(std::make_unique<Node>(*this, i));
    if (i < load.servers) {
      servers_.push_back(nodes_.back()->MakeListedServer());
    }
  }
  for (const auto& node : nodes_) {
    node->Start();
  }
  if (load.restart_period > milliseconds(0)) {
    for (const auto& node : nodes_) {
      restart_order_.push_back(node.get());
    }
    std::shuffle(restart_order_.begin(), restart_order_.end(), random_);
    At(now_ + load.restart_from, [this] { RestartNextDaemon(); });
  }
}

DispatchEmulator::~DispatchEmulator() = default;

DispatchEmulator::Outcomes DispatchEmulator::Run() {
  ScheduleNextRequest();
  At(now_ + kSoundAfter, [this] { CheckFloor(); });
  while (!events_.empty()) {
    Event next = events_.top();
    events_.pop();
    now_ = std::max(now_, next.at);
    next.action();
  }
  for (const auto& [id, caller] : callers_) {
    const int max_runs = caller.is_idempotent ? 2 : 1;
    outcomes_.guarantee_violations += caller.runs > max_runs ? 1 : 0;
    outcomes_.repeats += std::max(0, caller.runs - 1);
  }
  return outcomes_;
}

void DispatchEmulator::At(TimePoint time, std::function<void()> action) {
  events_.push({time, ++order_, std::move(action)});
}

bool DispatchEmulator::IsBetween(milliseconds from, milliseconds until) const {
  const Duration since = now_ - (end_ - load_.length);
  return since >= from && since < until;
}

void DispatchEmulator::RestartNextDaemon() {
  Node* node = restart_order_.front();
  restart_order_.pop_front();
  restart_order_.push_back(node);
  node->Stop();
  At(now_ + load_.restart_time, [node] { node->Start(); });
  At(now_ + load_.restart_period, [this] {
    if (IsBetween(load_.restart_from, load_.restart_until)) {
      RestartNextDaemon();
    }
  });
}

void DispatchEmulator::CheckFloor() {
  while (!recent_answers_.empty() &&
         recent_answers_.front().first + kFloorWindow < now_) {
    recent_answers_.pop_front();
  }
  const auto answers = static_cast<double>(recent_answers_.size());
  const auto unserved = static_cast<double>(
      std::count_if(recent_answers_.begin(), recent_answers_.end(),
                    [](const auto& answer) { return !answer.second; }));
  if (unserved > answers / 10 && unserved < answers / 2) {
    int sound = 0;
    int running = 0;
    for (const auto& node : nodes_) {
      if (node->index() >= load_.servers) {
        continue;
      }
      sound += node->IsSound() ? 1 : 0;
      running += node->IsSound() && node->HasRunRecently() ? 1 : 0;
    }
    outcomes_.floor_breaks += running < kFloorShare * sound ? 1 : 0;
  }
  if (now_ < end_) {
    At(now_ + kFloorCheckPeriod, [this] { CheckFloor(); });
  }
}

void DispatchEmulator::ScheduleNextRequest() {
  const double factor =
      IsBetween(load_.burst_from, load_.burst_until) ? load_.burst_factor : 1;
  const double gap = std::exponential_distribution<double>(
      load_.requests_per_second * factor)(random_);
  const TimePoint at = now_ + std::chrono::duration_cast<Duration>(
                                  std::chrono::duration<double>(gap));
  if (at >= end_) {
    return;
  }
  At(at, [this] {
    const RequestId id = ++last_request_;
    Caller& caller = callers_[id];
    caller.first_sent = now_;
    caller.is_idempotent =
        std::bernoulli_distribution(load_.idempotent_share)(random_);
    ++outcomes_.requests;
    SendRequest(id, caller.is_idempotent);
    ScheduleNextRequest();
  });
}

void DispatchEmulator::SendRequest(RequestId id, bool is_idempotent) {
  EntryRequest request;
  request.id = id;
  request.request_id = std::to_string(id);
  request.host = "a";
  request.request.method = "POST";
  request.request.target =
      std::string(is_idempotent ? "/read/" : "/write/") + request.request_id;
  request.time_left = std::chrono::duration_cast<milliseconds>(
      callers_[id].first_sent + load_.time_limit - now_);
  // Callers find out at once that a daemon is stopped.
  const auto reachable = DaemonCount() - load_.cut_servers;
  std::size_t index = 0;
  do {
    index = random_() % static_cast<std::size_t>(reachable);
    // The cut daemons are the last ones that have servers.
    if (index >= static_cast<std::size_t>(load_.servers - load_.cut_servers)) {
      index += static_cast<std::size_t>(load_.cut_servers);
    }
  } while (!nodes_[index]->is_up());
  nodes_[index]->dispatcher().OnCallerRequest(std::move(request), now_);
  nodes_[index]->ScheduleAdvance();
}

void DispatchEmulator::OnAnswer(const CallerAnswer& answer) {
  Caller& caller = callers_[answer.id];
  const Duration took = now_ - caller.first_sent;
  if (answer.outcome == Outcome::kNotRun) {
    outcomes_.guarantee_violations +=
        caller.runs > 0 && !caller.is_idempotent ? 1 : 0;
    const Duration left = load_.time_limit - took;
    if (caller.has_retried || answer.retry_after > left / 3) {
      ++outcomes_.refused;
      recent_answers_.emplace_back(now_, false);
      return;
    }
    caller.has_retried = true;
    At(now_ + answer.retry_after,
       [this, id = answer.id, is_idempotent = caller.is_idempotent] {
         SendRequest(id, is_idempotent);
       });
    return;
  }
  const bool is_served =
      answer.outcome == Outcome::kDone && answer.response.status == kOk;
  recent_answers_.emplace_back(now_, is_served);
  int& count = !is_served                     ? outcomes_.failed
               : took <= load_.target_latency ? outcomes_.in_time
               : caller.has_retried           ? outcomes_.late_after_retry
                                              : outcomes_.late;
  ++count;
  outcomes_.failed_idempotent += !is_served && caller.is_idempotent ? 1 : 0;
}

Duration DispatchEmulator::DrawPause() {
  const double mean =
      std::chrono::duration<double>(load_.phase_length).count() *
      (1 - load_.phase_share) / load_.phase_share;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      std::exponential_distribution<double>(1 / mean)(random_)));
}

milliseconds DispatchEmulator::DrawWork() {
  // Most requests take close to the mean time; one in a hundred takes five
  // times as long.
  const double mean = static_cast<double>(load_.work.count());
  const double sigma = 0.4;
  std::lognormal_distribution<double> spread(-sigma * sigma / 2, sigma);
  const double tail = std::bernoulli_distribution(0.01)(random_) ? 5 : 1;
  return milliseconds(static_cast<std::int64_t>(mean * spread(random_) * tail) +
                      1);
}

DispatchEmulator::Node* DispatchEmulator::FindOwner(const PeerAddress& owner) {
  const auto found =
      std::find_if(nodes_.begin(), nodes_.end(), [&owner](const auto& node) {
        return Node::Address(node->index()) == owner;
      });
  return found->get();
}

}  // namespace vanillafall
