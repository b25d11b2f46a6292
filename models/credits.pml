/* Model of credits for a limit that all daemons share: can the daemons spend
 * more credits than the buckets of the allocators and the own shares allow, or
 * spend a credit long after it was given?
 *
 * There are two allocators and two users. Both allocators give credits at any
 * time, as after a cut or a standstill, when each takes itself for the only
 * one; how much each may put into its bucket is decided elsewhere (see
 * docs/design/limits.md) and is the allowance here. A user has one request for
 * credits open at a time, may give up waiting at any moment and ask the other
 * allocator, and still takes a late reply. Messages may be delayed for any
 * time, lost or delivered twice. An allocator or a user may restart at any
 * moment and loses its state. Only the process Time advances time, so every
 * other process may pause for any time between two of its steps.
 *
 * A returned credit keeps its time here. In the program it may last a second
 * longer; LIFE stands for the whole time.
 *
 *   -DTAKE_ANY_REPLY     a user does not check the number of a reply
 *   -DCOUNT_FROM_REPLY   credits expire a fixed time after the reply has
 *                        arrived instead of after the request was sent
 *   -DRESTART_FULL       an allocator begins with a full bucket
 *   -DRETURN_ANY         the credit of a request that has run is returned
 */

#define USERS 2
#define ALLOCATORS 2
/* Time steps until a credit expires. */
#define LIFE 1
/* Requests for credits that a user may send. */
#define REQUESTS 2
#define CAPACITY 1
#define MAX_ALLOWED 3

#define NONE 0
#define REQUEST 1
#define REPLY 2

#define AT(u, a) ((u) * ALLOCATORS + (a))
#define OF(u, n) ((u) * REQUESTS + (n))

/* What buckets and own shares have been given so far, and what was spent. */
byte allowed;
byte spent;
byte bucket[ALLOCATORS];

/* One message under way between each user and each allocator, with the number
 * of the request and, for a reply, the time since the credit was given. */
byte message[USERS * ALLOCATORS];
byte message_number[USERS * ALLOCATORS];
byte message_age[USERS * ALLOCATORS];

/* The number of the user's next request; which requests may still be replied
 * to, and how long their credits are valid. */
byte next_number[USERS];
bool is_sent[USERS * REQUESTS];
byte time_left[USERS * REQUESTS];

/* Each user holds one credit at most, with the time that it is valid and the
 * time since it was given. */
bool has_credit[USERS];
byte credit_left[USERS];
byte credit_age[USERS];
/* The user has a request that was admitted by a credit. */
bool is_running[USERS];
byte run_left[USERS];
byte run_age[USERS];

proctype Allocator(byte a) {
  byte u;
end:
  do
  /* The bucket is filled. */
  :: atomic {
       allowed < MAX_ALLOWED && bucket[a] < CAPACITY ->
       bucket[a]++;
       allowed++
     }
  /* A credit is given. */
  :: atomic {
       bucket[a] > 0 && message[AT(0, a)] == REQUEST ->
       bucket[a]--;
       message[AT(0, a)] = REPLY;
       message_age[AT(0, a)] = 0
     }
  :: atomic {
       bucket[a] > 0 && message[AT(1, a)] == REQUEST ->
       bucket[a]--;
       message[AT(1, a)] = REPLY;
       message_age[AT(1, a)] = 0
     }
  /* The process restarts. */
  :: atomic {
#ifdef RESTART_FULL
       bucket[a] < CAPACITY -> bucket[a] = CAPACITY
#else
       bucket[a] > 0 -> bucket[a] = 0
#endif
     }
  od
}

