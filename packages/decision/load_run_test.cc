#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "decision/engine.h"

namespace vanillafall {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 3;
constexpr int kOwners = 6;
constexpr std::uint32_t kSlots = 3;
constexpr milliseconds kMaxDelay{2};
constexpr seconds kEndOfRequests{20};

FleetConfigPtr MakeConfig() {
  auto config = std::make_shared<FleetConfig>();
  config->manifest_number = 1;
  ServiceConfig& service = config->services["desk"];
  service.name = "desk";
  service.number = 1;
  service.callers = {"*"};
  service.missing_key = MissingKeyRule::kRunOnce;
  service.routes = {{"/", "work", {"POST"}}};
  for (int index = 0; index < kOwners; ++index) {
    const std::string name = std::to_string(index);
    service.backend_servers.push_back(
        {"server-" + name, "backend-" + name, "owner-" + name,
         "centre-" + std::to_string(index % 3), kSlots});
  }
  return config;
}

// Runs complete engines that exchange messages with delays and losses, in front
// of backend servers that fail, hang for a while, and are all down for a while.
// Checks the guarantees to callers and backend servers at every step.
class LoadRun {
 public:
  explicit LoadRun(std::uint64_t seed) : random_(seed) {
    for (int index = 0; index < kEntries; ++index) {
      Add("entry-" + std::to_string(index),
          "centre-" + std::to_string(index % 3));
    }
    for (int index = 0; index < kOwners; ++index) {
      Add("owner-" + std::to_string(index),
          "centre-" + std::to_string(index % 3));
    }
  }

  void Run() {
    for (const auto& [name, engine] : engines_) {
      Deliver(name, ConfigChanged{MakeConfig()});
      ScheduleTick(name);
    }
    for (int index = 0; index < kEntries; ++index) {
      ScheduleArrival("entry-" + std::to_string(index));
    }
    while (!queue_.empty()) {
      now_ = queue_.begin()->first;
      const std::function<void()> step = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      step();
    }
    CheckFinalState();
  }

  std::size_t CountOf(Outcome outcome) const {
    return static_cast<std::size_t>(std::count_if(
        requests_.begin(), requests_.end(), [outcome](const auto& entry) {
          return entry.second.outcome == outcome;
        }));
  }
  std::size_t request_count() const { return requests_.size(); }

 private:
  struct Request {
    TimePoint deadline;
    bool is_idempotent = true;
    int answers = 0;
    int executions = 0;
    int tries = 0;
    Outcome outcome = Outcome::kNotRun;
  };
  struct Call {
    std::string sender;
    PeerCallId call = 0;
  };

  void Add(const std::string& name, const std::string& centre) {
    engines_[name] = std::make_unique<Engine>(
        Engine::Identity{name, centre, random_(), random_()}, Limits{}, now_);
  }

  bool Happens(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  Duration Draw(Duration mean) {
    const double factor = std::exponential_distribution<double>(1)(random_);
    return duration_cast<Duration>(mean * factor);
  }
  Duration Delay() {
    return duration_cast<Duration>(
        kMaxDelay * std::uniform_real_distribution<double>(0.2, 1)(random_));
  }
  bool IsBetween(seconds from, seconds to) const {
    return now_ >= TimePoint(from) && now_ < TimePoint(to);
  }
  void Schedule(Duration delay, std::function<void()> step) {
    queue_.emplace(now_ + delay, std::move(step));
  }

  void ScheduleTick(const std::string& name) {
    Schedule(kTickPeriod, [this, name] {
      Deliver(name, Tick{});
      if (now_ < TimePoint(kEndOfRequests + seconds(5))) {
        ScheduleTick(name);
      }
    });
  }

  void ScheduleArrival(const std::string& entry) {
    const bool is_overload = IsBetween(seconds(16), seconds(18));
    Schedule(Draw(milliseconds(is_overload ? 2 : 12)), [this, entry] {
      if (now_ < TimePoint(kEndOfRequests)) {
        Arrive(entry);
        ScheduleArrival(entry);
      }
    });
  }

  void Arrive(const std::string& entry) {
    const RequestId id = requests_.size() + 1;
    const milliseconds time_left{50 + random_() % 2000};
    const bool is_idempotent = Happens(0.6);
    requests_[id] = {now_ + time_left, is_idempotent, 0, 0, 0,
                     Outcome::kNotRun};
    HttpRequest request;
    request.method = is_idempotent ? "GET" : "POST";
    request.target = "/" + std::to_string(id);
    request.headers = {{kCustomerHeader, Happens(0.8) ? "large" : "small"}};
    Deliver(entry, CallerRequest{id, request, time_left});
  }

  void Deliver(const std::string& name, const Event& event) {
    Actions actions;
    engines_.at(name)->Handle(event, now_, actions);
    for (const Action& action : actions) {
      if (const auto* ask = std::get_if<AskPeer>(&action)) {
        OnAsk(name, *ask);
      } else if (const auto* reply = std::get_if<ReplyPeer>(&action)) {
        OnReply(*reply);
      } else if (const auto* call = std::get_if<CallBackend>(&action)) {
        OnBackendCall(name, *call);
      } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
        OnAnswer(*answer);
      }
    }
  }

