#ifndef TRANSPORT_PEER_NODE_H_
#define TRANSPORT_PEER_NODE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "base/error.h"
#include "message/peer.h"

namespace vanillafall {

// Sends requests to other daemons and receives theirs, over Cap'n Proto RPC, on
// one thread, the peers thread.
class PeerNode {
 public:
  using CallId = std::uint64_t;
  using Result = std::variant<PeerReply, PeerFailure>;

  // Control messages that this daemon sent and received, and their size: all
  // requests and replies between daemons except RunRequest and RunReply.
  struct Traffic {
    std::uint64_t control_messages = 0;
    std::uint64_t control_bytes = 0;
  };

  // Called on the peers thread.
  class Listener {
   public:
    virtual ~Listener() = default;
    // Another daemon has sent a request. Returns false when there is no
    // capacity for it; otherwise one SendReply with the same id must follow.
    virtual bool OnPeerRequest(CallId call, PeerRequest request) = 0;
    // A call of this daemon has ended. Called once for each request that
    // SendRequest accepted, unless the node stops first.
    virtual void OnPeerResult(CallId call, Result result) = 0;
    // A request or reply could not be decoded.
    virtual void OnMalformedMessage() = 0;
  };

  // Listens on the given address.
  PeerNode(PeerAddress address, Listener& listener);
  ~PeerNode();
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  // Opens the port and starts the thread. Returns an error when the port cannot
  // be opened.
  std::optional<Error> Start();
  // Ends the thread and closes all connections.
  void Stop();

  // Starts a call, whose result arrives at Listener::OnPeerResult. May be
  // called from any thread. Returns false when the queue is full, and then
  // nothing is sent.
  bool SendRequest(CallId call,
                   PeerAddress peer,
                   PeerRequest request,
                   std::chrono::milliseconds timeout);
  // Replies to a request received with OnPeerRequest. May be called from any
  // thread. Returns false when the queue is full.
  bool SendReply(CallId call, PeerReply reply);

  Traffic GetTraffic() const;

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // TRANSPORT_PEER_NODE_H_