proctype User(byte u) {
  byte n;
end:
  do
  /* Asks one of the allocators; a message still under way is lost. */
  :: atomic {
       next_number[u] < REQUESTS ->
       n = next_number[u];
       next_number[u]++;
       is_sent[OF(u, n)] = true;
       time_left[OF(u, n)] = LIFE;
       if
       :: message[AT(u, 0)] = REQUEST; message_number[AT(u, 0)] = n
       :: message[AT(u, 1)] = REQUEST; message_number[AT(u, 1)] = n
       fi;
       n = 0
     }
  /* Spends a credit. */
  :: atomic {
       has_credit[u] && credit_left[u] > 0 && !is_running[u] ->
       assert(credit_age[u] <= LIFE);
       has_credit[u] = false;
       is_running[u] = true;
       run_left[u] = credit_left[u];
       run_age[u] = credit_age[u];
       credit_left[u] = 0;
       credit_age[u] = 0;
     }
  /* The request runs. */
  :: atomic {
       is_running[u] ->
       spent++;
       assert(spent <= allowed);
#ifdef RETURN_ANY
       if
       :: has_credit[u] = true;
          credit_left[u] = run_left[u];
          credit_age[u] = run_age[u]
       :: true
       fi;
#endif
       is_running[u] = false;
       run_left[u] = 0;
       run_age[u] = 0
     }
  /* It ends without having run, and its credit is returned. */
  :: atomic {
       is_running[u] ->
       is_running[u] = false;
       has_credit[u] = run_left[u] > 0;
       credit_left[u] = run_left[u];
       credit_age[u] = run_age[u];
       run_left[u] = 0;
       run_age[u] = 0
     }
  /* No allocator can be reached: the own share is used. */
  :: atomic {
       allowed < MAX_ALLOWED ->
       allowed++;
       spent++;
       assert(spent <= allowed)
     }
  /* The process restarts; its numbers are never used again. */
  :: atomic {
       next_number[u] > 0 ->
       has_credit[u] = false;
       credit_left[u] = 0;
       credit_age[u] = 0;
       is_running[u] = false;
       run_left[u] = 0;
       run_age[u] = 0;
       n = 0;
       do
       :: n < REQUESTS ->
          is_sent[OF(u, n)] = false;
          time_left[OF(u, n)] = 0;
          n++
       :: else -> break
       od;
       n = 0
     }
  od
}

/* The network between one user and one allocator. */
proctype Link(byte u; byte a) {
  byte n;
end:
  do
  :: atomic { message[AT(u, a)] != NONE -> message[AT(u, a)] = NONE;
       message_number[AT(u, a)] = 0; message_age[AT(u, a)] = 0 }
  /* A reply arrives; it may arrive once more. */
  :: atomic {
       message[AT(u, a)] == REPLY ->
       n = message_number[AT(u, a)];
#ifdef TAKE_ANY_REPLY
       if
       :: true ->
#else
       if
       :: is_sent[OF(u, n)] ->
#endif
          is_sent[OF(u, n)] = false;
#ifdef COUNT_FROM_REPLY
          time_left[OF(u, n)] = LIFE;
#endif
          if
          :: time_left[OF(u, n)] > 0 ->
             has_credit[u] = true;
             credit_left[u] = time_left[OF(u, n)];
             credit_age[u] = message_age[AT(u, a)]
          :: else
          fi;
#ifndef TAKE_ANY_REPLY
          time_left[OF(u, n)] = 0
#endif
       :: else
       fi;
       n = 0
     }
  od
}

inline decrement(value) {
  if
  :: value > 0 -> value--
  :: else
  fi
}

/* Counts up to a value at which a credit is too old. */
inline grow(value) {
  if
  :: value <= LIFE -> value++
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
       :: m < USERS ->
          decrement(credit_left[m]);
          decrement(run_left[m]);
          if
          :: credit_left[m] == 0 -> has_credit[m] = false; credit_age[m] = 0
          :: else -> grow(credit_age[m])
          fi;
          if
          :: is_running[m] -> grow(run_age[m])
          :: else
          fi;
          m++
       :: else -> break
       od;
       m = 0;
       do
       :: m < USERS * REQUESTS -> decrement(time_left[m]); m++
       :: else -> break
       od;
       m = 0;
       do
       :: m < USERS * ALLOCATORS ->
          if
          :: message[m] == REPLY -> grow(message_age[m])
          :: else
          fi;
          m++
       :: else -> break
       od;
       m = 0
     }
  od
}

init {
  atomic {
    run Allocator(0);
    run Allocator(1);
    run User(0);
    run User(1);
    run Link(0, 0);
    run Link(0, 1);
    run Link(1, 0);
    run Link(1, 1);
    run Time()
  }
}
