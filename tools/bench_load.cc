// Measures routing, admission and retries on a simulated clock with fixed
// seeds. Prints one line per figure: "name value unit". With --quick the runs
// are shorter.

#include <algorithm>
#include <chrono>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "decision/admission.h"
#include "decision/entry.h"
#include "decision/router.h"

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Milliseconds = std::chrono::duration<double, std::milli>;
using Random = std::mt19937_64;

constexpr std::uint32_t kSlots = 3;
constexpr milliseconds kServiceTime{25};
constexpr seconds kRequestTimeLimit{10};

void Print(const std::string& name, double value, std::string_view unit) {
  std::cout << name << ' ' << value << ' ' << unit << '\n';
}

// The event queue of the simulation. Its clock jumps from event to event.
class EventQueue {
 public:
  void Schedule(Duration delay, std::function<void()> event) {
    events_.emplace(now_ + delay, std::move(event));
  }
  // Runs events in the order of their times until none is left.
  void Run() {
    while (!events_.empty()) {
      now_ = events_.begin()->first;
      const std::function<void()> event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
  }
  TimePoint now() const { return now_; }

 private:
  TimePoint now_;
  std::multimap<TimePoint, std::function<void()>> events_;
};

// Collects durations and returns their quantiles in milliseconds.
class Samples {
 public:
  void Add(Duration sample) { samples_.push_back(Milliseconds(sample)); }
  std::size_t size() const { return samples_.size(); }
  // Quantile is between 0 and 1. Returns 0 without samples.
  double Quantile(double quantile) {
    if (samples_.empty()) {
      return 0;
    }
    const auto rank = static_cast<std::size_t>(
        quantile * static_cast<double>(samples_.size() - 1));
    const auto nth = samples_.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(samples_.begin(), nth, samples_.end());
    return nth->count();
  }

 private:
  std::vector<Milliseconds> samples_;
};

// A random duration with an exponential distribution.
Duration DrawExponential(Duration mean, Random& random) {
  const double factor = std::exponential_distribution<double>(1)(random);
  return duration_cast<Duration>(mean * factor);
}

ServiceConfig MakeService(int server_count, int centre_count) {
  ServiceConfig service;
  service.name = "desk";
  service.callers = {"*"};
  for (int index = 0; index < server_count; ++index) {
    const std::string name = "server-" + std::to_string(index);
    service.backend_servers.push_back(
        {name, name, name, "centre-" + std::to_string(index % centre_count),
         kSlots});
  }
  return service;
}

// A fleet and the load that is offered to it.
struct RoutingScenario {
  std::string name;
  int servers = 20;
  int entries = 10;
  int centres = 4;
  // Share of all slots that the offered load needs.
  double load = 0.8;
  // Factor on the work time of the first server.
  int slowness = 1;
  // Number of requests that arrive at the same time.
  int burst = 1;
};

// Simulates entries that send requests to backend servers by one routing rule.
class RoutingRun {
 public:
  RoutingRun(RoutingScenario scenario, RoutingRule rule, Duration duration)
      : scenario_(std::move(scenario)),
        end_(duration),
        service_(MakeService(scenario_.servers, scenario_.centres)) {
    for (int index = 0; index < scenario_.entries; ++index) {
      const int centre = index % scenario_.centres;
      routers_.push_back(
          std::make_unique<Router>("centre-" + std::to_string(centre), rule));
      routers_.back()->Configure(service_);
    }
    for (const BackendServer& server : service_.backend_servers) {
      admissions_[server.name] =
          std::make_unique<Admission>(server.slots, kMaxWaiting);
    }
  }

  void Run() {
    ScheduleArrival();
    queue_.Run();
  }

  Samples& waits() { return waits_; }
  Samples& latencies() { return latencies_; }
  double refused_share() const { return ShareOf(refused_); }
  // Share of requests that went to another data centre.
  double far_share() const { return ShareOf(far_); }

