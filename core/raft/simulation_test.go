package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// fault is a rule of the protocol that a simulation violates on purpose, to show
// that the checks detect the violation.
type fault int

const (
	noFault               fault = iota
	voteNotPersisted            // the hard state is not stored
	sendBeforeSync              // messages are sent before the entries are durable
	reusedDiskID                // a replica that lost its disk keeps its disk id
	voteWithoutLogCheck         // votes do not compare logs
	commitEarlierTerm           // a leader commits entries of earlier terms by counting replicas
	appendWithoutLogCheck       // a follower does not compare the previous entry
	replaceWithoutJoint         // a voter is replaced without a joint configuration
	ageFromArrival              // a follower counts a confirmation age from the arrival of the heartbeat
	confirmWithoutQuorum        // a leader does not wait for a quorum to acknowledge a round
)

// simulation runs replicas in virtual time over a network that drops, duplicates,
// delays and reorders messages, and checks the properties of Raft after each
// action.
type simulation struct {
	random       *rand.Rand
	fault        fault
	now          time.Time
	nodes        map[uint64]*node
	network      []*api.ReplicaMessage
	blocked      map[[2]uint64]bool
	nextID       uint64
	commandCount int

	maxAppendBytes int // a small limit splits the entries of a new leader over several appends

	violation          string               // first violation found; empty if none
	leaders            map[uint64]string    // by term
	entryContents      map[[2]uint64]string // by index and term: content and previous term
	committed          []string             // by index-1
	commitTimes        []time.Time          // by index-1: when a replica first applied the entry
	acknowledged       map[uint64]string    // by index: proposals that the leader of their term applied
	snapshotsInstalled int
	replacements       int                  // replacements proposed
	additions          int                  // additions proposed
	proposals          map[[2]uint64]string // by index and term
	diskCount          int
}

// node is a replica with its durable state.
type node struct {
	ref       *api.ReplicaRef
	raft      *Raft
	hardState HardState
	snapshot  *Snapshot
	entries   []*api.Entry
	state     []string // applied entries: the replicated state machine
	paused    bool
}

func newSimulation(seed uint64, replicas int, f fault) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), fault: f, now: time.Unix(1000, 0), nodes: map[uint64]*node{},
		blocked: map[[2]uint64]bool{}, leaders: map[uint64]string{}, entryContents: map[[2]uint64]string{},
		acknowledged: map[uint64]string{}, proposals: map[[2]uint64]string{},
	}
	sim.maxAppendBytes = []int{1, 40}[sim.random.IntN(2)]
	var voters []*api.ReplicaRef
	for range replicas {
		voters = append(voters, sim.addNode().ref)
	}
	first, err := BootstrapEntry(voters)
	if err != nil {
		panic(err)
	}
	bootstrap := sim.nodes[1]
	bootstrap.hardState = HardState{Term: 1}
	bootstrap.entries = []*api.Entry{first}
	sim.start(bootstrap)
	return sim
}

// addNode adds a replica with an empty disk and without a replica set.
func (sim *simulation) addNode() *node {
	sim.nextID++
	n := &node{ref: sim.newRef(sim.nextID)}
	sim.nodes[sim.nextID] = n
	sim.start(n)
	return n
}

func (sim *simulation) newRef(id uint64) *api.ReplicaRef {
	sim.diskCount++
	return &api.ReplicaRef{Id: id, DiskId: fmt.Sprint("disk-", sim.diskCount)}
}

func (sim *simulation) start(n *node) {
	n.state = nil
	if n.snapshot != nil {
		n.state = decodeState(n.snapshot.Data)
	}
	n.raft = New(Config{
		Self: n.ref, Seed: sim.random.Uint64(), HardState: n.hardState, Snapshot: n.snapshot, Entries: slices.Clone(n.entries),
		MaxAppendBytes: sim.maxAppendBytes, MaxInflight: 4, TrailingEntries: 3,
	})
}

