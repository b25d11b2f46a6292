// Module dispatch: assigns each caller's request to a backend server with a
// free slot. Each backend server has exactly one owner, the daemon on its own
// instance, and only the owner sends it requests. The module only decides: it
// has no sockets, threads or clock. Each input comes with the time at which it
// is handled, and outputs are calls to a DispatchDelegate.
//
// A request enters at any daemon (the entry). The entry offers the request to
// owners, the one with the lowest estimated cost first. An owner with a free
// slot reserves the slot and grants the offer. Any other owner denies the offer
// at once or, if the offer may wait, queues it. The entry sends the request
// itself only after a grant. So an offer that was lost, denied or withdrawn has
// provably not run, and the request may be offered to another owner.
//
//   link_message.h       messages between entries and owners
//   customer_table.h     customers, found by the keys of their requests
//   route_table.h        the service that a request goes to, and its limits
//   config_freshness.h   how old the evidence is that the configuration is new
//   health_filter.h      probability that a backend server is failing
//   work_estimate.h      average processing time of each route
//   server_roster.h      the current list of backend servers
//   server_directory.h   last reported load of backend servers, and ranking
//   service_record.h     how the recent requests of a service ended
//   slot_queue.h         slots of one backend server and the queue for them
//   backend_owner.h      the owner of this instance's backend server
//   request_entry.h      the requests of this instance's callers
//   dispatch_delegate.h  interface that carries out the module's outputs
//   dispatcher.h         entry and owner of one daemon, combined; checks the
//   limits
//                        of customers (module limit) before a request enters

#ifndef DISPATCH_DISPATCH_H_
#define DISPATCH_DISPATCH_H_

#include "dispatch/dispatch_delegate.h"
#include "dispatch/dispatcher.h"

#endif  // DISPATCH_DISPATCH_H_
