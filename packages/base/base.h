// Module base: the types that every other module shares, and nothing that
// does input or output. It rests on no other module.
//
//   clock.h         the clock interface and its steady implementation
//   error.h         errors that carry the step and the peer
//   outcome.h       what a caller is told about a request, and why
//   hash.h          128-bit content and rendezvous hashes
//   log_event.h     the catalogue of numbered log events
//   bounded_ring.h  the bounded queue that joins two threads

#ifndef BASE_BASE_H_
#define BASE_BASE_H_

#include "base/bounded_ring.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/hash.h"
#include "base/log_event.h"
#include "base/outcome.h"

#endif  // BASE_BASE_H_
