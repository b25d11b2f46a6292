// Module base: the types that all other modules share. It does no input or
// output and depends on no other module.
//
//   clock.h         the clock interface and the system clock
//   error.h         errors with the step that failed and the peer
//   outcome.h       whether a request was executed, and the reason code
//   hash.h          128-bit content hashes and rendezvous weights
//   log_event.h     the list of numbered log events
//   bounded_ring.h  the bounded queue between threads

#ifndef BASE_BASE_H_
#define BASE_BASE_H_

#include "base/bounded_ring.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/log_event.h"
#include "base/outcome.h"

#endif  // BASE_BASE_H_
