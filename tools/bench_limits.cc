// Measures limits over the whole fleet: the cost of a decision, the messages of
// each daemon, and, in simulated time with a fixed seed, how credits compare
// with equal shares and with gossiped counts. Prints one line per figure:
// "name value unit".

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "limit/limit_emulator.h"

namespace vanillafall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

constexpr std::uint64_t kSeed = 20'261'206;
constexpr double kHeadroom = 1.6;
constexpr double kSurge = 7.5;
// A CreditRequest or a CreditReply on a link, packed, with the name of a
// customer of 10 characters.
constexpr double kMessageBytes = 50;

void Print(const std::string& name, double value, const char* unit) {
  std::printf("%s %.4g %s\n", name.c_str(), value, unit);
}

// Limits everything alike and replies to nothing.
class SilentDelegate final : public FleetLimiter::Delegate {
 public:
  void SendCreditRequest(const PeerAddress& /*daemon*/,
                         const CreditRequest& /*request*/) override {}
  void SendCreditReply(FleetLimiter::CreditLink /*link*/,
                       const CreditReply& /*reply*/) override {}
  void OnDecided(FleetLimiter::Ticket /*ticket*/,
                 const FleetLimiter::Verdict& /*verdict*/) override {}
  std::optional<FleetLimit> FindLimit(const std::string& /*name*/) override {
    return FleetLimit{1e6, 1e6};
  }
  std::uint64_t ConfigVersion() override { return 1; }
};

// The allocator's own decisions, which include those of a user.
void MeasureDecisions(std::size_t customers) {
  constexpr std::size_t kDecisions = 2'000'000;
  SilentDelegate delegate;
  FleetLimiter limiter({"self", kSeed}, delegate);
  TimePoint now{seconds(1000)};
  limiter.SetMembers({{"self"}}, now);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < customers; ++i) {
    names.push_back("customer/c" + std::to_string(i));
    limiter.Request(names.back(), i, now);
  }
  std::mt19937_64 random(kSeed);
  std::uniform_int_distribution<std::size_t> draw(0, customers - 1);
  const auto start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kDecisions; ++i) {
    now += std::chrono::microseconds(3);
    limiter.Request(names[draw(random)], i, now);
  }
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - start;
  Print("decision_" + std::to_string(customers) + "_customers",
        elapsed.count() / kDecisions, "ns");
}

void MeasureMessages(std::size_t daemons,
                     std::size_t customers,
                     double per_second) {
  LimitEmulator fleet(
      daemons,
      std::vector<LimitEmulator::Customer>(
          customers,
          {{per_second * kHeadroom, per_second * kHeadroom}, per_second}),
      kSeed);
  fleet.Run(seconds(3));
  const std::uint64_t before = fleet.message_count();
  fleet.ResetResults();
  constexpr double kTime = 4;
  fleet.Run(seconds(4));
  const auto total = fleet.Total();
  const double messages = static_cast<double>(fleet.message_count() - before) /
                          kTime / static_cast<double>(daemons);
  const std::string prefix = std::to_string(daemons) + "_daemons_";
  Print(prefix + "requests",
        static_cast<double>(total.admitted + total.refused) / kTime /
            static_cast<double>(daemons),
        "1/s/daemon");
  Print(prefix + "messages", messages, "1/s/daemon");
  Print(prefix + "bytes", messages * kMessageBytes, "B/s/daemon");
}

// A token bucket.
struct Bucket {
  double rate = 0;
  double capacity = 0;
  double tokens = 0;
  double at = 0;

  void Refill(double now) {
    tokens = std::min(capacity, tokens + (now - at) * rate);
    at = now;
  }
};

// One customer under a strategy without an allocator: the part that was
// admitted, and the most in any 5 s as a part of the bound.
struct Compared {
  double admitted = 0;
  double worst = 0;
};

