/* Versions in force in one availability zone whose daemons and relays have no
 * disk.
 *
 * Three relays take versions from control, when they reach it. A daemon puts a
 * version in force only when a majority of the relays hold it. A relay or the
 * daemon may restart and lose its memory; it counts as started only after it
 * has heard from control or from a majority of the relays, counting only those
 * that have started.
 *
 * Corresponds to core/feed: the relay quorum and the start of relays and
 * daemons.
 *
 * Property: the version in force at the daemon never decreases, also over its
 * restarts.
 */
#define RELAYS 3
#define MAXV 3
#define MAXRESTARTS 4

byte current;                 /* newest accepted version at control */
byte held[RELAYS];
bool started[RELAYS];
byte in_force;                /* at the daemon, 0 while it has not started */
byte highest;                 /* highest version that was ever in force */
byte restarts;
bool cut;                     /* the region does not reach control */

#define HAS(r, v) (started[r] && held[r] >= (v))
#define MAJORITY(v) ((HAS(0, v) + HAS(1, v) + HAS(2, v)) >= 2)
#ifdef MUT_UNSTARTED_COUNTS
#define UP(r) 1
#else
#define UP(r) started[r]
#endif
#define MAX(a, b) ((a) > (b) -> (a) : (b))

inline check_in_force() {
  assert(in_force >= highest);
  highest = in_force
}

inline accept_change() {
  d_step { current < MAXV; current = current + 1 }
}

inline relay_from_control(r) {
  d_step { !cut; held[r] = current; started[r] = true }
}

inline relay_from_relay(r, s) {
  d_step { r != s && started[r] && started[s] && held[s] > held[r]; held[r] = held[s] }
}

/* A restarted relay hears a majority of the relays, itself not counted. */
inline relay_start(r, s, t) {
  d_step {
    r != s && s != t && r != t && !started[r] && UP(s) + UP(t) >= 2;
    held[r] = MAX(held[s], held[t]); started[r] = true
  }
}

inline restart_relay(r) {
  d_step {
    restarts < MAXRESTARTS && (held[r] > 0 || started[r]);
    restarts = restarts + 1;
    held[r] = 0; started[r] = false
  }
}

/* A running daemon puts a newer version in force. */
inline advance(v) {
  d_step {
#ifdef MUT_NO_MAJORITY
    in_force > 0 && v > in_force && (HAS(0, v) || HAS(1, v) || HAS(2, v));
#else
    in_force > 0 && v > in_force && MAJORITY(v);
#endif
    in_force = v;
    check_in_force()
  }
}

/* A starting daemon hears two relays, takes the newest version that it hears
 * and waits until a majority holds it. */
inline daemon_start(s, t) {
  d_step {
#ifdef MUT_ONE_RELAY_IS_ENOUGH
    in_force == 0 && started[s] && held[s] > 0;
    in_force = held[s];
    check_in_force()
#else
    s != t && in_force == 0 && UP(s) + UP(t) >= 2 && MAX(held[s], held[t]) > 0 && MAJORITY(MAX(held[s], held[t]));
    in_force = MAX(held[s], held[t]);
    check_in_force()
#endif
  }
}

/* A starting daemon hears control through a relay with a fresh confirmation. */
inline daemon_start_confirmed() {
  d_step {
    in_force == 0 && !cut && current > 0 && MAJORITY(current);
    in_force = current;
    check_in_force()
  }
}

inline restart_daemon() {
  d_step { restarts < MAXRESTARTS && in_force > 0; restarts = restarts + 1; in_force = 0 }
}

inline cut_or_heal() {
  d_step { cut = !cut }
}

active proctype availability_zone() {
  byte a, b, c;
  do
  :: atomic {
       select(a : 0 .. 2); select(b : 0 .. 2); select(c : 0 .. 2);
       if
       :: accept_change()
       :: relay_from_control(a)
       :: relay_from_relay(a, b)
       :: relay_start(a, b, c)
       :: restart_relay(a)
       :: advance(a + 1)
       :: daemon_start(a, b)
       :: daemon_start_confirmed()
       :: restart_daemon()
       :: cut_or_heal()
       fi;
       a = 0; b = 0; c = 0
     }
  od
}
