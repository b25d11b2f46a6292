// Some machines lose their path to the store for some seconds. Just after it is
// back, the entries of their upstreams are removed, and the daemons go on
// sending requests to them.
//
//   case RECORD DIRECTORY TROUBLE

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../standin/world.h"

namespace review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

constexpr int kMachines = 12;
// A sixth of the machines, all of one zone.
constexpr int kCutMachines = 2;
constexpr int kClientsPerMachine = 6;
constexpr milliseconds kWork{60};
constexpr milliseconds kDrain{2000};
constexpr milliseconds kContact{3000};
constexpr milliseconds kCutTime{3800};
// From the end of the cut to the removal of the entries.
constexpr milliseconds kRemovedAfter{500};
// How long the upstreams serve after that.
constexpr milliseconds kServesAfter{3500};

constexpr char kConfig[] = R"({"version":"00000007","resources":[
{"resource_type":"routes","metadata":{"name":"r-desk"},"spec":{"host":"club.example","prefix":"/desk/","kind":"non_idempotent","timeout_s":3,"target_latency_s":0.8,"priority":1,"service":"desk","max_attempts":2}},
{"resource_type":"services","metadata":{"name":"desk"},"spec":{"health_path":"/health","max_connections":360,"protocol":"h1","tls":false}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}]})";

struct Fleet {
  std::vector<std::unique_ptr<StorePath>> paths;
  std::vector<std::unique_ptr<Upstream>> upstreams;
  std::vector<std::unique_ptr<Machine>> machines;
};

void RunClient(Machine& machine,
               const std::string& name,
               const std::atomic<bool>& is_over,
               Record& record) {
  constexpr milliseconds kDeadline{3000};
  constexpr milliseconds kPause{20};
  constexpr int kOk = 200;
  const std::string body(1200, 'b');
  Client client(machine.outbound());
  for (int number = 0; !is_over; ++number) {
    const std::string id = name + "-" + std::to_string(number);
    const Client::Result result =
        client.Call("POST", "/desk/on", "club.example", id, kDeadline, body);
    if (result.status != kOk) {
      record.Add(id + " to " + machine.options().name + ": " +
                 Name(result.end) + " " + std::to_string(result.status));
    }
    std::this_thread::sleep_for(kPause);
  }
}

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
    const bool is_cut = i < kCutMachines;
    Machine::Options options;
    options.name = "desk-" + std::to_string(i + 1);
    options.ip = net + std::to_string(i + 1);
    options.zone = is_cut ? "makati" : "quezon";
    options.service = "desk";
    options.store_address = options.ip;
    options.store_address.append(":").append(std::to_string(port + 8));
    options.backend_address = options.ip;
    options.backend_address.append(":").append(std::to_string(port + 7));
    options.directory = directory;
    options.port = port;
    fleet.paths.push_back(
        std::make_unique<StorePath>(options.store_address, store_address));
    fleet.upstreams.push_back(std::make_unique<Upstream>(
        Upstream::Options{options.backend_address, "i-" + options.name, "desk",
                          options.zone, 3, kWork},
        record));
    store.Put("servers/i-" + options.name, fleet.upstreams.back()->Entry());
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
  std::vector<std::thread> clients;
  for (const auto& machine : fleet.machines) {
    for (int j = 0; j < kClientsPerMachine; ++j) {
      clients.emplace_back([&machine = *machine, j, &is_over, &record] {
        RunClient(machine, machine.options().name + "-" + std::to_string(j),
                  is_over, record);
      });
    }
  }
  std::this_thread::sleep_for(kContact + milliseconds(1000));
  if (has_trouble) {
    for (int i = 0; i < kCutMachines; ++i) {
      fleet.paths[static_cast<std::size_t>(i)]->Cut();
    }
    record.Add("two machines are cut off from the store");
  }
  std::this_thread::sleep_for(kCutTime);
  for (int i = 0; i < kCutMachines; ++i) {
    fleet.paths[static_cast<std::size_t>(i)]->Heal();
  }
  const auto healed = Clock::now();
  record.Add("their paths work again");
  std::this_thread::sleep_until(healed + kRemovedAfter);
  const auto acknowledged = Clock::now();
  for (int i = 0; i < kCutMachines; ++i) {
    store.Remove("servers/i-desk-" + std::to_string(i + 1));
  }
  record.Add("the store has removed the entries of their upstreams");
  std::this_thread::sleep_until(acknowledged + kServesAfter);
  int late = 0;
  for (int i = 0; i < kCutMachines; ++i) {
    Upstream& upstream = *fleet.upstreams[static_cast<std::size_t>(i)];
    upstream.Stop();
    for (const auto& [id, at] : upstream.Starts()) {
      // The machines are in touch again kContact after the cut.
      if (at > acknowledged + kDrain && at > healed + kContact) {
        ++late;
        std::string line = "DRAIN " + id + ": reached ";
        line.append(upstream.options().id).append(" ");
        line.append(std::to_string(
            std::chrono::duration_cast<milliseconds>(at - acknowledged)
                .count()));
        record.Add(line.append(" ms after its removal was acknowledged"));
      }
    }
  }
  record.Add("their upstreams have ended");
  std::this_thread::sleep_for(milliseconds(500));
  is_over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  record.Add(std::to_string(late) +
             " requests reached upstreams later than 2 s after the removal of "
             "their entries and 3 s after the cut");
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
