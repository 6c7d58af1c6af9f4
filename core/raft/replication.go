package raft

import "github.com/bilberrydeck/bilberrydeck/api"

// Propose appends a command to the leader's log. It returns the index and term
// of its entry. The command is committed once an entry with this index and term
// is; after a change of leader, another entry may take the index.
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
	before := r.replicaSets.index()
	for _, e := range entries {
		r.replicaSets.onAppend(e)
	}
	if r.replicaSets.index() != before {
		r.syncProgress()
	}
}

// broadcastAppend sends the missing entries to each replica. It runs when Ready
// is called, so that all proposals since the previous call share one append.
func (r *Raft) broadcastAppend() {
	if r.role != Leader {
		return
	}
	for _, ref := range members(r.replicaSets.current()) {
		if ref.Id != r.cfg.Self.Id {
			r.sendAppends(r.progress[ref.Id])
		}
	}
}

func (r *Raft) sendAppends(p *progress) {
	for r.maybeSendAppend(p) {
	}
}

// maybeSendAppend sends at most one message and reports whether another one may
// have to follow.
func (r *Raft) maybeSendAppend(p *progress) bool {
	if p.state == stateSnapshot || p.probeSent || len(p.inflight) >= r.cfg.MaxInflight {
		return false
	}
	prevTerm, ok := r.log.term(p.next - 1)
	if !ok {
		r.sendSnapshot(p)
		return false
	}
	entries := r.log.slice(p.next, r.lastSendableIndex(p), r.cfg.MaxAppendBytes)
	wanted := len(entries) > 0 || p.forceAppend || p.state == stateProbe || p.sentCommit < r.log.committed
	if !wanted {
		return false
	}
	r.send(p.ref, &api.ReplicaMessage{
		Kind: api.ReplicaMessage_KIND_APPEND, Term: r.term, LogIndex: p.next - 1, LogTerm: prevTerm,
		Entries: entries, Commit: r.log.committed,
	})
	p.forceAppend = false
	p.sentCommit = r.log.committed
	if p.state == stateProbe {
		p.probeSent = true
		return false
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
	return true
}

// lastSendableIndex returns the last index that is sent to a replica. A learner
// receives committed entries only. With uncommitted ones its log could be ahead
// of all candidates: it would then reject a vote that a joint configuration
// requires, without starting an election itself, since it has not yet received
// the entry that makes it a voter.
func (r *Raft) lastSendableIndex(p *progress) uint64 {
	if contains(r.replicaSets.current().Learners, p.ref.Id) {
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
	if !r.log.matchTerm(m.LogIndex, m.LogTerm) {
		reply.Reject = true
		reply.LogIndex = m.LogIndex
		reply.RejectHint, reply.LogTerm = r.log.findConflictByTerm(min(m.LogIndex, r.log.last()), m.LogTerm)
		return
	}
	if at, ok := r.log.findConflict(m.Entries); ok {
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
	if !p.maybeUpdate(m.LogIndex) && p.state == stateReplicate {
		return
	}
	if p.state == stateProbe || p.state == stateSnapshot && p.match >= p.pendingSnapshot {
		p.becomeProbe(p.match + 1)
		p.state = stateReplicate
	}
	r.advanceCommit()
}

func (r *Raft) handleReject(p *progress, m *api.ReplicaMessage) {
	if p.state == stateSnapshot || m.LogIndex <= p.match {
		return // a stale rejection: later entries are acknowledged or a snapshot was sent
	}
	if p.state == stateProbe && m.LogIndex != p.next-1 {
		return
	}
	next, _ := r.log.findConflictByTerm(min(m.RejectHint, r.log.last()), m.LogTerm)
	p.becomeProbe(max(next, p.match) + 1)
}

// advanceCommit moves the commit index to the last entry that a quorum has made
// durable, if that entry is of the current term.
func (r *Raft) advanceCommit() {
	if r.role != Leader {
		return
	}
	index := quorumValue(r.replicaSets.current(), func(id uint64) uint64 {
		if p := r.progress[id]; p != nil {
			return p.match
		}
		return 0
	})
	if term, ok := r.log.term(index); ok && term == r.term {
		r.commitTo(index)
		r.heartbeatOnFirst(&r.heartbeatRounds.committedInTerm)
	}
	r.continueReplacement()
}

func (r *Raft) commitTo(index uint64) {
	if r.log.commitTo(index) {
		r.confirmations.advance(r.log.committed)
	}
}
