package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// fault is a rule that a deliberately broken variant of the world drops, to
// show that the checks notice it.
type fault int

const (
	noFault           fault = iota
	voteNotSynced           // the hard state is not stored
	sendBeforeSync          // messages leave before the entries are durable
	formerIdentity          // a lost disk comes back under its old disk id
	anyLogMayLead           // votes do not compare logs
	commitOldTerm           // a leader commits entries of earlier terms by counting
	appendUnchecked         // a follower does not compare the previous entry
	swapWithoutJoint        // a voter is swapped in one step
	freshOnArrival          // a follower trusts the age at the time of arrival
	roundsUnconfirmed       // a leader does not wait for a quorum of a round
)

// world runs replicas in virtual time behind a network that drops,
// duplicates, delays and reorders, and checks the properties of the core
// after each step.
type world struct {
	random  *rand.Rand
	fault   fault
	now     time.Time
	nodes   map[uint64]*node
	net     []*api.ReplicaMessage
	blocked map[[2]uint64]bool
	nextID  uint64
	serial  int

	appendBytes int // small limits split what a new leader sends

	violation string
	leaders   map[uint64]string    // by term
	entries   map[[2]uint64]string // by index and term: content and previous term
	committed []string             // by index-1
	times     []time.Time          // when an entry was first known as committed
	acked     map[uint64]string    // proposals that got an answer, by index
	installed int                  // snapshots installed
	replaced  int                  // replacements proposed
	added     int                  // additions proposed
	waiting   map[[2]uint64]string // proposals by index and term
	disks     int
}

// node is one replica with its disk.
type node struct {
	ref      *api.ReplicaRef
	raft     *Raft
	hard     HardState
	snapshot *Snapshot
	entries  []*api.Entry
	state    []string // applied entries, the machine
	paused   bool
}

func newWorld(seed uint64, replicas int, f fault) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), fault: f, now: time.Unix(1000, 0), nodes: map[uint64]*node{},
		blocked: map[[2]uint64]bool{}, leaders: map[uint64]string{}, entries: map[[2]uint64]string{},
		acked: map[uint64]string{}, waiting: map[[2]uint64]string{},
	}
	w.appendBytes = []int{1, 40}[w.random.IntN(2)]
	var voters []*api.ReplicaRef
	for range replicas {
		voters = append(voters, w.addNode().ref)
	}
	first, err := BootstrapEntry(voters)
	if err != nil {
		panic(err)
	}
	founder := w.nodes[1]
	founder.hard = HardState{Term: 1}
	founder.entries = []*api.Entry{first}
	w.start(founder)
	return w
}

// addNode adds a replica with an empty disk that knows no set.
func (w *world) addNode() *node {
	w.nextID++
	n := &node{ref: w.newRef(w.nextID)}
	w.nodes[w.nextID] = n
	w.start(n)
	return n
}

func (w *world) newRef(id uint64) *api.ReplicaRef {
	w.disks++
	return &api.ReplicaRef{Id: id, DiskId: fmt.Sprint("disk-", w.disks)}
}

func (w *world) start(n *node) {
	n.state = nil
	if n.snapshot != nil {
		n.state = decodeState(n.snapshot.Data)
	}
	n.raft = New(Config{
		Self: n.ref, Seed: w.random.Uint64(), HardState: n.hard, Snapshot: n.snapshot, Entries: slices.Clone(n.entries),
		MaxAppendBytes: w.appendBytes, MaxInflight: 4, TrailingEntries: 3, SnapshotRetryReplies: 3,
	})
}

func (w *world) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// ids returns the node ids in order, so that a seed gives one schedule.
func (w *world) ids() []uint64 {
	var ids []uint64
	for id := range w.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) pick() *node {
	ids := w.ids()
	return w.nodes[ids[w.random.IntN(len(ids))]]
}

// handle runs the work of a node. crash says at which point the node crashes:
// 0 never, 1 before the sync, 2 after the sync and before sending.
func (w *world) handle(n *node, crash int) {
	defer func() {
		if p := recover(); p != nil {
			w.violate("replica %d: %v", n.ref.Id, p)
		}
	}()
	for w.violation == "" {
		if w.fault == commitOldTerm && n.raft.role == Leader {
			n.raft.commitTo(quorumValue(n.raft.sets.current(), func(id uint64) uint64 { return n.raft.progress[id].match }))
		}
		rd := n.raft.Ready()
		if rd.Empty() {
			break
		}
		if w.fault == sendBeforeSync {
			w.net = append(w.net, rd.Messages...)
		}
		if crash == 1 {
			w.start(n)
			return
		}
		w.store(n, &rd)
		w.observeLeader(n) // a term that was not stored has had no effect
		if crash == 2 {
			w.start(n)
			return
		}
		if w.fault != sendBeforeSync {
			w.net = append(w.net, rd.Messages...)
		}
		w.apply(n, rd.Committed)
		n.raft.Advance()
	}
	w.observeConfirmation(n)
}

