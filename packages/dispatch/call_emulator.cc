#include "dispatch/call_emulator.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// One-way latency between daemons in the same data centre and in different
// ones.
constexpr microseconds kSameDataCentreLatency{200};
constexpr microseconds kOtherDataCentreLatency{1500};
constexpr int kDataCentres = 3;
constexpr int kOk = 200;
constexpr int kError = 500;

}  // namespace

// One daemon and the backend server on the same instance.
class CallEmulator::Node final : public DispatchDelegate {
 public:
  Node(CallEmulator& fleet, const Service& service, int index)
      : fleet_(fleet),
        service_(service),
        index_(index),
        data_centre_("dc" + std::to_string(index % kDataCentres)),
        dispatcher_({Address(index), data_centre_, Backend(index),
                     static_cast<std::uint64_t>(index) + 1,
                     fleet.load_.seed * 1000 + index},
                    *this) {}

  static PeerAddress Address(int index) {
    return "10.0.0." + std::to_string(index) + ":7100";
  }
  static std::string Backend(int index) {
    return "10.0.0." + std::to_string(index) + ":8080";
  }
  ListedServer MakeListedServer() const {
    ListedServer server;
    server.id = "s" + std::to_string(index_);
    server.service = service_.name;
    server.address = Backend(index_);
    server.owner = Address(index_);
    server.data_centre = data_centre_;
    server.slots = service_.slots;
    server.revision.number = 1;
    return server;
  }

  Dispatcher& dispatcher() { return dispatcher_; }

  // Schedules the dispatcher's next Advance, unless one is scheduled before it.
  void ScheduleAdvance() {
    const auto next = dispatcher_.NextWake();
    if (!next || *next >= scheduled_at_) {
      return;
    }
    scheduled_at_ = *next;
    fleet_.At(*next, [this, at = *next] {
      if (scheduled_at_ == at) {
        scheduled_at_ = TimePoint::max();
      }
      dispatcher_.Advance(fleet_.now_);
      ScheduleAdvance();
    });
  }
  // A call of the run has ended.
  void OnCallEnd(BackendCallId id, RequestId call, bool is_success) {
    const auto found = runs_.find(id);
    if (found == runs_.end()) {
      return;
    }
    OpenRun& run = found->second;
    run.open_calls.erase(call);
    run.has_answer = true;
    if (!is_success) {
      for (const RequestId other : run.open_calls) {
        dispatcher_.OnCallerGone(other, fleet_.now_);
      }
      EndRun(id, kError);
      return;
    }
    if (run.calls_left > 0) {
      MakeNextCall(id);
    } else if (run.open_calls.empty()) {
      FinishWork(id);
    }
  }

