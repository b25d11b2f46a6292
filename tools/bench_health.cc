// Compares failure detection strategies on a simulated clock: how long a
// failing backend server stays in service, how often a healthy one is ejected,
// how many requests fail, and what share of healthy slots is unused because of
// ejections. All strategies use the same in-service leases, the same seeds and
// the same simple queue model.
//
// Prints one line per figure: "name value unit".

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "decision/lease_book.h"
#include "decision/service_health.h"
#include "wire/codec.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{2};
constexpr milliseconds kDeadline{2000};
constexpr milliseconds kMessageDelay{2};
constexpr milliseconds kWarmUp{15'000};
constexpr milliseconds kFaultDuration{30'000};
// Time until a health endpoint shows a change of its server.
constexpr milliseconds kEndpointLag{2000};
// Lease renewals are counted for one second from this time after the fault. A
// crashed server has been ejected by then, and its ejection lasts longer than
// that second.
constexpr milliseconds kRenewalWindowStart{1500};
constexpr std::uint32_t kSlots = 3;
// Failures in a row after which the kConsecutive strategy ejects a server.
constexpr std::uint32_t kConsecutiveFailureLimit = 5;
// Share of requests that fail on a healthy server.
constexpr double kBaseFailureRatio = 0.01;
constexpr TimePoint kStart{seconds(100'000)};
constexpr std::size_t kMaxTries = 3;

using Random = std::mt19937_64;

// How unhealthy servers are detected.
enum class Strategy : std::uint8_t {
  // Comparison with the other servers of the service, as the daemon does it.
  kPeerRelative,
  // No ejection.
  kNone,
  // A number of failures in a row.
  kConsecutive,
  // The answer of the server's health endpoint.
  kEndpoint,
};

// The state of a server at one point in time. The defaults are healthy.
struct Condition {
  double failure_ratio = kBaseFailureRatio;
  // Factors on the usual work time: of all requests, and of class "job" only.
  double latency_factor = 1;
  double job_latency_factor = 1;
  bool hangs = false;
  bool refuses = false;
  // What the health endpoint reports once kEndpointLag has passed.
  bool is_endpoint_healthy = true;

  bool is_unhealthy() const {
    return failure_ratio > kBaseFailureRatio || latency_factor > 1 ||
           job_latency_factor > 1 || hangs || refuses;
  }
};

// The condition of a server at a given time after the start of the fault.
using Fault = std::function<Condition(std::size_t server, milliseconds age)>;

// A fault, and the load under which it happens.
struct Scenario {
  const char* name;
  // Whether the first server should be ejected.
  bool first_is_unhealthy = true;
  // Share of all slots that the offered load needs.
  double utilisation = 0.4;
  // Share of the requests to the first server that have little time left when
  // they arrive.
  double short_deadline_share = 0;
  Fault fault;
};

// A strategy and the service that it is tested on. The suffix ends the names of
// the printed figures.
struct Fleet {
  const char* suffix;
  Strategy strategy;
  EjectionProfile profile;
  std::size_t servers;
  std::uint32_t floor;
};

// Sums over all runs of a scenario.
struct Result {
  std::vector<milliseconds> detections;
  // Runs in which the unhealthy server was not ejected.
  std::uint32_t missed = 0;
  std::uint32_t false_ejections = 0;
  std::uint64_t requests = 0;
  std::uint64_t failed = 0;
  // Slots of healthy servers, and how many of them were not usable, summed over
  // the steps of the simulation.
  std::uint64_t healthy_slot_steps = 0;
  std::uint64_t wasted_slot_steps = 0;
  // Steps with fewer servers in service than the floor.
  std::uint64_t floor_violations = 0;
  std::uint64_t messages = 0;
  // Lease requests of the first server's owner during one second of its
  // ejection.
  std::uint64_t renewals = 0;
};

// A request that waits for a slot or runs on a server.
struct Job {
  std::uint64_t ticket = 0;
  bool is_large = false;
  TimePoint arrived;
  TimePoint deadline;
  TimePoint started;
  TimePoint ends;
  bool fails = false;
  std::size_t tries = 0;
};

// A backend server and the health state that its owner keeps.
struct Server {
  std::string name;
  std::unique_ptr<ServiceHealth> health;
  HealthEndpoint* endpoint = nullptr;
  std::vector<Job> running;
  std::deque<Job> waiting;
  bool was_ejected = false;
  bool is_detected = false;
};

// A lease request or reply that is delivered when it is due.
struct Message {
  TimePoint due;
  std::size_t from = 0;
  std::size_t to = 0;
  OutgoingLeaseRequest outgoing;
  LeaseReply reply;
  TimePoint sent;
  bool is_reply = false;
};

// Simulates one scenario with one strategy and seed. Each server has its own
// owner, and each job of class "lookup" or "job" takes a slot.
class Run {
 public:
  Run(const Scenario& scenario,
      const Fleet& fleet,
      std::uint64_t seed,
      Result& result)
      : scenario_(scenario), fleet_(fleet), random_(seed), result_(result) {
    MakeServers();
  }

  void Execute() {
    const TimePoint end = kStart + kWarmUp + kFaultDuration;
    for (now_ = kStart; now_ < end; now_ += kStep) {
      Deliver();
      for (std::size_t i = 0; i < servers_.size(); ++i) {
        FinishJobs(i);
        StartWaitingJobs(i);
      }
      GenerateArrivals();
      if ((now_ - kStart) % milliseconds(10) == milliseconds(0)) {
        Advance();
      }
      CountSlots();
    }
    if (!scenario_.first_is_unhealthy) {
      return;
    }
    if (!servers_.front().is_detected) {
      ++result_.missed;
      result_.detections.push_back(kFaultDuration);
    }
  }

 private:
  void MakeServers() {
    ServiceConfig config;
    config.name = "bench";
    config.number = 1;
    config.floor = fleet_.floor;
    config.profile = fleet_.profile;
    for (std::size_t i = 0; i < fleet_.servers; ++i) {
      const std::string name = "server-" + std::to_string(i);
      config.backend_servers.push_back(
          {name, "", std::to_string(i), "", kSlots});
    }
    servers_.resize(fleet_.servers);
    for (std::size_t i = 0; i < fleet_.servers; ++i) {
      servers_[i].name = config.backend_servers[i].name;
      servers_[i].health = MakeHealth(i);
      servers_[i].health->Configure(config, kStart);
    }
  }

  std::unique_ptr<ServiceHealth> MakeHealth(std::size_t index) {
    const std::string owner = std::to_string(index);
    HealthEndpoint*& endpoint = servers_[index].endpoint;
    switch (fleet_.strategy) {
      case Strategy::kPeerRelative:
        return std::make_unique<ServiceHealth>(owner);
      case Strategy::kNone:
        return std::make_unique<ServiceHealth>(
            owner, [](const BackendServer&, EjectionProfile) {
              return std::make_unique<NoEjection>();
            });
      case Strategy::kConsecutive:
        return std::make_unique<ServiceHealth>(
            owner, [](const BackendServer&, EjectionProfile) {
              return std::make_unique<ConsecutiveFailures>(
                  kConsecutiveFailureLimit);
            });
      case Strategy::kEndpoint:
        break;
    }
    return std::make_unique<ServiceHealth>(
        owner, [&endpoint](const BackendServer&, EjectionProfile) {
          auto evaluator = std::make_unique<HealthEndpoint>();
          endpoint = evaluator.get();
          return evaluator;
        });
  }

  Condition ConditionOf(std::size_t index, TimePoint when) const {
    const auto age =
        std::chrono::duration_cast<milliseconds>(when - kStart - kWarmUp);
    return age < milliseconds(0) ? Condition{} : scenario_.fault(index, age);
  }

  double DrawUniform() {
    return std::uniform_real_distribution<>(0, 1)(random_);
  }

  // Sends as many new jobs as the utilisation of the scenario needs in a step.
  void GenerateArrivals() {
    constexpr double kMeanMs = 0.8 * 40 + 0.2 * 120;
    const double per_step = scenario_.utilisation * kSlots *
                            static_cast<double>(servers_.size()) / kMeanMs *
                            static_cast<double>(kStep.count());
    const int count = std::poisson_distribution<>(per_step)(random_);
    for (int i = 0; i < count; ++i) {
      Job job;
      job.ticket = ++last_ticket_;
      job.is_large = DrawUniform() < 0.2;
      job.arrived = now_;
      job.deadline = now_ + kDeadline;
      ++result_.requests;
      Route(job);
    }
  }

  // Queues the job at the less loaded of two random servers that are not
  // ejected.
  void Route(Job job) {
    std::vector<std::size_t> candidates;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const ServingState state =
          servers_[i].health->StateOf(servers_[i].name, now_);
      if (state != ServingState::kEjected) {
        candidates.push_back(i);
      }
    }
    std::shuffle(candidates.begin(), candidates.end(), random_);
    std::size_t best = candidates.front();
    if (candidates.size() > 1 && LoadOf(candidates[1]) < LoadOf(best)) {
      best = candidates[1];
    }
    if (best == 0 && DrawUniform() < scenario_.short_deadline_share) {
      job.deadline = std::min(job.deadline, now_ + milliseconds(15));
      job.tries = kMaxTries;
    }
    servers_[best].waiting.push_back(job);
    StartWaitingJobs(best);
  }

  // Running and waiting jobs per usable slot.
  double LoadOf(std::size_t index) const {
    const Server& server = servers_[index];
    const std::uint32_t limit =
        std::max(1U, server.health->SlotLimitOf(server.name, now_));
    return static_cast<double>(server.running.size() + server.waiting.size()) /
           limit;
  }

  // Starts waiting jobs in free slots; drops those whose deadline has passed.
  void StartWaitingJobs(std::size_t index) {
    Server& server = servers_[index];
    while (!server.waiting.empty() &&
           server.running.size() <
               server.health->SlotLimitOf(server.name, now_)) {
      Job job = server.waiting.front();
      server.waiting.pop_front();
      if (job.deadline <= now_) {
        ++result_.failed;
        continue;
      }
      StartJob(index, job);
    }
  }

  void StartJob(std::size_t index, Job job) {
    const Condition condition = ConditionOf(index, now_);
    const double mean = job.is_large ? 120 : 40;
    const double latency_factor =
        condition.latency_factor *
        (job.is_large ? condition.job_latency_factor : 1);
    const double drawn = std::exponential_distribution<>(1)(random_);
    const double work_ms = mean * latency_factor * (0.6 + 0.4 * drawn);
    job.started = now_;
    job.fails = condition.refuses || DrawUniform() < condition.failure_ratio;
    job.ends = now_ + milliseconds(1 + static_cast<int>(work_ms));
    if (condition.refuses) {
      job.ends = now_ + milliseconds(1);
    }
    if (condition.hangs) {
      job.ends = TimePoint::max();
    }
    servers_[index].running.push_back(job);
    servers_[index].health->OnStarted(servers_[index].name, ClassOf(job),
                                      job.ticket, now_);
  }

  static const char* ClassOf(const Job& job) {
    return job.is_large ? "job" : "lookup";
  }

  // Ends jobs that are finished or past their deadline, and sends failed ones
  // again.
  void FinishJobs(std::size_t index) {
    Server& server = servers_[index];
    std::vector<Job> ended;
    std::erase_if(server.running, [&](const Job& job) {
      const bool is_over = now_ >= std::min(job.ends, job.deadline);
      if (is_over) {
        ended.push_back(job);
      }
      return is_over;
    });
    for (Job& job : ended) {
      const bool timed_out = job.ends > job.deadline;
      const bool failed = job.fails || timed_out;
      server.health->OnEnded(server.name, job.ticket);
      server.health->Record(
          server.name,
          {ClassOf(job),
           std::chrono::duration_cast<std::chrono::microseconds>(now_ -
                                                                 job.started),
           failed, timed_out},
          now_);
      if (!failed) {
        continue;
      }
      if (timed_out || ++job.tries >= kMaxTries) {
        ++result_.failed;
        continue;
      }
      job.ticket = ++last_ticket_;
      Route(job);
    }
  }

  // Advances the health state of each server to the current time, and sends the
  // lease requests that this results in.
  void Advance() {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      Server& server = servers_[i];
      if (server.endpoint != nullptr) {
        server.endpoint->SetAnswer(
            ConditionOf(i, now_ - kEndpointLag).is_endpoint_healthy);
      }
      for (OutgoingLeaseRequest& outgoing : server.health->Advance(now_)) {
        ++result_.messages;
        result_.renewals += i == 0 && IsInRenewalWindow() ? 1 : 0;
        const std::size_t to = std::stoul(outgoing.peer);
        messages_.push_back({now_ + kMessageDelay,
                             i,
                             to,
                             std::move(outgoing),
                             {},
                             now_,
                             false});
      }
      RecordEjections(i);
    }
  }

  bool IsInRenewalWindow() const {
    const auto age = now_ - kStart - kWarmUp;
    return age >= kRenewalWindowStart && age < kRenewalWindowStart + seconds(1);
  }

  // Sorts new ejections of a server into detections and false ejections.
  void RecordEjections(std::size_t index) {
    Server& server = servers_[index];
    for (const LogEvent& event : server.health->TakeLogEvents()) {
      if (event.id != LogEventId::kBackendServerEjected) {
        continue;
      }
      const bool is_expected = index == 0 && scenario_.first_is_unhealthy &&
                               now_ >= kStart + kWarmUp;
      if (!is_expected) {
        ++result_.false_ejections;
      } else if (!server.is_detected) {
        server.is_detected = true;
        result_.detections.push_back(
            std::chrono::duration_cast<milliseconds>(now_ - kStart - kWarmUp));
      }
    }
  }

  // Delivers due messages in order; a request is answered at once.
  void Deliver() {
    while (!messages_.empty() && messages_.front().due <= now_) {
      Message message = std::move(messages_.front());
      messages_.pop_front();
      if (message.is_reply) {
        servers_[message.to].health->OnReply(message.outgoing.request,
                                             message.reply, message.sent, now_);
        continue;
      }
      message.reply =
          servers_[message.to].health->Answer(message.outgoing.request, now_);
      std::swap(message.from, message.to);
      message.is_reply = true;
      message.due = now_ + kMessageDelay;
      messages_.push_back(std::move(message));
    }
  }

  // Counts usable slots and floor violations of the current step.
  void CountSlots() {
    std::uint32_t in_service = 0;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const Server& server = servers_[i];
      const std::uint32_t limit = server.health->SlotLimitOf(server.name, now_);
      in_service += limit == kSlots ? 1 : 0;
      if (!ConditionOf(i, now_).is_unhealthy()) {
        result_.healthy_slot_steps += kSlots;
        result_.wasted_slot_steps += kSlots - limit;
      }
    }
    result_.floor_violations += in_service < fleet_.floor ? 1 : 0;
  }

  const Scenario& scenario_;
  const Fleet& fleet_;
  Random random_;
  Result& result_;
  TimePoint now_;
  std::uint64_t last_ticket_ = 0;
  std::vector<Server> servers_;
  std::deque<Message> messages_;
};

// Returns the given condition for the first server and a healthy condition for
// all others.
Condition OnlyFirst(std::size_t server, const Condition& condition) {
  return server == 0 ? condition : Condition{};
}

// The first server alternates between an unhealthy and a healthy period.
Fault Flapping(milliseconds period) {
  return [period](std::size_t server, milliseconds age) {
    const bool is_unhealthy = (age / period) % 2 == 0;
    return is_unhealthy ? OnlyFirst(server, {.failure_ratio = 0.9})
                        : Condition{};
  };
}

std::vector<Scenario> MakeScenarios() {
  const auto on_first = [](Condition condition) {
    return [condition](std::size_t server, milliseconds) {
      return OnlyFirst(server, condition);
    };
  };
  const auto on_all = [](Condition condition) {
    return [condition](std::size_t, milliseconds) { return condition; };
  };
  const Fault cold_start = [](std::size_t server, milliseconds age) {
    return age < seconds(2) ? OnlyFirst(server, {.latency_factor = 3})
                            : Condition{};
  };
  return {
      {"crash", true, 0.4, 0,
       on_first({.refuses = true, .is_endpoint_healthy = false})},
      {"hang", true, 0.4, 0, on_first({.hangs = true})},
      {"slow10", true, 0.4, 0, on_first({.latency_factor = 10})},
      {"half_fail", true, 0.4, 0, on_first({.failure_ratio = 0.5})},
      {"slow_class_one", true, 0.4, 0, on_first({.job_latency_factor = 10})},
      {"flap_1s", true, 0.4, 0, Flapping(seconds(1))},
      {"flap_5s", true, 0.4, 0, Flapping(seconds(5))},
      {"flap_15s", true, 0.4, 0, Flapping(seconds(15))},
      {"crash_low_traffic", true, 0.02, 0,
       on_first({.refuses = true, .is_endpoint_healthy = false})},
      {"healthy", false, 0.4, 0, on_all({})},
      {"healthy_busy", false, 0.8, 0, on_all({})},
      {"healthy_low_traffic", false, 0.02, 0, on_all({})},
      {"slow_class_all", false, 0.2, 0, on_all({.job_latency_factor = 4})},
      {"common_fault", false, 0.4, 0,
       on_all({.failure_ratio = 0.6, .is_endpoint_healthy = false})},
      {"common_hang", false, 0.4, 0, on_all({.hangs = true})},
      {"cold_start", false, 0.4, 0, cold_start},
      {"late_path", false, 0.4, 0.5, on_all({})},
  };
}

milliseconds Percentile(std::vector<milliseconds> values, double quantile) {
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::lround(quantile * last))];
}