 private:
  static constexpr std::size_t kMaxWaiting = 64;
  // One-way network delay within a data centre, and between two data centres.
  static constexpr milliseconds kNearDelay{0};
  static constexpr Duration kFarDelay{std::chrono::microseconds(1500)};

  struct Job {
    std::size_t entry = 0;
    std::string server;
    Duration delay{0};
    TimePoint sent;
    TimePoint offered;
  };

  double ShareOf(std::size_t count) const {
    return static_cast<double>(count) / static_cast<double>(sent_);
  }

  void ScheduleArrival() {
    const double servers_needed = scenario_.load * scenario_.servers * kSlots;
    const Duration gap = duration_cast<Duration>(
        kServiceTime * scenario_.burst / servers_needed);
    queue_.Schedule(DrawExponential(gap, random_), [this] {
      if (queue_.now() >= end_) {
        return;
      }
      for (int count = 0; count < scenario_.burst; ++count) {
        Send();
      }
      ScheduleArrival();
    });
  }

  // Sends a request through a random entry.
  void Send() {
    const std::size_t entry = random_() % routers_.size();
    const BackendServer* server =
        routers_[entry]->Choose(service_, {}, random_, queue_.now());
    const bool is_near =
        server->data_centre ==
        "centre-" +
            std::to_string(entry % static_cast<std::size_t>(scenario_.centres));
    routers_[entry]->OnSent(server->name);
    ++sent_;
    far_ += is_near ? 0 : 1;
    const Duration delay = is_near ? Duration(kNearDelay) : kFarDelay;
    const Admission::Ticket ticket = ++last_ticket_;
    jobs_[ticket] = {entry, server->name, delay, queue_.now(), {}};
    queue_.Schedule(delay, [this, ticket] { Offer(ticket); });
  }

  // Offers an arrived request to the admission of its server.
  void Offer(Admission::Ticket ticket) {
    Job& job = jobs_.at(ticket);
    job.offered = queue_.now();
    const auto decision =
        admissions_.at(job.server)
            ->Offer({ticket, "tenant", queue_.now() + kRequestTimeLimit, false,
                     "lookup"},
                    queue_.now());
    if (decision.result == Admission::Result::kStart) {
      Start(ticket);
    } else if (decision.result == Admission::Result::kRefuse) {
      ++refused_;
      Reply(ticket, Outcome::kNotRun);
    }
  }

  void Start(Admission::Ticket ticket) {
    const Job& job = jobs_.at(ticket);
    waits_.Add(queue_.now() - job.offered);
    const bool is_slow = job.server == service_.backend_servers.front().name;
    const int factor = is_slow ? scenario_.slowness : 1;
    queue_.Schedule(
        DrawExponential(kServiceTime * factor, random_), [this, ticket] {
          Admission& admission = *admissions_.at(jobs_.at(ticket).server);
          admission.Release(ticket, queue_.now());
          while (const auto next = admission.TakeNext(queue_.now())) {
            Start(*next);
          }
          Reply(ticket, Outcome::kDone);
        });
  }

  // Sends the reply and the load of the server back to the entry.
  void Reply(Admission::Ticket ticket, Outcome outcome) {
    const auto node = jobs_.extract(ticket);
    const Job job = node.mapped();
    const Admission& admission = *admissions_.at(job.server);
    RunReply reply;
    reply.outcome = outcome;
    reply.reason =
        outcome == Outcome::kDone ? Reason::kOk : Reason::kOverloaded;
    reply.load = {admission.slots(), admission.in_use(), admission.waiting(),
                  ServingState::kInService};
    queue_.Schedule(job.delay, [this, job, reply] {
      const Duration latency = queue_.now() - job.sent;
      routers_[job.entry]->OnReply(job.server, reply, latency, queue_.now());
      if (reply.outcome == Outcome::kDone) {
        latencies_.Add(latency);
      }
    });
  }

