// An upstream is started, leaves again soon, and the daemon beside it learns of
// it from a list that is seconds old.
//
//   case RECORD DIRECTORY TROUBLE

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../standin/world.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr int kMachines = 4;
constexpr int kClientsPerMachine = 2;
// The daemon beside the new upstream has most clients.
constexpr int kClientsOfLastMachine = 24;
constexpr milliseconds kDrain{2000};
// How old lists are; the small site has up to 6 s.
constexpr milliseconds kStaleness{5000};
// When the new upstream reports that it is leaving, and when the store discards
// its history, both after its registration.
constexpr milliseconds kLeavesAfter{1500};
constexpr milliseconds kForgetsAfter{2000};
// How long the upstream serves after the report was accepted.
constexpr milliseconds kServesAfter{4600};
// Upstreams are slow for some seconds after their start.
constexpr milliseconds kColdWork{500};

constexpr char kConfig[] = R"({"version":"00000007","resources":[
{"resource_type":"routes","metadata":{"name":"r-desk"},"spec":{"host":"club.example","prefix":"/desk/","kind":"non_idempotent","timeout_s":3,"target_latency_s":0.8,"priority":1,"service":"desk","max_attempts":2}},
{"resource_type":"services","metadata":{"name":"desk"},"spec":{"health_path":"/health","max_connections":360,"protocol":"h1","tls":false}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]})";

// Statuses that clients got, by request.
struct Ledger {
  std::mutex mutex;
  std::map<std::string, int> statuses;
};

struct Fleet {
  std::vector<std::unique_ptr<Upstream>> upstreams;
  std::vector<std::unique_ptr<Machine>> machines;
};

void RunClient(Machine& machine,
               const std::string& name,
               const std::atomic<bool>& is_over,
               Ledger& ledger,
               Record& record) {
  constexpr milliseconds kDeadline{3000};
  constexpr milliseconds kPause{50};
  const std::string body(1200, 'b');
  Client client(machine.outbound());
  for (int number = 0; !is_over; ++number) {
    const std::string id = name + "-" + std::to_string(number);
    const Client::Result result =
        client.Call("POST", "/desk/on", "club.example", id, kDeadline, body);
    record.Add(id + " to " + machine.options().name + ": " + Name(result.end) +
               " " + std::to_string(result.status));
    {
      const std::lock_guard lock(ledger.mutex);
      ledger.statuses[id] = result.status;
    }
    std::this_thread::sleep_for(kPause);
  }
}

// Daemons with upstreams are ready once they have a list.
bool WaitUntilReady(Fleet& fleet) {
  constexpr int kPolls = 100;
  constexpr milliseconds kPoll{100};
  for (int i = 0; i < kPolls; ++i) {
    const bool is_ready =
        std::all_of(fleet.machines.begin(), fleet.machines.end(),
                    [](const auto& machine) { return machine->IsReady(); });
    if (is_ready) {
      return true;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

int Run(const std::string& record_path,
        const std::string& directory,
        bool has_trouble) {
  Record record(record_path);
  const std::string net = DrawNetwork();
  const int port = FindFreePorts(net + "1");
  std::string store_address = net;
  store_address.append("200:").append(std::to_string(port));
  Store store(store_address);
  store.Put("op/config", kConfig);
  Fleet fleet;
  for (int i = 0; i < kMachines; ++i) {
    Machine::Options options;
    options.name = "desk-" + std::to_string(i + 1);
    options.ip = net + std::to_string(i + 1);
    options.zone = "makati";
    options.service = "desk";
    options.store_address = store_address;
    options.backend_address = options.ip;
    options.backend_address.append(":").append(std::to_string(port + 7));
    options.directory = directory;
    options.port = port;
    // The upstream of the last machine starts later.
    if (i + 1 < kMachines) {
      fleet.upstreams.push_back(std::make_unique<Upstream>(
          Upstream::Options{options.backend_address, "i-" + options.name,
                            "desk", "makati"},
          record));
      store.Put("servers/i-" + options.name, fleet.upstreams.back()->Entry());
    }
    fleet.machines.push_back(std::make_unique<Machine>(options, record));
  }
  for (const auto& machine : fleet.machines) {
    machine->Start();
  }
  if (!WaitUntilReady(fleet)) {
    record.Add("the daemons did not become ready");
    return kCouldNotRun;
  }
  record.Add("all daemons are ready");
  std::atomic<bool> is_over{false};
  Ledger ledger;
  std::vector<std::thread> clients;
  for (const auto& machine : fleet.machines) {
    const int count = machine == fleet.machines.back() ? kClientsOfLastMachine
                                                       : kClientsPerMachine;
    for (int j = 0; j < count; ++j) {
      clients.emplace_back(
          [&machine = *machine, j, &is_over, &ledger, &record] {
            RunClient(machine, machine.options().name + "-" + std::to_string(j),
                      is_over, ledger, record);
          });
    }
  }
  // Long enough that the daemons' starts are no disturbance any more.
  std::this_thread::sleep_for(kStaleness);
  if (has_trouble) {
    store.SetStaleness(kStaleness);
    record.Add("lists are 5 s old from now on");
  }
  std::this_thread::sleep_for(milliseconds(1000));

  const Machine::Options& last = fleet.machines.back()->options();
  Upstream leaving(
      {last.backend_address, "i-new", "desk", "makati", 3, kColdWork}, record);
  const auto registered = Clock::now();
  store.Put("servers/i-new", leaving.Entry());
  record.Add("i-new has registered beside " + last.name);
  std::this_thread::sleep_until(registered + kLeavesAfter);
  const auto acknowledged = Clock::now();
  store.Put("servers/i-new", leaving.Entry("draining"));
  record.Add("the store has accepted that i-new is draining");
  std::this_thread::sleep_until(registered + kForgetsAfter);
  if (has_trouble) {
    store.ForgetHistory();
    record.Add("the store has discarded its history");
  }
  std::this_thread::sleep_until(acknowledged + kServesAfter);
  leaving.Stop();
  store.Remove("servers/i-new");
  record.Add("i-new has ended");
  std::this_thread::sleep_for(milliseconds(1000));
  is_over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  int late = 0;
  int lost = 0;
  for (const auto& [id, at] : leaving.Starts()) {
    const auto after =
        std::chrono::duration_cast<milliseconds>(at - acknowledged);
    if (after > kDrain) {
      constexpr int kOk = 200;
      const int status = ledger.statuses[id];
      ++late;
      lost += status == kOk ? 0 : 1;
      record.Add("DRAIN " + id + ": reached i-new " +
                 std::to_string(after.count()) +
                 " ms after it was acknowledged that it is draining, client "
                 "got " +
                 std::to_string(status));
    }
  }
  record.Add(std::to_string(leaving.Starts().size()) +
             " requests reached i-new, " + std::to_string(late) +
             " of them more than 2 s after its leaving was acknowledged, " +
             std::to_string(lost) + " of these got no answer of it");
  return late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  constexpr int kArguments = 4;
  if (argc != kArguments) {
    std::fprintf(stderr, "usage: case RECORD DIRECTORY TROUBLE\n");
    return review::kCouldNotRun;
  }
  return review::Run(argv[1], argv[2], std::string(argv[3]) != "0");
}
