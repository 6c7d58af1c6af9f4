/* Active configuration versions in one availability zone whose daemons and relays
 * have no disk.
 *
 * Three relays fetch versions from control while it is reachable. A daemon
 * activates a version only if a majority of the relays have it. A relay or the
 * daemon may restart and lose its memory. It counts as started only after it
 * received a version from control or from a majority of the relays, of which
 * only started ones count.
 *
 * Corresponds to core/feed: the relay quorum and the start of relays and
 * daemons.
 *
 * Property: the active version of the daemon never decreases, also over its
 * restarts.
 */
#define RELAYS 3
#define MAXV 3
#define MAXRESTARTS 4

byte current;                 /* newest accepted version at control */
byte relay_version[RELAYS];   /* version of each relay */
bool started[RELAYS];
byte active_version;          /* active version of the daemon, 0 before it has started */
byte highest;                 /* highest version that was ever active */
byte restarts;
bool partitioned;             /* control is unreachable from the region */

#define HAS(r, v) (started[r] && relay_version[r] >= (v))
#define MAJORITY(v) ((HAS(0, v) + HAS(1, v) + HAS(2, v)) >= 2)
#ifdef MUT_UNSTARTED_COUNTS
#define COUNTS(r) 1
#else
#define COUNTS(r) started[r]
#endif
#define MAX(a, b) ((a) > (b) -> (a) : (b))

inline check_active() {
  assert(active_version >= highest);
  highest = active_version
}

inline accept_change() {
  d_step { current < MAXV; current = current + 1 }
}

inline relay_from_control(r) {
  d_step { !partitioned; relay_version[r] = current; started[r] = true }
}

inline relay_from_relay(r, s) {
  d_step { r != s && started[r] && started[s] && relay_version[s] > relay_version[r]; relay_version[r] = relay_version[s] }
}

/* A restarted relay starts with the versions of the two other relays, a majority. */
inline relay_start(r, s, t) {
  d_step {
    r != s && s != t && r != t && !started[r] && COUNTS(s) + COUNTS(t) >= 2;
    relay_version[r] = MAX(relay_version[s], relay_version[t]); started[r] = true
  }
}

inline restart_relay(r) {
  d_step {
    restarts < MAXRESTARTS && (relay_version[r] > 0 || started[r]);
    restarts = restarts + 1;
    relay_version[r] = 0; started[r] = false
  }
}

/* A started daemon activates a newer version. */
inline advance(v) {
  d_step {
#ifdef MUT_NO_MAJORITY
    active_version > 0 && v > active_version && (HAS(0, v) || HAS(1, v) || HAS(2, v));
#else
    active_version > 0 && v > active_version && MAJORITY(v);
#endif
    active_version = v;
    check_active()
  }
}

/* A starting daemon receives the versions of two relays and activates the newer
 * one as soon as a majority of the relays have it. */
inline daemon_start(s, t) {
  d_step {
#ifdef MUT_ONE_RELAY_IS_ENOUGH
    active_version == 0 && started[s] && relay_version[s] > 0;
    active_version = relay_version[s];
    check_active()
#else
    s != t && active_version == 0 && COUNTS(s) + COUNTS(t) >= 2 && MAX(relay_version[s], relay_version[t]) > 0 && MAJORITY(MAX(relay_version[s], relay_version[t]));
    active_version = MAX(relay_version[s], relay_version[t]);
    check_active()
#endif
  }
}

/* A starting daemon receives the current version with a fresh quorum confirmation
 * from control through a relay. */
inline daemon_start_confirmed() {
  d_step {
    active_version == 0 && !partitioned && current > 0 && MAJORITY(current);
    active_version = current;
    check_active()
  }
}

inline restart_daemon() {
  d_step { restarts < MAXRESTARTS && active_version > 0; restarts = restarts + 1; active_version = 0 }
}

inline partition_or_heal() {
  d_step { partitioned = !partitioned }
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
       :: partition_or_heal()
       fi;
       a = 0; b = 0; c = 0
     }
  od
}
