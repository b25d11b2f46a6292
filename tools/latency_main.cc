// Measures the latency that daemons add to a request, and the processor time
// that a request costs them.
//
// The same request is sent in turn directly to the backend server, through the
// daemon on the same instance, and through another daemon, so that changes in
// machine load affect all three paths alike. Then many callers send through two
// daemons at once, and the processor time of the given processes is divided by
// the number of requests. Prints one line per figure: "name value unit".

#include <curl/curl.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "base/outcome.h"
#include "tools/http_caller.h"

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kTimeout{2000};
constexpr int kHttpOk = 200;
constexpr int kWarmUpRounds = 50;

// One way for a request to reach the backend server.
struct Path {
  std::string name;
  std::string address;
  std::vector<microseconds> latencies;
  std::size_t failures = 0;
};

HttpRequest MakeRequest(const std::string& target) {
  return {"GET",
          target,
          {{"Vanillafall-Tenant", "measure"}, {"X-Request-Id", "r"}},
          ""};
}

// Whether the call was answered with status 200.
bool IsDone(const HttpCaller::Result& result) {
  return result.end == HttpCaller::End::kAnswered &&
         result.response.status == kHttpOk;
}

// Sends the request once and records latency and failure in the path.
void SendOne(HttpCaller& caller, const HttpRequest& request, Path& path) {
  const auto sent = steady_clock::now();
  const HttpCaller::Result result =
      caller.Call(path.address, request, kTimeout);
  path.latencies.push_back(
      duration_cast<microseconds>(steady_clock::now() - sent));
  path.failures += IsDone(result) ? 0 : 1;
}

// Sends the request over each path in turn. The results of the warm-up rounds
// are discarded, and the latencies are sorted at the end.
void MeasureLatencies(const HttpRequest& request,
                      int rounds,
                      std::vector<Path>& paths) {
  HttpCaller caller;
  for (int i = 0; i < rounds + kWarmUpRounds; ++i) {
    if (i == kWarmUpRounds) {
      for (Path& path : paths) {
        path = {path.name, path.address, {}, 0};
      }
    }
    for (Path& path : paths) {
      SendOne(caller, request, path);
    }
  }
  for (Path& path : paths) {
    std::sort(path.latencies.begin(), path.latencies.end());
  }
}

// Quantile is between 0 and 1; the latencies must be sorted.
microseconds Percentile(const Path& path, double quantile) {
  const auto last = static_cast<double>(path.latencies.size() - 1);
  return path.latencies[static_cast<std::size_t>(quantile * last)];
}

struct NamedPercentile {
  const char* name;
  double quantile;
};
constexpr std::array<NamedPercentile, 3> kPercentiles = {
    {{"p50", 0.5}, {"p99", 0.99}, {"p999", 0.999}}};

// Prints the latency of each path and how much it exceeds the direct path's.
// The first path must be the direct path, and the last one the path through two
// daemons.
void PrintLatencies(const std::vector<Path>& paths) {
  const Path& direct = paths.front();
  for (const Path& path : paths) {
    for (const NamedPercentile& each : kPercentiles) {
      const microseconds value = Percentile(path, each.quantile);
      std::cout << "latency_" << path.name << "_" << each.name << "_us "
                << value.count() << " us\n";
      if (&path == &direct) {
        continue;
      }
      const microseconds added = value - Percentile(direct, each.quantile);
      // The figure for two daemons represents the fleet, so its name is the one
      // without "one_daemon_".
      const bool is_two = &path == &paths.back();
      std::cout << "added_latency_" << (is_two ? "" : "one_daemon_")
                << each.name << "_us " << added.count() << " us\n";
    }
    std::cout << "latency_" << path.name << "_failures " << path.failures
              << " requests\n";
  }
}

// User and system time that a process has used so far, from /proc.
milliseconds ProcessorTime(int pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  std::getline(in, line);
  // The second field is the program name in parentheses, which may contain
  // spaces.
  std::istringstream fields(line.substr(line.rfind(')') + 2));
  std::string skipped;
  constexpr int kFieldsBeforeUserTime = 11;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> skipped;
  }
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  return milliseconds((user + system) * 1000 / sysconf(_SC_CLK_TCK));
}

// Sum of the processor times of all given processes.
milliseconds ProcessorTime(const std::vector<int>& pids) {
  milliseconds total{0};
  for (const int pid : pids) {
    total += ProcessorTime(pid);
  }
  return total;
}

// Sends requests from one thread per caller for the given time and prints
// throughput and processor time per request.
void MeasureCost(const HttpRequest& request,
                 const std::string& address,
                 const std::vector<int>& pids,
                 std::size_t callers,
                 milliseconds time) {
  std::atomic<std::size_t> done{0};
  std::atomic<std::size_t> failed{0};
  const milliseconds before = ProcessorTime(pids);
  const auto until = steady_clock::now() + time;
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < callers; ++i) {
    threads.emplace_back([&] {
      HttpCaller caller;
      while (steady_clock::now() < until) {
        (IsDone(caller.Call(address, request, kTimeout)) ? done : failed)++;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const milliseconds spent = ProcessorTime(pids) - before;
  const auto requests = static_cast<double>(done.load());
  std::cout << "throughput_two_daemons "
            << requests * 1000 / static_cast<double>(time.count())
            << " requests/s\n"
            << "throughput_failures " << failed.load() << " requests\n"
            << "requests_per_core_s "
            << requests * 1000 /
                   static_cast<double>(std::max<std::int64_t>(1, spent.count()))
            << " requests/s\n"
            << "cpu_per_request_us "
            << static_cast<double>(spent.count()) * 1000 /
                   std::max(1.0, requests)
            << " us\n";
}

int Main(int argc, const char* const* argv) {
  TCLAP::CmdLine line(
      "Measures the latency and processor time that daemons add to a request");
  TCLAP::ValueArg<std::string> direct("", "direct",
                                      "address of the backend server", true, "",
                                      "HOST:PORT", line);
  TCLAP::ValueArg<std::string> one("", "one",
                                   "address of the daemon on the same instance",
                                   true, "", "HOST:PORT", line);
  TCLAP::ValueArg<std::string> two("", "two", "address of another daemon", true,
                                   "", "HOST:PORT", line);
  TCLAP::ValueArg<std::string> target("", "target", "target of the requests",
                                      false, "/measure/1", "PATH", line);
  TCLAP::ValueArg<int> rounds("", "rounds", "requests on each path", false,
                              3000, "N", line);
  TCLAP::ValueArg<int> ms("", "ms", "time of the run at full load", false, 3000,
                          "MS", line);
  TCLAP::ValueArg<std::size_t> callers("", "callers", "callers at full load",
                                       false, 16, "N", line);
  TCLAP::MultiArg<int> pids(
      "", "pid", "process whose processor time is counted", false, "PID", line);
  line.parse(argc, argv);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const HttpRequest request = MakeRequest(target.getValue());
  std::vector<Path> paths = {{"direct", direct.getValue(), {}, 0},
                             {"one_daemon", one.getValue(), {}, 0},
                             {"two_daemons", two.getValue(), {}, 0}};
  MeasureLatencies(request, rounds.getValue(), paths);
  PrintLatencies(paths);
  MeasureCost(request, two.getValue(), pids.getValue(), callers.getValue(),
              milliseconds(ms.getValue()));
  return 0;
}

}  // namespace
}  // namespace vanillafall

int main(int argc, char** argv) {
  return vanillafall::Main(argc, argv);
}