func (w *world) store(n *node, rd *Ready) {
	if rd.HardState != nil && rd.MustSync && w.fault != voteNotSynced {
		n.hard = *rd.HardState
	}
	if s := rd.Snapshot; s != nil {
		n.snapshot, n.entries = s, nil
		n.state = decodeState(s.Data)
		w.installed++
		w.observeState(n)
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
		w.observeEntry(n, e)
	}
}

func content(e *api.Entry) string { return fmt.Sprint(e.Term, "/", e.Kind, "/", string(e.Data)) }

// observeEntry checks log matching: an index and term name one entry, with one
// predecessor.
func (w *world) observeEntry(n *node, e *api.Entry) {
	prev, ok := n.raft.log.term(e.Index - 1)
	if !ok {
		return
	}
	key := [2]uint64{e.Index, e.Term}
	value := fmt.Sprint(content(e), " after ", prev)
	if held, seen := w.entries[key]; seen && held != value {
		w.violate("log matching: entry %d of term %d is %q and %q", e.Index, e.Term, held, value)
	}
	w.entries[key] = value
}

// observeLeader checks election safety and leader completeness.
func (w *world) observeLeader(n *node) {
	if n.raft.role != Leader {
		return
	}
	name := fmt.Sprint(n.ref.Id, "/", n.ref.DiskId)
	held, known := w.leaders[n.raft.term]
	if known && held != name {
		w.violate("election safety: term %d has the leaders %s and %s", n.raft.term, held, name)
	}
	if known {
		return
	}
	w.leaders[n.raft.term] = name
	for i, c := range w.committed {
		index := uint64(i + 1)
		if index <= n.raft.log.offset {
			continue
		}
		if index > n.raft.log.last() || content(n.raft.log.entries[index-n.raft.log.offset-1]) != c {
			w.violate("leader completeness: the leader %s of term %d lacks entry %d", name, n.raft.term, index)
			return
		}
	}
}

// apply checks state machine safety and records answers to proposals.
func (w *world) apply(n *node, entries []*api.Entry) {
	for _, e := range entries {
		n.state = append(n.state, content(e))
		if len(n.state) != int(e.Index) {
			w.violate("replica %d applies entry %d at position %d", n.ref.Id, e.Index, len(n.state))
			return
		}
		w.observeCommit(n, e)
		if data, ok := w.waiting[[2]uint64{e.Index, e.Term}]; ok && n.raft.role == Leader && n.raft.term == e.Term {
			w.acked[e.Index] = data
		}
	}
}

func (w *world) observeCommit(n *node, e *api.Entry) {
	at := int(e.Index) - 1
	switch {
	case at == len(w.committed):
		w.committed = append(w.committed, content(e))
		w.times = append(w.times, w.now)
	case at > len(w.committed):
		w.violate("replica %d applies entry %d before entry %d", n.ref.Id, e.Index, len(w.committed)+1)
	case w.committed[at] != content(e):
		w.violate("state machine safety: entry %d is %q and %q", e.Index, w.committed[at], content(e))
	}
}

// observeState checks an installed snapshot.
func (w *world) observeState(n *node) {
	if len(n.state) > len(w.committed) || !slices.Equal(n.state, w.committed[:len(n.state)]) {
		w.violate("state machine safety: the snapshot at %d differs from the committed entries", len(n.state))
	}
}

// observeConfirmation checks that a replica that reports an age holds all
// that was committed that long ago.
func (w *world) observeConfirmation(n *node) {
	age, ok := n.raft.ConfirmationAge(w.now)
	if !ok {
		return
	}
	confirmed := w.now.Add(-age)
	for i := len(n.state); i < len(w.times); i++ {
		if w.times[i].Before(confirmed) {
			w.violate("confirmation: replica %d lacks entry %d, committed %v ago, and reports an age of %v", n.ref.Id, i+1, w.now.Sub(w.times[i]), age)
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
