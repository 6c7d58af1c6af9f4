package raft

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// maxTrackedRounds limits the heartbeat rounds, replies and confirmations that a
// replica keeps. At one round per 100 ms it covers more than 6 s, well above the
// 2 s after which a confirmation is too old to be used.
const maxTrackedRounds = 64

// confirmation states that the entries up to index include all entries that any
// replica had committed at the time at, on the local clock.
type confirmation struct {
	at    time.Time
	index uint64
}

// confirmations keeps the newest confirmation that the local commit index
// covers, and those beyond the commit index.
type confirmations struct {
	valid   *confirmation  // nil if there is none
	waiting []confirmation // beyond the commit index
}

func (c *confirmations) add(n confirmation, committed uint64) {
	c.waiting = append(c.waiting, n)
	if len(c.waiting) > maxTrackedRounds {
		c.waiting = c.waiting[1:]
	}
	c.advance(committed)
}

// advance makes the newest confirmation that the commit index covers the valid one.
func (c *confirmations) advance(committed uint64) {
	var rest []confirmation
	for _, w := range c.waiting {
		switch {
		case w.index > committed:
			rest = append(rest, w)
		case c.valid == nil || w.at.After(c.valid.at):
			c.valid = &w
		}
	}
	c.waiting = rest
}

// age returns the time since the newest valid confirmation; false if there was
// none in this incarnation.
func (c *confirmations) age(now time.Time) (time.Duration, bool) {
	if c.valid == nil {
		return 0, false
	}
	return max(0, now.Sub(c.valid.at)), true
}

// heartbeatRounds tracks the heartbeat rounds of a leader in its term.
type heartbeatRounds struct {
	sequence        uint64
	open            []heartbeatRound // not yet acknowledged by a quorum, oldest first
	committedInTerm bool             // an entry of the term is committed
	quorumConfirmed bool             // a quorum acknowledged a round that started after that
}

// heartbeatRound is one round of heartbeats to all other replicas.
type heartbeatRound struct {
	sequence uint64
	start    time.Time
	commit   uint64 // commit index at the start; 0 if no entry of the term was committed
}

// broadcastHeartbeat starts a heartbeat round.
func (r *Raft) broadcastHeartbeat() {
	r.heartbeatRounds.sequence++
	round := heartbeatRound{sequence: r.heartbeatRounds.sequence, start: r.now}
	if r.committedInTerm() {
		// Until an entry of the term is committed, the commit index may lag
		// behind that of the previous leader.
		round.commit = r.log.committed
	}
	r.heartbeatRounds.open = append(r.heartbeatRounds.open, round)
	if len(r.heartbeatRounds.open) > maxTrackedRounds {
		r.heartbeatRounds.open = r.heartbeatRounds.open[1:]
	}
	r.confirmRounds()
	age := r.confirmationAgeMillis()
	for _, ref := range members(r.replicaSets.current()) {
		if ref.Id == r.cfg.Self.Id {
			continue
		}
		p := r.progress[ref.Id]
		m := &api.ReplicaMessage{
			Kind: api.ReplicaMessage_KIND_HEARTBEAT, Term: r.term, Sequence: r.heartbeatRounds.sequence,
			Commit: min(p.match, r.log.committed), ConfirmationAgeMs: age, Echo: p.ackToken,
		}
		if r.confirmations.valid != nil {
			m.LogIndex = r.confirmations.valid.index
		}
		r.send(ref, m)
	}
}

