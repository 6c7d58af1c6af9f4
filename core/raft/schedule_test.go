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

// A fixed seed gives the same result in each run; -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "1000")
}

// randomAction executes one random action.
func (sim *simulation) randomAction() {
	sim.now = sim.now.Add(time.Millisecond)
	switch p := sim.random.IntN(1000); {
	case p < 300:
		sim.now = sim.now.Add(5 * time.Millisecond)
		sim.tick(sim.randomNode())
	case p < 800:
		sim.deliver()
	case p < 900:
		sim.propose()
	case p < 910:
		sim.crash()
	case p < 920:
		sim.togglePartition()
	case p < 924:
		sim.isolate()
	case p < 934:
		sim.blocked = map[[2]uint64]bool{}
	case p < 950:
		sim.compact(sim.randomNode())
	case p < 962:
		sim.randomNode().paused = true
	case p < 980:
		sim.randomNode().paused = false
	case p < 983:
		sim.loseDisk()
	default:
		sim.changeReplicaSet()
	}
}

func (sim *simulation) tick(n *node) {
	if n.paused {
		return
	}
	n.raft.Tick(sim.now)
	if sim.fault == confirmWithoutQuorum && n.raft.role == Leader && n.raft.committedInTerm() {
		n.raft.confirmations.add(confirmation{sim.now, n.raft.log.committed}, n.raft.log.committed)
	}
	sim.processReady(n, 0)
}

// deliver delivers one of the oldest messages. Some messages are also kept for a
// second delivery, and some are lost.
func (sim *simulation) deliver() {
	if len(sim.network) == 0 {
		return
	}
	i := sim.random.IntN(min(len(sim.network), 20))
	m := sim.network[i]
	to := sim.nodes[m.To.Id]
	if to.paused && sim.random.IntN(10) > 0 {
		return
	}
	if sim.random.IntN(20) > 0 {
		sim.network = append(sim.network[:i:i], sim.network[i+1:]...)
	}
	if to.paused || sim.blocked[[2]uint64{m.From.Id, m.To.Id}] || sim.random.IntN(20) == 0 {
		return
	}
	crash := 0
	if sim.random.IntN(60) == 0 {
		crash = 1 + sim.random.IntN(2)
	}
	sim.stepNode(to, m, crash)
}

func (sim *simulation) stepNode(n *node, m *api.ReplicaMessage, crash int) {
	defer func() {
		if p := recover(); p != nil {
			sim.recordViolation("replica %d: %v", n.ref.Id, p)
		}
	}()
	n.raft.Step(sim.now, sim.injectMessageFault(n, m))
	sim.processReady(n, crash)
}

// injectMessageFault returns a copy of a message, changed so that the receiver
// behaves as if the rule that the fault names was missing.
func (sim *simulation) injectMessageFault(n *node, m *api.ReplicaMessage) *api.ReplicaMessage {
	c := &api.ReplicaMessage{
		Kind: m.Kind, From: m.From, To: m.To, Term: m.Term, LogIndex: m.LogIndex, LogTerm: m.LogTerm, Entries: m.Entries,
		Commit: m.Commit, Reject: m.Reject, RejectHint: m.RejectHint, Sequence: m.Sequence,
		ConfirmationAgeMs: m.ConfirmationAgeMs, SnapshotMeta: m.SnapshotMeta, SnapshotData: m.SnapshotData, Echo: m.Echo,
	}
	vote := m.Kind == api.ReplicaMessage_KIND_VOTE || m.Kind == api.ReplicaMessage_KIND_PRE_VOTE
	switch {
	case sim.fault == voteWithoutLogCheck && vote:
		c.LogTerm = m.Term
	case sim.fault == appendWithoutLogCheck && m.Kind == api.ReplicaMessage_KIND_APPEND:
		if t, ok := n.raft.log.term(m.LogIndex); ok {
			c.LogTerm = t
		}
	case sim.fault == ageFromArrival && m.Kind == api.ReplicaMessage_KIND_HEARTBEAT && m.Term == n.raft.term:
		c.Echo = n.raft.sentReplies.add(sim.now)
	}
	return c
}

func (sim *simulation) propose() {
	n := sim.randomNode()
	sim.commandCount++
	data := fmt.Sprint("command ", sim.commandCount)
	index, term, err := n.raft.Propose([]byte(data))
	if err != nil || n.paused {
		return
	}
	sim.proposals[[2]uint64{index, term}] = data
	if sim.random.IntN(3) > 0 { // otherwise the next action of the node shares the sync
		sim.processReady(n, 0)
	}
}

