// Module limit: keeps limits of requests per second that all daemons share. It
// has no sockets, threads or clock: each input comes with the time at which it
// is handled, and outputs are calls to a FleetLimiter::Delegate.
//
// Each limit has one allocator among the daemons. The allocator keeps a token
// bucket and gives credits to the daemons that ask, one for each request that
// they admit. See docs/design/limits.md.
//
//   credit_message.h   messages between the daemons
//   allocator_order.h  which daemon is the allocator of a limit
//   reach_estimate.h   which part of the fleet this daemon can reach
//   credit_bucket.h    the credits that an allocator may give
//   credit_account.h   the credits that a daemon has, and those it waits for
//   fleet_limiter.h    all of them, combined

#ifndef LIMIT_LIMIT_H_
#define LIMIT_LIMIT_H_

#include "limit/fleet_limiter.h"

#endif  // LIMIT_LIMIT_H_
