/* Changes with equal numbers, resends after lost answers, and snapshots.
 *
 * The log is the committed one of replication.pml: each command is applied
 * once, in one order. Operators a and b race with number 1; operator c sends
 * number 2, which is a gap until number 1 has been accepted. Each command may
 * be sent again at any time, since its answer may have been lost, and the
 * state may be saved and restored at any time.
 *
 * Corresponds to core/statemachine: Configuration.apply, previousResult,
 * changeNumberConflict, reject, accept, Snapshot and Restore.
 */
#define OPERATORS 3
#define NONE 0
#define ACCEPTED 1
#define TAKEN 2
#define GAP 3

byte number[OPERATORS];       /* the number that an operator's change carries */
byte last;                    /* last accepted number */
byte version;
byte standing[3];             /* standing[n]: operator plus 1 whose change stands under n */
byte rejected[OPERATORS];     /* stored rejection of a change */
byte first[OPERATORS];        /* first answer that the operator could have seen */
byte taken_by[3];
byte sends;

inline apply(op) {
  byte answer;
  d_step {
    answer = NONE;
#ifndef MUT_NO_FIRST_ANSWER
    if
    :: standing[number[op]] == op + 1 -> answer = ACCEPTED
    :: else -> skip
    fi;
#endif
#ifndef MUT_REJECTION_FORGOTTEN
    if
    :: answer == NONE && rejected[op] != NONE -> answer = rejected[op]
    :: else -> skip
    fi;
#endif
    if
    :: answer != NONE -> skip
#ifdef MUT_LAST_WINS
    :: answer == NONE && number[op] <= last + 1 ->
#else
    :: answer == NONE && number[op] <= last -> answer = TAKEN
    :: answer == NONE && number[op] == last + 1 ->
#endif
       answer = ACCEPTED;
       last = number[op];
       version = version + 1;
       assert(taken_by[last] == 0 || taken_by[last] == op + 1);
       taken_by[last] = op + 1;
       standing[last] = op + 1
    :: answer == NONE && number[op] > last + 1 -> answer = GAP; rejected[op] = GAP
    fi;
    assert(first[op] == NONE || first[op] == answer);
    first[op] = answer;
    assert(version <= 2);
    answer = NONE
  }
}

inline save_and_restore() {
  d_step {
    skip;
#ifdef MUT_SNAPSHOT_WITHOUT_ANSWERS
    standing[0] = 0; standing[1] = 0; standing[2] = 0;
    rejected[0] = 0; rejected[1] = 0; rejected[2] = 0
#endif
  }
}

active proctype group() {
  number[0] = 1; number[1] = 1; number[2] = 2;
  do
  :: sends < 9 ->
     sends = sends + 1;
     if
     :: apply(0)
     :: apply(1)
     :: apply(2)
     :: save_and_restore()
     fi
  :: else -> break
  od
}