func (sim *simulation) crash() {
	n := sim.randomNode()
	n.raft.Tick(sim.now)
	sim.processReady(n, 1+sim.random.IntN(2))
	sim.start(n)
}

func (sim *simulation) togglePartition() {
	a, b := sim.randomNode().ref.Id, sim.randomNode().ref.Id
	sim.blocked[[2]uint64{a, b}] = !sim.blocked[[2]uint64{a, b}]
}

// isolate partitions a replica from all others and ticks it up to 299 times,
// which is many election timeouts.
func (sim *simulation) isolate() {
	n := sim.randomNode()
	for _, id := range sim.ids() {
		sim.blocked[[2]uint64{n.ref.Id, id}] = true
		sim.blocked[[2]uint64{id, n.ref.Id}] = true
	}
	for range sim.random.IntN(300) {
		sim.now = sim.now.Add(5 * time.Millisecond)
		sim.tick(n)
	}
}

func (sim *simulation) compact(n *node) {
	applied := n.raft.Status().Applied
	if applied == 0 || n.snapshot != nil && n.snapshot.Meta.Index == applied {
		return
	}
	s, err := n.raft.SnapshotAt(applied, encodeState(n.state))
	if err != nil {
		sim.recordViolation("replica %d: %v", n.ref.Id, err)
		return
	}
	first := uint64(1)
	if n.snapshot != nil {
		first = n.snapshot.Meta.Index + 1
	}
	n.entries = n.entries[applied+1-first:]
	n.snapshot = s
	n.hardState.Commit = max(n.hardState.Commit, applied)
	n.raft.CompactTo(s)
}

// loseDisk restarts a replica with an empty disk under its old replica id.
func (sim *simulation) loseDisk() {
	n := sim.randomNode()
	if !sim.mayLoseDisk(n) {
		return
	}
	n.hardState, n.snapshot, n.entries = HardState{}, nil, nil
	if sim.fault != reusedDiskID {
		n.ref = sim.newRef(n.ref.Id)
	}
	sim.start(n)
}

// mayLoseDisk reports whether the group can still be repaired without the disk of
// n: every replica set in effect at any node keeps a quorum of disks. Before the
// first commit the bootstrap replica may hold the only copy.
func (sim *simulation) mayLoseDisk(n *node) bool {
	if len(sim.committed) == 0 {
		return false
	}
	for _, id := range sim.ids() {
		set := sim.nodes[id].raft.replicaSets.current()
		if set == nil {
			continue
		}
		alive := func(v uint64) bool {
			return v != n.ref.Id && sameReplica(find(set, v), sim.nodes[v].ref)
		}
		if promotingID(set) != 0 && !quorum(jointConfiguration(set), alive) || !quorum(set, alive) {
			return false
		}
	}
	return true
}

// changeReplicaSet asks a leader to replace a voter, preferably one that lost its
// disk, to add a voter or a learner, or to promote or remove a learner.
func (sim *simulation) changeReplicaSet() {
	for _, id := range sim.ids() {
		n := sim.nodes[id]
		if n.raft.role != Leader || n.paused {
			continue
		}
		switch choice := sim.random.IntN(8); {
		case sim.fault != noFault || choice < 4:
			sim.replaceVoter(n)
		case choice == 4:
			sim.addReplica(n, func(ref *api.ReplicaRef) error {
				_, _, err := n.raft.ProposeReplace(0, ref)
				return err
			})
		case choice == 5:
			sim.addReplica(n, n.raft.ProposeAddLearner)
		default:
			sim.promoteOrRemoveLearner(n, choice == 6)
		}
		return
	}
}

// addReplica adds a new replica by a proposal, unless maxNodes or maxVoters is
// reached.
func (sim *simulation) addReplica(n *node, propose func(*api.ReplicaRef) error) {
	if len(sim.nodes) > maxNodes || len(n.raft.replicaSets.current().Voters) >= maxVoters {
		return
	}
	added := sim.addNode()
	if propose(added.ref) != nil {
		sim.removeNode(added)
		return
	}
	sim.additions++
	sim.processReady(n, 0)
}

// promoteOrRemoveLearner promotes a random learner to a voter or removes it.
func (sim *simulation) promoteOrRemoveLearner(n *node, promote bool) {
	learners := n.raft.replicaSets.current().Learners
	if len(learners) == 0 {
		return
	}
	ref := learners[sim.random.IntN(len(learners))]
	var err error
	if promote && sameReplica(ref, sim.nodes[ref.Id].ref) && len(n.raft.replicaSets.current().Voters) < maxVoters {
		_, _, err = n.raft.ProposeReplace(0, ref)
	} else {
		err = n.raft.ProposeRemoveLearner(ref.Id)
	}
	if err == nil {
		sim.processReady(n, 0)
	}
}

