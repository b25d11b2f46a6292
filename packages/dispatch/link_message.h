#ifndef DISPATCH_LINK_MESSAGE_H_
#define DISPATCH_LINK_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/hash.h"
#include "dispatch/source_revision.h"
#include "limit/credit_message.h"
#include "message/http.h"
#include "message/peer.h"

namespace vanillafall {

// Identifies one offer. Unique in the whole fleet and never reused, because
// each process of an entry draws a new incarnation number.
using OfferId = AttemptId;

// The first message on a link, in both directions: the sender's incarnation
// number and the version of its configuration.
struct Hello {
  std::uint64_t incarnation = 0;
  std::uint64_t config_version = 0;
};

// Numbers of a service's recent requests that were served and that were not, as
// one entry saw them. Earlier requests count less, so they are fractions.
struct ServiceTally {
  // Time constant by which requests lose weight.
  static constexpr std::chrono::duration<double> kDecayTime{3.0};

  // Reduces the weight of the requests by this much time.
  void Decay(std::chrono::duration<double> time);

  double served = 0;
  double unserved = 0;
};

// Load and health of a backend server. Its owner sends it with each grant, deny
// and run result.
struct OwnerLoad {
  std::uint32_t slots = 0;
  // Slots in use or reserved.
  std::uint32_t in_use = 0;
  // Offers in the queue.
  std::uint32_t waiting = 0;
  // Probability that the backend server fails its next request.
  double failure_probability = 0;
  // Expected time that one more offer would wait for a slot.
  std::chrono::milliseconds expected_wait{0};
  // A considerable share of the service's requests is not served, as the
  // entries report in their offers.
  bool is_service_in_trouble = false;
  // The backend server has said in an answer that it is leaving.
  bool is_leaving = false;
  // Start of the process that is leaving, since the Unix epoch; 0 when it is
  // not published, or none is leaving.
  std::chrono::milliseconds leaving_started_at{0};
};

// Entry to owner: requests a slot for a request, without the request itself.
struct Offer {
  OfferId id;
  std::string server;
  std::string route;
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  bool is_idempotent = false;
  // The request may have run before, so its calls may be repeats.
  bool is_repeat = false;
  // The request is probably a call of another backend server, whose run fails
  // without the answer.
  bool is_call = false;
  // It is a call, and an earlier call of the same run has probably succeeded.
  bool is_continued = false;
  // The owner may queue the offer until a slot is free, unless the expected
  // wait is longer than the maximum.
  bool may_wait = false;
  // Number of owners at which the request waits at the same time.
  std::uint32_t copies = 1;
  // Maximum time that the offer may wait for a slot; `patienceMs` in the
  // schema.
  std::chrono::milliseconds max_wait{0};
  // The answer will miss the route's target latency in any case, so offers
  // that can still meet it go first.
  bool is_late = false;
  // The owner may grant the offer even if the backend server is suspected of
  // failing requests.
  bool accepts_suspect = false;
  // The owner may use the request to test a suspected backend server: if it
  // fails, the entry can still repeat it at another owner, or its service is in
  // trouble and would otherwise leave the server idle.
  bool may_test = false;
  // Time until the deadline of the request.
  std::chrono::milliseconds time_left{0};
  // Hash of the request's route, method, host, target and body, but not of its
  // id, so that repetitions of one request have the same fingerprint.
  Hash128 fingerprint;
  std::uint64_t config_version = 0;
  // Hash of the customer's name; 0 when the request belongs to no customer.
  std::uint64_t customer = 0;
  // The entry's requests of the service.
  ServiceTally tally;
  // Another owner has told the entry lately that the service is in trouble.
  bool is_service_in_trouble = false;
};

// Why an owner denies an offer.
enum class DenyReason : std::uint8_t {
  // No slot is free, or the request must run alone and another one is running.
  kFull,
  // The backend server is suspected of failing requests.
  kSuspect,
  // The backend server is draining, or its owner is stopping.
  kLeaving,
  // The backend server refuses connections, or another process answers in its
  // place.
  kDown,
  // This daemon is not the owner of the backend server.
  kNotOwner,
  // No slot will be free within the maximum wait.
  kTooLate,
  // The request is suspected of crashing backend servers.
  kCrashSuspect,
  // The calls that a repeat makes again would exceed what the called services
  // may get in repeats.
  kRepeatLimit,
};

const char* ToString(DenyReason reason);

// Owner to entry: a slot is reserved for the offer for a short time.
struct Grant {
  OfferId id;
  OwnerLoad load;
  std::uint64_t config_version = 0;
};

// Owner to entry: the offer is void; its request has not run at this owner and
// will not.
struct Deny {
  OfferId id;
  DenyReason reason = DenyReason::kFull;
  OwnerLoad load;
  std::uint64_t config_version = 0;
};

// Entry to owner: the offer is void, unless its request was already sent.
struct Withdraw {
  OfferId id;
};

// Entry to owner: the request itself, after a grant.
struct Run {
  OfferId id;
  // The id that the caller gave the request.
  std::string request_id;
  HttpRequest request;
  // Time until the deadline of the request.
  std::chrono::milliseconds time_left{0};
  // The request has run before or is running elsewhere.
  bool is_repeat = false;
  // Name of the customer; empty when the request belongs to none.
  std::string customer;
};

// How a granted request ended at the owner.
enum class RunEnd : std::uint8_t {
  // The backend server sent a complete answer.
  kAnswered,
  // The backend server has provably not run the request and never will.
  kNotRun,
  // The backend server may have run the request.
  kUnknown,
};

const char* ToString(RunEnd end);

// Owner to entry: how a granted request ended.
struct RunResult {
  OfferId id;
  RunEnd end = RunEnd::kUnknown;
  Reason reason = Reason::kOk;
  // True when the backend server has read the request, even if it rejected it.
  bool has_arrived = false;
  HttpResponse response;
  // Time from the start of the call to the backend server to its end.
  std::chrono::milliseconds work_time{0};
  OwnerLoad load;
  std::uint64_t config_version = 0;
};

// Entry to owner: the answer to this request is no longer needed.
struct CancelRun {
  OfferId id;
};

// Entry to owner on a new link: requests the results of these runs. The owner
// sends a RunResult for each, now or when the run ends. A run that the owner
// has never received is void from here on and is reported as not run.
struct Resume {
  std::vector<OfferId> ids;
};

// In both directions: when this was sent, no configuration newer than this
// version had been published `age` before, at this revision of the source. How
// long the message is on its way is unknown, so only the reply to a question
// bounds the age at the receiver.
struct ConfigConfirmed {
  std::uint64_t version = 0;
  std::chrono::milliseconds age{0};
  SourceRevision revision;
  // As in the question that this answers; nothing when nobody asked.
  std::optional<std::chrono::milliseconds> asked_at;
};

// In both directions: asks for a ConfigConfirmed, if the receiver has any.
struct ConfirmationWanted {
  // When this was sent, on the sender's own clock.
  std::chrono::milliseconds asked_at{0};
};

// Entry to owner: the list shows that this backend server, which it had shown
// as ready, drains or has been removed.
struct ServerLeaving {
  std::string server;
};

// Requests the text of the receiver's configuration, whose version is higher
// than the sender's.
struct ConfigWanted {};

// A published configuration, as text exactly as its source delivered it.
struct ConfigText {
  std::uint64_t version = 0;
  std::string text;
};

// Entry to owner: checks that the link and the owner still work.
struct Ping {};
// Owner to entry: the reply to a Ping.
struct Pong {};

// Any message on a link.
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
                                 Pong,
                                 ConfigConfirmed,
                                 ConfirmationWanted,
                                 ServerLeaving,
                                 CreditRequest,
                                 CreditReply>;

}  // namespace vanillafall

#endif  // DISPATCH_LINK_MESSAGE_H_