// confirmationAgeMillis returns the age of the valid confirmation, rounded up so
// that a reported age is never too small, or -1 if there is none.
func (r *Raft) confirmationAgeMillis() int64 {
	age, ok := r.confirmations.age(r.now)
	if !ok {
		return -1
	}
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

// confirmRounds turns the rounds that a quorum acknowledged into confirmations.
// A quorum that was still in this term after the start of a round excludes a
// newer leader at that time, so the commit index at the start of the round
// covers all entries committed until then.
func (r *Raft) confirmRounds() {
	acked := quorumValue(r.replicaSets.current(), func(id uint64) uint64 {
		if id == r.cfg.Self.Id {
			return r.heartbeatRounds.sequence
		}
		if p := r.progress[id]; p != nil {
			return p.ackedSequence
		}
		return 0
	})
	for len(r.heartbeatRounds.open) > 0 && r.heartbeatRounds.open[0].sequence <= acked {
		round := r.heartbeatRounds.open[0]
		r.heartbeatRounds.open = r.heartbeatRounds.open[1:]
		if round.commit > 0 {
			r.confirmations.add(confirmation{round.start, round.commit}, r.log.committed)
			r.heartbeatOnFirst(&r.heartbeatRounds.quorumConfirmed)
		}
	}
}

// heartbeatOnFirst starts a round at once when a new leader reaches a milestone
// for the first time: its first commit in the term or its first quorum
// confirmation. Followers and their clients wait for the heartbeat that carries
// this information.
func (r *Raft) heartbeatOnFirst(reached *bool) {
	if r.role != Leader || *reached {
		return
	}
	*reached = true
	r.heartbeatElapsed = 0
	r.broadcastHeartbeat()
}

// committedInTerm reports whether an entry of the current term is committed.
func (r *Raft) committedInTerm() bool {
	t, ok := r.log.term(r.log.committed)
	return ok && t == r.term
}

// handleHeartbeatReply records the acknowledgement of a round and detects lost
// appends and snapshots.
func (r *Raft) handleHeartbeatReply(p *progress, m *api.ReplicaMessage) {
	if m.Sequence >= p.ackedSequence {
		p.ackedSequence = m.Sequence
		p.ackToken = m.Echo
	}
	r.confirmRounds()
	if p.match >= r.log.last() {
		return
	}
	stalled := p.match == p.matchAtReply && len(p.inflight) > 0 && p.inflight[0] == p.firstInflightAtReply
	p.matchAtReply = p.match
	p.firstInflightAtReply = 0
	if len(p.inflight) > 0 {
		p.firstInflightAtReply = p.inflight[0]
	}
	switch p.state {
	case stateProbe:
		p.probeSent = false
	case stateReplicate:
		// No acknowledgement between two heartbeat replies: appends were lost.
		if stalled {
			p.becomeProbe(p.match + 1)
		}
		p.forceAppend = true
	case stateSnapshot:
		// The replica has received a later heartbeat and has not acknowledged the snapshot before:
		// either was lost, or the replica has restarted. Messages may overtake each other when a
		// connection is replaced; the snapshot is then sent once more in vain.
		if m.Sequence > p.snapshotSequence {
			p.becomeProbe(p.match + 1)
		}
	}
}

// heartbeatReplies records when this replica sent its latest heartbeat replies.
// Each reply has a unique token, which the leader echoes. The heartbeat sequence
// is unsuitable as token: if a heartbeat is delivered again after a restart, its
// sequence would be recorded with a second, later time.
type heartbeatReplies struct {
	lastToken uint64
	sent      []sentReply // oldest first
}

type sentReply struct {
	token  uint64
	sentAt time.Time
}

// add records a reply sent at the given time and returns its token.
func (h *heartbeatReplies) add(at time.Time) uint64 {
	h.lastToken++
	h.sent = append(h.sent, sentReply{h.lastToken, at})
	if len(h.sent) > maxTrackedRounds {
		h.sent = h.sent[1:]
	}
	return h.lastToken
}

// find returns the time at which the reply with the given token was sent.
func (h *heartbeatReplies) find(token uint64) (time.Time, bool) {
	for _, s := range h.sent {
		if s.token == token {
			return s.sentAt, true
		}
	}
	return time.Time{}, false
}

// handleHeartbeat replies to a round and records the leader's confirmation. The
// leader sent the heartbeat after it had received the reply with the echoed
// token, so the time of that reply on the local clock is a lower bound for the
// send time. A heartbeat that was delayed in transit, or by a stopped process,
// therefore never makes the confirmation appear newer than it is.
func (r *Raft) handleHeartbeat(m *api.ReplicaMessage) {
	r.commitTo(m.Commit)
	if sentAt, ok := r.sentReplies.find(m.Echo); ok && m.ConfirmationAgeMs >= 0 {
		age := time.Duration(m.ConfirmationAgeMs) * time.Millisecond
		r.confirmations.add(confirmation{sentAt.Add(-age), m.LogIndex}, r.log.committed)
	}
	r.send(m.From, &api.ReplicaMessage{
		Kind: api.ReplicaMessage_KIND_HEARTBEAT_REPLY, Term: r.term, Sequence: m.Sequence, Echo: r.sentReplies.add(r.now),
	})
}