  const RoutingScenario scenario_;
  const TimePoint end_;
  const ServiceConfig service_;
  EventQueue queue_;
  Random random_{11};
  std::vector<std::unique_ptr<Router>> routers_;
  std::map<std::string, std::unique_ptr<Admission>> admissions_;
  std::map<Admission::Ticket, Job> jobs_;
  Admission::Ticket last_ticket_ = 0;
  std::size_t sent_ = 0;
  std::size_t far_ = 0;
  std::size_t refused_ = 0;
  Samples waits_;
  Samples latencies_;
};

struct NamedRule {
  RoutingRule rule;
  const char* name;
};

constexpr NamedRule kRules[] = {{RoutingRule::kFourChoices, "four_choices"},
                                {RoutingRule::kTwoChoices, "two_choices"},
                                {RoutingRule::kLeastLoaded, "least_loaded"},
                                {RoutingRule::kLastReport, "last_report"},
                                {RoutingRule::kRoundRobin, "round_robin"},
                                {RoutingRule::kRandom, "random"}};

// Prints waits, latencies and shares of the scenario for each routing rule.
void MeasureRouting(const RoutingScenario& scenario, Duration duration) {
  for (const NamedRule& rule : kRules) {
    RoutingRun run(scenario, rule.rule, duration);
    run.Run();
    const auto print = [&scenario, &rule](std::string_view figure, double value,
                                          std::string_view unit) {
      std::string name = "load_";
      name.append(scenario.name).append("_").append(figure);
      name.append("_").append(rule.name);
      Print(name, value, unit);
    };
    print("wait_p99_ms", run.waits().Quantile(0.99), "ms");
    print("latency_p50_ms", run.latencies().Quantile(0.5), "ms");
    print("latency_p99_ms", run.latencies().Quantile(0.99), "ms");
    print("far_share", run.far_share(), "ratio");
    print("refused_share", run.refused_share(), "ratio");
  }
}

// Prints the real time of one routing decision among 500 servers. These are the
// only figures that differ between runs.
void MeasureChoice(int count) {
  const ServiceConfig service = MakeService(500, 7);
  for (const NamedRule& rule : kRules) {
    Router router("centre-0", rule.rule);
    router.Configure(service);
    Random random(5);
    const auto begin = std::chrono::steady_clock::now();
    for (int round = 0; round < count; ++round) {
      const TimePoint now{std::chrono::microseconds(round)};
      router.OnSent(router.Choose(service, {}, random, now)->name);
    }
    const std::chrono::duration<double, std::nano> spent =
        std::chrono::steady_clock::now() - begin;
    Print(std::string("load_choice_of_500_ns_") + rule.name,
          spent.count() / count, "ns");
  }
}

// Simulates one server and two customers: "flood" sends four times as much as
// the server can handle, "light" sends a request every 200 ms on average. Waits
// and refusals of "light" are measured.
class FloodRun {
 public:
  // Unless is_fair, all requests are offered under one customer, which makes
  // the queue first in, first out.
  FloodRun(bool is_fair, Duration duration)
      : is_fair_(is_fair), end_(duration) {}

  void Run() {
    ScheduleArrival("flood", kServiceTime / (4 * static_cast<int>(kSlots)));
    ScheduleArrival("light", milliseconds(200));
    queue_.Run();
  }

  Samples& waits() { return waits_; }
  double refused_share() const {
    return static_cast<double>(refused_) /
           static_cast<double>(refused_ + waits_.size());
  }

 private:
  void ScheduleArrival(const std::string& customer, Duration gap) {
    queue_.Schedule(DrawExponential(gap, random_), [this, customer, gap] {
      if (queue_.now() < end_) {
        Offer(customer);
        ScheduleArrival(customer, gap);
      }
    });
  }

  void Offer(const std::string& customer) {
    const Admission::Ticket ticket = ++last_ticket_;
    const TimePoint now = queue_.now();
    const auto decision =
        admission_.Offer({ticket, is_fair_ ? customer : "all",
                          now + kRequestTimeLimit, false, "lookup"},
                         now);
    if (customer == "light") {
      refused_ += decision.result == Admission::Result::kRefuse ? 1 : 0;
      offered_[ticket] = now;
    }
    if (decision.result == Admission::Result::kStart) {
      Start(ticket);
    }
  }