// Bounds of a simulation: more replicas only make schedules slower.
const (
	maxNodes  = 12
	maxVoters = 7
)

func (sim *simulation) removeNode(n *node) {
	delete(sim.nodes, n.ref.Id)
	sim.nextID--
}

// replaceVoter asks a leader to replace a voter, preferably one that lost its disk.
func (sim *simulation) replaceVoter(n *node) {
	if len(sim.nodes) > maxNodes {
		return
	}
	set := n.raft.replicaSets.current()
	old := set.Voters[sim.random.IntN(len(set.Voters))]
	for _, v := range set.Voters {
		if !sameReplica(v, sim.nodes[v.Id].ref) {
			old = v
		}
	}
	if l := find(set, promotingID(set)); l != nil && !sameReplica(l, sim.nodes[l.Id].ref) {
		old = l
	}
	added := sim.addNode()
	if sim.fault == replaceWithoutJoint {
		sim.replaceVoterDirectly(n, old, added.ref)
		return
	}
	if _, _, err := n.raft.ProposeReplace(old.Id, added.ref); err != nil {
		sim.removeNode(added)
		return
	}
	sim.replacements++
	sim.processReady(n, 0)
}

func (sim *simulation) replaceVoterDirectly(n *node, old, added *api.ReplicaRef) {
	next := &api.ReplicaSet{}
	for _, v := range n.raft.replicaSets.current().Voters {
		if v.Id == old.Id {
			v = added
		}
		next.Voters = append(next.Voters, v)
	}
	if _, err := n.raft.appendReplicaSet(next); err != nil {
		sim.recordViolation("%v", err)
	}
	sim.processReady(n, 0)
}

// stabilize ends all partitions and pauses and runs until a new command is applied
// by all voters that have their disks.
func (sim *simulation) stabilize() {
	sim.blocked = map[[2]uint64]bool{}
	for _, n := range sim.nodes {
		n.paused = false
	}
	sim.proposals = map[[2]uint64]string{}
	for range 3000 {
		if sim.violation != "" || sim.stabilized() {
			return
		}
		sim.stabilizeRound()
	}
	sim.recordViolation("progress: no command was applied everywhere after all faults had ended")
}

func (sim *simulation) stabilizeRound() {
	sim.now = sim.now.Add(50 * time.Millisecond)
	for _, id := range sim.ids() {
		n := sim.nodes[id]
		sim.tick(n)
		if index, term, err := n.raft.Propose([]byte("last")); err == nil && len(sim.proposals) < 20 {
			sim.proposals[[2]uint64{index, term}] = "last"
		}
		sim.processReady(n, 0)
	}
	for pass := 0; pass < 200 && len(sim.network) > 0; pass++ {
		m := sim.network[0]
		sim.network = sim.network[1:]
		sim.stepNode(sim.nodes[m.To.Id], m, 0)
	}
}

func (sim *simulation) stabilized() bool {
	last := uint64(0)
	for index, data := range sim.acknowledged {
		if data == "last" && (last == 0 || index < last) {
			last = index
		}
	}
	if last == 0 {
		return false
	}
	for _, id := range sim.ids() {
		n := sim.nodes[id]
		if n.raft.role != Leader {
			continue
		}
		for _, v := range n.raft.replicaSets.current().Voters {
			if sameReplica(v, sim.nodes[v.Id].ref) && len(sim.nodes[v.Id].state) < int(last) {
				return false
			}
		}
	}
	return true
}

// checkAcknowledged checks that no acknowledged proposal was lost.
func (sim *simulation) checkAcknowledged() {
	for index, data := range sim.acknowledged {
		if int(index) > len(sim.committed) || !hasData(sim.committed[index-1], data) {
			sim.recordViolation("accepted command %q at index %d was lost", data, index)
		}
	}
}

func hasData(content, data string) bool {
	return len(content) >= len(data) && content[len(content)-len(data):] == data
}

func runSchedule(seed uint64, replicas, steps int, f fault) *simulation {
	sim := newSimulation(seed, replicas, f)
	for range steps {
		sim.randomAction()
		if sim.violation != "" {
			return sim
		}
	}
	sim.stabilize()
	sim.checkAcknowledged()
	return sim
}

