#ifndef DECISION_PEER_CALLER_H_
#define DECISION_PEER_CALLER_H_

#include <chrono>

#include "decision/event.h"

namespace vanillafall {

// Sends requests to daemons, this one included, and replies to requests of
// daemons. Implemented by Engine: a message to another daemon becomes an
// action, a message to this daemon an event that the engine handles itself.
class PeerCaller {
 public:
  virtual ~PeerCaller() = default;

  // Sends a request to a daemon and returns the number of the call. The reply
  // or failure arrives as PeerReplied with this number, never before this
  // function has returned.
  virtual PeerCallId Ask(const PeerAddress& peer,
                         PeerRequest request,
                         std::chrono::milliseconds timeout,
                         Actions& actions) = 0;

  // Replies to the request that arrived as PeerAsked with this number.
  virtual void Reply(PeerCallId call, PeerReply reply, Actions& actions) = 0;
};

}  // namespace vanillafall

#endif  // DECISION_PEER_CALLER_H_