  void Start(Admission::Ticket ticket) {
    const auto found = offered_.find(ticket);
    if (found != offered_.end()) {
      waits_.Add(queue_.now() - found->second);
    }
    queue_.Schedule(DrawExponential(kServiceTime, random_), [this, ticket] {
      admission_.Release(ticket, queue_.now());
      while (const auto next = admission_.TakeNext(queue_.now())) {
        Start(*next);
      }
    });
  }

  const bool is_fair_;
  const TimePoint end_;
  EventQueue queue_;
  Random random_{12};
  Admission admission_{kSlots, 64};
  Admission::Ticket last_ticket_ = 0;
  // When each request of "light" was offered.
  std::map<Admission::Ticket, TimePoint> offered_;
  std::size_t refused_ = 0;
  Samples waits_;
};

void MeasureFairness(Duration duration) {
  for (const bool is_fair : {true, false}) {
    FloodRun run(is_fair, duration);
    run.Run();
    const std::string suffix = is_fair ? "_fair" : "_fifo";
    Print("load_light_tenant_wait_p99_ms" + suffix, run.waits().Quantile(0.99),
          "ms");
    Print("load_light_tenant_refused_share" + suffix, run.refused_share(),
          "ratio");
  }
}

// Simulates one entry with six owners, of which one hangs or all are
// unreachable.
class EntryRun final : private PeerCaller {
 public:
  enum class Fault : std::uint8_t { kOneHangs, kAllUnreachable };

  // When class_count is so large that no class gets enough requests to learn
  // its latency, a try waits for half of the time that the caller has left.
  EntryRun(Fault fault, int class_count, std::uint64_t seed, Duration duration)
      : fault_(fault), end_(duration), random_(seed) {
    auto config = std::make_shared<FleetConfig>();
    ServiceConfig service = MakeService(6, 1);
    for (int index = 0; index < class_count; ++index) {
      const std::string name = "class-" + std::to_string(index);
      service.routes.push_back({"/" + name, name, {}});
    }
    class_count_ = class_count;
    config->services["desk"] = service;
    entry_.Configure(config);
  }

  void Run() {
    ScheduleArrival();
    ScheduleTick();
    queue_.Run();
  }

  Samples& latencies() { return latencies_; }
  std::size_t failed() const { return failed_; }
  std::size_t requests() const { return arrived_.size(); }
  // Requests to owners, first tries included.
  std::size_t tries() const { return tries_; }

 private:
  static constexpr milliseconds kMeanGap{50};
  static constexpr TimePoint kHangStart{seconds(5)};

  PeerCallId Ask(const PeerAddress& peer,
                 PeerRequest /*request*/,
                 milliseconds timeout,
                 Actions& /*actions*/) override {
    const PeerCallId call = ++tries_;
    if (fault_ == Fault::kAllUnreachable) {
      ScheduleFailure(call, milliseconds(1), PeerFailure::kNotSent);
    } else if (peer == "server-0" && queue_.now() >= kHangStart) {
      ScheduleFailure(call, timeout, PeerFailure::kLost);
    } else {
      queue_.Schedule(DrawExponential(kServiceTime, random_), [this, call] {
        RunReply reply;
        reply.outcome = Outcome::kDone;
        reply.reason = Reason::kOk;
        reply.load.slots = kSlots;
        Actions actions;
        entry_.OnReply(call, reply, random_, queue_.now(), actions);
        RecordAnswers(actions);
      });
    }
    return call;
  }
  void Reply(PeerCallId /*call*/,
             PeerReply /*reply*/,
             Actions& /*actions*/) override {}

  void ScheduleFailure(PeerCallId call, Duration delay, PeerFailure failure) {
    queue_.Schedule(delay, [this, call, failure] {
      Actions actions;
      entry_.OnFailure(call, failure, random_, queue_.now(), actions);
      RecordAnswers(actions);
    });
  }

