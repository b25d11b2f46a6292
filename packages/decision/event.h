#ifndef DECISION_EVENT_H_
#define DECISION_EVENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/log_event.h"
#include "base/outcome.h"
#include "config/fleet_config.h"
#include "message/peer.h"

namespace vanillafall {

// Numbers that tie an answer to its question. Unique within one process and
// kind, never reused.
using RequestId = std::uint64_t;
using PeerCallId = std::uint64_t;
using BackendCallId = std::uint64_t;

// ---- Events ----

// A caller's whole request has arrived.
struct CallerRequest {
  RequestId id = 0;
  HttpRequest request;
  // Time that the caller still waits.
  std::chrono::milliseconds time_left{0};
};

// Another daemon asks; exactly one ReplyPeer with the same call must follow.
struct PeerAsked {
  PeerCallId call = 0;
  PeerRequest request;
};

// A question of ours to another daemon has ended.
struct PeerReplied {
  PeerCallId call = 0;
  std::variant<PeerReply, PeerFailure> result;
};

// How a call to a backend server ended. Only kNotConnected proves that no byte
// of the request was sent.
enum class BackendEnd : std::uint8_t {
  kAnswered,
  kNotConnected,
  kLost,
  kTruncated,
  kTooLarge,
  kTimeout,
  kCancelled,
};

struct BackendReplied {
  BackendCallId call = 0;
  BackendEnd end = BackendEnd::kLost;
  HttpResponse response;
};

// A newer configuration is in force.
struct ConfigChanged {
  FleetConfigPtr config;
};

// Another daemon has shown that it knows no newer configuration than ours.
struct PeerUpToDate {
  PeerAddress peer;
};

// A backend server of this instance is leaving or has returned; an empty name
// means all of them.
struct DrainChanged {
  std::string backend_server;
  bool is_draining = false;
};

// Time has passed. Comes at least every kTickPeriod.
struct Tick {};
inline constexpr std::chrono::milliseconds kTickPeriod{10};

using Event = std::variant<CallerRequest,
                           PeerAsked,
                           PeerReplied,
                           BackendReplied,
                           ConfigChanged,
                           PeerUpToDate,
                           DrainChanged,
                           Tick>;

// ---- Actions ----

// What a non-idempotent request with a key is known by to the key's guards.
struct KeyClaim {
  std::string service;
  Hash128 key;
  Hash128 fingerprint;
  // As in RunRequest.
  std::chrono::milliseconds key_time{0};
};

struct AnswerCaller {
  RequestId id = 0;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kOk;
  HttpResponse response;
  // Labels for metrics; empty when the route is unknown.
  std::string service;
  std::string request_class;
  std::string tenant;
  // Present when the request carried a key: before the caller is told kNotRun,
  // the key's guards must show that no other request ran it.
  std::optional<KeyClaim> claim;
};

// Ends with a PeerReplied of the same call within the timeout.
struct AskPeer {
  PeerCallId call = 0;
  PeerAddress peer;
  PeerRequest request;
  std::chrono::milliseconds timeout{0};
};

struct ReplyPeer {
  PeerCallId call = 0;
  PeerReply reply;
};

// Ends with a BackendReplied of the same call within the timeout.
struct CallBackend {
  BackendCallId call = 0;
  std::string address;
  HttpRequest request;
  std::chrono::milliseconds timeout{0};
};

struct CancelBackend {
  BackendCallId call = 0;
};

using Action = std::variant<AnswerCaller,
                            AskPeer,
                            ReplyPeer,
                            CallBackend,
                            CancelBackend,
                            LogEvent>;

using Actions = std::vector<Action>;

}  // namespace vanillafall

#endif  // DECISION_EVENT_H_
