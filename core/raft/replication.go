package raft

import "github.com/bilberrydeck/bilberrydeck/api"

// Propose appends a command to the leader's log. It returns the index and
// term under which the command commits, unless the leader loses its term.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	if r.role != Leader {
		return 0, 0, &NotLeaderError{Leader: r.leader}
	}
	e := r.appendEntry(&api.Entry{Kind: api.EntryKind_ENTRY_KIND_COMMAND, Data: data})
	return e.Index, e.Term, nil
}

func (r *Raft) appendEntry(e *api.Entry) *api.Entry {
	e.Term = r.term
	e.Index = r.log.last() + 1
	r.appendToLog([]*api.Entry{e})
	return e
}

func (r *Raft) appendToLog(entries []*api.Entry) {
	r.log.append(entries)
	before := r.sets.index()
	for _, e := range entries {
		r.sets.appended(e)
	}
	if r.sets.index() != before {
		r.syncProgress()
	}
}

// flushAppends sends to each replica what it lacks. It runs when a Ready is
// taken, so that all proposals since the last one share one append.
func (r *Raft) flushAppends() {
	if r.role != Leader {
		return
	}
	for _, ref := range members(r.sets.current()) {
		if ref.Id != r.cfg.Self.Id {
			r.flushTo(r.progress[ref.Id])
		}
	}
}

func (r *Raft) flushTo(p *progress) {
	for r.flushOne(p) {
	}
}

// flushOne sends at most one message and reports whether more may follow.
func (r *Raft) flushOne(p *progress) bool {
	if p.state == snapshotting || p.paused || len(p.inflight) >= r.cfg.MaxInflight {
		return false
	}
	prevTerm, ok := r.log.term(p.next - 1)
	if !ok {
		r.sendSnapshot(p)
		return false
	}
	entries := r.log.slice(p.next, r.sendLimit(p), r.cfg.MaxAppendBytes)
	wanted := len(entries) > 0 || p.forced || p.state == probing || p.sent < r.log.committed
	if !wanted {
		return false
	}
	r.send(p.ref, &api.ReplicaMessage{
		Kind: api.ReplicaMessage_KIND_APPEND, Term: r.term, LogIndex: p.next - 1, LogTerm: prevTerm,
		Entries: entries, Commit: r.log.committed,
	})
	p.forced = false
	p.sent = r.log.committed
	if p.state == probing {
		p.paused = true
		return false
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
	return true
}

// sendLimit is the last index that a replica gets. A learner gets committed
// entries only: with others it could be ahead of all candidates and refuse its
// vote, when a joint configuration makes that vote necessary, while it does not
// know yet that it is a voter and may start an election itself.
func (r *Raft) sendLimit(p *progress) uint64 {
	if contains(r.sets.current().Learners, p.ref.Id) {
		return r.log.committed
	}
	return r.log.last()
}

func (r *Raft) handleAppend(m *api.ReplicaMessage) {
	reply := &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_APPEND_REPLY, Term: r.term}
	defer r.send(m.From, reply)
	if m.LogIndex < r.log.committed {
		reply.LogIndex = r.log.committed
		return
	}
	if !r.log.matches(m.LogIndex, m.LogTerm) {
		reply.Reject = true
		reply.LogIndex = m.LogIndex
		reply.RejectHint, reply.LogTerm = r.log.hint(min(m.LogIndex, r.log.last()), m.LogTerm)
		return
	}
	if at, ok := r.log.conflict(m.Entries); ok {
		r.appendToLog(m.Entries[at:])
	}
	reply.LogIndex = m.LogIndex + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, reply.LogIndex))
}

func (r *Raft) handleAppendReply(p *progress, m *api.ReplicaMessage) {
	if m.Reject {
		r.handleReject(p, m)
		return
	}
	if !p.update(m.LogIndex) && p.state == replicating {
		return
	}
	if p.state == probing || p.state == snapshotting && p.match >= p.snapshotIndex {
		p.probe(p.match + 1)
		p.state = replicating
	}
	r.advanceCommit()
}

func (r *Raft) handleReject(p *progress, m *api.ReplicaMessage) {
	if p.state == snapshotting || m.LogIndex <= p.match {
		return // an old rejection: the replica has caught up since
	}
	if p.state == probing && m.LogIndex != p.next-1 {
		return
	}
	next, _ := r.log.hint(min(m.RejectHint, r.log.last()), m.LogTerm)
	p.probe(max(next, p.match) + 1)
}

// advanceCommit commits what a quorum holds, if it is of the current term.
func (r *Raft) advanceCommit() {
	if r.role != Leader {
		return
	}
	index := quorumValue(r.sets.current(), func(id uint64) uint64 {
		if p := r.progress[id]; p != nil {
			return p.match
		}
		return 0
	})
	if term, ok := r.log.term(index); ok && term == r.term {
		r.commitTo(index)
		r.hastenFirst(&r.rounds.committed)
	}
	r.continueReplacement()
}

func (r *Raft) commitTo(index uint64) {
	if r.log.commitTo(index) {
		r.confirm.promote(r.log.committed)
	}
}
