// Measures what share of requests with an idempotency key is refused, and for
// how long, when daemons crash, restart or are replaced. Compares two
// strategies: a majority of the key's guards decides, or, as the baseline, a
// single owner per key does. Runs on a simulated clock with a fixed seed.
// Prints one line per figure: "name value unit".

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "decision/execution_guard.h"
#include "decision/key_retention.h"
#include "decision/vote_round.h"

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::uint64_t kSeed = 20'261'204;
constexpr std::size_t kDataCentres = 3;
constexpr std::size_t kMaxKeys = 100'000;
constexpr milliseconds kResendWindow = minutes(15);
// Wall-clock time at kClockStart, since the Unix epoch.
constexpr milliseconds kWallTimeAtClockStart{1'790'000'000'000};
constexpr TimePoint kClockStart{std::chrono::hours(1)};
constexpr TimePoint kFaultTime = kClockStart + minutes(60);
constexpr TimePoint kEnd = kFaultTime + minutes(45);
// Time for which a restarted owner is down.
constexpr milliseconds kRestartTime{2'000};
// Time between the restarts of a rolling replacement.
constexpr milliseconds kReplacePeriod{60'000};
constexpr milliseconds kOutageDuration = minutes(10);
// Resolution of the measured time with refusals.
constexpr milliseconds kRefusalResolution{1'000};

milliseconds WallTimeAt(TimePoint time) {
  return kWallTimeAtClockStart +
         duration_cast<milliseconds>(time - kClockStart);
}

ServiceConfig ServiceWithOwners(std::size_t count) {
  ServiceConfig service;
  service.name = "restyle";
  service.number = 1;
  service.resend_window = kResendWindow;
  for (std::size_t i = 0; i < count; ++i) {
    const std::string name = "o" + std::to_string(i);
    service.backend_servers.push_back(
        {name, name, name, "d" + std::to_string(i % kDataCentres)});
  }
  return service;
}

// The owners of one service, each with its execution guard while it is up.
class Fleet {
 public:
  explicit Fleet(std::size_t count)
      : service_(ServiceWithOwners(count)), members_(count) {
    config_.services[service_.name] = service_;
    for (std::size_t index = 0; index < count; ++index) {
      Start(index, kClockStart);
    }
    MarkPeersUpToDate();
  }

  void Stop(std::size_t index) { members_[index].guard.reset(); }

  void Start(std::size_t index, TimePoint now) {
    Member& member = members_[index];
    member.started = now;
    member.guard = std::make_unique<ExecutionGuard>(
        "o" + std::to_string(index), kMaxKeys, now, WallTimeAt(now));
    member.guard->Configure(config_, now);
    MarkPeersUpToDate();
  }

  // Drops expired keys of all guards.
  void Expire(TimePoint now) {
    for (Member& member : members_) {
      if (member.guard != nullptr) {
        member.guard->Expire(now);
      }
    }
  }

  const ServiceConfig& service() const { return service_; }
  std::size_t size() const { return members_.size(); }
  // Null when the owner is down.
  ExecutionGuard* GuardOf(const PeerAddress& owner) {
    return MemberOf(owner).guard.get();
  }
  TimePoint StartOf(const PeerAddress& owner) {
    return MemberOf(owner).started;
  }

 private:
  struct Member {
    std::unique_ptr<ExecutionGuard> guard;
    TimePoint started;
  };

  Member& MemberOf(const PeerAddress& owner) {
    return members_.at(std::stoul(owner.substr(1)));
  }

  // Tells every running guard that no running peer knows a newer configuration.
  void MarkPeersUpToDate() {
    for (Member& member : members_) {
      for (std::size_t peer = 0; peer < members_.size(); ++peer) {
        if (member.guard != nullptr && members_[peer].guard != nullptr) {
          member.guard->OnPeerUpToDate("o" + std::to_string(peer));
        }
      }
    }
  }

  const ServiceConfig service_;
  FleetConfig config_;
  std::vector<Member> members_;
};

// A way to decide whether the request of a key may run.
class KeyStrategy {
 public:
  virtual ~KeyStrategy() = default;
  virtual const char* name() const = 0;
  // Decides on a request and, if it may run, counts it as run. Returns whether
  // it ran.
  virtual bool TryRun(Fleet& fleet,
                      const VoteRequest& request,
                      TimePoint now) = 0;
  std::uint64_t messages() const { return messages_; }

 protected:
  void CountMessage() { ++messages_; }

 private:
  std::uint64_t messages_ = 0;
};

// A majority of the key's guards must grant the attempt.
class QuorumStrategy final : public KeyStrategy {
 public:
  const char* name() const override { return "quorum"; }

  bool TryRun(Fleet& fleet,
              const VoteRequest& request,
              TimePoint now) override {
    VoteRound round(request, fleet.service(), GuardVersions());
    for (const PeerAddress& owner : round.guards()) {
      ExecutionGuard* guard = fleet.GuardOf(owner);
      CountMessage();
      if (guard == nullptr) {
        round.OnFailure(owner);
      } else {
        round.OnReply(owner, guard->Vote(request, fleet.service(), now));
      }
    }
    const bool is_granted = round.state() == VoteRound::State::kGranted;
    const SettleNotice notice{request.service, request.key, request.attempt,
                              is_granted ? Outcome::kDone : Outcome::kNotRun};
    for (const PeerAddress& owner : round.GuardsToSettle()) {
      CountMessage();
      if (ExecutionGuard* guard = fleet.GuardOf(owner)) {
        guard->Settle(notice, fleet.service(), now);
      }
    }
    return is_granted;
  }
};

// The owner with the highest rendezvous weight for the key.
PeerAddress DecidingOwnerOf(const Hash128& key, const ServiceConfig& service) {
  const std::vector<PeerAddress> owners = service.Owners();
  return *std::max_element(
      owners.begin(), owners.end(), [&key](const auto& a, const auto& b) {
        return RendezvousWeight(key, a) < RendezvousWeight(key, b);
      });
}

// The first owner in rendezvous order decides alone. After a restart its
// records are gone, so it refuses each key that may have run before the
// restart.
class SingleOwnerStrategy final : public KeyStrategy {
 public:
  const char* name() const override { return "home"; }

  bool TryRun(Fleet& fleet,
              const VoteRequest& request,
              TimePoint now) override {
    const PeerAddress deciding_owner =
        DecidingOwnerOf(request.key, fleet.service());
    CountMessage();
    if (fleet.GuardOf(deciding_owner) == nullptr) {
      return false;
    }
    const TimePoint started = fleet.StartOf(deciding_owner);
    const bool is_key_newer =
        request.key_time > WallTimeAt(started) + kMaxClockSkew;
    const bool may_lack_records = now < started + RetentionOf(fleet.service());
    if (may_lack_records && !is_key_newer) {
      return false;
    }
    return executed_keys_[std::pair(deciding_owner, started)]
        .insert(request.key)
        .second;
  }

 private:
  // By owner and the time of its start.
  std::map<std::pair<PeerAddress, TimePoint>, std::unordered_set<Hash128>>
      executed_keys_;
};

// A change to the fleet at a point in time.
struct Step {
  TimePoint at;
  std::function<void(Fleet&, TimePoint)> apply;
};

// A named failure and its steps for a number of owners.
struct Fault {
  const char* name;
  std::vector<Step> (*steps)(std::size_t owners);
};

Step StopStep(TimePoint at, std::size_t owner) {
  return {at, [owner](Fleet& fleet, TimePoint) { fleet.Stop(owner); }};
}

Step StartStep(TimePoint at, std::size_t owner) {
  return {at,
          [owner](Fleet& fleet, TimePoint now) { fleet.Start(owner, now); }};
}

std::vector<Step> OneOwnerDies(std::size_t /*owners*/) {
  return {StopStep(kFaultTime, 0)};
}

std::vector<Step> OneOwnerRestarts(std::size_t /*owners*/) {
  return {StopStep(kFaultTime, 0), StartStep(kFaultTime + kRestartTime, 0)};
}

std::vector<Step> RollingReplacement(std::size_t owners) {
  std::vector<Step> steps;
  for (std::size_t owner = 0; owner < owners; ++owner) {
    const TimePoint at = kFaultTime + kReplacePeriod * owner;
    steps.push_back(StopStep(at, owner));
    steps.push_back(StartStep(at + kRestartTime, owner));
  }
  return steps;
}

// Replaces two owners, the second one once the guard of the first one votes
// again: a restarted guard abstains while it may lack records.
std::vector<Step> SlowReplacement(std::size_t owners) {
  std::vector<Step> steps;
  const milliseconds period = kResendWindow + kMaxRequestAge + kRestartTime;
  for (std::size_t owner = 0; owner < std::min<std::size_t>(owners, 2);
       ++owner) {
    const TimePoint at = kFaultTime + period * owner;
    steps.push_back(StopStep(at, owner));
    steps.push_back(StartStep(at + kRestartTime, owner));
  }
  return steps;
}

std::vector<Step> DataCentreLoss(std::size_t owners) {
  std::vector<Step> steps;
  for (std::size_t owner = 0; owner < owners; owner += kDataCentres) {
    steps.push_back(StopStep(kFaultTime, owner));
  }
  for (std::size_t owner = 0; owner < owners; owner += kDataCentres) {
    steps.push_back(StartStep(kFaultTime + kOutageDuration, owner));
  }
  return steps;
}

std::vector<Step> FleetRestart(std::size_t owners) {
  std::vector<Step> steps;
  for (std::size_t owner = 0; owner < owners; ++owner) {
    steps.push_back(StopStep(kFaultTime, owner));
  }
  for (std::size_t owner = 0; owner < owners; ++owner) {
    steps.push_back(StartStep(kFaultTime + kRestartTime, owner));
  }
  return steps;
}

constexpr Fault kFaults[] = {
    {"none", [](std::size_t) { return std::vector<Step>(); }},
    {"one_death", OneOwnerDies},
    {"one_restart", OneOwnerRestarts},
    {"rolling_replacement_60s", RollingReplacement},
    {"slow_replacement", SlowReplacement},
    {"data_centre_lost_10min", DataCentreLoss},
    {"fleet_restart", FleetRestart},
};

// What is counted in one run.
struct Result {
  std::uint64_t requests = 0;
  std::uint64_t refused = 0;
  // Keys whose resend ran although the first request did.
  std::uint64_t ran_twice = 0;
  // Total time in which requests were refused.
  milliseconds refusal_time{0};
  double messages_per_request = 0;
};

// Sends requests with new keys at a steady rate, starting one resend window
// before kFaultTime and counting from kFaultTime on. Each is resent once, at a
// random time within the resend window.
class Run {
 public:
  // With has_key_time, keys carry their time of creation as a UUID of version 7
  // does. The period is the time between two new keys.
  Run(KeyStrategy& strategy,
      std::size_t owners,
      bool has_key_time,
      milliseconds period)
      : strategy_(strategy),
        fleet_(owners),
        has_key_time_(has_key_time),
        period_(period) {}

  Result Measure(const std::vector<Step>& steps) {
    std::size_t next_step = 0;
    TimePoint last_refused_second;
    for (TimePoint now = kFaultTime - kResendWindow; now < kEnd;
         now += period_) {
      while (next_step < steps.size() && steps[next_step].at <= now) {
        steps[next_step].apply(fleet_, now);
        ++next_step;
      }
      fleet_.Expire(now);
      SendDueResends(now);
      const bool is_refused = !SendNewRequest(now);
      if (now < kFaultTime) {
        continue;
      }
      ++result_.requests;
      result_.refused += is_refused ? 1 : 0;
      if (is_refused && now - last_refused_second >= kRefusalResolution) {
        last_refused_second = now;
        result_.refusal_time += std::max(kRefusalResolution, period_);
      }
    }
    result_.messages_per_request = static_cast<double>(strategy_.messages()) /
                                   static_cast<double>(last_attempt_);
    return result_;
  }

 private:
  struct Resend {
    TimePoint at;
    VoteRequest request;
    bool has_run = false;
    bool operator<(const Resend& other) const { return at > other.at; }
  };

  VoteRequest NewRequest(TimePoint now) {
    VoteRequest request;
    request.service = fleet_.service().name;
    request.key = {random_(), random_()};
    request.attempt = {1, ++last_attempt_};
    request.owner = "o0";
    request.service_number = 1;
    if (has_key_time_) {
      request.key_time = WallTimeAt(now);
    }
    return request;
  }

  bool SendNewRequest(TimePoint now) {
    const VoteRequest request = NewRequest(now);
    const bool has_run = strategy_.TryRun(fleet_, request, now);
    const milliseconds delay(random_() % kResendWindow.count());
    resends_.push_back({now + delay, request, has_run});
    std::push_heap(resends_.begin(), resends_.end());
    return has_run;
  }

  void SendDueResends(TimePoint now) {
    while (!resends_.empty() && resends_.front().at <= now) {
      std::pop_heap(resends_.begin(), resends_.end());
      Resend resend = std::move(resends_.back());
      resends_.pop_back();
      resend.request.attempt = {1, ++last_attempt_};
      const bool has_run = strategy_.TryRun(fleet_, resend.request, now);
      result_.ran_twice += has_run && resend.has_run ? 1 : 0;
    }
  }

  KeyStrategy& strategy_;
  Fleet fleet_;
  const bool has_key_time_;
  const milliseconds period_;
  std::mt19937_64 random_{kSeed};
  std::uint64_t last_attempt_ = 0;
  std::vector<Resend> resends_;
  Result result_;
};

// Runs one fault and prints its figures. Returns the number of keys that ran
// twice.
template <typename Strategy>
std::uint64_t Print(const Fault& fault,
                    std::size_t owners,
                    bool has_key_time,
                    milliseconds period) {
  constexpr double kPercent = 100;
  Strategy strategy;
  Run run(strategy, owners, has_key_time, period);
  const Result result = run.Measure(fault.steps(owners));
  const std::string suffix = std::string(strategy.name()) + "_" + fault.name +
                             "_" + std::to_string(owners) + "owners_" +
                             (has_key_time ? "uuid7" : "opaque");
  const double share = kPercent * static_cast<double>(result.refused) /
                       static_cast<double>(result.requests);
  std::cout << "keys_refused_share_" << suffix << " " << share << " %\n"
            << "keys_refused_time_" << suffix << " "
            << duration_cast<seconds>(result.refusal_time).count() << " s\n";
  if (std::strcmp(fault.name, "none") == 0) {
    std::cout << "keys_messages_" << suffix << " "
              << result.messages_per_request << " messages/request\n";
  }
  return result.ran_twice;
}

}  // namespace
}  // namespace vanillafall

int main(int argc, char** argv) {
  using namespace vanillafall;
  const bool is_quick = argc > 1 && std::strcmp(argv[1], "--quick") == 0;
  const milliseconds period(is_quick ? 2'000 : 200);
  std::uint64_t ran_twice = 0;
  for (const std::size_t owners : {std::size_t{6}, std::size_t{20}}) {
    for (const Fault& fault : kFaults) {
      for (const bool has_key_time : {false, true}) {
        ran_twice += Print<QuorumStrategy>(fault, owners, has_key_time, period);
        ran_twice +=
            Print<SingleOwnerStrategy>(fault, owners, has_key_time, period);
      }
    }
  }
  std::cout << "at_most_once_violations " << ran_twice << " keys\n";
  return ran_twice == 0 ? 0 : 1;
}
