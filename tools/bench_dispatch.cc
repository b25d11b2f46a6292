// Runs simulated loads through a fleet of dispatchers in one process and prints
// the share of requests by result. The same seeds give the same figures, so two
// builds can be compared.

#include <tclap/CmdLine.h>

#include <cstdio>
#include <string>
#include <vector>

#include "dispatch/dispatch_emulator.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Load = DispatchEmulator::Load;
using Outcomes = DispatchEmulator::Outcomes;

// A load and the name under which its results are printed.
struct Scenario {
  std::string name;
  Load load;
};

// A fleet with gray failures: each server has failing phases at random times,
// independent of the other servers.
Load GrayFailureLoad(double requests_per_second) {
  Load load;
  load.servers = 21;
  load.requests_per_second = requests_per_second;
  load.phase_share = 0.3;
  load.error_share = 0.012;
  load.length = seconds(60);
  return load;
}

std::vector<Scenario> MakeScenarios() {
  std::vector<Scenario> scenarios;
  scenarios.push_back({"gray, third of the slots", GrayFailureLoad(70)});
  scenarios.push_back({"gray, half of the slots", GrayFailureLoad(115)});
  scenarios.push_back({"gray, three quarters", GrayFailureLoad(170)});
  Load six_servers = GrayFailureLoad(25);
  six_servers.servers = 6;
  six_servers.work = milliseconds(150);
  scenarios.push_back({"gray, six servers", six_servers});
  Load sixty_servers = GrayFailureLoad(340);
  sixty_servers.servers = 60;
  sixty_servers.slots = 5;
  sixty_servers.work = milliseconds(400);
  sixty_servers.target_latency = milliseconds(1200);
  sixty_servers.time_limit = milliseconds(3000);
  scenarios.push_back({"gray, sixty servers", sixty_servers});
  sixty_servers.requests_per_second = 450;
  scenarios.push_back({"gray, sixty, more load", sixty_servers});
  return scenarios;
}

// Adds the counts of one run to a sum.
void Add(const Outcomes& from, Outcomes* to) {
  to->requests += from.requests;
  to->in_time += from.in_time;
  to->late += from.late + from.late_after_retry;
  to->failed += from.failed;
  to->failed_idempotent += from.failed_idempotent;
  to->refused += from.refused;
  to->repeats += from.repeats;
  to->messages += from.messages;
  to->guarantee_violations += from.guarantee_violations;
}

// Runs the scenario with seeds 1 to `seeds` and prints the sum as one row.
void RunScenario(Scenario scenario, int seeds) {
  Outcomes sum;
  for (int seed = 1; seed <= seeds; ++seed) {
    scenario.load.seed = static_cast<std::uint64_t>(seed);
    Add(DispatchEmulator(scenario.load).Run(), &sum);
  }
  const double request_count = sum.requests;
  std::printf("%-26s %8d %8.4f %8.4f %8.4f %8.4f %8.4f %8.4f %9.2f\n",
              scenario.name.c_str(), sum.requests, sum.in_time / request_count,
              sum.late / request_count, sum.failed / request_count,
              sum.failed_idempotent / request_count,
              sum.refused / request_count, sum.repeats / request_count,
              static_cast<double>(sum.messages) / request_count);
}

int Main(int argc, const char* const* argv) {
  TCLAP::CmdLine line(
      "Runs simulated loads through dispatchers and prints the results.", ' ',
      VF_VERSION);
  TCLAP::ValueArg<int> seeds(
      "", "seeds", "number of runs of each load, with seeds from 1 on", false,
      4, "COUNT", line);
  TCLAP::ValueArg<int> only(
      "", "load", "number of the only load to run, from 1 on; 0 runs all",
      false, 0, "NUMBER", line);
  line.parse(argc, argv);
  std::printf("%-26s %8s %8s %8s %8s %8s %8s %8s %9s\n", "load", "asked",
              "in time", "late", "failed", "(idem.)", "refused", "repeats",
              "messages");
  int number = 0;
  for (const Scenario& scenario : MakeScenarios()) {
    ++number;
    if (only.getValue() == 0 || only.getValue() == number) {
      RunScenario(scenario, seeds.getValue());
    }
  }
  return 0;
}

}  // namespace
}  // namespace vanillafall

int main(int argc, char** argv) {
  return vanillafall::Main(argc, argv);
}
