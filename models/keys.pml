/* Model of how guards grant one idempotency key, for the Spin model checker.
 *
 * Two configuration documents are in force at once. Document 1 has the guards
 * 0, 1 and 2, document 2 the guards 1, 2 and 3. Each attempt requests votes for
 * the key from the guards, runs the request once enough of them granted it, or
 * gives up at any moment. Messages between an attempt and a guard may be
 * delayed and reordered; guards may restart and then lose their state. A paused
 * attempt is an attempt that makes no step for a while, a lost message one that
 * is never delivered, and a lost grant one that the attempt never uses.
 *
 * The model covers one resend window of the key: everything happens within it.
 * So a guard that restarts abstains until the end, and the former guard set
 * counts as retired only if a majority of it had moved to document 2 before the
 * key was first used.
 *
 * Checked properties: the key runs at most once; when an attempt has proved
 * `not run`, the key has not run; an attempt that gave up never keeps a guard
 * occupied for ever.
 *
 * With -DLATE_VOTES, vote requests may still arrive after their attempt gave
 * up; this variant has only one document and no restarts. Without the switch
 * such requests are dropped, because all they can do is to keep other attempts
 * from the key.
 *
 * Each rule can be removed, to see that the check then finds the fault:
 *   -DNO_JOINT_RULE     an attempt asks only the guards of its own document
 *   -DRETIRE_AT_ONCE    a former guard set retires once a majority moved on
 *   -DNO_ABSTENTION     a restarted guard grants at once
 *   -DNO_STALE_REFUSAL  guards grant to attempts of an older document
 *   -DNO_RELEASE_MEMORY a guard does not remember a release that arrived
 *                       before the vote request
 *   -DMINORITY          one grant of each guard set is enough
 */

#define GUARDS 4
#define ATTEMPTS 2
#ifdef LATE_VOTES
#define RESTARTS 0
#else
#define RESTARTS 2
#endif
#define AT(a, g) ((a) * GUARDS + (g))
#define NO_ATTEMPT 255

#ifdef MINORITY
#define MAJORITY 1
#else
#define MAJORITY 2
#endif

/* State of the guards. */
byte guard_document[GUARDS];
/* The attempt that the guard granted the key to. */
byte holder[GUARDS] = NO_ATTEMPT;
bool abstains[GUARDS];
/* Whether the guard set of document 1 is retired. */
bool is_former_retired;
byte restarts;

/* State of the attempts. */
byte attempt_document[ATTEMPTS];
/* Whether the attempt needs no grants of the former guard set. */
bool skips_former[ATTEMPTS];
bool has_ended[ATTEMPTS];
/* Per attempt and guard: messages under way, the grants that the attempt uses,
 * and the releases that the guard received before the vote request. */
bool vote_sent[ATTEMPTS * GUARDS];
bool is_granted[ATTEMPTS * GUARDS];
bool release_sent[ATTEMPTS * GUARDS];
bool released_before_vote[ATTEMPTS * GUARDS];
bool gave_up[ATTEMPTS];

/* How often the key ran. */
byte run_count;

#define MOVED_ON(g) (guard_document[g] == 2 -> 1 : 0)
#define FORMER_MOVED_ON (MOVED_ON(0) + MOVED_ON(1) + MOVED_ON(2) >= 2)
#define GRANTS(a, g) (is_granted[AT(a, g)] -> 1 : 0)
#define HAS_FORMER_MAJORITY(a) \
  (GRANTS(a, 0) + GRANTS(a, 1) + GRANTS(a, 2) >= MAJORITY)
#define HAS_CURRENT_MAJORITY(a) \
  (GRANTS(a, 1) + GRANTS(a, 2) + GRANTS(a, 3) >= MAJORITY)
#define MAY_RUN(a)                                         \
  ((attempt_document[a] == 1 && HAS_FORMER_MAJORITY(a)) || \
   (attempt_document[a] == 2 && HAS_CURRENT_MAJORITY(a) && \
    (skips_former[a] || HAS_FORMER_MAJORITY(a))))

inline request_votes(a) {
  byte g = 0;
  do
  :: g < GUARDS ->
     vote_sent[AT(a, g)] = !(attempt_document[a] == 1 && g == 3) &&
                           !(skips_former[a] && g == 0);
     g++
  :: else -> break
  od
}

/* Sends no release to a guard that refused: it would change nothing. */
inline give_up(a) {
  byte h = 0;
  gave_up[a] = true;
  do
  :: h < GUARDS ->
#ifdef LATE_VOTES
     release_sent[AT(a, h)] = vote_sent[AT(a, h)] || holder[h] == a;
#else
     release_sent[AT(a, h)] = holder[h] == a;
     vote_sent[AT(a, h)] = false;
#endif
     is_granted[AT(a, h)] = false;
     h++
  :: else -> break
  od
}

