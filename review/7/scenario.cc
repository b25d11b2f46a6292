// Daemons stand still for a moment, again and again, while upstreams get new
// connections.
//
//   case-N PROGRAM DIRECTORY TROUBLE

#include <csignal>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "review/fleet-2/fleet.h"

namespace vanillafall::review2 {
namespace {

constexpr milliseconds kCalm{4000};
// One daemon after the other stands still for so long.
constexpr milliseconds kStandstill{340};
constexpr std::chrono::seconds kTroubleTime{80};
constexpr int kCallersPerDaemon = 16;
constexpr milliseconds kPeriod{50};
// How long after the clients a daemon stops: it then has connections to its
// upstream that are not open yet.
constexpr int kMinOffsetMicros = 600;
constexpr int kMaxOffsetMicros = 2000;

// Lets one daemon after the other stand still, each time soon after its
// clients have sent requests. Returns how often.
int StandStillInTurn(Fleet& fleet, Record& record) {
  std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> offset(kMinOffsetMicros, kMaxOffsetMicros);
  const Clock::time_point until = Clock::now() + kTroubleTime;
  int standstills = 0;
  while (Clock::now() < until) {
    const int number = standstills++ % fleet.size();
    const int micros = offset(random);
    std::this_thread::sleep_for(kPeriod -
                                Clock::now().time_since_epoch() % kPeriod +
                                std::chrono::microseconds(micros));
    fleet.daemon(number).Signal(SIGSTOP);
    record.Add("daemon " + std::to_string(number) + " stands still " +
               std::to_string(micros) + " us after");
    std::this_thread::sleep_for(kStandstill);
    fleet.daemon(number).Signal(SIGCONT);
  }
  return standstills;
}

int Run(Fleet& fleet, bool has_trouble, Record& record) {
  std::vector<std::unique_ptr<KeptCallers>> callers;
  callers.reserve(static_cast<std::size_t>(fleet.size()));
  for (int number = 0; number < fleet.size(); ++number) {
    callers.push_back(std::make_unique<KeptCallers>(
        fleet, number, kCallersPerDaemon, record, kPeriod));
  }
  std::this_thread::sleep_for(kCalm);
  int standstills = 0;
  if (has_trouble) {
    standstills = StandStillInTurn(fleet, record);
  } else {
    std::this_thread::sleep_for(kTroubleTime);
  }
  std::this_thread::sleep_for(milliseconds(1000));
  int answered = 0;
  std::map<std::string, int> statuses;
  for (auto& each : callers) {
    each->Stop();
    answered += each->answered();
    statuses.merge(each->statuses());
  }
  int twice = 0;
  int refused = 0;
  int total = 0;
  for (const auto& [id, count] : fleet.CountRuns()) {
    if (!id.starts_with("kept-")) {
      // Only these requests are on the route that is not idempotent.
      continue;
    }
    ++total;
    const int status = statuses.contains(id) ? statuses.at(id) : 0;
    if (count > 1) {
      ++twice;
      record.Add("request " + id + " has run " + std::to_string(count) +
                 " times and was answered " + std::to_string(status));
    }
    if (status == 503 || status == 429) {
      ++refused;
      record.Add("request " + id + " has run and was answered " +
                 std::to_string(status));
    }
  }
  record.Add("standstills: " + std::to_string(standstills) +
             ", requests that ran: " + std::to_string(total) +
             ", more than once: " + std::to_string(twice) +
             ", refused but run: " + std::to_string(refused) +
             ", answered: " + std::to_string(answered));
  return twice > 0 || refused > 0 || !fleet.AreAllAlive() ? kBroken : kHeld;
}

}  // namespace
}  // namespace vanillafall::review2

int main(int argc, char** argv) {
  namespace review2 = vanillafall::review2;
  review2::Fleet::Options options;
  options.size = 8;
  options.slots = 16;
  options.work = review2::milliseconds(10);
  options.idle_time = review2::milliseconds(15);
  review2::RunCase(argc, argv, options, review2::Run);
}
