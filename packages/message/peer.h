#ifndef MESSAGE_PEER_H_
#define MESSAGE_PEER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

#include "base/hash.h"
#include "base/outcome.h"
#include "message/http.h"

namespace vanillafall {

// Address of a daemon's peer port, such as "10.0.0.7:7100".
using PeerAddress = std::string;

// Whether a backend server accepts new requests, as judged by its owner: the
// daemon that admits all requests to that server.
enum class ServingState : std::uint8_t {
  kInService,
  // Readmitted after an ejection, with one slot at first and more step by step.
  kProbation,
  kEjected,
  kDraining,
};

// Name of the state as shown to operators, such as "in service".
const char* ToString(ServingState state);

// Load of one backend server, sent with each RunReply of its owner: the number
// of requests that it may run at once, that it runs, and that its owner queues.
struct LoadReport {
  std::uint32_t slots = 0;
  std::uint32_t in_use = 0;
  std::uint32_t waiting = 0;
  ServingState state = ServingState::kInService;
};

// Sent by the entry, the daemon that a caller connected to, to the owner: asks
// it to run this request on the named backend server.
struct RunRequest {
  std::string service;
  std::string backend_server;
  // `tenant` in the schema.
  std::string customer;
  std::string request_class;
  HttpRequest request;
  bool idempotent = true;
  // Present when the request is non-idempotent and its caller sent a key: the
  // hash of service, customer and key.
  std::optional<Hash128> key;
  // Timestamp contained in the key if it is a version 7 UUID, since the Unix
  // epoch; 0 when the key contains none.
  std::chrono::milliseconds key_time{0};
  // Hash of service, method, target and body. Identifies the request in crash
  // reports, and reveals that two different bodies use the same key.
  Hash128 fingerprint;
  // Time until the caller stops waiting.
  std::chrono::milliseconds time_left{0};
  // Number of the service's document by which the entry routed the request.
  std::uint64_t service_number = 0;
  // An earlier try of this request ended with a crash of its backend server.
  bool is_crash_suspect = false;
};

// The owner's reply to a RunRequest.
struct RunReply {
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kInternal;
  HttpResponse response;
  LoadReport load;
};

// Identifies one try of a non-idempotent request. No two tries share an id,
// because every process draws a new incarnation when it starts.
struct AttemptId {
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  friend bool operator==(const AttemptId&, const AttemptId&) = default;
  friend bool operator<(const AttemptId& a, const AttemptId& b) {
    return std::tie(a.incarnation, a.sequence) <
           std::tie(b.incarnation, b.sequence);
  }
};

// Sent by the owner to a guard, a daemon that records which attempt holds a
// key: asks for permission to run the request with this key as this attempt.
struct VoteRequest {
  std::string service;
  Hash128 key;
  Hash128 fingerprint;
  AttemptId attempt;
  PeerAddress owner;
  std::uint64_t service_number = 0;
  // As in RunRequest.
  std::chrono::milliseconds key_time{0};
};

// A guard's answer to a VoteRequest.
enum class VoteResult : std::uint8_t {
  kGranted,
  // Another attempt holds the key.
  kTaken,
  // Another attempt holds the key for a request with a different body.
  kOtherBody,
  // The guard restarted too recently to know what it granted before.
  kAbstained,
  // The request was routed by an older service document than the guard's.
  kStaleConfig,
  // The guard's key table has no capacity left.
  kTableFull,
};

// The guard's reply to a VoteRequest.
struct VoteReply {
  VoteResult result = VoteResult::kAbstained;
  // With kTaken and kOtherBody: the attempt that holds the key, its owner, and
  // its outcome if that was reported to the guard.
  AttemptId holder;
  PeerAddress holder_owner;
  std::optional<Outcome> settled;
  // Number of the guard's version of the service's document, and how long the
  // guard has had that number or a higher one.
  std::uint64_t service_number = 0;
  std::chrono::milliseconds service_number_age{0};
};

// Sent by the owner to a guard: the attempt has ended. The outcome kNotRun
// releases the key.
struct SettleNotice {
  std::string service;
  Hash128 key;
  AttemptId attempt;
  Outcome outcome = Outcome::kUnknown;
};

// Acknowledges a SettleNotice.
struct SettleReply {};

// Sent by any daemon to the owner that ran the request with this key: asks for
// the answer.
struct RecallRequest {
  std::string service;
  Hash128 key;
  AttemptId attempt;
};

// The owner's recorded reply; empty when it has none.
struct RecallReply {
  std::optional<RunReply> reply;
};

// An owner's measurements of one backend server's recent requests.
struct HealthDigest {
  std::uint32_t samples = 0;
  // Failed requests as a share of the samples, from 0 to 1.
  double failure_ratio = 0;
  // Recent latency by request class.
  struct ClassLatency {
    std::string request_class;
    std::chrono::microseconds median{0};
    std::uint32_t samples = 0;
  };
  std::vector<ClassLatency> latencies;
};

// Asks the owner of the listed backend servers (the grantors) to promise to
// keep them in service for the given duration, so that another backend server
// (the ejector) may be ejected meanwhile. A duration of 0 asks only for their
// health digests.
struct LeaseRequest {
  std::string service;
  std::string ejector;
  std::vector<std::string> backend_servers;
  std::chrono::milliseconds duration{0};
};

// The answer for one listed backend server.
struct LeaseGrant {
  std::string backend_server;
  bool granted = false;
  HealthDigest digest;
};

// The reply to a LeaseRequest.
struct LeaseReply {
  std::vector<LeaseGrant> grants;
};

// Sent by an owner to the service's other owners: a backend server crashed
// while this request was in flight.
struct CrashNotice {
  std::string service;
  Hash128 fingerprint;
  // True when no other request was in flight, so that this one must be the
  // cause.
  bool alone = false;
};

// Acknowledges a CrashNotice.
struct CrashReply {};

// Version of a configuration. The version with the greater number is newer.
// Between two publications with the same number the greater digest wins, so
// that all daemons choose the same one without coordination.
struct ConfigVersion {
  std::uint64_t number = 0;
  // Digest of the manifest's bytes.
  Hash128 digest;