  void AnswerCaller(CallerAnswer answer) override { fleet_.OnAnswer(answer); }
  void SendToOwner(const PeerAddress& owner, LinkMessage message) override {
    Node* to = nullptr;
    for (const auto& node : fleet_.nodes_) {
      to = Address(node->index_) == owner ? node.get() : to;
    }
    fleet_.At(fleet_.now_ + LatencyTo(*to),
              [this, to, message = std::move(message)] {
                // The link's id is the sender's index, counted from 1.
                to->dispatcher_.OnEntryMessage(static_cast<LinkId>(index_) + 1,
                                               message, fleet_.now_);
                to->ScheduleAdvance();
              });
  }
  void SendToSomeDaemons(const LinkMessage& /*message*/) override {}
  void CheckSource() override {}
  void CheckOwnServer() override {}
  void OnConfigConfirmedElsewhere(const SourceRevision& /*revision*/) override {
  }
  void ResetLink(const PeerAddress& /*owner*/) override {}
  void ReplyTo(LinkId link, LinkMessage message) override {
    Node* to = fleet_.nodes_[link - 1].get();
    fleet_.At(
        fleet_.now_ + LatencyTo(*to), [this, to, message = std::move(message)] {
          to->dispatcher_.OnOwnerMessage(Address(index_), message, fleet_.now_);
          to->ScheduleAdvance();
        });
  }
  void CallBackend(BackendCall call) override {
    const RequestId request = std::stoull(call.request_id);
    Caller& caller = fleet_.callers_.at(request);
    const bool rejects =
        fleet_.IsBetween(service_.rejects_from, service_.rejects_until) &&
        std::bernoulli_distribution(service_.rejected_share)(fleet_.random_);
    if (rejects) {
      fleet_.At(fleet_.now_ + milliseconds(1), [this, id = call.id] {
        BackendCallEnd end;
        end.id = id;
        end.end = RunEnd::kNotRun;
        end.reason = Reason::kOverloaded;
        end.has_arrived = true;
        dispatcher_.OnBackendEnd(std::move(end), fleet_.now_);
        ScheduleAdvance();
      });
      return;
    }
    ++caller.runs;
    if (FailsFast()) {
      runs_[call.id].request = request;
      runs_[call.id].started = fleet_.now_;
      fleet_.At(fleet_.now_ + milliseconds(1),
                [this, id = call.id] { EndRun(id, kError); });
      return;
    }
    const Route& route = *caller.route;
    OpenRun& run = runs_[call.id];
    run.request = request;
    run.started = fleet_.now_;
    run.deadline = fleet_.now_ + call.time_left;
    run.calls = &route.calls;
    const bool makes_calls =
        route.calls.count > 0 &&
        std::bernoulli_distribution(route.calls.share)(fleet_.random_);
    run.calls_left = makes_calls ? route.calls.count : 0;
    const milliseconds work = fleet_.DrawWork(route.work);
    run.work_after_calls = makes_calls ? work / 2 : milliseconds(0);
    fleet_.At(fleet_.now_ + work - run.work_after_calls, [this, id = call.id] {
      if (!runs_.contains(id)) {
        return;
      }
      if (runs_.at(id).calls_left == 0) {
        EndRun(id, kOk);
        return;
      }
      do {
        MakeNextCall(id);
      } while (runs_.contains(id) && runs_.at(id).calls->at_once &&
               runs_.at(id).calls_left > 0);
    });
  }
  void CancelBackend(BackendCallId id) override {
    const auto node = runs_.extract(id);
    if (node.empty()) {
      return;
    }
    fleet_.At(fleet_.now_, [this, id, calls = node.mapped().open_calls] {
      for (const RequestId call : calls) {
        dispatcher_.OnCallerGone(call, fleet_.now_);
      }
      BackendCallEnd end;
      end.id = id;
      end.reason = Reason::kCancelled;
      dispatcher_.OnBackendEnd(std::move(end), fleet_.now_);
      ScheduleAdvance();
    });
  }
  void RefreshServers(RefreshReason /*refresh_reason*/) override {}
  void OnConfigText(const ConfigText& /*config*/) override {}
  ConfigText GetConfigText() override { return {}; }
  void Log(LogEvent /*event*/) override {}

 private:
  struct OpenRun {
    RequestId request = 0;
    TimePoint started;
    TimePoint deadline;
    const Calls* calls = nullptr;
    // Calls that were not sent yet.
    int calls_left = 0;
    std::set<RequestId> open_calls;
    milliseconds work_after_calls{0};
    // A call has ended.
    bool has_answer = false;
  };

  // Draws whether a request that arrives now fails fast. Failing phases follow
  // each other with pauses of random length.
  bool FailsFast() {
    if (service_.phase_share <= 0) {
      return false;
    }
    const double mean_pause =
        std::chrono::duration<double>(kPhaseLength).count() *
        (1 - service_.phase_share) / service_.phase_share;
    while (phase_end_ <= fleet_.now_) {
      const bool is_first = phase_end_ == TimePoint();
      const std::chrono::duration<double> pause(
          std::exponential_distribution<double>(1 /
                                                mean_pause)(fleet_.random_));
      const bool starts_in_phase =
          is_first &&
          std::bernoulli_distribution(service_.phase_share)(fleet_.random_);
      phase_begin_ =
          (is_first ? fleet_.now_ : phase_end_) +
          (starts_in_phase ? Duration(0) : duration_cast<Duration>(pause));
      phase_end_ = phase_begin_ + kPhaseLength;
    }
    return fleet_.now_ >= phase_begin_ &&
           std::bernoulli_distribution(kPhaseFailingShare)(fleet_.random_);
  }
  void MakeNextCall(BackendCallId id) {
    OpenRun& run = runs_.at(id);
    --run.calls_left;
    // The call may be answered at once.
    const std::string route = run.calls->route;
    run.open_calls.insert(
        fleet_.StartCall(route, *this, id, run.deadline, run.has_answer));
  }
  void FinishWork(BackendCallId id) {
    fleet_.At(fleet_.now_ + runs_.at(id).work_after_calls,
              [this, id] { EndRun(id, kOk); });
  }
  void EndRun(BackendCallId id, int status) {
    const auto node = runs_.extract(id);
    if (node.empty()) {
      return;
    }
    if (status != kOk) {
      const auto spent =
          duration_cast<milliseconds>(fleet_.now_ - node.mapped().started);
      fleet_.Count(fleet_.callers_.at(node.mapped().request),
                   [spent](Outcomes& outcomes) { outcomes.wasted += spent; });
    }
    BackendCallEnd end;
    end.id = id;
    end.end = RunEnd::kAnswered;
    end.has_arrived = true;
    end.response.status = status;
    dispatcher_.OnBackendEnd(std::move(end), fleet_.now_);
    ScheduleAdvance();
  }
  Duration LatencyTo(const Node& other) const {
    return other.data_centre_ == data_centre_ ? kSameDataCentreLatency
                                              : kOtherDataCentreLatency;
  }

