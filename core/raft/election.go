package raft

import "github.com/bilberrydeck/bilberrydeck/api"

// resetElectionTimer draws the time until the next election. A replica that knows
// a leader waits for the whole timeout. One that knows none, after a start or an
// election that nobody won, waits only long enough for an election of another one
// to succeed: if there is a leader, the pre-vote fails and disturbs nobody.
func (r *Raft) resetElectionTimer() {
	r.electionElapsed = 0
	if r.leader != nil {
		r.electionTimeout = r.cfg.ElectionTicks + r.random.IntN(r.cfg.ElectionTicks)
		return
	}
	r.electionTimeout = r.cfg.ElectionTicks/leaderlessLeast + r.random.IntN(max(r.cfg.ElectionTicks*2/leaderlessSpread, 1)) + 1
}

// Without a leader, elections begin after a ninth of the election timeout and
// within two thirds more of it: the first of many replicas is then ahead of the
// others by about the time of a vote across regions.
const (
	leaderlessLeast  = 9
	leaderlessSpread = 3
)

// leaderIsLive reports whether this replica leads, or heard its leader within
// the minimum election timeout.
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
	r.rounds = leaderRounds{}
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

// electable reports whether this replica starts elections. A replica that a
// set removes does so until it knows that the set is committed: it may hold
// the only log that is complete enough to win (Raft dissertation, section
// 4.2.2).
func (r *Raft) electable() bool {
	id := r.cfg.Self.Id
	return isVoter(r.sets.current(), id) || r.sets.index() > r.log.committed && isVoter(r.sets.at(r.log.committed), id)
}

// campaign starts an election. A pre-candidate asks whether it could win
// without raising its term, so that a replica that was cut off for long does
// not disturb the group when it returns.
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
	for _, ref := range members(r.sets.current()) {
		if ref.Id == r.cfg.Self.Id || !isVoter(r.sets.current(), ref.Id) {
			continue
		}
		r.send(ref, &api.ReplicaMessage{Kind: kind, Term: term, LogIndex: r.log.last(), LogTerm: r.log.lastTerm()})
	}
	r.countVotes()
}

func (r *Raft) handleVoteRequest(m *api.ReplicaMessage) {
	pre := m.Kind == api.ReplicaMessage_KIND_PRE_VOTE
	free := r.vote == nil && r.leader == nil || sameReplica(r.vote, m.From)
	if pre {
		free = m.Term > r.term
	}
	granted := free && r.log.upToDate(m.LogIndex, m.LogTerm)
	reply := &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_VOTE_REPLY, Term: r.term, Reject: !granted}
	if pre {
		reply.Kind = api.ReplicaMessage_KIND_PRE_VOTE_REPLY
		if granted {
			reply.Term = m.Term
		}
	}
	if granted && !pre {
		r.vote = &api.ReplicaRef{Id: m.From.Id, DiskId: m.From.DiskId}
		r.electionElapsed = 0
	}
	r.send(m.From, reply)
}

func (r *Raft) handleVoteReply(m *api.ReplicaMessage) {
	pre := m.Kind == api.ReplicaMessage_KIND_PRE_VOTE_REPLY
	expected := pre && r.role == PreCandidate || !pre && r.role == Candidate
	if !expected {
		return
	}
	if pre && !m.Reject && m.Term != r.term+1 {
		return // granted for an earlier pre-vote
	}
	if _, voted := r.votes[m.From.Id]; !voted {
		r.votes[m.From.Id] = !m.Reject
	}
	r.countVotes()
}

func (r *Raft) countVotes() {
	set := r.sets.current()
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
	r.rounds = leaderRounds{}
	r.syncProgress()
	// An entry of the own term must commit before earlier entries count as
	// committed (Raft paper, section 5.4.2).
	r.appendEntry(&api.Entry{Kind: api.EntryKind_ENTRY_KIND_EMPTY})
	r.broadcastHeartbeat()
}

// quorumActive reports whether the leader heard a quorum since the last call.
func (r *Raft) quorumActive() bool {
	active := quorum(r.sets.current(), func(id uint64) bool {
		p := r.progress[id]
		return id == r.cfg.Self.Id || p != nil && p.active
	})
	for _, p := range r.progress {
		p.active = false
	}
	return active
}
