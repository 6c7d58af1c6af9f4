package raft

import (
	"math"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// Ready is the work that the caller has to do after messages, proposals and ticks.
type Ready struct {
	HardState *HardState            // to write; nil if unchanged
	Snapshot  *Snapshot             // to store and to restore the state machine from; nil if none
	Entries   []*api.Entry          // to write; they replace stored entries from the first one's index on
	Messages  []*api.ReplicaMessage // to send only after the sync
	Committed []*api.Entry          // to apply, after the snapshot
	MustSync  bool                  // false if nothing but the commit index has to be written
}

// Empty reports whether there is no work.
func (rd *Ready) Empty() bool {
	return rd.HardState == nil && rd.Snapshot == nil && len(rd.Entries)+len(rd.Messages)+len(rd.Committed) == 0
}

// Ready returns the outstanding work. Advance must follow before the next
// call.
func (r *Raft) Ready() Ready {
	r.broadcastAppend()
	rd := Ready{
		Snapshot:  r.receivedSnapshot,
		Entries:   r.log.slice(r.log.stable+1, r.log.last(), math.MaxInt),
		Messages:  r.messages,
		Committed: r.log.slice(r.log.applied+1, r.log.committed, math.MaxInt),
	}
	hs := r.hardState()
	if hs != r.prevHardState {
		rd.HardState = &hs
	}
	commitOnly := hs
	commitOnly.Commit = r.prevHardState.Commit
	rd.MustSync = rd.Snapshot != nil || len(rd.Entries) > 0 || commitOnly != r.prevHardState
	r.prevHardState = hs
	r.messages = nil
	r.receivedSnapshot = nil
	r.ready = &rd
	return rd
}

// Advance records that the caller has written, synced, sent and applied the last
// Ready.
func (r *Raft) Advance() {
	rd := r.ready
	r.ready = nil
	if n := len(rd.Entries); n > 0 {
		r.log.stable = max(r.log.stable, rd.Entries[n-1].Index)
	}
	if n := len(rd.Committed); n > 0 {
		r.log.applied = max(r.log.applied, rd.Committed[n-1].Index)
	}
	if r.role != Leader {
		return
	}
	if p := r.progress[r.cfg.Self.Id]; p != nil {
		p.match = r.log.stable
	}
	r.advanceCommit()
}

// Status is a view of a replica for logs, metrics and tests.
type Status struct {
	Role                Role
	Term                uint64
	Leader              *api.ReplicaRef // nil if unknown
	First, Last         uint64          // first and last index in the log
	Commit, Applied     uint64
	ReplicaSet          *api.ReplicaSet      // nil if unknown
	ReplicaSetCommitted bool                 // ReplicaSet is committed
	Match               map[uint64]uint64    // on the leader: durable index by replica id
	LastContact         map[uint64]time.Time // on the leader: last message by replica id, not before the election of the leader
	Contacted           map[uint64]bool      // on the leader: replicas that sent a message since its election
	Misaddressed        uint64               // messages ignored because they name another replica or disk
	Elections           uint64               // elections this replica started
}

// Status returns the current view.
func (r *Raft) Status() Status {
	s := Status{
		Role: r.role, Term: r.term, Leader: r.leader, First: r.log.offset + 1, Last: r.log.last(),
		Commit: r.log.committed, Applied: r.log.applied, ReplicaSet: r.replicaSets.current(),
		ReplicaSetCommitted: r.replicaSets.index() <= r.log.committed, Misaddressed: r.misaddressed, Elections: r.elections,
	}
	if r.role == Leader {
		s.Match = map[uint64]uint64{}
		s.LastContact = map[uint64]time.Time{}
		s.Contacted = map[uint64]bool{}
		for id, p := range r.progress {
			s.Match[id] = p.match
			s.LastContact[id], s.Contacted[id] = p.lastContact, p.contacted
		}
	}
	return s
}

// Role returns the current role without building a Status.
func (r *Raft) Role() Role { return r.role }

// Term returns the current term.
func (r *Raft) Term() uint64 { return r.term }

// ConfirmationAge returns an upper bound of the time since the last quorum
// confirmation: all entries that any replica had committed at that time are
// covered by the local commit index. It returns false if there was no
// confirmation in this incarnation.
func (r *Raft) ConfirmationAge(now time.Time) (time.Duration, bool) {
	return r.confirmations.age(now)
}

// ConfirmedAt returns the time on the local clock from which ConfirmationAge
// counts; false if there was no confirmation in this incarnation.
func (r *Raft) ConfirmedAt() (time.Time, bool) {
	if r.confirmations.valid == nil {
		return time.Time{}, false
	}
	return r.confirmations.valid.at, true
}
