#ifndef DISPATCH_DISPATCH_DELEGATE_H_
#define DISPATCH_DISPATCH_DELEGATE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/log_event.h"
#include "base/outcome.h"
#include "decision/event.h"
#include "dispatch/link_message.h"
#include "dispatch/server_directory.h"

namespace vanillafall {

// Identifies a link that another daemon has opened to this one. Never reused.
using LinkId = std::uint64_t;

// The answer to a caller's request.
struct CallerAnswer {
  RequestId id = 0;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kInternal;
  // The backend server's answer. The status is 0 when there is none; the reason
  // then determines the status to send.
  HttpResponse response;
  // Time after which the caller should retry; 0 when none is recommended.
  std::chrono::milliseconds retry_after{0};
  // Both empty when the request was refused before a service was chosen.
  std::string service;
  std::string route;
  // Empty when the request belongs to no customer.
  std::string customer;
  // Deadline of a request that may be a call of this instance's backend server;
  // nothing for any other request.
  std::optional<TimePoint> call_deadline;
};

// One request to this instance's backend server.
struct BackendCall {
  BackendCallId id = 0;
  std::string server;
  // The id that the caller gave the request.
  std::string request_id;
  HttpRequest request;
  // Time until the deadline of the request.
  std::chrono::milliseconds time_left{0};
  bool is_idempotent = false;
  // Name of the customer; empty when the request belongs to none.
  std::string customer;
};

// What a backend server says about itself in an answer.
struct ServerNotice {
  // The requests per second that it takes from all callers together; nothing
  // when it names no limit.
  std::optional<double> max_requests_per_second;
  // It is about to stop and wants no new requests.
  bool is_leaving = false;
};

// How a call to the backend server ended.
struct BackendCallEnd {
  BackendCallId id = 0;
  RunEnd end = RunEnd::kUnknown;
  Reason reason = Reason::kOk;
  // True when the backend server has read the request.
  bool has_arrived = false;
  // How often the request was sent.
  std::uint32_t sends = 0;
  // The process of the backend server does not run: its port refuses
  // connections.
  bool is_down = false;
  // The answer came from another backend server than the called one.
  bool is_other_server = false;
  // Nothing when the called server sent no answer to this request.
  std::optional<ServerNotice> notice;
  HttpResponse response;
};

// Carries out the outputs of the dispatch module: network messages, calls and
// log lines. Its functions must not call back into the module; results are
// delivered later, as new inputs.
class DispatchDelegate {
 public:
  virtual ~DispatchDelegate() = default;
  virtual void AnswerCaller(CallerAnswer answer) = 0;
  // Opens a link to the owner if there is none.
  virtual void SendToOwner(const PeerAddress& owner, LinkMessage message) = 0;
  // Sends a message on a few random links, in either role. Daemons that learn
  // something new from it pass it on, so it reaches nearly all.
  virtual void SendToSomeDaemons(const LinkMessage& message) = 0;
  // Closes the link to an owner that no longer replies; the next message opens
  // a new link.
  virtual void ResetLink(const PeerAddress& owner) = 0;
  // Sends a message to the entry that opened the link.
  virtual void ReplyTo(LinkId link, LinkMessage message) = 0;
  // Starts a call to the backend server. A BackendCallEnd of the same id
  // reports its end.
  virtual void CallBackend(BackendCall call) = 0;
  virtual void CancelBackend(BackendCallId id) = 0;
  // The list of backend servers may be outdated: read it again soon.
  virtual void RefreshServers(RefreshReason refresh_reason) = 0;
  // Reads the configuration and the list of backend servers from the source,
  // unless a check is pending already.
  virtual void CheckSource() = 0;
  // Another daemon knows that the configuration in force was the newest at this
  // revision of the source.
  virtual void OnConfigConfirmedElsewhere(const SourceRevision& revision) = 0;
  // Reads the list entry of this instance's backend server from the source.
  virtual void CheckOwnServer() = 0;
  // Another daemon sent the text of a newer configuration.
  virtual void OnConfigText(const ConfigText& config) = 0;
  // The newest configuration as text, to send to a daemon with an older one.
  virtual ConfigText GetConfigText() = 0;
  virtual void Log(LogEvent event) = 0;
};

}  // namespace vanillafall

#endif  // DISPATCH_DISPATCH_DELEGATE_H_
