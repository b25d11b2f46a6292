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

// Calls between daemons over Cap'n Proto RPC, both ways, on one peers thread.
class PeerNode {
 public:
  using CallId = std::uint64_t;
  using Result = std::variant<PeerReply, PeerFailure>;

  // What the control of the fleet costs this daemon on the network.
  struct Traffic {
    std::uint64_t control_messages = 0;
    std::uint64_t control_bytes = 0;
  };

  // Called on the peers thread.
  class Listener {
   public:
    virtual ~Listener() = default;
    // Another daemon asks. Returns false when there is no room; otherwise one
    // Reply with the same number must follow.
    virtual bool OnPeerAsked(CallId call, PeerRequest request) = 0;
    // A call of ours has ended; comes once for each call that was taken.
    virtual void OnPeerReplied(CallId call, Result result) = 0;
    virtual void OnMalformedMessage() = 0;
  };

  // The address is the one to listen on.
  PeerNode(PeerAddress address, Listener& listener);
  ~PeerNode();
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  // Opens the port and starts the thread.
  std::optional<Error> Start();
  void Stop();

  // From any thread; false when the ring is full, and then nothing is sent.
  bool Ask(CallId call,
           PeerAddress peer,
           PeerRequest request,
           std::chrono::milliseconds timeout);
  bool Reply(CallId call, PeerReply reply);

  Traffic GetTraffic() const;

 private:
  class Impl;
  const std::unique_ptr<Impl> impl_;
};

}  // namespace vanillafall

#endif  // TRANSPORT_PEER_NODE_H_
