package raft

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// progressState is the way in which the leader sends entries to a replica.
type progressState uint8

const (
	stateProbe     progressState = iota // one append at a time until one matches
	stateReplicate                      // appends are pipelined
	stateSnapshot                       // no appends until a snapshot is acknowledged
)

// progress is the leader's view of the replication state of one replica, itself
// included.
type progress struct {
	ref         *api.ReplicaRef
	state       progressState
	match       uint64   // known to be durable at the replica
	next        uint64   // first index to send
	probeSent   bool     // a probe is outstanding
	forceAppend bool     // send an append even without entries
	inflight    []uint64 // last index of each unacknowledged append
	sentCommit  uint64   // commit index last sent

	pendingSnapshot uint64 // index of the snapshot that was sent
	// snapshotSequence is the sequence of the last heartbeat before the snapshot was sent.
	snapshotSequence uint64

	recentActive         bool      // a message arrived since the last quorum check
	lastContact          time.Time // last message from the replica, or the election of the leader
	contacted            bool      // a message arrived since the election of the leader
	ackedSequence        uint64    // largest heartbeat sequence acknowledged
	ackToken             uint64    // token of the reply that acknowledged it
	matchAtReply         uint64    // match at the previous heartbeat reply
	firstInflightAtReply uint64    // inflight[0] at the previous heartbeat reply; 0 if none
}

// becomeProbe enters the probe state; the next append starts at index next.
func (p *progress) becomeProbe(next uint64) {
	p.state = stateProbe
	p.next = next
	p.probeSent = false
	p.inflight = nil
}

// maybeUpdate records that entries up to index are durable at the replica. It
// returns false if a stale message acknowledges nothing new.
func (p *progress) maybeUpdate(index uint64) bool {
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	p.next = max(p.next, index+1)
	if index <= p.match {
		return false
	}
	p.match = index
	return true
}

// syncProgress adds and removes progress records after a change of the replica
// set.
func (r *Raft) syncProgress() {
	if r.role != Leader {
		return
	}
	set := r.replicaSets.current()
	for id := range r.progress {
		if find(set, id) == nil {
			delete(r.progress, id)
		}
	}
	for _, ref := range members(set) {
		if r.progress[ref.Id] == nil {
			r.progress[ref.Id] = &progress{ref: ref, next: r.log.last() + 1, recentActive: true, lastContact: r.now}
		}
	}
	if p := r.progress[r.cfg.Self.Id]; p != nil {
		p.match = r.log.stable
	}
}
