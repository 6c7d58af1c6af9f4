package raft

import (
	"flag"
	"fmt"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrydeck/bilberrydeck/api"
)

// A fixed seed gives the same verdict in each run; -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "1000")
}

// step does one random action.
func (w *world) step() {
	w.now = w.now.Add(time.Millisecond)
	switch p := w.random.IntN(1000); {
	case p < 300:
		w.now = w.now.Add(5 * time.Millisecond)
		w.tick(w.pick())
	case p < 800:
		w.deliver()
	case p < 900:
		w.propose()
	case p < 910:
		w.crash()
	case p < 920:
		w.togglePartition()
	case p < 924:
		w.isolate()
	case p < 934:
		w.blocked = map[[2]uint64]bool{}
	case p < 950:
		w.compact(w.pick())
	case p < 962:
		w.pick().paused = true
	case p < 980:
		w.pick().paused = false
	case p < 983:
		w.loseDisk()
	default:
		w.changeSet()
	}
}

func (w *world) tick(n *node) {
	if n.paused {
		return
	}
	n.raft.Tick(w.now)
	if w.fault == roundsUnconfirmed && n.raft.role == Leader && n.raft.committedInTerm() {
		n.raft.confirm.add(confirmation{w.now, n.raft.log.committed}, n.raft.log.committed)
	}
	w.handle(n, 0)
}

// deliver takes a message out of order; sometimes it stays for a second time,
// sometimes it is lost.
func (w *world) deliver() {
	if len(w.net) == 0 {
		return
	}
	i := w.random.IntN(min(len(w.net), 20))
	m := w.net[i]
	to := w.nodes[m.To.Id]
	if to.paused && w.random.IntN(10) > 0 {
		return
	}
	if w.random.IntN(20) > 0 {
		w.net = append(w.net[:i:i], w.net[i+1:]...)
	}
	if to.paused || w.blocked[[2]uint64{m.From.Id, m.To.Id}] || w.random.IntN(20) == 0 {
		return
	}
	crash := 0
	if w.random.IntN(60) == 0 {
		crash = 1 + w.random.IntN(2)
	}
	w.stepNode(to, m, crash)
}

func (w *world) stepNode(n *node, m *api.ReplicaMessage, crash int) {
	defer func() {
		if p := recover(); p != nil {
			w.violate("replica %d: %v", n.ref.Id, p)
		}
	}()
	n.raft.Step(w.now, w.damage(n, m))
	w.handle(n, crash)
}

// damage changes a message so that the receiver acts as if a rule was missing.
func (w *world) damage(n *node, m *api.ReplicaMessage) *api.ReplicaMessage {
	c := &api.ReplicaMessage{
		Kind: m.Kind, From: m.From, To: m.To, Term: m.Term, LogIndex: m.LogIndex, LogTerm: m.LogTerm, Entries: m.Entries,
		Commit: m.Commit, Reject: m.Reject, RejectHint: m.RejectHint, Sequence: m.Sequence,
		ConfirmationAgeMs: m.ConfirmationAgeMs, SnapshotMeta: m.SnapshotMeta, SnapshotData: m.SnapshotData, Echo: m.Echo,
	}
	vote := m.Kind == api.ReplicaMessage_KIND_VOTE || m.Kind == api.ReplicaMessage_KIND_PRE_VOTE
	switch {
	case w.fault == anyLogMayLead && vote:
		c.LogTerm = m.Term
	case w.fault == appendUnchecked && m.Kind == api.ReplicaMessage_KIND_APPEND:
		if t, ok := n.raft.log.term(m.LogIndex); ok {
			c.LogTerm = t
		}
	case w.fault == freshOnArrival && m.Kind == api.ReplicaMessage_KIND_HEARTBEAT && m.Term == n.raft.term:
		c.Echo = n.raft.replies.add(w.now)
	}
	return c
}

func (w *world) propose() {
	n := w.pick()
	w.serial++
	data := fmt.Sprint("command ", w.serial)
	index, term, err := n.raft.Propose([]byte(data))
	if err != nil || n.paused {
		return
	}
	w.waiting[[2]uint64{index, term}] = data
	if w.random.IntN(3) > 0 { // otherwise the next event shares the sync
		w.handle(n, 0)
	}
}