proctype Attempt(byte a) {
  atomic {
#ifdef NO_JOINT_RULE
    skips_former[a] = attempt_document[a] == 2;
#elif defined(RETIRE_AT_ONCE)
    skips_former[a] = attempt_document[a] == 2 && FORMER_MOVED_ON;
#else
    skips_former[a] = attempt_document[a] == 2 && is_former_retired;
#endif
    request_votes(a)
  }
  if
  :: atomic {
       MAY_RUN(a) ->
       if
       /* Runs the key and keeps its grants until the end of the window. */
       :: run_count++;
          assert(run_count <= 1)
       /* Uses the grants only to prove `not run`, and releases them. */
       :: assert(run_count == 0);
          give_up(a)
       fi
     }
  :: atomic { true -> give_up(a) }
  fi;
  has_ended[a] = true
}

inline on_vote(a, g) {
  vote_sent[AT(a, g)] = false;
  if
#ifndef NO_STALE_REFUSAL
  :: attempt_document[a] < guard_document[g] -> skip
#endif
  :: else ->
     if
     :: holder[g] == NO_ATTEMPT && !abstains[g] &&
        !released_before_vote[AT(a, g)] ->
        holder[g] = a;
        is_granted[AT(a, g)] = !gave_up[a]
     :: else -> skip
     fi
  fi;
  released_before_vote[AT(a, g)] = false
}

inline on_release(a, g) {
  release_sent[AT(a, g)] = false;
  if
  :: holder[g] == a -> holder[g] = NO_ATTEMPT
  :: else ->
#ifdef NO_RELEASE_MEMORY
     skip
#else
     released_before_vote[AT(a, g)] = vote_sent[AT(a, g)]
#endif
  fi
}

inline restart(g) {
  restarts++;
  holder[g] = NO_ATTEMPT;
#ifndef NO_ABSTENTION
  abstains[g] = true;
#endif
  /* A restarted guard may read the older document from the platform. */
  if
  :: guard_document[g] = 1
  :: skip
  fi
}

/* Steps whose effect no attempt can observe are left out. */
#define HAS_PENDING_ATTEMPT (!has_ended[0] || !has_ended[1])
#ifdef RETIRE_AT_ONCE
#define MOVE_IS_VISIBLE(g) (HAS_PENDING_ATTEMPT && guard_document[g] == 1)
#else
#define MOVE_IS_VISIBLE(g)                               \
  (guard_document[g] == 1 &&                             \
   ((vote_sent[AT(0, g)] && attempt_document[0] == 1) || \
    (vote_sent[AT(1, g)] && attempt_document[1] == 1)))
#endif
#define RESTART_IS_VISIBLE(g) \
  (HAS_PENDING_ATTEMPT && restarts < RESTARTS && holder[g] != NO_ATTEMPT)

proctype Guard(byte g) {
end:
  do
  :: atomic { vote_sent[AT(0, g)] -> on_vote(0, g) }
  :: atomic { vote_sent[AT(1, g)] -> on_vote(1, g) }
  :: atomic { release_sent[AT(0, g)] -> on_release(0, g) }
  :: atomic { release_sent[AT(1, g)] -> on_release(1, g) }
  :: atomic { MOVE_IS_VISIBLE(g) -> guard_document[g] = 2 }
  :: atomic { RESTART_IS_VISIBLE(g) -> restart(g) }
  od
}

#define IS_STUCK(a, g)                             \
  (gave_up[a] && has_ended[a] && holder[g] == a && \
   !vote_sent[AT(a, g)] && !release_sent[AT(a, g)])

/* Fails when an attempt that gave up still holds a guard and no message under
 * way can release it. */
active proctype NoGuardIsStuck() {
end:
  atomic {
    IS_STUCK(0, 0) || IS_STUCK(0, 1) || IS_STUCK(0, 2) || IS_STUCK(0, 3) ||
    IS_STUCK(1, 0) || IS_STUCK(1, 1) || IS_STUCK(1, 2) || IS_STUCK(1, 3) ->
    assert(false)
  }
}

/* Guards 1 and 2 are interchangeable, and so are the attempts, so only one
 * starting state of each kind is listed. A guard that starts with document 1
 * may move to document 2 at any moment. */
init {
  byte i = 0;
  atomic {
    if
    :: attempt_document[0] = 1; attempt_document[1] = 1
#ifndef LATE_VOTES
    :: attempt_document[0] = 1; attempt_document[1] = 2
    :: attempt_document[0] = 2; attempt_document[1] = 2
#endif
    fi;
    guard_document[0] = 1;
    guard_document[1] = 1;
    guard_document[2] = 1;
    guard_document[3] = 1;
    if
    :: skip
#ifndef LATE_VOTES
    :: guard_document[0] = 2; guard_document[1] = 2
    :: guard_document[1] = 2; guard_document[2] = 2
#endif
    fi;
    is_former_retired = FORMER_MOVED_ON;
    do
    :: i < GUARDS -> run Guard(i); i++
    :: else -> break
    od;
    run Attempt(0);
    run Attempt(1)
  }
}