void Print(const std::string& name, double value, const char* unit) {
  std::printf("%s %.4g %s\n", name.c_str(), value, unit);
}

// Prints the figures of one scenario and fleet.
void PrintResult(const Scenario& scenario,
                 const Fleet& fleet,
                 const Result& result) {
  const std::string figure_suffix =
      std::string("_") + scenario.name + "_" + fleet.suffix;
  if (scenario.first_is_unhealthy) {
    Print("detection_p50_ms" + figure_suffix,
          static_cast<double>(Percentile(result.detections, 0.5).count()),
          "ms");
    Print("detection_p99_ms" + figure_suffix,
          static_cast<double>(Percentile(result.detections, 0.99).count()),
          "ms");
    Print("missed" + figure_suffix, result.missed, "runs");
  }
  Print("false_ejections" + figure_suffix, result.false_ejections, "ejections");
  Print("failed_requests" + figure_suffix,
        100.0 * static_cast<double>(result.failed) /
            static_cast<double>(std::max<std::uint64_t>(1, result.requests)),
        "%");
  Print("wasted_slots" + figure_suffix,
        100.0 * static_cast<double>(result.wasted_slot_steps) /
            static_cast<double>(
                std::max<std::uint64_t>(1, result.healthy_slot_steps)),
        "%");
  Print("messages" + figure_suffix, static_cast<double>(result.messages),
        "messages");
}