  friend bool operator==(const ConfigVersion&, const ConfigVersion&) = default;
  friend bool operator<(const ConfigVersion& a, const ConfigVersion& b) {
    return std::tie(a.number, a.digest.high, a.digest.low) <
           std::tie(b.number, b.digest.high, b.digest.low);
  }
  friend bool operator>(const ConfigVersion& a, const ConfigVersion& b) {
    return b < a;
  }
  friend bool operator<=(const ConfigVersion& a, const ConfigVersion& b) {
    return !(b < a);
  }
};

// Sent between any two daemons: asks for the receiver's configuration version.
// Carries the sender's own version, so that one exchange informs both.
struct ConfigProbe {
  ConfigVersion version;
  PeerAddress sender;
  // Drawn when the sender's process starts; a different value from the same
  // address means a different process.
  std::uint64_t incarnation = 0;
  std::string data_centre;
};

// The receiver's reply to a ConfigProbe.
struct ConfigProbeReply {
  ConfigVersion version;
  std::uint64_t incarnation = 0;
  std::string data_centre;
  // False when the replying daemon has no platform configured, or watches the
  // platform and cannot reach it.
  bool is_platform_reached = true;
};

// Sent between any two daemons: asks for a published document.
struct DocumentRequest {
  std::string name;
  // Digest of the requested version's bytes; all zero for the version in force.
  Hash128 digest;
};

// The document's bytes; empty when the receiver does not have them.
struct DocumentReply {
  std::optional<std::string> body;
};

// Every request that one daemon can send to another.
using PeerRequest = std::variant<RunRequest,
                                 VoteRequest,
                                 SettleNotice,
                                 RecallRequest,
                                 LeaseRequest,
                                 CrashNotice,
                                 ConfigProbe,
                                 DocumentRequest>;

// Every reply to a PeerRequest, in the order of the requests.
using PeerReply = std::variant<RunReply,
                               VoteReply,
                               SettleReply,
                               RecallReply,
                               LeaseReply,
                               CrashReply,
                               ConfigProbeReply,
                               DocumentReply>;

// Why a call to another daemon ended without a reply.
enum class PeerFailure : std::uint8_t {
  // No byte of the request left this daemon.
  kNotSent,
  // The request may have arrived.
  kLost,
};

}  // namespace vanillafall

#endif  // MESSAGE_PEER_H_
