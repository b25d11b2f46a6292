#ifndef DECISION_ENGINE_FAKE_H_
#define DECISION_ENGINE_FAKE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "decision/engine.h"

namespace vanillafall {

// Runs several real engines in one process, for tests. Messages between engines
// are delivered at once and in order; the test itself answers each call to a
// backend server.
class EngineFake {
 public:
  // A call to a backend server that the test has not answered yet.
  struct OpenCall {
    PeerAddress owner;
    CallBackend call;
  };

  explicit EngineFake(FleetConfigPtr config) : config_(std::move(config)) {}

  // Adds a daemon with the configuration in force, and reports each daemon to
  // every other one as up to date.
  void AddDaemon(const PeerAddress& address) {
    auto engine = std::make_unique<Engine>(
        Engine::Identity{address, "centre", ++last_incarnation_,
                         last_incarnation_},
        Limits{}, now_ - std::chrono::hours(2));
    engines_[address] = std::move(engine);
    Feed(address, ConfigChanged{config_});
    for (const auto& [peer, each] : engines_) {
      Feed(address, PeerUpToDate{peer});
      Feed(peer, PeerUpToDate{address});
    }
  }

  // Removes a daemon. Requests to it fail as not sent from now on.
  void Kill(const PeerAddress& address) { engines_.erase(address); }

  void Send(const PeerAddress& entry,
            RequestId id,
            const HttpRequest& request,
            std::chrono::milliseconds time_left) {
    Feed(entry, CallerRequest{id, request, time_left});
  }

  // Ends an open call to a backend server with this result.
  void End(const OpenCall& open, BackendEnd end, int status = 200) {
    // Copied because `open` may be an element of open_calls_, which changes.
    const PeerAddress owner = open.owner;
    const BackendCallId call = open.call.call;
    std::erase_if(open_calls_, [&owner, call](const OpenCall& each) {
      return each.owner == owner && each.call.call == call;
    });
    BackendReplied replied{call, end, {}};
    if (end == BackendEnd::kAnswered) {
      replied.response.status = status;
    }
    Feed(owner, replied);
  }

  // Passes an event to the engine of a daemon and carries out the actions that
  // follow. Does nothing for a daemon that was killed.
  void Feed(const PeerAddress& address, const Event& event) {
    const auto found = engines_.find(address);
    if (found == engines_.end()) {
      return;
    }
    Actions actions;
    found->second->Handle(event, now_, actions);
    for (Action& action : actions) {
      Perform(address, std::move(action));
    }
  }

  // Moves the clock forward and passes one Tick to each engine.
  void AdvanceTime(std::chrono::milliseconds time) {
    now_ += time;
    std::vector<PeerAddress> addresses;
    for (const auto& [address, engine] : engines_) {
      addresses.push_back(address);
    }
    for (const PeerAddress& address : addresses) {
      Feed(address, Tick{});
    }
  }

  TimePoint now() const { return now_; }
  const std::vector<OpenCall>& open_calls() const { return open_calls_; }
  const std::vector<AnswerCaller>& answers() const { return answers_; }
  const std::vector<LogEvent>& events() const { return events_; }

 private:
  void Perform(const PeerAddress& from, Action action) {
    if (auto* answer = std::get_if<AnswerCaller>(&action)) {
      answers_.push_back(std::move(*answer));
    } else if (auto* ask = std::get_if<AskPeer>(&action)) {
      DeliverRequest(from, std::move(*ask));
    } else if (auto* reply = std::get_if<ReplyPeer>(&action)) {
      DeliverReply(std::move(*reply));
    } else if (auto* call = std::get_if<CallBackend>(&action)) {
      open_calls_.push_back({from, std::move(*call)});
    } else if (auto* event = std::get_if<LogEvent>(&action)) {
      events_.push_back(std::move(*event));
    }
  }

  void DeliverRequest(const PeerAddress& from, AskPeer ask) {
    if (!engines_.contains(ask.peer)) {
      Feed(from, PeerReplied{ask.call, PeerFailure::kNotSent});
      return;
    }
    const PeerCallId call = ++last_call_;
    pending_calls_[call] = {from, ask.call};
    Feed(ask.peer, PeerAsked{call, std::move(ask.request)});
  }

  void DeliverReply(ReplyPeer reply) {
    const auto node = pending_calls_.extract(reply.call);
    const PendingCall pending_call = node.mapped();
    Feed(pending_call.from,
         PeerReplied{pending_call.call, std::move(reply.reply)});
  }

  struct PendingCall {
    PeerAddress from;
    PeerCallId call = 0;
  };

  const FleetConfigPtr config_;
  TimePoint now_ = TimePoint() + std::chrono::hours(100);
  std::uint64_t last_incarnation_ = 0;
  PeerCallId last_call_ = 0;
  std::map<PeerAddress, std::unique_ptr<Engine>> engines_;
  std::map<PeerCallId, PendingCall> pending_calls_;
  std::vector<OpenCall> open_calls_;
  std::vector<AnswerCaller> answers_;
  std::vector<LogEvent> events_;
};

// A configuration with one service that has one route, "/work", on which POST
// is non-idempotent, and one backend server with three slots for each owner.
inline FleetConfigPtr MakeFakeFleet(const std::vector<PeerAddress>& owners) {
  ServiceConfig service;
  service.name = "restyle";
  service.number = 1;
  service.routes = {{"/work", "paid", {"POST"}}};
  service.floor = 1;
  service.callers = {"*"};
  service.resend_window = std::chrono::minutes(15);
  for (const PeerAddress& owner : owners) {
    service.backend_servers.push_back(
        {"server-at-" + owner, "backend-of-" + owner, owner, "centre", 3});
  }
  auto config = std::make_shared<FleetConfig>();
  config->manifest_number = 1;
  config->services[service.name] = service;
  return config;
}

}  // namespace vanillafall

#endif  // DECISION_ENGINE_FAKE_H_
