// Measures how fast configuration changes reach the configuration managers of
// many daemons, and the traffic that this takes. Runs in one process on a
// simulated clock with a fixed seed. Prints one line per figure: "name value
// unit".

#include <capnp/message.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>

#include "control/config_fleet_fake.h"
#include "wire/codec.h"

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Simulated time between the start of the fleet and the measurement of its
// traffic.
constexpr seconds kStartTime{60};
// Simulated time in which traffic without changes is measured.
constexpr seconds kQuietTime{60};
// Upper bound of the wait until a configuration is in force on all daemons.
constexpr seconds kMaxSpreadTime{60};
constexpr int kChanges = 20;

struct Arguments {
  std::size_t daemons = 0;
  std::size_t data_centres = 0;
  std::size_t services = 0;
  std::uint64_t seed = 0;
};

// Encoded size of a message in bytes, as the transport counts it.
template <typename Wire, typename Message>
std::size_t SizeOf(const Message& message) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<Wire>();
  Encode(message, root);
  return root.asReader().totalSize().wordCount * sizeof(capnp::word);
}

void Print(const std::string& name, double value, const std::string& unit) {
  std::cout << name << " " << value << " " << unit << "\n";
}

// Quantile is between 0 and 1; the values must be sorted and not empty.
double Percentile(const std::vector<double>& sorted, double quantile) {
  const double last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(quantile * last)];
}

// Runs all measurements on one simulated fleet.
class Bench {
 public:
  explicit Bench(const Arguments& arguments)
      : arguments_(arguments), fleet_(MakeOptions(arguments)) {
    fleet_.SetSizers(&SizeOf<wire::PeerRequest, PeerRequest>,
                     &SizeOf<wire::PeerReply, PeerReply>);
  }

  void Run() {
    Print("daemons", static_cast<double>(arguments_.daemons), "daemons");
    MeasureStart();
    MeasureQuiet();
    MeasureChanges();
  }

 private:
  static ConfigFleetFake::Options MakeOptions(const Arguments& arguments) {
    ConfigFleetFake::Options options;
    options.daemons = arguments.daemons;
    options.data_centres = arguments.data_centres;
    options.seed = arguments.seed;
    return options;
  }

  // The next version, with changes to the services of these indexes.
  FakePublication MakePublication(const std::set<std::size_t>& changed) {
    return fleet_.Make(latest_.version.number + 1, latest_, changed,
                       arguments_.services);
  }

  // All daemons start at once with a published configuration.
  void MeasureStart() {
    latest_ = MakePublication({});
    fleet_.Publish(latest_);
    fleet_.StartAll();
    const Duration time = fleet_.RunUntilAll(latest_.version, kMaxSpreadTime);
    Print("start_all_in_force_ms",
          static_cast<double>(duration_cast<milliseconds>(time).count()), "ms");
    Print("start_most_platform_calls",
          static_cast<double>(fleet_.GetAndResetMaxCallsInSecond()), "calls/s");
    fleet_.Run(kStartTime);
  }

  // Background traffic while the configuration does not change.
  void MeasureQuiet() {
    fleet_.ResetTraffic();
    const std::uint64_t calls = fleet_.platform_calls();
    fleet_.Run(kQuietTime);
    PrintTraffic("quiet", kQuietTime);
    Print("quiet_platform_calls_per_s",
          static_cast<double>(fleet_.platform_calls() - calls) /
              static_cast<double>(kQuietTime.count()),
          "calls/s");
    Print("watchers", static_cast<double>(fleet_.CountWatchers()), "daemons");
  }

  // Publishes kChanges changes, each to the first service and one other, and
  // measures how long each daemon takes to put them in force.
  void MeasureChanges() {
    std::vector<double> times;
    fleet_.ResetTraffic();
    const TimePoint begin = fleet_.now();
    for (int change = 1; change <= kChanges; ++change) {
      latest_ = MakePublication(
          {static_cast<std::size_t>(change) % arguments_.services});
      const TimePoint published = fleet_.now();
      fleet_.Publish(latest_);
      fleet_.RunUntilAll(latest_.version, kMaxSpreadTime);
      for (const ConfigFleetFake::Node& node : fleet_.nodes()) {
        const std::chrono::duration<double, std::milli> time =
            node.in_force - published;
        times.push_back(time.count());
      }
      fleet_.Run(seconds(3));
    }
    std::sort(times.begin(), times.end());
    constexpr double kP50 = 0.5;
    constexpr double kP99 = 0.99;
    Print("config_in_force_p50_ms", Percentile(times, kP50), "ms");
    Print("config_in_force_p99_ms", Percentile(times, kP99), "ms");
    Print("config_in_force_last_ms", times.back(), "ms");
    PrintTraffic("changing", duration_cast<seconds>(fleet_.now() - begin));
    Print("changing_changes", kChanges, "changes");
  }

  // Prints bytes and messages per second since the last reset: the mean of all
  // daemons, and the bytes of the daemon with the highest traffic.
  void PrintTraffic(const std::string& phase, seconds time) {
    std::uint64_t bytes = 0;
    std::uint64_t messages = 0;
    std::uint64_t max_bytes = 0;
    for (const ConfigFleetFake::Node& node : fleet_.nodes()) {
      bytes += node.bytes;
      messages += node.messages;
      max_bytes = std::max(max_bytes, node.bytes);
    }
    const double daemon_seconds = static_cast<double>(time.count()) *
                                  static_cast<double>(fleet_.nodes().size());
    Print(phase + "_bytes_per_daemon",
          static_cast<double>(bytes) / daemon_seconds, "B/s");
    Print(phase + "_messages_per_daemon",
          static_cast<double>(messages) / daemon_seconds, "messages/s");
    Print(phase + "_most_bytes_of_a_daemon",
          static_cast<double>(max_bytes) / static_cast<double>(time.count()),
          "B/s");
  }

  const Arguments arguments_;
  ConfigFleetFake fleet_;
  FakePublication latest_;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine line(
      "Measures how fast configuration changes reach all daemons");
  TCLAP::ValueArg<std::size_t> daemons("", "daemons", "daemons", false, 120,
                                       "COUNT", line);
  TCLAP::ValueArg<std::size_t> centres("", "data-centres", "data centres",
                                       false, 7, "COUNT", line);
  TCLAP::ValueArg<std::size_t> services("", "services", "services", false, 470,
                                        "COUNT", line);
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed", false, 1, "SEED",
                                      line);
  TCLAP::SwitchArg quick("", "quick", "use 40 daemons and 100 services", line);
  line.parse(argc, argv);
  constexpr std::size_t kQuickDaemons = 40;
  constexpr std::size_t kQuickServices = 100;
  Bench({quick.getValue() ? kQuickDaemons : daemons.getValue(),
         centres.getValue(),
         quick.getValue() ? kQuickServices : services.getValue(),
         seed.getValue()})
      .Run();
  return 0;
}

}  // namespace
}  // namespace vanillafall

int main(int argc, char** argv) {
  return vanillafall::Main(argc, argv);
}
