#ifndef DISPATCH_LINK_MESSAGE_H_
#define DISPATCH_LINK_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/hash.h"
#include "message/http.h"
#include "message/peer.h"

namespace vanillafall {

// Names one offer, fleet-wide and for ever: the incarnation is drawn by each
// process of an entry.
using OfferId = AttemptId;

// An incarnation number and what the process serves. First message on a link,
// both ways.
struct Hello {
  std::uint64_t incarnation = 0;
  std::uint64_t config_version = 0;
};

// What an owner says of its backend server with each of its messages.
struct OwnerLoad {
  std::uint32_t slots = 0;
  // Slots in use or reserved.
  std::uint32_t in_use = 0;
  std::uint32_t waiting = 0;
  // Probability that the backend server fails a request now.
  double failure_probability = 0;
  // How long another offer would wait for a slot.
  std::chrono::milliseconds expected_wait{0};
};

// Entry to owner: would you run this request?
struct Offer {
  OfferId id;
  std::string server;
  std::string route;
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  bool is_idempotent = false;
  // Keep the offer until a slot is free, if that is soon enough.
  bool may_wait = false;
  // Owners at which it waits at the same time.
  std::uint32_t copies = 1;
  // Longest wait for a slot.
  std::chrono::milliseconds patience{0};
  // Whatever comes of it is late for its caller; others go first.
  bool is_late = false;
  // Grant even though the backend server is suspected to fail requests.
  bool accepts_suspect = false;
  // A suspected backend server may be tested with it: if it fails, the entry
  // can still repeat it elsewhere.
  bool may_test = false;
  std::chrono::milliseconds time_left{0};
  // Equal for requests that are the same but for their id.
  Hash128 fingerprint;
  std::uint64_t config_version = 0;
};

enum class DenyReason : std::uint8_t {
  kFull,
  kSuspect,
  kLeaving,
  kDown,
  kNotOwner,
  kTooLate,
  kCrashSuspect,
};

const char* ToString(DenyReason reason);

// Owner to entry: a slot is reserved for a short while.
struct Grant {
  OfferId id;
  OwnerLoad load;
  std::uint64_t config_version = 0;
};

// Owner to entry: the offer is void and will never run.
struct Deny {
  OfferId id;
  DenyReason reason = DenyReason::kFull;
  OwnerLoad load;
  std::uint64_t config_version = 0;
};

// Entry to owner: an offer without a Run is void.
struct Withdraw {
  OfferId id;
};

// Entry to owner: the request itself, after a grant.
struct Run {
  OfferId id;
  // The caller's own id of the request.
  std::string request_id;
  HttpRequest request;
  std::chrono::milliseconds time_left{0};
};

enum class RunEnd : std::uint8_t {
  // A whole answer of the backend server.
  kAnswered,
  // Proved: the backend server has not run it and never will.
  kNotRun,
  // It may have run.
  kUnknown,
};

const char* ToString(RunEnd end);

// Owner to entry: how a granted request ended.
struct RunResult {
  OfferId id;
  RunEnd end = RunEnd::kUnknown;
  Reason reason = Reason::kOk;
  // True when a backend server has read the request, even if it turned it away.
  bool has_arrived = false;
  HttpResponse response;
  std::chrono::milliseconds work_time{0};
  OwnerLoad load;
  std::uint64_t config_version = 0;
};

// Entry to owner: nobody waits for this request any more.
struct CancelRun {
  OfferId id;
};

// Entry to owner on a fresh link: what became of these? Each is answered by a
// RunResult now or when it ends. One that never arrived is void from here on
// and reported as not run.
struct Resume {
  std::vector<OfferId> ids;
};

// Asks for the configuration with a higher version than the asker's.
struct ConfigWanted {};

// A published configuration, as its source gave it.
struct ConfigText {
  std::uint64_t version = 0;
  std::string text;
};

struct Ping {};
struct Pong {};

using LinkMessage = std::variant<Hello,
                                 Offer,
                                 Grant,
                                 Deny,
                                 Withdraw,
                                 Run,
                                 RunResult,
                                 CancelRun,
                                 Resume,
                                 ConfigWanted,
                                 ConfigText,
                                 CrashNotice,
                                 Ping,
                                 Pong>;

}  // namespace vanillafall

#endif  // DISPATCH_LINK_MESSAGE_H_