  void ScheduleArrival() {
    queue_.Schedule(DrawExponential(kMeanGap, random_), [this] {
      if (queue_.now() >= end_) {
        return;
      }
      arrived_.push_back(queue_.now());
      const auto chosen = random_() % static_cast<std::size_t>(class_count_);
      HttpRequest request;
      request.method = "GET";
      request.target = "/class-" + std::to_string(chosen);
      Actions actions;
      entry_.OnRequest({arrived_.size(), request, kRequestTimeLimit}, random_,
                       queue_.now(), actions);
      RecordAnswers(actions);
      ScheduleArrival();
    });
  }

  void ScheduleTick() {
    queue_.Schedule(kTickPeriod, [this] {
      Actions actions;
      entry_.Advance(random_, queue_.now(), actions);
      RecordAnswers(actions);
      if (queue_.now() < end_ + kRequestTimeLimit + seconds(1)) {
        ScheduleTick();
      }
    });
  }

  // Records latency and success of each answer to a caller.
  void RecordAnswers(const Actions& actions) {
    for (const Action& action : actions) {
      const auto& answer = std::get<AnswerCaller>(action);
      latencies_.Add(queue_.now() - arrived_[answer.id - 1]);
      failed_ += answer.outcome == Outcome::kDone ? 0 : 1;
    }
  }

  const Fault fault_;
  const TimePoint end_;
  int class_count_ = 1;
  EventQueue queue_;
  Random random_;
  Entry entry_{"centre-0", 5000, *this};
  std::vector<TimePoint> arrived_;
  PeerCallId tries_ = 0;
  std::size_t failed_ = 0;
  Samples latencies_;
};

// Prints the retries per request while no owner is reachable.
void MeasureOutage(Duration duration) {
  constexpr std::uint64_t kEntryCount = 50;
  std::size_t requests = 0;
  std::size_t tries = 0;
  for (std::uint64_t seed = 1; seed <= kEntryCount; ++seed) {
    EntryRun run(EntryRun::Fault::kAllUnreachable, 1, seed, duration);
    run.Run();
    requests += run.requests();
    tries += run.tries();
  }
  Print("load_outage_retry_share",
        static_cast<double>(tries - requests) / static_cast<double>(requests),
        "ratio");
}

// Prints latencies, failures and retries while one owner hangs, with latencies
// learned per class and without.
void MeasureHang(Duration duration) {
  for (const bool is_latency_known : {true, false}) {
    EntryRun run(EntryRun::Fault::kOneHangs, is_latency_known ? 1 : 1000, 13,
                 duration);
    run.Run();
    const std::string suffix =
        is_latency_known ? "_learned" : "_half_of_time_left";
    const auto requests = static_cast<double>(run.requests());
    Print("load_hang_latency_p999_ms" + suffix, run.latencies().Quantile(0.999),
          "ms");
    Print("load_hang_latency_max_ms" + suffix, run.latencies().Quantile(1),
          "ms");
    Print("load_hang_failed_share" + suffix,
          static_cast<double>(run.failed()) / requests, "ratio");
    Print("load_hang_retry_share" + suffix,
          (static_cast<double>(run.tries()) - requests) / requests, "ratio");
  }
}

void Measure(bool is_quick) {
  const seconds duration{is_quick ? 10 : 60};
  MeasureRouting({"even"}, duration);
  MeasureRouting({"entries_50", 20, 50, 4, 0.8, 1}, duration);
  MeasureRouting({"many_entries", 20, 400, 4, 0.8, 1}, duration);
  MeasureRouting({"one_slow", 20, 10, 4, 0.6, 10}, duration);
  MeasureRouting({"light", 20, 10, 4, 0.4, 1}, duration);
  MeasureRouting({"burst", 20, 50, 4, 0.6, 1, 30}, duration);
  MeasureChoice(is_quick ? 1000 : 20'000);
  MeasureFairness(duration);
  MeasureOutage(duration);
  MeasureHang(duration);
}

}  // namespace
}  // namespace vanillafall

int main(int argc, char** argv) {
  vanillafall::Measure(argc > 1 && std::string_view(argv[1]) == "--quick");
  return 0;
}