func (sim *simulation) recordViolation(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// ids returns the node ids in order, so that the seed determines the schedule.
func (sim *simulation) ids() []uint64 {
	var ids []uint64
	for id := range sim.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (sim *simulation) randomNode() *node {
	ids := sim.ids()
	return sim.nodes[ids[sim.random.IntN(len(ids))]]
}

// processReady does the outstanding work of a node. crash is the point at which
// the node crashes: 0 never, 1 before the sync, 2 after the sync and before sending.
func (sim *simulation) processReady(n *node, crash int) {
	defer func() {
		if p := recover(); p != nil {
			sim.recordViolation("replica %d: %v", n.ref.Id, p)
		}
	}()
	for sim.violation == "" {
		if sim.fault == commitEarlierTerm && n.raft.role == Leader {
			n.raft.commitTo(quorumValue(n.raft.replicaSets.current(), func(id uint64) uint64 { return n.raft.progress[id].match }))
		}
		rd := n.raft.Ready()
		if rd.Empty() {
			break
		}
		if sim.fault == sendBeforeSync {
			sim.network = append(sim.network, rd.Messages...)
		}
		if crash == 1 {
			sim.start(n)
			return
		}
		sim.persist(n, &rd)
		sim.checkLeader(n) // only now: a term that was not stored has had no effect
		if crash == 2 {
			sim.start(n)
			return
		}
		if sim.fault != sendBeforeSync {
			sim.network = append(sim.network, rd.Messages...)
		}
		sim.apply(n, rd.Committed)
		n.raft.Advance()
	}
	sim.checkConfirmation(n)
}

func (sim *simulation) persist(n *node, rd *Ready) {
	if rd.HardState != nil && rd.MustSync && sim.fault != voteNotPersisted {
		n.hardState = *rd.HardState
	}
	if s := rd.Snapshot; s != nil {
		n.snapshot, n.entries = s, nil
		n.state = decodeState(s.Data)
		sim.snapshotsInstalled++
		sim.checkInstalledState(n)
	}
	for _, e := range rd.Entries {
		first := uint64(1)
		if n.snapshot != nil {
			first = n.snapshot.Meta.Index + 1
		}
		if e.Index < first {
			continue
		}
		n.entries = append(n.entries[:e.Index-first:e.Index-first], e)
		sim.checkLogMatching(n, e)
	}
}

func content(e *api.Entry) string { return fmt.Sprint(e.Term, "/", e.Kind, "/", string(e.Data)) }

// checkLogMatching checks that an index and term identify one entry and the term
// of its predecessor.
func (sim *simulation) checkLogMatching(n *node, e *api.Entry) {
	prev, ok := n.raft.log.term(e.Index - 1)
	if !ok {
		return
	}
	key := [2]uint64{e.Index, e.Term}
	value := fmt.Sprint(content(e), " after ", prev)
	if recorded, seen := sim.entryContents[key]; seen && recorded != value {
		sim.recordViolation("log matching: entry %d of term %d is %q and %q", e.Index, e.Term, recorded, value)
	}
	sim.entryContents[key] = value
}

// checkLeader checks election safety and leader completeness.
func (sim *simulation) checkLeader(n *node) {
	if n.raft.role != Leader {
		return
	}
	name := fmt.Sprint(n.ref.Id, "/", n.ref.DiskId)
	recorded, known := sim.leaders[n.raft.term]
	if known && recorded != name {
		sim.recordViolation("election safety: term %d has the leaders %s and %s", n.raft.term, recorded, name)
	}
	if known {
		return
	}
	sim.leaders[n.raft.term] = name
	for i, c := range sim.committed {
		index := uint64(i + 1)
		if index <= n.raft.log.offset {
			continue
		}
		if index > n.raft.log.last() || content(n.raft.log.entries[index-n.raft.log.offset-1]) != c {
			sim.recordViolation("leader completeness: the leader %s of term %d lacks entry %d", name, n.raft.term, index)
			return
		}
	}
}

// apply applies committed entries, checks state machine safety and records the
// acknowledgement of proposals.
func (sim *simulation) apply(n *node, entries []*api.Entry) {
	for _, e := range entries {
		n.state = append(n.state, content(e))
		if len(n.state) != int(e.Index) {
			sim.recordViolation("replica %d applies entry %d as entry %d", n.ref.Id, e.Index, len(n.state))
			return
		}
		sim.checkCommit(n, e)
		if data, ok := sim.proposals[[2]uint64{e.Index, e.Term}]; ok && n.raft.role == Leader && n.raft.term == e.Term {
			sim.acknowledged[e.Index] = data
		}
	}
}

func (sim *simulation) checkCommit(n *node, e *api.Entry) {
	at := int(e.Index) - 1
	switch {
	case at == len(sim.committed):
		sim.committed = append(sim.committed, content(e))
		sim.commitTimes = append(sim.commitTimes, sim.now)
	case at > len(sim.committed):
		sim.recordViolation("replica %d applies entry %d before entry %d", n.ref.Id, e.Index, len(sim.committed)+1)
	case sim.committed[at] != content(e):
		sim.recordViolation("state machine safety: entry %d is %q and %q", e.Index, sim.committed[at], content(e))
	}
}

// checkInstalledState checks that an installed snapshot equals the committed
// entries.
func (sim *simulation) checkInstalledState(n *node) {
	if len(n.state) > len(sim.committed) || !slices.Equal(n.state, sim.committed[:len(n.state)]) {
		sim.recordViolation("state machine safety: the snapshot at %d differs from the committed entries", len(n.state))
	}
}

// checkConfirmation checks that a replica that reports a confirmation age has
// applied all entries that were committed that long ago.
func (sim *simulation) checkConfirmation(n *node) {
	age, ok := n.raft.ConfirmationAge(sim.now)
	if !ok {
		return
	}
	confirmed := sim.now.Add(-age)
	for i := len(n.state); i < len(sim.commitTimes); i++ {
		if sim.commitTimes[i].Before(confirmed) {
			sim.recordViolation("confirmation: replica %d lacks entry %d, committed %v ago, and reports an age of %v", n.ref.Id, i+1, sim.now.Sub(sim.commitTimes[i]), age)
			return
		}
	}
}

func encodeState(state []string) []byte {
	set := &api.ChangeResult{Problems: state}
	data, err := proto.Marshal(set)
	if err != nil {
		panic(err)
	}
	return data
}

func decodeState(data []byte) []string {
	set := &api.ChangeResult{}
	if err := proto.Unmarshal(data, set); err != nil {
		panic(err)
	}
	return set.Problems
}