  CallEmulator& fleet_;
  const Service& service_;
  const int index_;
  const std::string data_centre_;
  Dispatcher dispatcher_;
  TimePoint scheduled_at_ = TimePoint::max();
  TimePoint phase_begin_;
  TimePoint phase_end_;
  std::map<BackendCallId, OpenRun> runs_;
};

CallEmulator::CallEmulator(Load load)
    : load_(std::move(load)), random_(load_.seed), start_(now_) {
  std::vector<DispatchRoute> routes;
  for (const Route& each : load_.routes) {
    DispatchRoute route;
    route.name = each.name;
    route.host = "a";
    route.prefix = "/" + each.name + "/";
    route.is_idempotent = each.is_idempotent;
    route.timeout = each.limit;
    route.target_latency = each.target;
    route.priority = each.priority;
    route.max_attempts = 2;
    route.is_public = each.requests_per_second == 0;
    route.services = {{each.service, 1}};
    routes.push_back(route);
  }
  std::vector<CustomerEntry> customers;
  for (const Customer& each : load_.customers) {
    CustomerEntry entry;
    entry.customer.name = each.name;
    entry.customer.priority = each.priority;
    entry.keys = {"key-" + each.name};
    customers.push_back(entry);
  }
  const bool has_customers = !customers.empty();
  const auto table = std::make_shared<RouteTable>(
      1, std::move(routes), CallerLimits{},
      CustomerTable(std::move(customers), has_customers));
  std::vector<ListedServer> servers;
  for (const Service& service : load_.services) {
    for (int i = 0; i < service.servers; ++i) {
      nodes_.push_back(std::make_unique<Node>(*this, service,
                                              static_cast<int>(nodes_.size())));
      servers.push_back(nodes_.back()->MakeListedServer());
    }
  }
  for (const auto& node : nodes_) {
    node->dispatcher().OnConfig(table, "", now_);
    node->dispatcher().OnServers(servers, now_);
  }
}

CallEmulator::~CallEmulator() = default;

CallEmulator::Results CallEmulator::Run() {
  for (const Route& route : load_.routes) {
    if (route.requests_per_second == 0) {
      continue;
    }
    if (load_.customers.empty()) {
      ScheduleNextRequest(route, nullptr);
    }
    for (const Customer& customer : load_.customers) {
      ScheduleNextRequest(route, &customer);
    }
  }
  while (!events_.empty()) {
    Event next = events_.top();
    events_.pop();
    now_ = std::max(now_, next.at);
    next.action();
  }
  for (const auto& [id, caller] : callers_) {
    const int max_runs = caller.route->is_idempotent ? 2 : 1;
    if (caller.runs > max_runs) {
      Count(caller, [](Outcomes& all) { ++all.guarantee_violations; });
    }
  }
  return results_;
}

void CallEmulator::At(TimePoint time, std::function<void()> action) {
  events_.push({time, ++order_, std::move(action)});
}

bool CallEmulator::IsBetween(milliseconds from, milliseconds until) const {
  return now_ - start_ >= from && now_ - start_ < until;
}

double CallEmulator::RateOf(const Route& route,
                            const Customer* customer) const {
  if (customer == nullptr) {
    return route.requests_per_second;
  }
  double weights = 0;
  for (const Customer& each : load_.customers) {
    weights += each.weight;
  }
  const bool is_surge = IsBetween(customer->surge_from, customer->surge_until);
  return route.requests_per_second * customer->weight / weights *
         (is_surge ? customer->surge : 1);
}

void CallEmulator::ScheduleNextRequest(const Route& route,
                                       const Customer* customer) {
  // The rate may change before the next request, so time passes in steps.
  constexpr std::chrono::duration<double> kStep(0.1);
  const std::chrono::duration<double> gap(
      std::exponential_distribution<double>(RateOf(route, customer))(random_));
  const TimePoint at = now_ + duration_cast<Duration>(std::min(gap, kStep));
  if (at >= start_ + load_.length) {
    return;
  }
  At(at, [this, &route, customer, is_request = gap < kStep] {
    if (is_request) {
      const RequestId id = ++last_request_;
      Caller& caller = callers_[id];
      caller.route = &route;
      caller.customer = customer;
      caller.first_sent = now_;
      caller.deadline = now_ + route.limit;
      Count(caller, [](Outcomes& all) { ++all.requests; });
      SendClientRequest(id);
    }
    ScheduleNextRequest(route, customer);
  });
}