func (w *world) crash() {
	n := w.pick()
	n.raft.Tick(w.now)
	w.handle(n, 1+w.random.IntN(2))
	w.start(n)
}

func (w *world) togglePartition() {
	a, b := w.pick().ref.Id, w.pick().ref.Id
	w.blocked[[2]uint64{a, b}] = !w.blocked[[2]uint64{a, b}]
}

// isolate cuts a replica off and lets much time pass for it, up to several
// hundred election timeouts.
func (w *world) isolate() {
	n := w.pick()
	for _, id := range w.ids() {
		w.blocked[[2]uint64{n.ref.Id, id}] = true
		w.blocked[[2]uint64{id, n.ref.Id}] = true
	}
	for range w.random.IntN(300) {
		w.now = w.now.Add(5 * time.Millisecond)
		w.tick(n)
	}
}

func (w *world) compact(n *node) {
	applied := n.raft.Status().Applied
	if applied == 0 || n.snapshot != nil && n.snapshot.Meta.Index == applied {
		return
	}
	s, err := n.raft.SnapshotAt(applied, encodeState(n.state))
	if err != nil {
		w.violate("replica %d: %v", n.ref.Id, err)
		return
	}
	first := uint64(1)
	if n.snapshot != nil {
		first = n.snapshot.Meta.Index + 1
	}
	n.entries = n.entries[applied+1-first:]
	n.snapshot = s
	n.hard.Commit = max(n.hard.Commit, applied)
	n.raft.CompactTo(s)
}

// loseDisk wipes a replica, which comes back empty under the old id.
func (w *world) loseDisk() {
	n := w.pick()
	if !w.mayLose(n) {
		return
	}
	n.hard, n.snapshot, n.entries = HardState{}, nil, nil
	if w.fault != formerIdentity {
		n.ref = w.newRef(n.ref.Id)
	}
	w.start(n)
}

// mayLose keeps a quorum of disks in every set that is in effect anywhere, so
// that the group can be repaired. Before the first commit the founder may hold
// the only copy.
func (w *world) mayLose(n *node) bool {
	if len(w.committed) == 0 {
		return false
	}
	for _, id := range w.ids() {
		set := w.nodes[id].raft.sets.current()
		if set == nil {
			continue
		}
		alive := func(v uint64) bool {
			return v != n.ref.Id && sameReplica(find(set, v), w.nodes[v].ref)
		}
		if promoting(set) != 0 && !quorum(jointSet(set), alive) || !quorum(set, alive) {
			return false
		}
	}
	return true
}

// changeSet asks a leader to swap a voter, preferably one that lost its disk, to
// add a voter or a learner, to make a learner a voter or to drop one.
func (w *world) changeSet() {
	for _, id := range w.ids() {
		n := w.nodes[id]
		if n.raft.role != Leader || n.paused {
			continue
		}
		switch choice := w.random.IntN(8); {
		case w.fault != noFault || choice < 4:
			w.replace(n)
		case choice == 4:
			w.add(n, func(ref *api.ReplicaRef) error {
				_, _, err := n.raft.ProposeReplace(0, ref)
				return err
			})
		case choice == 5:
			w.add(n, n.raft.ProposeAddLearner)
		default:
			w.moveLearner(n, choice == 6)
		}
		return
	}
}

// add adds a new replica by a proposal, unless there are many already.
func (w *world) add(n *node, propose func(*api.ReplicaRef) error) {
	if len(w.nodes) > maxNodes || len(n.raft.sets.current().Voters) >= maxVoters {
		return
	}
	added := w.addNode()
	if propose(added.ref) != nil {
		w.forget(added)
		return
	}
	w.added++
	w.handle(n, 0)
}

