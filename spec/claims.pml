/* Claims for work that must execute at most once.
 *
 * Two daemons try to execute work with the same key. A daemon may crash and
 * restart; it then uses a new claimant name. Commands are applied in the order
 * of the committed log. A command may be applied later than it was sent, and
 * twice.
 *
 * Corresponds to core/statemachine: Claims.claim, finish, release, advanceTime;
 * and to the claim handling in package daemon.
 */
#define DAEMONS 2
#define ABSENT 0
#define CLAIMED 1
#define FINISHED 2
#define RELEASED 3

/* States of a daemon's attempt. */
#define IDLE 0
#define REQUESTED 1
#define GRANTED 2
#define EXECUTED 3
#define GAVE_UP 4

byte state;                /* of the claim */
byte holder;               /* claimant that holds the claim */
bool expired;              /* the deadline of the claim has passed */
bool past_horizon;         /* the time of the key is before the retention horizon */
byte executions;

byte attempt[DAEMONS];     /* state of the daemon's attempt */
byte claimant[DAEMONS];    /* claimant name of the attempt, new for each attempt */
byte in_flight[DAEMONS];   /* claimant of a claim command that can be applied, 0 if none */
byte names;                /* claimant names used so far */

inline request_claim(d) {
  d_step {
    attempt[d] == IDLE && names < 4;
    names = names + 1;
    claimant[d] = names;
    in_flight[d] = names;
    attempt[d] = REQUESTED
  }
}

/* Applies a claim command. It stays in flight, since it may be applied twice. */
inline apply_claim(d) {
  d_step {
    in_flight[d] != 0;
    granted = false;
    if
#ifndef MUT_NO_HORIZON
    :: past_horizon -> skip
#endif
    :: (
#ifndef MUT_NO_HORIZON
       !past_horizon &&
#endif
       (state == ABSENT || (state == RELEASED && holder != in_flight[d])
#ifdef MUT_LATE_CLAIM_IS_FREE
       || (state == CLAIMED && expired)
#endif
       )) ->
       state = CLAIMED; holder = in_flight[d]; expired = false; granted = true
    :: (
#ifndef MUT_NO_HORIZON
       !past_horizon &&
#endif
       state == CLAIMED && holder == in_flight[d]) -> granted = true
    :: else -> skip
    fi;
    if
    :: granted && attempt[d] == REQUESTED && claimant[d] == in_flight[d] -> attempt[d] = GRANTED
    :: else -> skip
    fi;
    granted = false
  }
}

inline execute(d) {
  d_step {
    attempt[d] == GRANTED;
    attempt[d] = EXECUTED;
    executions = executions + 1;
    assert(executions <= 1)
  }
}

inline finish(d) {
  d_step {
    attempt[d] == EXECUTED;
    if
    :: state == CLAIMED && holder == claimant[d] -> state = FINISHED
    :: else -> skip
    fi;
    attempt[d] = IDLE
  }
}

/* A daemon that has not executed the work releases its claim. */
inline release(d) {
  d_step {
#ifdef MUT_RELEASE_AFTER_RUN
    attempt[d] == REQUESTED || attempt[d] == GRANTED || attempt[d] == EXECUTED;
#else
    attempt[d] == REQUESTED || attempt[d] == GRANTED;
#endif
    if
    :: state == ABSENT && !past_horizon -> state = RELEASED; holder = claimant[d]
#ifdef MUT_ANYONE_RELEASES
    :: state == CLAIMED -> state = RELEASED
#else
    :: state == CLAIMED && holder == claimant[d] -> state = RELEASED
#endif
    :: else -> skip
    fi;
    attempt[d] = IDLE
  }
}

inline crash(d) {
  d_step {
    attempt[d] != IDLE;
    attempt[d] = IDLE
  }
}

/* Time passes: the deadline of the claim expires, then the retention horizon passes
 * the key, then the claim is removed. */
inline pass_time() {
  d_step {
    if
    :: state == CLAIMED && !expired -> expired = true
    :: past_horizon -> state = ABSENT; holder = 0; expired = false
    :: !past_horizon && (state != CLAIMED || expired) -> past_horizon = true
    :: else -> skip
    fi
  }
}

active proctype system() {
  bool granted;
  byte d;
  do
  :: atomic {
       select(d : 0 .. 1);
       if
       :: request_claim(d)
       :: apply_claim(d)
       :: execute(d)
       :: finish(d)
       :: release(d)
       :: crash(d)
       :: pass_time()
       fi;
       d = 0
     }
  od
}
