/* Claims for work that must run at most once.
 *
 * Two gates try to run work with the same key; a gate may crash and come back,
 * it then uses a new claimant name. Claims are applied in the order of the
 * committed log. A command may be applied later than it was sent, and twice.
 *
 * Corresponds to core/statemachine: Claims.claim, finish, release, advanceTime; and to
 * the claim handling of the gate in package daemon.
 */
#define GATES 2
#define ABSENT 0
#define CLAIMED 1
#define FINISHED 2
#define RELEASED 3

/* States of a gate's attempt. */
#define IDLE 0
#define ASKED 1
#define GRANTED 2
#define RAN 3
#define GAVE_UP 4

byte state;                /* of the claim */
byte holder;               /* claimant that holds it */
bool late;                 /* the deadline of the claim has passed */
bool behind;               /* the key's time is behind the horizon */
byte runs;

byte gate[GATES];          /* state of the gate's attempt */
byte claimant[GATES];      /* its claimant name, new for each attempt */
byte in_flight[GATES];     /* claimant of a claim command that is not applied yet */
byte names;

inline ask(g) {
  d_step {
    gate[g] == IDLE && names < 4;
    names = names + 1;
    claimant[g] = names;
    in_flight[g] = names;
    gate[g] = ASKED
  }
}

/* A claim command is applied; it stays in flight, since it may be applied twice. */
inline apply_claim(g) {
  d_step {
    in_flight[g] != 0;
    granted = false;
    if
#ifndef MUT_NO_HORIZON
    :: behind -> skip
#endif
    :: (
#ifndef MUT_NO_HORIZON
       !behind &&
#endif
       (state == ABSENT || (state == RELEASED && holder != in_flight[g])
#ifdef MUT_LATE_CLAIM_IS_FREE
       || (state == CLAIMED && late)
#endif
       )) ->
       state = CLAIMED; holder = in_flight[g]; late = false; granted = true
    :: (
#ifndef MUT_NO_HORIZON
       !behind &&
#endif
       state == CLAIMED && holder == in_flight[g]) -> granted = true
    :: else -> skip
    fi;
    if
    :: granted && gate[g] == ASKED && claimant[g] == in_flight[g] -> gate[g] = GRANTED
    :: else -> skip
    fi;
    granted = false
  }
}

inline execute(g) {
  d_step {
    gate[g] == GRANTED;
    gate[g] = RAN;
    runs = runs + 1;
    assert(runs <= 1)
  }
}

inline finish(g) {
  d_step {
    gate[g] == RAN;
    if
    :: state == CLAIMED && holder == claimant[g] -> state = FINISHED
    :: else -> skip
    fi;
    gate[g] = IDLE
  }
}

/* A gate that has not run the work gives up and releases its claim. */
inline release(g) {
  d_step {
#ifdef MUT_RELEASE_AFTER_RUN
    gate[g] == ASKED || gate[g] == GRANTED || gate[g] == RAN;
#else
    gate[g] == ASKED || gate[g] == GRANTED;
#endif
    if
    :: state == ABSENT && !behind -> state = RELEASED; holder = claimant[g]
#ifdef MUT_ANYONE_RELEASES
    :: state == CLAIMED -> state = RELEASED
#else
    :: state == CLAIMED && holder == claimant[g] -> state = RELEASED
#endif
    :: else -> skip
    fi;
    gate[g] = IDLE
  }
}

inline crash(g) {
  d_step {
    gate[g] != IDLE;
    gate[g] = IDLE
  }
}

/* Retention: the horizon passes the key, then the claim is removed. */
inline pass_time() {
  d_step {
    if
    :: state == CLAIMED && !late -> late = true
    :: behind -> state = ABSENT; holder = 0; late = false
    :: !behind && (state != CLAIMED || late) -> behind = true
    :: else -> skip
    fi
  }
}

active proctype system() {
  bool granted;
  byte g;
  do
  :: atomic {
       select(g : 0 .. 1);
       if
       :: ask(g)
       :: apply_claim(g)
       :: execute(g)
       :: finish(g)
       :: release(g)
       :: crash(g)
       :: pass_time()
       fi;
       g = 0
     }
  od
}
