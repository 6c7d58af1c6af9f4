// Package raft replicates a log between the replicas of one group: leader
// election with pre-vote and check-quorum, log replication, snapshots, read
// confirmation and the replacement of a replica by joint consensus.
//
// The package performs no I/O. The caller passes in messages and ticks, then
// takes a Ready: it writes and syncs the hard state, entries and snapshot,
// sends the messages, applies the committed entries and calls Advance.
package raft

import (
	"math/rand/v2"
	"time"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// Role is the Raft role of a replica in the current term.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name used in logs.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// HardState is the durable state of a replica besides its log. It must be
// synced before any message of the same Ready is sent.
type HardState struct {
	Term       uint64
	VoteID     uint64 // 0 if the replica has not voted in this term
	VoteDiskID string
	Commit     uint64 // advisory; a change of it alone requires no sync
}

// Snapshot is the state of the state machine up to a log index.
type Snapshot struct {
	Meta *api.SnapshotMeta
	Data []byte
}

// Config holds the settings of one replica and the durable state from which it
// starts.
type Config struct {
	Self            *api.ReplicaRef
	HeartbeatTicks  int    // ticks between heartbeat rounds; 0 means 2
	ElectionTicks   int    // minimum election timeout in ticks, the maximum is twice that; 0 means 10
	MaxAppendBytes  int    // limit of entry data in one append; 0 means 1 MiB
	MaxInflight     int    // unacknowledged appends per follower; 0 means 64
	TrailingEntries uint64 // entries before a snapshot that stay in the log, for slow followers
	// Seed seeds the random generator. It must differ at each start of a
	// replica: the generator also yields the tokens of heartbeat replies, which
	// must not repeat those of an earlier incarnation.
	Seed uint64

	HardState HardState
	Snapshot  *Snapshot    // nil if there is none
	Entries   []*api.Entry // durable entries after the snapshot
}

func (c *Config) setDefaults() {
	if c.HeartbeatTicks == 0 {
		c.HeartbeatTicks = 2
	}
	if c.ElectionTicks == 0 {
		c.ElectionTicks = 10
	}
	if c.MaxAppendBytes == 0 {
		c.MaxAppendBytes = 1 << 20
	}
	if c.MaxInflight == 0 {
		c.MaxInflight = 64
	}
}

// Raft is one replica of one group. It is not safe for concurrent use.
type Raft struct {
	cfg    Config
	random *rand.Rand
	now    time.Time

	role        Role
	term        uint64
	vote        *api.ReplicaRef // nil if the replica has not voted in this term
	leader      *api.ReplicaRef // nil if unknown
	log         *raftLog
	replicaSets replicaSetHistory
	votes       map[uint64]bool
	progress    map[uint64]*progress

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int

	heartbeatRounds heartbeatRounds
	sentReplies     heartbeatReplies
	confirmations   confirmations

	messages         []*api.ReplicaMessage
	prevHardState    HardState
	receivedSnapshot *Snapshot // received and not yet returned by Ready
	ready            *Ready    // returned by Ready, awaits Advance
	misaddressed     uint64    // messages ignored because they name another replica or disk
	elections        uint64    // elections started
}

// New returns a replica that continues from the durable state in cfg. It starts
// as a follower. Without a replica set it waits for a leader to contact it.
func New(cfg Config) *Raft {
	cfg.setDefaults()
	r := &Raft{
		cfg:    cfg,
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.Self.Id)),
		term:   cfg.HardState.Term,
		log:    newLog(cfg.Snapshot, cfg.Entries, cfg.HardState.Commit),
	}
	if cfg.HardState.VoteID != 0 {
		r.vote = &api.ReplicaRef{Id: cfg.HardState.VoteID, DiskId: cfg.HardState.VoteDiskID}
	}
	if cfg.Snapshot != nil {
		r.replicaSets.reset(cfg.Snapshot.Meta.Index, cfg.Snapshot.Meta.Replicas)
	}
	for _, e := range cfg.Entries {
		r.replicaSets.onAppend(e)
	}
	r.sentReplies.lastToken = r.random.Uint64()
	r.prevHardState = r.hardState()
	r.resetElectionTimer()
	return r
}

// Step handles a message from another replica. A misaddressed message, whose
// sender or receiver has another replica or disk id, is ignored and counted.
func (r *Raft) Step(now time.Time, m *api.ReplicaMessage) {
	r.now = now
	if !r.endpointsMatch(m) {
		r.misaddressed++
		return
	}
	if m.Term > r.term && !r.stepHigherTerm(m) {
		return
	}
	if m.Term < r.term {
		r.rejectStaleTerm(m)
		return
	}
	r.dispatch(m)
}

// endpointsMatch reports whether m is addressed to this replica and its sender
// has the disk id that the replica set has for the sender's replica id. A
// replica that restarts with a new disk has lost its votes, so no message from
// or to it may be attributed to its former identity.
func (r *Raft) endpointsMatch(m *api.ReplicaMessage) bool {
	if m.From == nil || m.To == nil {
		return false
	}
	if !sameReplica(m.To, r.cfg.Self) || m.From.Id == r.cfg.Self.Id {
		return false
	}
	known := find(r.replicaSets.current(), m.From.Id)
	return known == nil || known.DiskId == m.From.DiskId
}

