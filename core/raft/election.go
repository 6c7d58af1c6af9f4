package raft

import "github.com/bilberrydeck/bilberrydeck/api"

// resetElectionTimer draws a random election timeout. With a known leader, it
// is between one and two times ElectionTicks. Without one, after a start or an
// undecided election, it only leaves time for the election of another replica to
// succeed: if a leader exists, the pre-vote fails and has no effect on it.
func (r *Raft) resetElectionTimer() {
	r.electionElapsed = 0
	if r.leader != nil {
		r.electionTimeout = r.cfg.ElectionTicks + r.random.IntN(r.cfg.ElectionTicks)
		return
	}
	r.electionTimeout = r.cfg.ElectionTicks/leaderlessMinDivisor + r.random.IntN(max(r.cfg.ElectionTicks*2/leaderlessSpreadDivisor, 1)) + 1
}

// Without a known leader, the election timeout is a ninth of ElectionTicks plus a
// random part of up to two thirds. With this spread, the first of many replicas
// starts its election about one cross-region vote round trip before the others.
const (
	leaderlessMinDivisor    = 9
	leaderlessSpreadDivisor = 3
)

// leaderIsLive reports whether this replica is the leader, or received a message
// from its leader within the minimum election timeout.
func (r *Raft) leaderIsLive() bool {
	return r.role == Leader || r.leader != nil && r.electionElapsed < r.cfg.ElectionTicks
}

func (r *Raft) becomeFollower(term uint64, leader *api.ReplicaRef) {
	if term > r.term {
		r.term = term
		r.vote = nil
	}
	r.role = Follower
	r.leader = leader
	r.votes = nil
	r.progress = nil
	r.heartbeatRounds = heartbeatRounds{}
	r.resetElectionTimer()
}

// followLeader accepts the sender of an append, heartbeat or snapshot of the
// current term as leader.
func (r *Raft) followLeader(from *api.ReplicaRef) {
	if r.role != Follower || r.leader == nil {
		r.becomeFollower(r.term, from)
	}
	r.leader = from
	r.electionElapsed = 0
}

// canCampaign reports whether this replica may start elections. A voter that the
// replica set in effect removes may do so until the commit index covers that set:
// it may have the only log that is complete enough to win (Raft dissertation,
// section 4.2.2).
func (r *Raft) canCampaign() bool {
	id := r.cfg.Self.Id
	return isVoter(r.replicaSets.current(), id) || r.replicaSets.index() > r.log.committed && isVoter(r.replicaSets.at(r.log.committed), id)
}

// campaign starts an election as pre-candidate or candidate. The pre-vote finds
// out whether the replica could win without incrementing its term, so that a
// replica that returns from a long partition does not depose the leader.
func (r *Raft) campaign(role Role) {
	kind := api.ReplicaMessage_KIND_PRE_VOTE
	term := r.term + 1
	if role == Candidate {
		kind = api.ReplicaMessage_KIND_VOTE
		r.term = term
		r.vote = r.cfg.Self
		r.elections++
	}
	r.role = role
	r.leader = nil
	r.votes = map[uint64]bool{r.cfg.Self.Id: true}
	r.resetElectionTimer()
	for _, ref := range members(r.replicaSets.current()) {
		if ref.Id == r.cfg.Self.Id || !isVoter(r.replicaSets.current(), ref.Id) {
			continue
		}
		r.send(ref, &api.ReplicaMessage{Kind: kind, Term: term, LogIndex: r.log.last(), LogTerm: r.log.lastTerm()})
	}
	r.countVotes()
}

func (r *Raft) handleVoteRequest(m *api.ReplicaMessage) {
	preVote := m.Kind == api.ReplicaMessage_KIND_PRE_VOTE
	canVote := r.vote == nil && r.leader == nil || sameReplica(r.vote, m.From)
	if preVote {
		canVote = m.Term > r.term
	}
	granted := canVote && r.log.isUpToDate(m.LogIndex, m.LogTerm)
	reply := &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_VOTE_REPLY, Term: r.term, Reject: !granted}
	if preVote {
		reply.Kind = api.ReplicaMessage_KIND_PRE_VOTE_REPLY
		if granted {
			reply.Term = m.Term
		}
	}
	if granted && !preVote {
		r.vote = &api.ReplicaRef{Id: m.From.Id, DiskId: m.From.DiskId}
		r.electionElapsed = 0
	}
	r.send(m.From, reply)
}

func (r *Raft) handleVoteReply(m *api.ReplicaMessage) {
	preVote := m.Kind == api.ReplicaMessage_KIND_PRE_VOTE_REPLY
	expected := preVote && r.role == PreCandidate || !preVote && r.role == Candidate
	if !expected {
		return
	}
	if preVote && !m.Reject && m.Term != r.term+1 {
		return // a reply to an earlier pre-vote
	}
	if _, voted := r.votes[m.From.Id]; !voted {
		r.votes[m.From.Id] = !m.Reject
	}
	r.countVotes()
}

func (r *Raft) countVotes() {
	set := r.replicaSets.current()
	if quorum(set, func(id uint64) bool { return r.votes[id] }) {
		if r.role == PreCandidate {
			r.campaign(Candidate)
		} else {
			r.becomeLeader()
		}
		return
	}
	possible := func(id uint64) bool {
		granted, voted := r.votes[id]
		return granted || !voted
	}
	if !quorum(set, possible) {
		r.becomeFollower(r.term, nil)
	}
}

func (r *Raft) becomeLeader() {
	r.role = Leader
	r.leader = r.cfg.Self
	r.votes = nil
	r.electionElapsed = 0
	r.heartbeatElapsed = 0
	r.progress = map[uint64]*progress{}
	r.heartbeatRounds = heartbeatRounds{}
	r.syncProgress()
	// Entries of earlier terms count as committed only once an entry of the
	// current term is committed (Raft paper, section 5.4.2).
	r.appendEntry(&api.Entry{Kind: api.EntryKind_ENTRY_KIND_EMPTY})
	r.broadcastHeartbeat()
}

// quorumActive reports whether the leader received messages from a quorum since
// the previous call.
func (r *Raft) quorumActive() bool {
	active := quorum(r.replicaSets.current(), func(id uint64) bool {
		p := r.progress[id]
		return id == r.cfg.Self.Id || p != nil && p.recentActive
	})
	for _, p := range r.progress {
		p.recentActive = false
	}
	return active
}