// TestSchedules checks the safety properties of Raft under random schedules of
// faults, and its liveness once the faults have ended.
func TestSchedules(t *testing.T) {
	total := struct{ committed, installed, replaced, added, leaders, runs int }{}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		replicas := rapid.SampledFrom([]int{1, 3, 3, 3, 5}).Draw(t, "replicas")
		steps := rapid.IntRange(1000, 6000).Draw(t, "steps")
		sim := runSchedule(seed, replicas, steps, noFault)
		if sim.violation != "" {
			t.Fatalf("%s", sim.violation)
		}
		total.committed += len(sim.committed)
		total.installed += sim.snapshotsInstalled
		total.replaced += sim.replacements
		total.added += sim.additions
		total.leaders += len(sim.leaders)
		total.runs++
	})
	t.Logf("%+v", total)
	require.Positive(t, total.installed, "no schedule installed a snapshot")
	require.Positive(t, total.replaced, "no schedule replaced a replica")
	require.Positive(t, total.added, "no schedule added a replica")
}

// TestInjectedFaultsAreDetected guards against checks that pass for any
// implementation: each injected fault must violate one of the listed properties
// within a bounded number of schedules.
func TestInjectedFaultsAreDetected(t *testing.T) {
	const lost = "leader completeness|state machine safety|conflicts with the committed log|was lost"
	variants := []struct {
		name  string
		fault fault
		want  string
	}{
		{"voteNotPersisted", voteNotPersisted, "election safety"},
		{"sendBeforeSync", sendBeforeSync, lost},
		{"reusedDiskID", reusedDiskID, lost},
		{"voteWithoutLogCheck", voteWithoutLogCheck, lost},
		{"appendWithoutLogCheck", appendWithoutLogCheck, "log matching|" + lost},
		{"replaceWithoutJoint", replaceWithoutJoint, "election safety|" + lost},
		{"ageFromArrival", ageFromArrival, "^confirmation"},
		{"confirmWithoutQuorum", confirmWithoutQuorum, "^confirmation"},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			want := regexp.MustCompile(v.want)
			for seed := uint64(1); seed <= 10000; seed++ {
				if sim := runSchedule(seed, 3, 5000, v.fault); want.MatchString(sim.violation) {
					t.Logf("seed %d: %s", seed, sim.violation)
					return
				}
			}
			t.Fatal("no schedule violates a listed property")
		})
	}
}

// TestEntriesOfEarlierTerms guards against committing an entry of an earlier term
// by counting replicas. A majority may hold such an entry and another leader may
// still overwrite it (Raft paper, figure 8). Random schedules rarely produce this
// case. With the injected fault, the check must detect the violation.
func TestEntriesOfEarlierTerms(t *testing.T) {
	require.Empty(t, runEarlierTermSchedule(noFault).violation)
	require.Regexp(t, "leader completeness", runEarlierTermSchedule(commitEarlierTerm).violation)
}

func runEarlierTermSchedule(f fault) *simulation {
	sim := newSimulation(1, 3, f)
	sim.maxAppendBytes = 1
	first := sim.nodes[1].entries[0]
	command := func(term uint64) *api.Entry { return &api.Entry{Term: term, Index: 2, Data: []byte("command")} }
	for id, log := range map[uint64][]*api.Entry{1: {first, command(2)}, 2: {first}, 3: {first, command(3)}} {
		n := sim.nodes[id]
		n.hardState, n.entries = HardState{Term: 3}, log
		sim.start(n)
	}
	sim.elect(1, 2, 8)
	sim.start(sim.nodes[1])
	sim.elect(3, 2, 0)
	return sim
}

// elect lets candidate win an election with the vote of voter, and then delivers
// a number of messages between the two.
func (sim *simulation) elect(candidate, voter uint64, messages int) {
	sim.network = nil
	n := sim.nodes[candidate]
	sim.nodes[voter].raft.electionElapsed = n.raft.cfg.ElectionTicks // its leader timed out
	for n.raft.role != Leader && sim.violation == "" {
		sim.tick(n)
		sim.deliverBetween(candidate, voter, 1)
	}
	sim.deliverBetween(candidate, voter, messages)
}

func (sim *simulation) deliverBetween(a, b uint64, messages int) {
	for messages > 0 && len(sim.network) > 0 {
		m := sim.network[0]
		sim.network = sim.network[1:]
		if m.To.Id == a || m.To.Id == b {
			sim.stepNode(sim.nodes[m.To.Id], m, 0)
			messages--
		}
	}
}