// stepHigherTerm handles a message of a higher term, usually by entering that
// term, and reports whether the message is to be processed further.
func (r *Raft) stepHigherTerm(m *api.ReplicaMessage) bool {
	switch m.Kind {
	case api.ReplicaMessage_KIND_PRE_VOTE:
		return !r.leaderIsLive()
	case api.ReplicaMessage_KIND_VOTE:
		// A replica that returns from a partition must not depose a leader
		// that still has contact with a quorum.
		if r.leaderIsLive() {
			return false
		}
		r.becomeFollower(m.Term, nil)
	case api.ReplicaMessage_KIND_PRE_VOTE_REPLY:
		if m.Reject {
			r.becomeFollower(m.Term, nil)
		}
	case api.ReplicaMessage_KIND_APPEND, api.ReplicaMessage_KIND_HEARTBEAT, api.ReplicaMessage_KIND_SNAPSHOT:
		r.becomeFollower(m.Term, m.From)
	default:
		r.becomeFollower(m.Term, nil)
	}
	return true
}

// rejectStaleTerm replies to a request of an old term with the current term, so
// that a leader of an old term steps down.
func (r *Raft) rejectStaleTerm(m *api.ReplicaMessage) {
	switch m.Kind {
	case api.ReplicaMessage_KIND_PRE_VOTE:
		r.send(m.From, &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_PRE_VOTE_REPLY, Term: r.term, Reject: true})
	case api.ReplicaMessage_KIND_VOTE:
		r.send(m.From, &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_VOTE_REPLY, Term: r.term, Reject: true})
	case api.ReplicaMessage_KIND_APPEND, api.ReplicaMessage_KIND_HEARTBEAT, api.ReplicaMessage_KIND_SNAPSHOT:
		r.send(m.From, &api.ReplicaMessage{Kind: api.ReplicaMessage_KIND_APPEND_REPLY, Term: r.term, Reject: true})
	}
}

func (r *Raft) dispatch(m *api.ReplicaMessage) {
	switch m.Kind {
	case api.ReplicaMessage_KIND_PRE_VOTE, api.ReplicaMessage_KIND_VOTE:
		r.handleVoteRequest(m)
	case api.ReplicaMessage_KIND_PRE_VOTE_REPLY, api.ReplicaMessage_KIND_VOTE_REPLY:
		r.handleVoteReply(m)
	case api.ReplicaMessage_KIND_APPEND:
		r.followLeader(m.From)
		r.handleAppend(m)
	case api.ReplicaMessage_KIND_HEARTBEAT:
		r.followLeader(m.From)
		r.handleHeartbeat(m)
	case api.ReplicaMessage_KIND_SNAPSHOT:
		r.followLeader(m.From)
		r.handleSnapshot(m)
	default:
		if p := r.progress[m.From.Id]; p != nil && r.role == Leader {
			p.recentActive = true
			p.lastContact, p.contacted = r.now, true
			r.handleReply(p, m)
		}
	}
}

func (r *Raft) handleReply(p *progress, m *api.ReplicaMessage) {
	switch m.Kind {
	case api.ReplicaMessage_KIND_APPEND_REPLY:
		r.handleAppendReply(p, m)
	case api.ReplicaMessage_KIND_SNAPSHOT_REPLY:
		r.handleAppendReply(p, m)
	case api.ReplicaMessage_KIND_HEARTBEAT_REPLY:
		r.handleHeartbeatReply(p, m)
	}
}

// Tick advances the timers by one tick.
func (r *Raft) Tick(now time.Time) {
	r.now = now
	r.electionElapsed++
	if r.role == Leader {
		r.tickLeader()
		return
	}
	due := r.electionElapsed >= r.electionTimeout
	switch {
	case (due || r.soleVoter()) && r.canCampaign():
		r.campaign(PreCandidate)
	case due && r.leader != nil:
		r.becomeFollower(r.term, nil) // a new leader sends nothing to a replica outside its replica set
	}
}

// soleVoter reports whether this replica is the only voter, so that an election
// cannot depose another leader.
func (r *Raft) soleVoter() bool {
	set := r.replicaSets.current()
	return len(set.GetVoters()) == 1 && len(set.OldVoters) == 0 && set.Voters[0].Id == r.cfg.Self.Id
}

func (r *Raft) tickLeader() {
	if r.electionElapsed >= r.cfg.ElectionTicks {
		r.electionElapsed = 0
		if !r.quorumActive() {
			r.becomeFollower(r.term, nil)
			return
		}
	}
	r.heartbeatElapsed++
	if r.heartbeatElapsed >= r.cfg.HeartbeatTicks {
		r.heartbeatElapsed = 0
		r.broadcastHeartbeat()
	}
}

func (r *Raft) send(to *api.ReplicaRef, m *api.ReplicaMessage) {
	m.From = r.cfg.Self
	m.To = to
	r.messages = append(r.messages, m)
}

func (r *Raft) hardState() HardState {
	hs := HardState{Term: r.term, Commit: r.log.committed}
	if r.vote != nil {
		hs.VoteID = r.vote.Id
		hs.VoteDiskID = r.vote.DiskId
	}
	return hs
}

func sameReplica(a, b *api.ReplicaRef) bool {
	return a != nil && b != nil && a.Id == b.Id && a.DiskId == b.DiskId
}
