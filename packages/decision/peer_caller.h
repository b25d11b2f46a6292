#ifndef DECISION_PEER_CALLER_H_
#define DECISION_PEER_CALLER_H_

#include <chrono>

#include "decision/event.h"

namespace vanillafall {

// How the parts of an engine talk to daemons, this one included. Implemented
// by Engine, which turns calls into actions and loops back what is addressed
// to itself.
class PeerCaller {
 public:
  virtual ~PeerCaller() = default;

  // Asks a daemon. The result comes with the returned number, never before
  // this call has returned.
  virtual PeerCallId Ask(const PeerAddress& peer,
                         PeerRequest request,
                         std::chrono::milliseconds timeout,
                         Actions& actions) = 0;

  // Answers a question that came as PeerAsked with this number.
  virtual void Reply(PeerCallId call, PeerReply reply, Actions& actions) = 0;
};

}  // namespace vanillafall

#endif  // DECISION_PEER_CALLER_H_
