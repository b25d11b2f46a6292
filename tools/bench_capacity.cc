// Measures the unit costs from which docs/CAPACITY.md calculates the capacity
// of a fleet: memory per service, backend server and key, and processor time
// per request, configuration change and tick. Runs in one process without a
// network. Prints one line per figure: "name value unit".

#include <malloc.h>

#include <chrono>
#include <ctime>
#include <functional>
#include <iostream>
#include <memory>
#include <string>

#include "config/document.h"
#include "decision/engine.h"
#include "decision/execution_guard.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;

// The fleet size that the capacity is planned for.
constexpr int kServices = 470;
constexpr int kBackendServers = 12'000;
constexpr int kRoutes = 2500;
constexpr int kCustomers = 79'000;
constexpr int kDaemons = 1100;

void Print(const std::string& name, double value, const char* unit) {
  std::cout << name << " " << value << " " << unit << "\n";
}

// Bytes that are allocated from the heap.
std::size_t HeapBytesInUse() {
  return mallinfo2().uordblks;
}

// Processor time that this process has used so far.
double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

// Runs the body the given number of times and returns its mean processor time
// in microseconds. The body receives the number of the run.
double MicrosecondsPerRun(int runs, const std::function<void(int)>& body) {
  const double before = ProcessorSeconds();
  for (int run = 0; run < runs; ++run) {
    body(run);
  }
  return (ProcessorSeconds() - before) * 1e6 / runs;
}

// The peer address of a daemon.
PeerAddress OwnerAddress(int daemon) {
  return "10." + std::to_string(daemon / 250) + ".0." +
         std::to_string(daemon % 250) + ":7100";
}

// A service whose backend servers are spread over the daemons of the fleet.
ServiceConfig MakeService(int index, int servers, int routes, int customers) {
  ServiceConfig service;
  service.name = "service-" + std::to_string(index);
  service.number = 1;
  service.floor = static_cast<std::uint32_t>(servers * 3 / 4 + 1);
  service.resend_window = std::chrono::minutes(15);
  for (int route = 0; route < routes; ++route) {
    service.routes.push_back(
        {"/s" + std::to_string(index) + "/r" + std::to_string(route),
         "class-" + std::to_string(route),
         {"POST"}});
  }
  for (int customer = 0; customer < customers; ++customer) {
    service.callers.push_back("tenant-" + std::to_string(index) + "-" +
                              std::to_string(customer));
  }
  for (int server = 0; server < servers; ++server) {
    const int daemon = (index * servers + server) % kDaemons;
    service.backend_servers.push_back(
        {service.name + "-" + std::to_string(server),
         "10.9." + std::to_string(server % 250) + ".1:8000",
         OwnerAddress(daemon), "centre-" + std::to_string(daemon % 7), 3});
  }
  return service;
}

// Makes the given number of services, each with the average size of a planned
// service.
std::shared_ptr<FleetConfig> MakeFleet(int services) {
  auto config = std::make_shared<FleetConfig>();
  config->manifest_number = 1;
  for (int index = 0; index < services; ++index) {
    ServiceConfig service =
        MakeService(index, kBackendServers / kServices, kRoutes / kServices,
                    kCustomers / kServices);
    config->services[service.name] = std::move(service);
  }
  return config;
}

// Memory of the parsed configuration for a growing number of services.
void MeasureConfigMemory() {
  for (const int services : {kServices / 4, kServices / 2, kServices}) {
    const std::size_t start = HeapBytesInUse();
    const auto config = MakeFleet(services);
    const auto bytes = static_cast<double>(HeapBytesInUse() - start);
    Print("capacity_config_mb_" + std::to_string(services) + "_services",
          bytes / 1e6, "MB");
    Print("capacity_config_bytes_per_service_" + std::to_string(services),
          bytes / services, "B");
  }
}

// Size of the encoded documents, and processor time to decode them.
void MeasureDocuments() {
  const ServiceConfig service =
      MakeService(0, kBackendServers / kServices, kRoutes / kServices,
                  kCustomers / kServices);
  const std::string body = EncodeService(service);
  Print("capacity_service_document_bytes", static_cast<double>(body.size()),
        "B");
  Manifest manifest;
  for (int index = 0; index < kServices; ++index) {
    manifest.entries.push_back(
        {"service-" + std::to_string(index), 1, DigestOf(body)});
  }
  const std::string text = EncodeManifest(manifest);
  Print("capacity_manifest_bytes", static_cast<double>(text.size()), "B");
  Print("capacity_decode_service_us",
        MicrosecondsPerRun(200, [&body](int) { DecodeService(body); }), "us");
  Print("capacity_decode_manifest_us",
        MicrosecondsPerRun(200, [&text](int) { DecodeManifest(text); }), "us");
}