// moveLearner makes a learner a voter or drops it.
func (w *world) moveLearner(n *node, promote bool) {
	learners := n.raft.sets.current().Learners
	if len(learners) == 0 {
		return
	}
	ref := learners[w.random.IntN(len(learners))]
	var err error
	if promote && sameReplica(ref, w.nodes[ref.Id].ref) && len(n.raft.sets.current().Voters) < maxVoters {
		_, _, err = n.raft.ProposeReplace(0, ref)
	} else {
		err = n.raft.ProposeRemoveLearner(ref.Id)
	}
	if err == nil {
		w.handle(n, 0)
	}
}

// Bounds of the world: more replicas only make schedules slower.
const (
	maxNodes  = 12
	maxVoters = 7
)

func (w *world) forget(n *node) {
	delete(w.nodes, n.ref.Id)
	w.nextID--
}

// replace asks a leader to swap a voter.
func (w *world) replace(n *node) {
	if len(w.nodes) > maxNodes {
		return
	}
	set := n.raft.sets.current()
	old := set.Voters[w.random.IntN(len(set.Voters))]
	for _, v := range set.Voters {
		if !sameReplica(v, w.nodes[v.Id].ref) {
			old = v
		}
	}
	if l := find(set, promoting(set)); l != nil && !sameReplica(l, w.nodes[l.Id].ref) {
		old = l
	}
	added := w.addNode()
	if w.fault == swapWithoutJoint {
		w.swap(n, old, added.ref)
		return
	}
	if _, _, err := n.raft.ProposeReplace(old.Id, added.ref); err != nil {
		w.forget(added)
		return
	}
	w.replaced++
	w.handle(n, 0)
}

func (w *world) swap(n *node, old, added *api.ReplicaRef) {
	next := &api.ReplicaSet{}
	for _, v := range n.raft.sets.current().Voters {
		if v.Id == old.Id {
			v = added
		}
		next.Voters = append(next.Voters, v)
	}
	if _, err := n.raft.appendSet(next); err != nil {
		w.violate("%v", err)
	}
	w.handle(n, 0)
}

// settle heals everything and runs until a new command is applied by all
// replicas of the set that have their disks.
func (w *world) settle() {
	w.blocked = map[[2]uint64]bool{}
	for _, n := range w.nodes {
		n.paused = false
	}
	w.waiting = map[[2]uint64]string{}
	for range 3000 {
		if w.violation != "" || w.settled() {
			return
		}
		w.settleRound()
	}
	w.violate("progress: no command was applied everywhere after all faults had ended")
}

func (w *world) settleRound() {
	w.now = w.now.Add(50 * time.Millisecond)
	for _, id := range w.ids() {
		n := w.nodes[id]
		w.tick(n)
		if index, term, err := n.raft.Propose([]byte("last")); err == nil && len(w.waiting) < 20 {
			w.waiting[[2]uint64{index, term}] = "last"
		}
		w.handle(n, 0)
	}
	for pass := 0; pass < 200 && len(w.net) > 0; pass++ {
		m := w.net[0]
		w.net = w.net[1:]
		w.stepNode(w.nodes[m.To.Id], m, 0)
	}
}

func (w *world) settled() bool {
	last := uint64(0)
	for index, data := range w.acked {
		if data == "last" && (last == 0 || index < last) {
			last = index
		}
	}
	if last == 0 {
		return false
	}
	for _, id := range w.ids() {
		n := w.nodes[id]
		if n.raft.role != Leader {
			continue
		}
		for _, v := range n.raft.sets.current().Voters {
			if sameReplica(v, w.nodes[v.Id].ref) && len(w.nodes[v.Id].state) < int(last) {
				return false
			}
		}
	}
	return true
}

// finish checks that no answered proposal was lost.
func (w *world) finish() {
	for index, data := range w.acked {
		if int(index) > len(w.committed) || !hasData(w.committed[index-1], data) {
			w.violate("accepted command %q at index %d was lost", data, index)
		}
	}
}

func hasData(content, data string) bool {
	return len(content) >= len(data) && content[len(content)-len(data):] == data
}

func runSchedule(seed uint64, replicas, steps int, f fault) *world {
	w := newWorld(seed, replicas, f)
	for range steps {
		w.step()
		if w.violation != "" {
			return w
		}
	}
	w.settle()
	w.finish()
	return w
}

