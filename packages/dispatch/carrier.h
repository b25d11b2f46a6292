#ifndef DISPATCH_CARRIER_H_
#define DISPATCH_CARRIER_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "base/log_event.h"
#include "base/outcome.h"
#include "decision/event.h"
#include "dispatch/link_message.h"
#include "dispatch/server_directory.h"

namespace vanillafall {

// A link that another daemon has opened to this one. Never reused.
using LinkId = std::uint64_t;

// What a caller is told.
struct CallerAnswer {
  RequestId id = 0;
  Outcome outcome = Outcome::kNotRun;
  Reason reason = Reason::kInternal;
  // A backend server's answer; a status of 0 when there is none, and then the
  // reason says which status to send.
  HttpResponse response;
  // When the caller should come back; 0 says nothing.
  std::chrono::milliseconds retry_after{0};
  std::string service;
  std::string route;
};

// One request to this instance's backend server.
struct BackendCall {
  BackendCallId id = 0;
  std::string server;
  std::string request_id;
  HttpRequest request;
  std::chrono::milliseconds time_left{0};
  bool is_idempotent = false;
};

// How a call to the backend server ended.
struct BackendCallEnd {
  BackendCallId id = 0;
  RunEnd end = RunEnd::kUnknown;
  Reason reason = Reason::kOk;
  bool has_arrived = false;
  // The process is gone: its port refuses connections.
  bool is_down = false;
  // Another server answers at this address.
  bool is_other_server = false;
  HttpResponse response;
};

// Carries out what the decisions ask for. No call back into the decisions
// before the current input has been handled.
class Carrier {
 public:
  virtual ~Carrier() = default;
  virtual void AnswerCaller(CallerAnswer answer) = 0;
  // Opens a link when there is none.
  virtual void SendToOwner(const PeerAddress& owner, LinkMessage message) = 0;
  // Closes the link to an owner that has gone silent; the next message opens a
  // fresh one.
  virtual void ResetLink(const PeerAddress& owner) = 0;
  virtual void ReplyTo(LinkId link, LinkMessage message) = 0;
  virtual void CallBackend(BackendCall call) = 0;
  virtual void CancelBackend(BackendCallId id) = 0;
  // The list of backend servers is in doubt: read it again soon.
  virtual void RefreshServers(ListDoubt refresh_reason) = 0;
  // Another daemon has a newer configuration and sends its text.
  virtual void OnConfigText(const ConfigText& config) = 0;
  // The newest configuration as text, for a daemon that has an older one.
  virtual ConfigText GetConfigText() = 0;
  virtual void Log(LogEvent event) = 0;
};

}  // namespace vanillafall

#endif  // DISPATCH_CARRIER_H_
