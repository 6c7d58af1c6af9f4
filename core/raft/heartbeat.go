package raft

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// maxRounds bounds the heartbeat rounds that a replica remembers. At one round
// per 100 ms it covers more than 6 s, well above the 2 s after which a
// confirmation is of no use.
const maxRounds = 64

// confirmation says that the entries up to index include all that were
// committed anywhere at the time at, on the local clock.
type confirmation struct {
	at    time.Time
	index uint64
}

// confirmations keeps the newest confirmation that the local commit index
// covers, and those that wait for it.
type confirmations struct {
	valid   *confirmation
	waiting []confirmation
}

func (c *confirmations) add(n confirmation, committed uint64) {
	c.waiting = append(c.waiting, n)
	if len(c.waiting) > maxRounds {
		c.waiting = c.waiting[1:]
	}
	c.promote(committed)
}

func (c *confirmations) promote(committed uint64) {
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

// age returns the time since the newest valid confirmation, false if there
// was none since the start.
func (c *confirmations) age(now time.Time) (time.Duration, bool) {
	if c.valid == nil {
		return 0, false
	}
	return max(0, now.Sub(c.valid.at)), true
}

// leaderRounds numbers the heartbeat rounds of one term of leadership.
type leaderRounds struct {
	sequence  uint64
	open      []round
	committed bool // an entry of the term is committed
	confirmed bool // a round after that was confirmed
}

type round struct {
	sequence uint64
	start    time.Time
	commit   uint64 // commit index at the start; 0 if it covers too little
}

// broadcastHeartbeat starts a heartbeat round.
func (r *Raft) broadcastHeartbeat() {
	r.rounds.sequence++
	o := round{sequence: r.rounds.sequence, start: r.now}
	if r.committedInTerm() {
		// Before that, the commit index may lag behind the previous leader's.
		o.commit = r.log.committed
	}
	r.rounds.open = append(r.rounds.open, o)
	if len(r.rounds.open) > maxRounds {
		r.rounds.open = r.rounds.open[1:]
	}
	r.confirmRounds()
	age := r.ageMillis()
	for _, ref := range members(r.sets.current()) {
		if ref.Id == r.cfg.Self.Id {
			continue
		}
		p := r.progress[ref.Id]
		m := &api.ReplicaMessage{
			Kind: api.ReplicaMessage_KIND_HEARTBEAT, Term: r.term, Sequence: r.rounds.sequence,
			Commit: min(p.match, r.log.committed), ConfirmationAgeMs: age, Echo: p.token,
		}
		if r.confirm.valid != nil {
			m.LogIndex = r.confirm.valid.index
		}
		r.send(ref, m)
	}
}

// ageMillis rounds up, so that a reported age is never too small. It is -1
// without a confirmation in force.
func (r *Raft) ageMillis() int64 {
	age, ok := r.confirm.age(r.now)
	if !ok {
		return -1
	}
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

// confirmRounds takes the newest round that a quorum acknowledged. A quorum
// that was still in this term after the start of the round excludes a newer
// leader at that time, so the commit index of then covers all commits.
func (r *Raft) confirmRounds() {
	acked := quorumValue(r.sets.current(), func(id uint64) uint64 {
		if id == r.cfg.Self.Id {
			return r.rounds.sequence
		}
		if p := r.progress[id]; p != nil {
			return p.acked
		}
		return 0
	})
	for len(r.rounds.open) > 0 && r.rounds.open[0].sequence <= acked {
		o := r.rounds.open[0]
		r.rounds.open = r.rounds.open[1:]
		if o.commit > 0 {
			r.confirm.add(confirmation{o.start, o.commit}, r.log.committed)
			r.hastenFirst(&r.rounds.confirmed)
		}
	}
}

// hastenFirst starts a round at once when a new leader reaches a step after which
// a round tells more: the others, and those that they serve, wait for it.
func (r *Raft) hastenFirst(reached *bool) {
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

func (r *Raft) handleHeartbeatReply(p *progress, m *api.ReplicaMessage) {
	if m.Sequence >= p.acked {
		p.acked = m.Sequence
		p.token = m.Echo
	}
	r.confirmRounds()
	if p.match >= r.log.last() {
		return
	}
	stalled := p.match == p.matchAtReply && len(p.inflight) > 0 && p.inflight[0] == p.firstUnmatched
	p.matchAtReply = p.match
	p.firstUnmatched = 0
	if len(p.inflight) > 0 {
		p.firstUnmatched = p.inflight[0]
	}
	switch p.state {
	case probing:
		p.paused = false
	case replicating:
		// No progress between two heartbeat replies: appends were lost.
		if stalled {
			p.probe(p.match + 1)
		}
		p.forced = true
	case snapshotting:
		p.snapshotReplies++
		// The snapshot was probably lost; find out with a probe.
		if p.snapshotReplies > r.cfg.SnapshotRetryReplies {
			p.probe(p.match + 1)
		}
	}
}

// followerReplies remembers when this replica sent its latest heartbeat
// replies. Each has a token of its own, which the leader echoes. Sequences
// would not do: after a restart, a heartbeat that arrives twice would give its
// sequence a second, later time.
type followerReplies struct {
	token uint64
	sent  []reply
}

type reply struct {
	token uint64
	at    time.Time
}

// add returns the token of a reply that is sent at the given time.
func (f *followerReplies) add(at time.Time) uint64 {
	f.token++
	f.sent = append(f.sent, reply{f.token, at})
	if len(f.sent) > maxRounds {
		f.sent = f.sent[1:]
	}
	return f.token
}

func (f *followerReplies) find(token uint64) (time.Time, bool) {
	for _, s := range f.sent {
		if s.token == token {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// handleHeartbeat answers a round and takes over the leader's confirmation.
// The leader sent the message after it had received the reply that the echo
// names, so the time of that reply on the local clock is a lower bound for the
// time of sending. A heartbeat that was delayed on the way, or that waited for
// a stopped process, therefore never makes the confirmation look fresher.
func (r *Raft) handleHeartbeat(m *api.ReplicaMessage) {
	r.commitTo(m.Commit)
	if sentAt, ok := r.replies.find(m.Echo); ok && m.ConfirmationAgeMs >= 0 {
		age := time.Duration(m.ConfirmationAgeMs) * time.Millisecond
		r.confirm.add(confirmation{sentAt.Add(-age), m.LogIndex}, r.log.committed)
	}
	r.send(m.From, &api.ReplicaMessage{
		Kind: api.ReplicaMessage_KIND_HEARTBEAT_REPLY, Term: r.term, Sequence: m.Sequence, Echo: r.replies.add(r.now),
	})
}