std::size_t SizeOf(const PeerRequest& request) {
  capnp::MallocMessageBuilder builder;
  Encode(request, builder.initRoot<wire::PeerRequest>());
  return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

std::size_t SizeOf(const PeerReply& reply) {
  capnp::MallocMessageBuilder builder;
  Encode(reply, builder.initRoot<wire::PeerReply>());
  return capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

// Prints the size of lease messages, and the lease traffic while one server
// stays ejected.
void PrintLeaseTraffic(std::uint64_t seed) {
  const LeaseRequest request{"restyle-works",
                             "restyle-works-1",
                             {"restyle-works-2"},
                             kMaxLeaseDuration};
  HealthDigest digest{32, 0.01, {}};
  for (const char* name : {"lookup", "booking", "restyle", "stock"}) {
    digest.latencies.push_back({name, milliseconds(40), 11});
  }
  const LeaseReply reply{{{"restyle-works-2", true, digest}}};
  const LeaseReply renewal{{{"restyle-works-2", true, {}}}};
  Print("lease_request_bytes", static_cast<double>(SizeOf(request)), "B");
  Print("lease_reply_bytes", static_cast<double>(SizeOf(reply)), "B");
  Print("lease_renewal_bytes", static_cast<double>(SizeOf(renewal)), "B");
  const Scenario crash = MakeScenarios().front();
  for (const Fleet& fleet : std::vector<Fleet>{
           {"6", Strategy::kPeerRelative, EjectionProfile::kFast, 6, 4},
           {"20", Strategy::kPeerRelative, EjectionProfile::kFast, 20, 14},
           {"500", Strategy::kPeerRelative, EjectionProfile::kFast, 500,
            350}}) {
    Result result;
    Run(crash, fleet, seed, result).Execute();
    const auto renewals = static_cast<double>(result.renewals);
    Print(std::string("renewals_per_s_") + fleet.suffix, renewals, "1/s");
    Print(std::string("renewal_bytes_per_s_") + fleet.suffix,
          renewals * static_cast<double>(SizeOf(request) + SizeOf(renewal)),
          "B/s");
  }
}

// Prints the processor time that health evaluation takes for the servers of one
// daemon, as a share of a core.
void PrintProcessorTime() {
  constexpr std::size_t kServers = 11;
  constexpr milliseconds kLength{60'000};
  ServiceConfig config;
  config.name = "bench";
  for (std::size_t i = 0; i < kServers; ++i) {
    config.backend_servers.push_back({std::to_string(i), "", "0", "", kSlots});
  }
  ServiceHealth health("0");
  health.Configure(config, kStart);
  const std::clock_t before = std::clock();
  for (milliseconds age{0}; age < kLength; age += milliseconds(10)) {
    const TimePoint now = kStart + age;
    // 25 requests per second and server, in four classes.
    for (std::size_t i = 0; i < kServers; ++i) {
      if ((age.count() / 10 + i) % 4 == 0) {
        const std::string name = std::to_string(age.count() / 40 % 4);
        health.Record(std::to_string(i), {name, milliseconds(40)}, now);
      }
    }
    health.Advance(now);
  }
  const double spent = static_cast<double>(std::clock() - before) /
                       static_cast<double>(CLOCKS_PER_SEC);
  const double length = std::chrono::duration<double>(kLength).count();
  Print("processor_11_servers", 100.0 * spent / length, "%");
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine line("Compares strategies of failure detection and ejection.");
  TCLAP::SwitchArg quick("", "quick",
                         "Three runs of each scenario and strategy, without "
                         "lease traffic and processor time.",
                         line);
  TCLAP::ValueArg<std::uint64_t> first_seed("", "seed", "First seed.", false,
                                            1001, "number", line);
  TCLAP::ValueArg<std::uint32_t> runs("", "runs",
                                      "Runs of each scenario and strategy.",
                                      false, 30, "number", line);
  TCLAP::ValueArg<std::string> only(
      "", "only", "Name of the only scenario to run.", false, "", "name", line);
  line.parse(argc, argv);
  const std::vector<Fleet> fleets = {
      {"careful", Strategy::kPeerRelative, EjectionProfile::kCareful, 6, 4},
      {"fast", Strategy::kPeerRelative, EjectionProfile::kFast, 15, 10},
      {"consecutive_6", Strategy::kConsecutive, EjectionProfile::kCareful, 6,
       4},
      {"consecutive", Strategy::kConsecutive, EjectionProfile::kFast, 15, 10},
      {"endpoint", Strategy::kEndpoint, EjectionProfile::kFast, 15, 10},
      {"none", Strategy::kNone, EjectionProfile::kFast, 15, 10},
  };
  const std::uint32_t count = quick.getValue() ? 3 : runs.getValue();
  std::uint64_t floor_violations = 0;
  std::printf(
      "# seeds %llu to %llu\n",
      static_cast<unsigned long long>(first_seed.getValue()),
      static_cast<unsigned long long>(first_seed.getValue() + count - 1));
  for (const Scenario& scenario : MakeScenarios()) {
    if (!only.getValue().empty() && only.getValue() != scenario.name) {
      continue;
    }
    for (const Fleet& fleet : fleets) {
      Result result;
      for (std::uint32_t i = 0; i < count; ++i) {
        Run(scenario, fleet, first_seed.getValue() + i, result).Execute();
      }
      PrintResult(scenario, fleet, result);
      floor_violations += result.floor_violations;
    }
  }
  if (only.getValue().empty() && !quick.getValue()) {
    PrintLeaseTraffic(first_seed.getValue());
    PrintProcessorTime();
  }
  Print("floor_violations", static_cast<double>(floor_violations), "steps");
  return floor_violations == 0 ? 0 : 1;
}

}  // namespace
}  // namespace vanillafall

int main(int argc, char** argv) {
  return vanillafall::Main(argc, argv);
}
