/* Configuration changes with equal numbers, retries after lost responses, and
 * snapshots.
 *
 * The commands are those of the committed log of replication.pml: each one is
 * applied once, in a single order. Operators a and b concurrently send changes
 * with number 1; operator c sends number 2, which is rejected as a gap until
 * number 1 is accepted. Each command may be sent again at any time, since its
 * response may have been lost, and the state may be saved and restored at any
 * time.
 *
 * Corresponds to core/statemachine: Configuration.apply, previousResult,
 * changeNumberConflict, reject, accept, Snapshot and Restore.
 */
#define OPERATORS 3
#define NONE 0
#define ACCEPTED 1
#define TAKEN 2
#define GAP 3

byte number[OPERATORS];         /* number of an operator's change */
byte last;                      /* number of the last accepted change */
byte version;                   /* configuration version */
byte accepted[3];               /* operator plus 1 whose change is stored as accepted with a number */
byte rejected[OPERATORS];       /* stored rejection of a change */
byte first_response[OPERATORS]; /* first response to a change */
byte first_accepted[3];         /* operator plus 1 whose change was accepted first with a number */
byte steps;                     /* steps taken so far */

inline apply(op) {
  byte response;
  d_step {
    response = NONE;
#ifndef MUT_NO_FIRST_ANSWER
    if
    :: accepted[number[op]] == op + 1 -> response = ACCEPTED
    :: else -> skip
    fi;
#endif
#ifndef MUT_REJECTION_FORGOTTEN
    if
    :: response == NONE && rejected[op] != NONE -> response = rejected[op]
    :: else -> skip
    fi;
#endif
    if
    :: response != NONE -> skip
#ifdef MUT_LAST_WINS
    :: response == NONE && number[op] <= last + 1 ->
#else
    :: response == NONE && number[op] <= last -> response = TAKEN
    :: response == NONE && number[op] == last + 1 ->
#endif
       response = ACCEPTED;
       last = number[op];
       version = version + 1;
       assert(first_accepted[last] == 0 || first_accepted[last] == op + 1);
       first_accepted[last] = op + 1;
       accepted[last] = op + 1
    :: response == NONE && number[op] > last + 1 -> response = GAP; rejected[op] = GAP
    fi;
    assert(first_response[op] == NONE || first_response[op] == response);
    first_response[op] = response;
    assert(version <= 2);
    response = NONE
  }
}

inline save_and_restore() {
  d_step {
    skip;
#ifdef MUT_SNAPSHOT_WITHOUT_ANSWERS
    accepted[0] = 0; accepted[1] = 0; accepted[2] = 0;
    rejected[0] = 0; rejected[1] = 0; rejected[2] = 0
#endif
  }
}

active proctype group() {
  number[0] = 1; number[1] = 1; number[2] = 2;
  do
  :: steps < 9 ->
     steps = steps + 1;
     if
     :: apply(0)
     :: apply(1)
     :: apply(2)
     :: save_and_restore()
     fi
  :: else -> break
  od
}
