/* Replication of one group: elections, log replication, replacement of a
 * replica by joint consensus, and a lost disk.
 *
 * Replicas 0, 1 and 2 are the initial voters. Replica 3 is a new replica with an
 * empty disk that replaces replica 0. A request and its reply are one step, and
 * a lost message is a step that is not taken. A deposed leader that has not yet
 * received the new term still takes steps. A replica syncs its state to disk
 * before it replies, so a crash loses only its role.
 *
 * Corresponds to package core/raft:
 *   start_election, grant_vote  election (campaign, handling of vote requests)
 *   become_leader               counting of votes under the replica set
 *   append                      handling of append messages
 *   commit                      advance of the commit index
 *   propose_joint, propose_final  ProposeReplace and the automatic second step
 *   lose_disk                   identity check by (id, disk id)
 *
 * Properties, checked by assertions:
 *   at most one leader in a term; a committed entry never changes; an elected
 *   leader holds every entry that was committed in an earlier term.
 */
#ifndef MAXT
#define MAXT 3          /* terms */
#endif
#ifndef MAXP
#define MAXP 1          /* client proposals */
#endif
#ifdef NO_REPLACEMENT   /* three voters, no lost disk: allows more terms */
#define LAST 2
#else
#define LAST 3
#endif
#define N 4
#ifndef MAXL
#define MAXL 3          /* log length */
#endif

#define FOLLOWER  0
#define CANDIDATE 1
#define LEADER    2

/* An entry is its term times 8 plus its content. */
#define TERM(e)    ((e) >> 3)
#define CONTENT(e) ((e) & 7)
#define JOINT 6
#define FINAL 7

byte term[N], voted[N], role[N], length[N], commit_index[N];  /* commit_index: of a leader, 0 for others */
byte entries[N * MAXL];
byte votes[N];                                      /* bit mask of votes for a candidate */
byte acked[16];                                     /* acked[l*N+f]: entries of leader l stored by f */
byte committed[MAXL];                               /* committed entry, 0 if none */
byte committed_in[MAXL];                            /* term in which it was committed */
byte leader_of[5];                                  /* leader of a term plus 1 */
bool lost;                                          /* replica 0 has lost its disk */
byte proposals;

#define ENTRY(r, i) entries[(r) * MAXL + (i)]
#define LAST_TERM(r) (length[r] == 0 -> 0 : TERM(ENTRY(r, length[r] - 1)))

/* Majority of the initial voters {0,1,2} and of the new voters {1,2,3}. */
#define BITS3(a, b, c) (((a) + (b) + (c)) >= 2)
#define BIT(m, r) (((m) >> (r)) & 1)
#define OLD_MAJORITY(m) BITS3(BIT(m, 0), BIT(m, 1), BIT(m, 2))
#define NEW_MAJORITY(m) BITS3(BIT(m, 1), BIT(m, 2), BIT(m, 3))

#define HAS(r, c) ((length[r] > 0 && CONTENT(ENTRY(r, 0)) == c) || (length[r] > 1 && CONTENT(ENTRY(r, 1)) == c) || (length[r] > 2 && CONTENT(ENTRY(r, 2)) == c))

/* The active replica set is the newest one in the log. */
#define QUORUM(r, m) (HAS(r, FINAL) -> NEW_MAJORITY(m) : (HAS(r, JOINT) -> (OLD_MAJORITY(m) && NEW_MAJORITY(m)) : OLD_MAJORITY(m)))

/* A replica whose disk was lost must not participate under its old identity. */
#ifdef MUT_LOST_DISK_VOTES
#define PARTICIPATES(r) true
#else
#define PARTICIPATES(r) (!((r) == 0 && lost))
#endif

inline clear_acks(r) {
  acked[(r) * N] = 0; acked[(r) * N + 1] = 0; acked[(r) * N + 2] = 0; acked[(r) * N + 3] = 0
}

inline start_election(c) {
  d_step {
    role[c] != LEADER && term[c] < MAXT && PARTICIPATES(c) && (c != 3 || length[3] > 0);
    term[c] = term[c] + 1; voted[c] = c + 1; role[c] = CANDIDATE; votes[c] = 1 << c
  }
}

#ifdef MUT_NO_LOG_CHECK
#define UP_TO_DATE(c, v) true
#else
#define UP_TO_DATE(c, v) (LAST_TERM(c) > LAST_TERM(v) || (LAST_TERM(c) == LAST_TERM(v) && length[c] >= length[v]))
#endif

inline grant_vote(c, v) {
  d_step {
    c != v && role[c] == CANDIDATE && PARTICIPATES(c) && PARTICIPATES(v) &&
    (term[v] < term[c] || (term[v] == term[c] && voted[v] == 0)) && UP_TO_DATE(c, v);
    term[v] = term[c]; voted[v] = c + 1; role[v] = FOLLOWER; votes[v] = 0; commit_index[v] = 0; clear_acks(v);
    votes[c] = votes[c] | (1 << v)
  }
}

inline become_leader(c) {
  d_step {
    role[c] == CANDIDATE && PARTICIPATES(c) && QUORUM(c, votes[c]);
    assert(leader_of[term[c]] == 0);
    leader_of[term[c]] = c + 1;
    i = 0;
    do
    :: i < MAXL ->
       assert(committed[i] == 0 || committed_in[i] >= term[c] || (length[c] > i && ENTRY(c, i) == committed[i]));
       i = i + 1
    :: else -> break
    od;
    i = 0;
    role[c] = LEADER; votes[c] = 0; commit_index[c] = 0; clear_acks(c); acked[c * N + c] = length[c]
  }
}