// With a `lag` of 0, each daemon has an equal share. Else each daemon counts
// its own requests at once and those of the others after the lag.
Compared PlayWithoutAllocator(std::size_t daemons, double load, double lag) {
  constexpr double kLimit = 160;
  constexpr double kTime = 20;
  std::mt19937_64 random(kSeed);
  std::vector<double> weights;
  for (std::size_t i = 1; i <= daemons; ++i) {
    weights.push_back(1 / static_cast<double>(i));
  }
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  std::exponential_distribution<double> gap(kLimit / kHeadroom * load);
  const double count = static_cast<double>(daemons);
  std::vector<Bucket> shares(
      daemons, {kLimit / count, std::max(1.0, kLimit / count), 1, 0});
  Bucket whole{kLimit, kLimit, kLimit, 0};
  // Admitted requests that the others do not know of yet.
  std::deque<std::pair<double, std::size_t>> recent;
  std::vector<double> own(daemons, 0);
  std::vector<double> admitted;
  double requests = 0;
  for (double now = gap(random); now < kTime; now += gap(random)) {
    ++requests;
    const std::size_t daemon = draw(random);
    if (lag == 0) {
      shares[daemon].Refill(now);
      if (shares[daemon].tokens >= 1) {
        shares[daemon].tokens -= 1;
        admitted.push_back(now);
      }
      continue;
    }
    while (!recent.empty() && recent.front().first + lag <= now) {
      whole.Refill(recent.front().first + lag);
      whole.tokens -= 1;
      own[recent.front().second] -= 1;
      recent.pop_front();
    }
    whole.Refill(now);
    if (whole.tokens - own[daemon] >= 1) {
      own[daemon] += 1;
      recent.emplace_back(now, daemon);
      admitted.push_back(now);
    }
  }
  std::size_t first = 0;
  std::size_t most = 0;
  for (std::size_t last = 0; last < admitted.size(); ++last) {
    while (admitted[last] - admitted[first] >= 5) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return {static_cast<double>(admitted.size()) / requests,
          static_cast<double>(most) / ((kLimit * 5 + kLimit) * 1.25 + 20)};
}

Compared PlayCredits(std::size_t daemons, double load) {
  constexpr double kLimit = 160;
  LimitEmulator fleet(daemons, {{{kLimit, kLimit}, kLimit / kHeadroom}}, kSeed);
  fleet.Run(seconds(11));
  fleet.ResetResults();
  fleet.SetLoad(0, load);
  fleet.Run(seconds(20));
  const auto total = fleet.Total();
  return {static_cast<double>(total.admitted) /
              static_cast<double>(total.admitted + total.refused),
          total.worst_part_of_bound};
}

void Compare(std::size_t daemons) {
  // Gossip among two random peers every 100 ms reaches all after about the
  // logarithm of their number in periods.
  const double lag = 0.1 * std::ceil(std::log2(static_cast<double>(daemons)));
  for (const double load : {1.0, kSurge}) {
    const std::string suffix = "_" + std::to_string(daemons) + "_daemons_" +
                               (load == 1 ? "usual" : "surge");
    const auto print = [&suffix](const std::string& name,
                                 const Compared& compared) {
      Print(name + suffix + "_admitted", compared.admitted, "of requests");
      Print(name + suffix + "_worst", compared.worst, "of bound");
    };
    print("shares", PlayWithoutAllocator(daemons, load, 0));
    print("gossip", PlayWithoutAllocator(daemons, load, lag));
    print("credits", PlayCredits(daemons, load));
  }
}

int Main() {
  for (const std::size_t customers : {100, 79'000}) {
    MeasureDecisions(customers);
  }
  // 80 customers, as on the smaller deployments.
  MeasureMessages(30, 80, 25);
  MeasureMessages(300, 80, 50);
  // The target's rate for each customer, for a tenth of its customers.
  MeasureMessages(1100, 7'900, 4.3);
  for (const std::size_t daemons : {30, 77, 1100}) {
    Compare(daemons);
  }
  return 0;
}

}  // namespace
}  // namespace vanillafall

int main() {
  return vanillafall::Main();
}
