package raft

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

type progressState uint8

const (
	probing      progressState = iota // one append at a time until one matches
	replicating                       // appends are pipelined
	snapshotting                      // waits for the reply to a snapshot
)

// progress is what the leader knows of one other replica, or of itself.
type progress struct {
	ref      *api.ReplicaRef
	state    progressState
	match    uint64 // known to be durable at the replica
	next     uint64 // first index to send
	paused   bool   // a probe is outstanding
	forced   bool   // send an append even without entries
	inflight []uint64
	sent     uint64 // commit index last sent

	snapshotIndex   uint64
	snapshotReplies int // heartbeat replies since the snapshot was sent

	active         bool
	heard          time.Time // last message from the replica, or the start of this leadership
	answered       bool      // a message came during this leadership
	acked          uint64    // largest heartbeat sequence acknowledged
	token          uint64    // of the reply that acknowledged it
	matchAtReply   uint64    // match at the previous heartbeat reply
	firstUnmatched uint64
}

func (p *progress) probe(next uint64) {
	p.state = probing
	p.next = next
	p.paused = false
	p.inflight = nil
}

// update records that entries up to index are durable at the replica.
func (p *progress) update(index uint64) bool {
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

// syncProgress adds and removes progress records after a change of the set.
func (r *Raft) syncProgress() {
	if r.role != Leader {
		return
	}
	set := r.sets.current()
	for id := range r.progress {
		if find(set, id) == nil {
			delete(r.progress, id)
		}
	}
	for _, ref := range members(set) {
		if r.progress[ref.Id] == nil {
			r.progress[ref.Id] = &progress{ref: ref, next: r.log.last() + 1, active: true, heard: r.now}
		}
	}
	if p := r.progress[r.cfg.Self.Id]; p != nil {
		p.match = r.log.stable
	}
}