  void OnAsk(const std::string& sender, const AskPeer& ask) {
    const PeerCallId id = ++last_call_;
    calls_[id] = {sender, ask.call};
    if (const auto* run = std::get_if<RunRequest>(&ask.request)) {
      ++RequestOf(run->request).tries;
    }
    if (Happens(0.02)) {
      Schedule(Delay(), [this, id] { EndCall(id, PeerFailure::kNotSent); });
      return;
    }
    Schedule(ask.timeout, [this, id] { EndCall(id, PeerFailure::kLost); });
    if (!Happens(0.01)) {
      Schedule(Delay(), [this, id, ask] {
        Deliver(ask.peer, PeerAsked{id, ask.request});
      });
    }
  }

  void OnReply(const ReplyPeer& reply) {
    if (!Happens(0.01)) {
      Schedule(Delay(), [this, reply] { EndCall(reply.call, reply.reply); });
    }
  }

  void EndCall(PeerCallId id, std::variant<PeerReply, PeerFailure> result) {
    const auto node = calls_.extract(id);
    if (!node.empty()) {
      const Call& call = node.mapped();
      Deliver(call.sender, PeerReplied{call.call, std::move(result)});
    }
  }

  void OnBackendCall(const std::string& owner, const CallBackend& call) {
    // An owner's crash probe after a broken connection; it takes no slot and
    // does no work.
    if (call.request.target == "/health") {
      const bool is_down = IsBetween(seconds(12), seconds(15));
      const BackendReplied probed{
          call.call,
          is_down ? BackendEnd::kNotConnected : BackendEnd::kAnswered,
          {}};
      Schedule(milliseconds(1),
               [this, owner, probed] { Deliver(owner, probed); });
      return;
    }
    REQUIRE(++running_[call.address] <= kSlots);
    const bool is_down = IsBetween(seconds(12), seconds(15)) || Happens(0.02);
    if (is_down) {
      EndBackendCall(owner, call, BackendEnd::kNotConnected, milliseconds(1));
      return;
    }
    Request& request = RequestOf(call.request);
    REQUIRE(now_ < request.deadline + kMaxDelay * request.tries);
    ++request.executions;
    REQUIRE((request.is_idempotent || request.executions == 1));
    REQUIRE((request.answers == 0 || request.outcome != Outcome::kNotRun));
    const bool is_hung =
        call.address == "backend-0" && IsBetween(seconds(5), seconds(8));
    const Duration time = Draw(milliseconds(25));
    if (is_hung || time > call.timeout) {
      EndBackendCall(owner, call, BackendEnd::kTimeout, call.timeout);
      return;
    }
    const bool is_lost = Happens(0.001);
    EndBackendCall(owner, call,
                   is_lost ? BackendEnd::kLost : BackendEnd::kAnswered, time);
  }

  void EndBackendCall(const std::string& owner,
                      const CallBackend& call,
                      BackendEnd end,
                      Duration delay) {
    BackendReplied replied{call.call, end, {}};
    if (end == BackendEnd::kAnswered) {
      replied.response = {Happens(0.01) ? 500 : 200, {}, call.request.target};
    }
    Schedule(delay, [this, owner, address = call.address, replied] {
      --running_[address];
      Deliver(owner, replied);
    });
  }

  void OnAnswer(const AnswerCaller& answer) {
    Request& request = requests_.at(answer.id);
    REQUIRE(++request.answers == 1);
    REQUIRE(now_ <= request.deadline + Entry::kDeadlineGrace + kTickPeriod);
    request.outcome = answer.outcome;
    if (answer.outcome == Outcome::kDone) {
      REQUIRE(request.executions > 0);
      REQUIRE(answer.response.body == "/" + std::to_string(answer.id));
    } else if (answer.outcome == Outcome::kNotRun) {
      REQUIRE(request.executions == 0);
    }
  }

  void CheckFinalState() const {
    std::size_t tries = 0;
    std::size_t first_tries = 0;
    for (const auto& [id, request] : requests_) {
      REQUIRE(request.answers == 1);
      tries += static_cast<std::size_t>(request.tries);
      first_tries += request.tries > 0 ? 1 : 0;
    }
    const double max_retries =
        static_cast<double>(first_tries) * RetryBudget::kShare +
        kEntries * RetryBudget::kFloor;
    REQUIRE(static_cast<double>(tries - first_tries) <= max_retries);
    for (const auto& [name, engine] : engines_) {
      REQUIRE(engine->unfinished_count() == 0);
    }
  }

  Request& RequestOf(const HttpRequest& request) {
    return requests_.at(std::stoull(request.target.substr(1)));
  }

  std::mt19937_64 random_;
  TimePoint now_;
  std::multimap<TimePoint, std::function<void()>> queue_;
  std::map<std::string, std::unique_ptr<Engine>> engines_;
  std::map<RequestId, Request> requests_;
  std::map<PeerCallId, Call> calls_;
  PeerCallId last_call_ = 0;
  std::map<std::string, std::uint32_t> running_;
};

TEST_CASE("a fleet under faults and overload keeps its guarantees",
          "[load][run]") {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    INFO("seed " << seed);
    LoadRun run(seed);
    run.Run();
    REQUIRE(run.request_count() > 5000);
    REQUIRE(run.CountOf(Outcome::kDone) * 2 > run.request_count());
    REQUIRE(run.CountOf(Outcome::kNotRun) > 0);
    REQUIRE(run.CountOf(Outcome::kUnknown) > 0);
  }
}

}  // namespace
}  // namespace vanillafall