void CallEmulator::SendClientRequest(RequestId id) {
  Send(id, *nodes_[random_() % nodes_.size()]);
}

void CallEmulator::Send(RequestId id, Node& node) {
  const Caller& caller = callers_.at(id);
  EntryRequest request;
  request.id = id;
  request.request_id = std::to_string(id);
  request.host = "a";
  request.request.method = "POST";
  request.request.target = "/" + caller.route->name + "/" + request.request_id;
  request.time_left = duration_cast<milliseconds>(caller.deadline - now_);
  if (caller.customer != nullptr) {
    request.key = {CallerKey::State::kPresent, "key-" + caller.customer->name};
  }
  node.dispatcher().OnCallerRequest(std::move(request), now_);
  node.ScheduleAdvance();
}

RequestId CallEmulator::StartCall(const std::string& route,
                                  Node& parent,
                                  BackendCallId run,
                                  TimePoint parent_deadline,
                                  bool follows_success) {
  const RequestId id = ++last_request_;
  Caller& caller = callers_[id];
  caller.route = FindRoute(route);
  caller.first_sent = now_;
  caller.deadline = std::min(now_ + caller.route->limit, parent_deadline);
  caller.parent = &parent;
  caller.parent_run = run;
  caller.follows_success = follows_success;
  Count(caller, [](Outcomes& all) { ++all.requests; });
  At(now_, [this, id, &parent] { Send(id, parent); });
  return id;
}

void CallEmulator::OnAnswer(const CallerAnswer& answer) {
  Caller& caller = callers_.at(answer.id);
  if (answer.reason == Reason::kCancelled) {
    Count(caller, [](Outcomes& all) { ++all.failed; });
    return;
  }
  const bool is_not_run = answer.outcome == Outcome::kNotRun;
  const Duration left = caller.deadline - now_;
  if (is_not_run && caller.runs > 0 && !caller.route->is_idempotent) {
    Count(caller, [](Outcomes& all) { ++all.guarantee_violations; });
  }
  if (is_not_run && caller.parent == nullptr && !caller.has_retried &&
      answer.retry_after <= left / 3) {
    caller.has_retried = true;
    At(now_ + answer.retry_after,
       [this, id = answer.id] { SendClientRequest(id); });
    return;
  }
  const bool is_served =
      answer.outcome == Outcome::kDone && answer.response.status == kOk;
  const bool is_in_time = now_ - caller.first_sent <= caller.route->target;
  Count(caller, [&](Outcomes& all) {
    ++(is_not_run   ? all.refused
       : !is_served ? all.failed
       : is_in_time ? all.in_time
                    : all.late);
  });
  if (caller.parent != nullptr) {
    At(now_, [parent = caller.parent, run = caller.parent_run, id = answer.id,
              is_served] { parent->OnCallEnd(run, id, is_served); });
  }
}

void CallEmulator::Count(const Caller& caller,
                         const std::function<void(Outcomes&)>& change) {
  change(results_[caller.route->name]);
  if (caller.follows_success) {
    change(results_[caller.route->name + "+"]);
  }
  if (caller.customer != nullptr) {
    change(results_["@" + caller.customer->name]);
  }
}

milliseconds CallEmulator::DrawWork(milliseconds mean) {
  // Most requests take close to the mean time; one in a hundred takes five
  // times as long.
  const double sigma = 0.4;
  std::lognormal_distribution<double> spread(-sigma * sigma / 2, sigma);
  const double tail = std::bernoulli_distribution(0.01)(random_) ? 5 : 1;
  return milliseconds(
      static_cast<std::int64_t>(static_cast<double>(mean.count()) *
                                spread(random_) * tail) +
      1);
}

const CallEmulator::Route* CallEmulator::FindRoute(
    const std::string& name) const {
  return &*std::find_if(
      load_.routes.begin(), load_.routes.end(),
      [&name](const Route& route) { return route.name == name; });
}

std::string ToTable(const CallEmulator::Results& results) {
  std::ostringstream table;
  table << "                requests in time  late refused failed  served "
           "wasted s\n";
  for (const auto& [name, all] : results) {
    table << std::left << std::setw(16) << name << std::right << std::setw(8)
          << all.requests << std::setw(8) << all.in_time << std::setw(6)
          << all.late << std::setw(8) << all.refused << std::setw(7)
          << all.failed << std::setw(8) << std::fixed << std::setprecision(3)
          << all.served_share() << std::setw(9) << all.wasted.count() / 1000
          << "\n";
  }
  return table.str();
}

}  // namespace vanillafall
