/* In-service leases: can ejections that are decided apart push the number of
 * backend servers in service below the floor?
 *
 * Three servers, each with its own owner, and a floor of two. Time is kept as
 * what is left of each lease, so that the model has no end. A step of time is
 * taken by the process Time only, at any moment: every other process may pause
 * between any two of its steps for any time. A message may be delayed for any
 * time or lost in either direction; for each pair of servers one is under way.
 * An owner may restart at any moment and forgets everything, what it granted
 * too. The difference of clock rates is a margin on the grantor's side that the model leaves out.
 *
 *   -DLEASE=n                 length of a lease in steps of time
 *   -DGRANTOR_MAY_BE_EJECTED  a granted lease binds nobody
 *   -DCOUNT_FROM_ANSWER       a lease counts from the arrival of its answer
 */

#define N 3
#define FLOOR 2
#ifndef LEASE
#define LEASE 1
#endif

/* States of a message; a request or an answer also has the time left of the
 * lease, counted from the sending of the request. */
#define NONE 0
#define REQUEST 1
#define ANSWER 2

#define AT(ejector, grantor) ((ejector) * N + (grantor))

bool is_unhealthy[N];
/* How long server i still owes others to stay in service. */
byte granted_time_left[N];
/* What is left of the lease that server i holds of server j. */
byte held_time_left[N * N];
byte message[N * N];
byte message_time_left[N * N];

/* Used within one atomic step only. */
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

/* One server's exchange of leases with another: the ejector's half and the
 * grantor's half. */
proctype LeaseExchange(byte i; byte j) {
end:
  do
  /* Asks; a message that was under way is lost. */
  :: atomic {
       is_unhealthy[i] ->
       message[AT(i, j)] = REQUEST;
       message_time_left[AT(i, j)] = LEASE
     }
  /* The grantor answers; a refusal is the same as a loss. */
  :: atomic {
       message[AT(i, j)] == REQUEST && !is_unhealthy[j] && !EJECTED(j) ->
       message[AT(i, j)] = ANSWER;
       granted_time_left[j] = LEASE
     }
  /* The ejector takes the answer. */
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
          /* Brings nothing to the ejector any more. */
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

/* Sees all servers at any one moment. */
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
