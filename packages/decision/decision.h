// Module decision: every decision of a daemon as plain computation. Events and
// a time point go in, typed actions come out; nothing here opens a socket,
// starts a thread, reads a clock or draws from a random device. It rests on
// config. One thread owns an Engine; no class here is safe for use by two
// threads at once.
//
//   event.h            what goes in and what comes out
//   engine.h           one daemon's decisions as a whole
//   entry.h            requests of callers: choice of backend server, retries
//   owner.h            backend servers of this instance: admission, execution
//   route_index.h      finds the route of a request
//   router.h           which backend server an entry prefers
//   retry_budget.h     how many retries are allowed
//   latency_estimate.h quantiles of recent latency
//   admission.h        slots and the fair, bounded wait for them
//   fair_queue.h       turns of tenants and request classes
//   execution_guard.h  grants for keys of non-idempotent work
//   vote_round.h       one owner's request for such a grant
//   keyed_execution.h  the asking side of such grants, with the kept answers
//   key_proof.h        proof by the guards before a caller is told `not run`
//   key_retention.h    how long keys are remembered; pauses of this process
//   service_health.h   detection and ejection of sick backend servers
//   server_health.h    one server's judge, ejection, probation and leases
//   health_judge.h     how a sick server is told from a well one
//   lease_book.h       in-service leases held and granted
//   ejection_cell.h    the part of a large service that one ejection concerns
//   crash_guard.h      requests that crash whoever runs them

#ifndef DECISION_DECISION_H_
#define DECISION_DECISION_H_

#include "decision/engine.h"

#endif  // DECISION_DECISION_H_
