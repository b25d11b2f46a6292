/* Model of in-service leases: can owners that decide on ejections independently
 * of each other push the number of backend servers in service below the floor?
 *
 * There are three backend servers, each with its own owner, and a floor of two.
 * To eject its server, an owner needs leases by which other owners promise to
 * keep their servers in service. Time is modelled as the time that each lease
 * has left, so that runs without end have a finite number of states. Only the
 * process Time advances time, at any moment, so every other process may pause
 * for any time between two of its steps. Messages may be delayed for any time
 * or lost in either direction; each ordered pair of servers has at most one
 * under way. An owner may restart at any moment and then loses all its state,
 * including the leases that it granted. The model leaves out the margin that
 * grantors add for differences between clock rates.
 *
 *   -DLEASE=n                 length of a lease in time steps
 *   -DGRANTOR_MAY_BE_EJECTED  a granted lease does not bind its grantor
 *   -DCOUNT_FROM_ANSWER       a lease counts from the arrival of its answer
 *                             instead of the sending of its request
 */

#define N 3
#define FLOOR 2
#ifndef LEASE
#define LEASE 1
#endif

/* States of a message. A request or an answer also carries the time that the
 * lease has left, counted from the sending of the request. */
#define NONE 0
#define REQUEST 1
#define ANSWER 2

#define AT(ejector, grantor) ((ejector) * N + (grantor))

bool is_unhealthy[N];
/* How long server i must still stay in service for the leases it granted. */
byte granted_time_left[N];
/* How long the lease that server j granted to server i is still valid. */
byte held_time_left[N * N];
byte message[N * N];
byte message_time_left[N * N];

/* Loop variable; used within one atomic step only. */
hidden byte peer;

#define HOLDS(i, j) (held_time_left[AT(i, j)] > 0 -> 1 : 0)
#define HELD_COUNT(i) (HOLDS(i, 0) + HOLDS(i, 1) + HOLDS(i, 2))
#ifdef GRANTOR_MAY_BE_EJECTED
#define MUST_STAY(i) false
#else
#define MUST_STAY(i) (granted_time_left[i] > 0)
#endif
#define EJECTED(i) (is_unhealthy[i] && !MUST_STAY(i) && HELD_COUNT(i) >= FLOOR)
#define IN_SERVICE(i) (EJECTED(i) -> 0 : 1)

inline clear_message(m) {
  message[m] = NONE;
  message_time_left[m] = 0
}

inline restart(i) {
  is_unhealthy[i] = false;
  granted_time_left[i] = 0;
  peer = 0;
  do
  :: peer < N ->
     held_time_left[AT(i, peer)] = 0;
     clear_message(AT(i, peer));
     peer++
  :: else -> break
  od
}

/* Server i, the ejector, requests a lease from server j, the grantor. */
proctype LeaseExchange(byte i; byte j) {
end:
  do
  /* The ejector sends a request; a message still under way is lost. */
  :: atomic {
       is_unhealthy[i] ->
       message[AT(i, j)] = REQUEST;
       message_time_left[AT(i, j)] = LEASE
     }
  /* The grantor answers; a refusal has the same effect as a lost message. */
  :: atomic {
       message[AT(i, j)] == REQUEST && !is_unhealthy[j] && !EJECTED(j) ->
       message[AT(i, j)] = ANSWER;
       granted_time_left[j] = LEASE
     }
  /* The ejector receives the answer. */
  :: atomic {
       message[AT(i, j)] == ANSWER ->
#ifdef COUNT_FROM_ANSWER
       held_time_left[AT(i, j)] = LEASE;
#else
       if
       :: message_time_left[AT(i, j)] > held_time_left[AT(i, j)] ->
          held_time_left[AT(i, j)] = message_time_left[AT(i, j)]
       :: else
       fi;
#endif
       clear_message(AT(i, j))
     }
  od
}

proctype Owner(byte i) {
end:
  do
  :: atomic { !is_unhealthy[i] -> is_unhealthy[i] = true }
  :: atomic { is_unhealthy[i] -> is_unhealthy[i] = false }
  :: atomic { true -> restart(i) }
  od
}

inline decrement(value) {
  if
  :: value > 0 -> value--
  :: else
  fi
}

proctype Time() {
  byte m;
end:
  do
  :: atomic {
       m = 0;
       do
       :: m < N -> decrement(granted_time_left[m]); m++
       :: else -> break
       od;
       m = 0;
       do
       :: m < N * N ->
          decrement(held_time_left[m]);
          decrement(message_time_left[m]);
#ifndef COUNT_FROM_ANSWER
          /* Drops the message, as its lease has expired. */
          if
          :: message_time_left[m] == 0 -> message[m] = NONE
          :: else
          fi;
#endif
          m++
       :: else -> break
       od;
       m = 0
     }
  od
}

/* Fails when fewer servers than the floor are in service at one moment. */
proctype Monitor() {
end:
  atomic {
    IN_SERVICE(0) + IN_SERVICE(1) + IN_SERVICE(2) < FLOOR -> assert(false)
  }
}

init {
  atomic {
    run Owner(0);
    run Owner(1);
    run Owner(2);
    run LeaseExchange(0, 1);
    run LeaseExchange(0, 2);
    run LeaseExchange(1, 0);
    run LeaseExchange(1, 2);
    run LeaseExchange(2, 0);
    run LeaseExchange(2, 1);
    run Time();
    run Monitor()
  }
}
