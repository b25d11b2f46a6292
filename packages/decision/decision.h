// Module decision: all decisions of a daemon as pure computation. Events and a
// time point go in, actions come out. Nothing here opens a socket, starts a
// thread, reads a clock or draws from a random device. Depends on module
// config. An Engine belongs to one thread; no class here may be used by two
// threads at once.
//
//   event.h            events and actions
//   engine.h           all decisions of one daemon
//   peer_caller.h      requests to other daemons, and replies to theirs
//   entry.h            requests of callers: choice of backend server, retries
//   owner.h            backend servers of this instance: admission, execution
//   route_index.h      finds the route of a request
//   router.h           which backend server an entry prefers
//   retry_budget.h     how many retries are allowed
//   latency_estimate.h quantiles of recent latency
//   admission.h        slots of a backend server and the bounded queue for them
//   fair_queue.h       round robin between customers and request classes
//   execution_guard.h  grants for keys of non-idempotent work
//   vote_round.h       one owner's request for such a grant
//   keyed_execution.h  requests such grants and keeps the answers
//   not_run_verifier.h gets the guards' proof before `not run` is answered
//   key_retention.h    how long keys are remembered; pauses of this process
//   service_health.h   detection and ejection of unhealthy backend servers
//   server_health.h    health, ejection, probation and leases of one server
//   health_evaluator.h distinguishes unhealthy servers from healthy ones
//   lease_book.h       in-service leases held and granted
//   ejection_cell.h    the servers of a large service that grant leases to one
//   crash_guard.h      requests that crash the backend server that runs them

#ifndef DECISION_DECISION_H_
#define DECISION_DECISION_H_

#include "decision/engine.h"

#endif  // DECISION_DECISION_H_
