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

// Numbers that match an answer to its request. Unique within one process for
// each kind, and never reused.
using RequestId = std::uint64_t;
using PeerCallId = std::uint64_t;
using BackendCallId = std::uint64_t;

// ---- Events ----

// A caller's request has arrived completely.
struct CallerRequest {
  RequestId id = 0;
  HttpRequest request;
  // How long the caller still waits for the answer.
  std::chrono::milliseconds time_left{0};
};

// A request from another daemon has arrived. Exactly one ReplyPeer with the
// same call number must follow.
struct PeerAsked {
  PeerCallId call = 0;
  PeerRequest request;
};

// A request of this daemon to another one has ended, with a reply or a failure.
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

// A call to a backend server has ended. The response is set with kAnswered.
struct BackendReplied {
  BackendCallId call = 0;
  BackendEnd end = BackendEnd::kLost;
  HttpResponse response;
};

// A newer configuration is in force.
struct ConfigChanged {
  FleetConfigPtr config;
};

// Another daemon has shown that it has no newer configuration than this
// daemon's.
struct PeerUpToDate {
  PeerAddress peer;
};

// A backend server of this instance starts or stops draining; an empty name
// stands for all of them. A draining server gets no new work.
struct DrainChanged {
  std::string backend_server;
  bool is_draining = false;
};

// Time has passed. Arrives at least every kTickPeriod.
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

// Identifies a non-idempotent request with an idempotency key to the key's
// guards.
struct KeyClaim {
  std::string service;
  Hash128 key;
  Hash128 fingerprint;
  // Same as RunRequest::key_time.
  std::chrono::milliseconds key_time{0};
};

// Sends the answer of a request to its caller.
struct AnswerCaller {
  RequestId id = 0;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kOk;
  HttpResponse response;
  // Labels for metrics; empty when the route is unknown.
  std::string service;
  std::string request_class;
  std::string customer;
  // Present when the request carries a key. The caller may then be answered
  // kNotRun only after the key's guards have proved that no other request ran
  // the key.
  std::optional<KeyClaim> claim;
};

// Sends a request to another daemon. A PeerReplied with the same call number
// follows within the timeout.
struct AskPeer {
  PeerCallId call = 0;
  PeerAddress peer;
  PeerRequest request;
  std::chrono::milliseconds timeout{0};
};

// Replies to the request that arrived as PeerAsked with the same call number.
struct ReplyPeer {
  PeerCallId call = 0;
  PeerReply reply;
};

// Sends a request to a backend server. A BackendReplied with the same call
// number follows within the timeout.
struct CallBackend {
  BackendCallId call = 0;
  std::string address;
  HttpRequest request;
  std::chrono::milliseconds timeout{0};
};

// Cancels a call to a backend server.
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