// Memory and vote time of an execution guard, per key.
void MeasureKeys() {
  const ServiceConfig service = MakeService(0, 5, 1, 1);
  FleetConfig config;
  config.services[service.name] = service;
  const TimePoint now = TimePoint() + std::chrono::hours(10);
  for (const int keys : {20'000, 80'000}) {
    ExecutionGuard guard(service.Owners().front(), 1'000'000, TimePoint(),
                         milliseconds(0));
    guard.Configure(config, TimePoint());
    for (const PeerAddress& owner : service.Owners()) {
      guard.OnPeerUpToDate(owner);
    }
    const std::size_t start = HeapBytesInUse();
    const double microseconds = MicrosecondsPerRun(keys, [&](int number) {
      VoteRequest vote;
      vote.service = service.name;
      vote.key = HashParts({std::to_string(number)});
      vote.attempt = {1, static_cast<std::uint64_t>(number) + 1};
      vote.owner = service.Owners().front();
      vote.service_number = 1;
      const VoteReply reply = guard.Vote(vote, service, now);
      if (reply.result == VoteResult::kGranted) {
        guard.Settle({service.name, vote.key, vote.attempt, Outcome::kDone},
                     service, now);
      }
    });
    const std::string suffix = std::to_string(keys);
    Print("capacity_guard_keys_held_" + suffix,
          static_cast<double>(guard.key_count()), "keys");
    Print("capacity_guard_bytes_per_key_" + suffix,
          static_cast<double>(HeapBytesInUse() - start) / keys, "B");
    Print("capacity_guard_vote_us_" + suffix, microseconds, "us");
  }
}

// One engine that acts as both the entry and the owner of every request, with
// the configuration of a whole fleet.
class SingleDaemon {
 public:
  explicit SingleDaemon(const FleetConfigPtr& config)
      : engine_({OwnerAddress(0), "centre-0", 1, 1}, Limits{}, TimePoint()) {
    Handle(ConfigChanged{config});
  }

  void Handle(const Event& event) {
    actions_.clear();
    engine_.Handle(event, now_, actions_);
  }

  // Handles a lookup from the caller's request to its answer. The reply of the
  // owner or the backend server is prepared, so only decisions are measured.
  void Lookup(int number) {
    CallerRequest request;
    request.id = static_cast<RequestId>(number) + 1;
    request.time_left = milliseconds(1000);
    request.request.method = "GET";
    const int service = number % kServices;
    request.request.target = "/s" + std::to_string(service) + "/r0/7";
    request.request.headers = {
        {kCustomerHeader, "tenant-" + std::to_string(service) + "-7"}};
    now_ += std::chrono::microseconds(100);
    Handle(request);
    const Actions requested = actions_;
    for (const Action& action : requested) {
      Answer(action);
    }
  }

  void Tick() {
    now_ += kTickPeriod;
    Handle(vanillafall::Tick{});
  }

  int answered() const { return answered_; }
  std::size_t owned_backend_server_count() const {
    return engine_.GetStatus(now_).size();
  }

 private:
  // Replies to a call that the engine made, and counts answers to callers.
  void Answer(const Action& action) {
    if (const auto* peer_request = std::get_if<AskPeer>(&action)) {
      RunReply reply;
      reply.outcome = Outcome::kDone;
      reply.reason = Reason::kOk;
      reply.response.status = 200;
      Handle(PeerReplied{peer_request->call, PeerReply(reply)});
    } else if (const auto* call = std::get_if<CallBackend>(&action)) {
      BackendReplied reply{call->call, BackendEnd::kAnswered, {}};
      reply.response.status = 200;
      Handle(reply);
    }
    for (const Action& each : actions_) {
      answered_ += std::holds_alternative<AnswerCaller>(each) ? 1 : 0;
    }
  }

  TimePoint now_ = TimePoint() + std::chrono::hours(10);
  Actions actions_;
  int answered_ = 0;
  Engine engine_;
};

// Memory of an engine, and processor time per lookup, tick and change.
void MeasureEngine() {
  const auto config = MakeFleet(kServices);
  const std::size_t with_config = HeapBytesInUse();
  SingleDaemon daemon(config);
  Print("capacity_engine_mb_besides_config",
        static_cast<double>(HeapBytesInUse() - with_config) / 1e6, "MB");
  constexpr int kLookups = 20'000;
  const double lookup =
      MicrosecondsPerRun(kLookups, [&daemon](int run) { daemon.Lookup(run); });
  Print("capacity_lookup_decisions_us", lookup, "us");
  Print("capacity_lookups_answered", daemon.answered(), "requests");
  const double tick =
      MicrosecondsPerRun(2000, [&daemon](int) { daemon.Tick(); });
  Print("capacity_tick_us", tick, "us");
  const double ticks_per_second = 1000.0 / kTickPeriod.count();
  Print("capacity_tick_percent_of_core", tick * ticks_per_second / 1e4, "%");
  auto next = std::make_shared<FleetConfig>(*config);
  int number = 1;
  const double change = MicrosecondsPerRun(20, [&](int) {
    auto changed = std::make_shared<FleetConfig>(*next);
    changed->manifest_number = static_cast<std::uint64_t>(++number);
    daemon.Handle(ConfigChanged{changed});
  });
  Print("capacity_change_us", change, "us");
  Print("capacity_owned_backend_servers",
        static_cast<double>(daemon.owned_backend_server_count()), "servers");
}

int Main() {
  MeasureConfigMemory();
  MeasureDocuments();
  MeasureKeys();
  MeasureEngine();
  return 0;
}

}  // namespace
}  // namespace vanillafall

int main() {
  return vanillafall::Main();
}