// TestSchedules guards the safety of the core under random schedules of
// faults, and its progress once they have ended.
func TestSchedules(t *testing.T) {
	total := struct{ committed, installed, replaced, added, leaders, runs int }{}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		replicas := rapid.SampledFrom([]int{1, 3, 3, 3, 5}).Draw(t, "replicas")
		steps := rapid.IntRange(1000, 6000).Draw(t, "steps")
		w := runSchedule(seed, replicas, steps, noFault)
		if w.violation != "" {
			t.Fatalf("%s", w.violation)
		}
		total.committed += len(w.committed)
		total.installed += w.installed
		total.replaced += w.replaced
		total.added += w.added
		total.leaders += len(w.leaders)
		total.runs++
	})
	t.Logf("%+v", total)
	require.Positive(t, total.installed, "no schedule installed a snapshot")
	require.Positive(t, total.replaced, "no schedule replaced a replica")
	require.Positive(t, total.added, "no schedule added a replica")
}

// TestChecksNotice shows that each check notices the rule it guards: every
// variant that drops a rule breaks one of the properties named within a
// bounded number of schedules.
func TestChecksNotice(t *testing.T) {
	const lost = "leader completeness|state machine safety|conflicts with the committed log|was lost"
	variants := []struct {
		name  string
		fault fault
		want  string
	}{
		{"voteNotSynced", voteNotSynced, "election safety"},
		{"sendBeforeSync", sendBeforeSync, lost},
		{"formerIdentity", formerIdentity, lost},
		{"anyLogMayLead", anyLogMayLead, lost},
		{"appendUnchecked", appendUnchecked, "log matching|" + lost},
		{"swapWithoutJoint", swapWithoutJoint, "election safety|" + lost},
		{"freshOnArrival", freshOnArrival, "^confirmation"},
		{"roundsUnconfirmed", roundsUnconfirmed, "^confirmation"},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			want := regexp.MustCompile(v.want)
			for seed := uint64(1); seed <= 10000; seed++ {
				if w := runSchedule(seed, 3, 5000, v.fault); want.MatchString(w.violation) {
					t.Logf("seed %d: %s", seed, w.violation)
					return
				}
			}
			t.Fatal("not noticed")
		})
	}
}

// TestEntriesOfEarlierTerms runs the schedule of figure 8 of the Raft paper,
// which random schedules rarely meet: an entry of an earlier term that a
// majority holds may still be replaced, so a leader must not count it as
// committed. The variant that does so shows that the check notices it.
func TestEntriesOfEarlierTerms(t *testing.T) {
	require.Empty(t, runEarlierTerms(noFault).violation)
	require.Regexp(t, "leader completeness", runEarlierTerms(commitOldTerm).violation)
}

func runEarlierTerms(f fault) *world {
	w := newWorld(1, 3, f)
	w.appendBytes = 1
	first := w.nodes[1].entries[0]
	command := func(term uint64) *api.Entry { return &api.Entry{Term: term, Index: 2, Data: []byte("command")} }
	for id, log := range map[uint64][]*api.Entry{1: {first, command(2)}, 2: {first}, 3: {first, command(3)}} {
		n := w.nodes[id]
		n.hard, n.entries = HardState{Term: 3}, log
		w.start(n)
	}
	w.elect(1, 2, 8)
	w.start(w.nodes[1])
	w.elect(3, 2, 0)
	return w
}

// elect lets one replica win an election with the vote of another, and then
// delivers a number of messages between the two.
func (w *world) elect(candidate, voter uint64, messages int) {
	w.net = nil
	n := w.nodes[candidate]
	w.nodes[voter].raft.electionElapsed = n.raft.cfg.ElectionTicks // its leader is gone
	for n.raft.role != Leader && w.violation == "" {
		w.tick(n)
		w.exchange(candidate, voter, 1)
	}
	w.exchange(candidate, voter, messages)
}

func (w *world) exchange(a, b uint64, messages int) {
	for messages > 0 && len(w.net) > 0 {
		m := w.net[0]
		w.net = w.net[1:]
		if m.To.Id == a || m.To.Id == b {
			w.stepNode(w.nodes[m.To.Id], m, 0)
			messages--
		}
	}
}