inline propose(l) {
  d_step {
    role[l] == LEADER && PARTICIPATES(l) && length[l] < MAXL && proposals < MAXP;
    proposals = proposals + 1;
    ENTRY(l, length[l]) = term[l] * 8 + proposals;
    length[l] = length[l] + 1; acked[l * N + l] = length[l]
  }
}

inline propose_joint(l) {
  d_step {
    role[l] == LEADER && l != 0 && PARTICIPATES(l) && length[l] < MAXL && !HAS(l, JOINT) && !HAS(l, FINAL);
#ifdef MUT_DIRECT_SWAP
    ENTRY(l, length[l]) = term[l] * 8 + FINAL;
#else
    ENTRY(l, length[l]) = term[l] * 8 + JOINT;
#endif
    length[l] = length[l] + 1; acked[l * N + l] = length[l]
  }
}

#define JOINT_COMMITTED(l) ((commit_index[l] > 0 && CONTENT(ENTRY(l, 0)) == JOINT) || (commit_index[l] > 1 && CONTENT(ENTRY(l, 1)) == JOINT) || (commit_index[l] > 2 && CONTENT(ENTRY(l, 2)) == JOINT))

inline propose_final(l) {
  d_step {
    role[l] == LEADER && PARTICIPATES(l) && length[l] < MAXL && JOINT_COMMITTED(l) && !HAS(l, FINAL);
    ENTRY(l, length[l]) = term[l] * 8 + FINAL;
    length[l] = length[l] + 1; acked[l * N + l] = length[l]
  }
}

inline append(l, f) {
  d_step {
    l != f && role[l] == LEADER && PARTICIPATES(l) && PARTICIPATES(f) && term[f] <= term[l] &&
    (term[f] < term[l] || acked[l * N + f] < length[l] || role[f] != FOLLOWER);
    if :: term[f] < term[l] -> voted[f] = 0 :: else -> skip fi;
    term[f] = term[l]; role[f] = FOLLOWER; votes[f] = 0; commit_index[f] = 0; clear_acks(f);
    i = 0;
    do
    :: i < length[l] -> ENTRY(f, i) = ENTRY(l, i); i = i + 1
    :: else -> break
    od;
    do
    :: i < MAXL -> ENTRY(f, i) = 0; i = i + 1
    :: else -> break
    od;
    i = 0;
    length[f] = length[l];
    acked[l * N + f] = length[l]
  }
}

#define HOLDS(l, f, k) (acked[(l) * N + (f)] >= (k) -> (1 << (f)) : 0)
#define HOLDERS(l, k) (HOLDS(l, 0, k) | HOLDS(l, 1, k) | HOLDS(l, 2, k) | HOLDS(l, 3, k))
#ifdef MUT_COMMIT_OLD_TERM
#define OWN_TERM(l, k) true
#else
#define OWN_TERM(l, k) (TERM(ENTRY(l, (k) - 1)) == term[l])
#endif

inline commit(l, k) {
  d_step {
    role[l] == LEADER && PARTICIPATES(l) && k > 0 && k <= length[l] && k > commit_index[l] && OWN_TERM(l, k) && QUORUM(l, HOLDERS(l, k));
    i = 0;
    do
    :: i < k ->
       assert(committed[i] == 0 || committed[i] == ENTRY(l, i));
       if :: committed[i] == 0 -> committed_in[i] = term[l] :: else -> skip fi;
       committed[i] = ENTRY(l, i); i = i + 1
    :: else -> break
    od;
    i = 0;
    commit_index[l] = k
  }
}

inline crash(r) {
  d_step {
    role[r] != FOLLOWER;
    role[r] = FOLLOWER; votes[r] = 0; commit_index[r] = 0; clear_acks(r);
#ifdef MUT_VOTE_NOT_SYNCED
    voted[r] = 0
#endif
  }
}

#ifdef MUT_ENTRY_NOT_SYNCED
/* The last entry was acknowledged before it was synced. */
inline lose_last_entry(r) {
  d_step {
    role[r] == FOLLOWER && length[r] > 0;
    length[r] = length[r] - 1; ENTRY(r, length[r]) = 0
  }
}
#endif

inline lose_disk() {
  d_step {
    !lost;
    lost = true;
    term[0] = 0; voted[0] = 0; role[0] = FOLLOWER; votes[0] = 0; length[0] = 0; commit_index[0] = 0;
    ENTRY(0, 0) = 0; ENTRY(0, 1) = 0; ENTRY(0, 2) = 0; clear_acks(0)
  }
}

active proctype group() {
  byte i, a, b;
  do
  :: atomic {
       select(a : 0 .. LAST);
       select(b : 0 .. LAST);
       if
       :: start_election(a)
       :: grant_vote(a, b)
       :: become_leader(a)
       :: propose(a)
#ifndef NO_REPLACEMENT
       :: propose_joint(a)
       :: propose_final(a)
       :: lose_disk()
#endif
       :: append(a, b)
       :: commit(a, b)
       :: crash(a)
#ifdef MUT_ENTRY_NOT_SYNCED
       :: lose_last_entry(a)
#endif
       :: else -> skip
       fi;
       a = 0; b = 0
     }
  od
}

#ifdef WITNESS
/* Reachability check: after the replacement an entry is committed although replica
 * 0 has lost its disk. The never claim states the opposite, so the checker must find
 * an error. */
never {
  do
  :: lost && CONTENT(committed[0]) == JOINT && CONTENT(committed[1]) == FINAL && committed[2] != 0 -> break
  :: else -> skip
  od
}
#endif
