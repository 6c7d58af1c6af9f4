package feed

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	// A fixed seed gives the same schedules in each run; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "20230517")
	_ = flag.Set("rapid.checks", "1000")
	os.Exit(m.Run())
}

// activationRule decides which version a simulated daemon activates.
type activationRule func(s *Subscriber, candidates []uint64) (version uint64, ok, probe bool)

func quorumRule(s *Subscriber, candidates []uint64) (uint64, bool, bool) {
	return s.VersionToActivate(candidates)
}

// newestReceivedRule is a mutation that activates the newest version received from
// any source.
func newestReceivedRule(_ *Subscriber, candidates []uint64) (uint64, bool, bool) {
	if n := len(candidates); n > 0 && candidates[n-1] > 0 {
		return candidates[n-1], true, false
	}
	return 0, false, false
}

// anyTimeMajorityRule is a mutation that activates a version that a majority of relays
// reported, even at different times.
func anyTimeMajorityRule(s *Subscriber, candidates []uint64) (uint64, bool, bool) {
	for i := len(candidates) - 1; s.minVersionKnown && i >= 0 && candidates[i] >= s.minVersion; i-- {
		if reported, _ := s.reportedByMajority(candidates[i]); reported {
			return candidates[i], true, false
		}
	}
	return 0, false, false
}

// noMinVersionRule is a mutation in which a starting daemon activates a version
// before the minimum version is determined.
func noMinVersionRule(s *Subscriber, candidates []uint64) (uint64, bool, bool) {
	s.minVersionKnown = true
	return s.VersionToActivate(candidates)
}

const controlName = "control"

// simNode is a simulated relay or daemon.
type simNode struct {
	name          string
	relay         bool
	sub           *Subscriber
	store         DocumentStore
	staged        StagedConfig
	started       bool
	highestActive uint64 // highest version that was active, across restarts
}

// simStream is one stream from a source to a subscriber. Messages sent before a
// partition or a restart of the source may still arrive.
type simStream struct {
	to, from        string
	partitioned     bool
	sourceRestarted bool // the source sends no more updates
	requests        []simRequest
	updates         []simUpdate
	echo            uint64 // sequence of the last request received
	wantConfig      bool   // the subscriber follows this source
	localVersion    uint64 // version of the subscriber after the updates sent
}

type simRequest struct {
	sequence, localVersion uint64
	wantConfig             bool
}

type simUpdate struct {
	status SourceStatus
	delta  *Delta
}

// simulation runs relays and daemons in virtual time over streams that delay
// messages and break, and checks that no active version decreases.
type simulation struct {
	now                 time.Time
	rule                activationRule
	accepted            []time.Time // accepted[i] is when control accepted version i+1
	control             DocumentStore
	relays              []string
	nodes               map[string]*simNode
	streams             []*simStream
	activations         int
	countStartingRelays bool // mutation: relays count before their start is complete
	err                 error
}

func newSimulation(relays, daemons int, r activationRule) *simulation {
	sim := &simulation{now: time.Unix(1000, 0), rule: r, nodes: map[string]*simNode{}}
	for i := range relays {
		sim.relays = append(sim.relays, fmt.Sprintf("relay-%d", i))
	}
	for _, name := range sim.relays {
		sim.nodes[name] = &simNode{name: name, relay: true}
		sim.streams = append(sim.streams, &simStream{to: name, from: controlName})
		for _, peer := range sim.relays {
			if peer != name {
				sim.streams = append(sim.streams, &simStream{to: name, from: peer})
			}
		}
	}
	for i := range daemons {
		name := fmt.Sprintf("daemon-%d", i)
		sim.nodes[name] = &simNode{name: name}
		for _, relay := range sim.relays {
			sim.streams = append(sim.streams, &simStream{to: name, from: relay})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sim.nodes)) {
		sim.restart(sim.nodes[name])
	}
	for _, s := range sim.streams {
		sim.open(s)
	}
	sim.publish()
	return sim
}

// restart starts a node without any state.
func (sim *simulation) restart(n *simNode) {
	sources := sim.relays
	if n.relay {
		sources = []string{controlName}
		for _, peer := range sim.relays {
			if peer != n.name {
				sources = append(sources, peer)
			}
		}
	}
	n.sub = NewSubscriber(SubscriberConfig{Start: sim.now, Sources: sources, Relays: sim.relays, Relay: n.relay})
	n.store, n.staged, n.started = DocumentStore{}, StagedConfig{}, false
	for _, s := range sim.streams {
		switch n.name {
		case s.to:
			sim.open(s)
		case s.from:
			s.sourceRestarted = true
		}
	}
}

func (sim *simulation) open(s *simStream) {
	*s = simStream{to: s.to, from: s.from, partitioned: s.partitioned}
	sim.nodes[s.to].sub.Connected(sim.now, s.from)
}

// reopen reconnects the subscriber if the source has restarted.
func (sim *simulation) reopen(s *simStream) {
	if s.sourceRestarted {
		sim.nodes[s.to].sub.Disconnected(s.from)
		sim.open(s)
	}
}

func (sim *simulation) publish() {
	v := sim.control.Version()
	sim.accepted = append(sim.accepted, sim.now)
	name := fmt.Sprintf("service-%d", v%4)
	if err := sim.control.Apply(Delta{From: v, To: v + 1, Changed: []Document{{Service: name}}}); err != nil {
		sim.err = err
	}
}

func (n *simNode) localVersion() uint64 {
	if n.relay {
		return n.store.Version()
	}
	return n.staged.NewestReceived()
}

func (sim *simulation) request(s *simStream) {
	n := sim.nodes[s.to]
	s.requests = append(s.requests, simRequest{n.sub.NextRequest(sim.now, s.from), n.localVersion(), n.sub.Source() == s.from})
}

func (sim *simulation) receiveRequests(s *simStream) {
	if s.partitioned || s.sourceRestarted {
		return
	}
	for _, r := range s.requests {
		s.echo, s.wantConfig, s.localVersion = r.sequence, r.wantConfig, r.localVersion
	}
	s.requests = nil
}

// sendUpdate lets the source send an update. age is the lag of the control replica,
// if the source is control.
func (sim *simulation) sendUpdate(s *simStream, age time.Duration) {
	if s.sourceRestarted || s.echo == 0 {
		return
	}
	u := simUpdate{status: SourceStatus{Echo: s.echo}}
	if s.from == controlName {
		v := uint64(0)
		for v < uint64(len(sim.accepted)) && !sim.accepted[v].After(sim.now.Add(-age)) {
			v++
		}
		u.status.Version, u.status.Confirmed, u.status.ConfirmedVersion = v, true, v
		u.status.Age, u.status.Bound = age, age
		if s.wantConfig && s.localVersion < v {
			u.delta = &Delta{From: 0, To: v}
			for i := range min(v, 4) {
				u.delta.Changed = append(u.delta.Changed, Document{Service: fmt.Sprintf("service-%d", i)})
			}
		}
	} else {
		src := sim.nodes[s.from]
		u.status.Version, u.status.Started = src.store.Version(), src.started
		u.status.Age, u.status.Bound, u.status.ConfirmedVersion, u.status.Confirmed = src.sub.Confirmation(sim.now)
		if s.wantConfig && s.localVersion < src.store.Version() {
			d := src.store.ChangesSince(s.localVersion, nil)
			u.delta = &d
		}
	}
	if u.delta != nil {
		s.localVersion = u.delta.To
	}
	s.updates = append(s.updates, u)
}

// deliver passes up to count updates to the subscriber.
func (sim *simulation) deliver(s *simStream, count int) {
	if s.partitioned {
		return
	}
	n := sim.nodes[s.to]
	for ; count > 0 && len(s.updates) > 0; count-- {
		u := s.updates[0]
		s.updates = s.updates[1:]
		n.sub.UpdateReceived(sim.now, s.from, u.status)
		if u.delta != nil && n.relay {
			_ = n.store.Apply(*u.delta)
		} else if u.delta != nil {
			_ = n.staged.Add(*u.delta)
		}
		sim.evaluateNode(n)
	}
}

func (sim *simulation) evaluateNode(n *simNode) {
	n.sub.SelectSource(sim.now, n.localVersion())
	if n.relay {
		n.started = n.sub.Started(n.store.Version()) || sim.countStartingRelays
		return
	}
	v, ok, _ := sim.rule(n.sub, n.staged.Versions())
	if !ok {
		return
	}
	if v < n.highestActive && sim.err == nil {
		sim.err = fmt.Errorf("active version of %s decreased from %d to %d", n.name, n.highestActive, v)
	}
	n.highestActive = max(n.highestActive, v)
	n.staged.Activate(v)
	n.sub.CompactHistory(v)
	sim.activations++
}

// exchange transfers one request and one update over a stream.
func (sim *simulation) exchange(s *simStream, age time.Duration) {
	sim.request(s)
	sim.receiveRequests(s)
	sim.sendUpdate(s, age)
	sim.deliver(s, 1)
}

// action is one step of a schedule.
type action struct {
	Kind  int
	Index int
	Delay int // ms
}

// The relative frequencies of the actions.
var actionKinds = weighted(map[string]int{
	"exchange": 20, "request": 4, "emit": 6, "deliver": 6, "publish": 4, "cut": 4, "cut-control": 1, "heal": 4,
	"reopen": 4, "restart-relay": 2, "restart-daemon": 2, "round": 3, "heal-all": 2, "reopen-all": 2,
})

func weighted(weights map[string]int) []string {
	var list []string
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		list = append(list, slices.Repeat([]string{name}, weights[name])...)
	}
	return list
}

func (sim *simulation) applyAction(act action) {
	sim.now = sim.now.Add(time.Duration(act.Delay) * time.Millisecond)
	s := sim.streams[act.Index%len(sim.streams)]
	age := time.Duration(act.Index%5) * 500 * time.Millisecond
	switch actionKinds[act.Kind%len(actionKinds)] {
	case "exchange":
		sim.exchange(s, age)
	case "request":
		sim.request(s)
		sim.receiveRequests(s)
	case "emit":
		sim.sendUpdate(s, age)
	case "deliver":
		sim.deliver(s, 1+act.Index%3)
	case "publish":
		sim.publish()
	case "cut":
		s.partitioned = !s.partitioned
	case "cut-control":
		for _, c := range sim.streams {
			c.partitioned = c.partitioned || c.from == controlName
		}
	case "heal":
		s.partitioned = false
	case "reopen":
		sim.reopen(s)
	case "heal-all":
		for _, c := range sim.streams {
			c.partitioned = false
		}
	case "reopen-all":
		for _, c := range sim.streams {
			sim.reopen(c)
		}
	case "restart-relay":
		sim.restart(sim.nodes[sim.relays[act.Index%len(sim.relays)]])
	case "restart-daemon":
		sim.restart(sim.nodes[fmt.Sprintf("daemon-%d", act.Index%(len(sim.nodes)-len(sim.relays)))])
	case "round":
		for _, c := range sim.streams {
			sim.exchange(c, 0)
		}
	}
}

var schedules = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
	return action{
		Kind:  rapid.IntRange(0, len(actionKinds)-1).Draw(t, "kind"),
		Index: rapid.IntRange(0, 59).Draw(t, "index"),
		Delay: rapid.IntRange(0, 400).Draw(t, "delay"),
	}
}), 300, 300)

func runSchedule(schedule []action, relays int, r activationRule) *simulation {
	sim := newSimulation(relays, 2, r)
	sim.run(schedule)
	return sim
}

func (sim *simulation) run(schedule []action) {
	for _, act := range schedule {
		sim.applyAction(act)
	}
}

// TestActiveVersionNeverDecreases guards against a daemon whose active version
// decreases, even across restarts of the daemon and its relays.
func TestActiveVersionNeverDecreases(t *testing.T) {
	activations := 0
	rapid.Check(t, func(t *rapid.T) {
		relays := rapid.SampledFrom([]int{1, 2, 3, 3, 3, 5}).Draw(t, "relays")
		sim := runSchedule(schedules.Draw(t, "schedule"), relays, quorumRule)
		require.NoError(t, sim.err)
		activations += sim.activations
	})
	require.NotZero(t, activations, "no schedule activated a version")
	t.Logf("versions activated: %d", activations)
}

// TestMutationsAreDetected guards against a check that passes for any rule: each
// weakened rule must let an active version decrease in some schedule.
func TestMutationsAreDetected(t *testing.T) {
	mutations := map[string]activationRule{"newest received": newestReceivedRule, "no minimum version": noMinVersionRule, "starting relays count": quorumRule}
	for name, mutation := range mutations {
		t.Run(name, func(t *testing.T) {
			for seed := range 20000 {
				sim := newSimulation(3, 2, mutation)
				sim.countStartingRelays = name == "starting relays count"
				if sim.run(schedules.Example(seed)); sim.err != nil {
					t.Logf("seed %d: %v", seed, sim.err)
					return
				}
			}
			t.Error("the active version decreases in no schedule")
		})
	}
}

// TestMajorityAtDifferentTimes guards against counting relays that had a version at
// different times: a relay reports a version, restarts and completes its start from
// relays without it, and only then another relay receives the version.
func TestMajorityAtDifferentTimes(t *testing.T) {
	run := func(r activationRule) error {
		sim := newSimulation(3, 1, r)
		for range 4 {
			sim.now = sim.now.Add(time.Second)
			sim.exchangeAll("", "")
		}
		require.Equal(t, uint64(1), sim.nodes["daemon-0"].highestActive)
		sim.now = sim.now.Add(time.Minute)
		sim.publish()
		sim.exchangeAll("relay-0", controlName)
		sim.exchangeAll("daemon-0", "relay-0")
		sim.restart(sim.nodes["relay-0"])
		sim.exchangeAll("relay-0", "relay-1")
		sim.exchangeAll("relay-0", "relay-2")
		require.True(t, sim.nodes["relay-0"].started)
		sim.exchangeAll("relay-1", controlName)
		sim.exchangeAll("daemon-0", "relay-1")
		sim.restart(sim.nodes["relay-1"])
		sim.exchangeAll("relay-1", "relay-0")
		sim.exchangeAll("relay-1", "relay-2")
		sim.restart(sim.nodes["daemon-0"])
		sim.exchangeAll("daemon-0", "relay-0")
		sim.exchangeAll("daemon-0", "relay-2")
		return sim.err
	}
	require.NoError(t, run(quorumRule))
	require.Error(t, run(anyTimeMajorityRule))
}

// exchangeAll does three exchanges on each stream between the given ends. An empty
// name matches any.
func (sim *simulation) exchangeAll(to, from string) {
	for _, s := range sim.streams {
		if (to != "" && s.to != to) || (from != "" && s.from != from) {
			continue
		}
		sim.reopenUnlessDaemon(s)
		for range 3 {
			sim.now = sim.now.Add(time.Millisecond)
			sim.exchange(s, 0)
		}
	}
}

// reopenUnlessDaemon reconnects the stream if its subscriber is a relay. Daemons do
// not detect the restart of their source.
func (sim *simulation) reopenUnlessDaemon(s *simStream) {
	if sim.nodes[s.to].relay {
		sim.reopen(s)
	}
}

// TestNewestVersionBecomesActiveAfterHealing guards against a rule that is safe only
// because it never activates a new version.
func TestNewestVersionBecomesActiveAfterHealing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := runSchedule(schedules.Draw(t, "schedule"), 3, quorumRule)
		for _, s := range sim.streams {
			s.partitioned = false
			sim.open(s)
		}
		for range 8 {
			sim.now = sim.now.Add(RenewInterval)
			for _, s := range sim.streams {
				sim.deliver(s, len(s.updates))
				sim.exchange(s, 0)
			}
		}
		require.NoError(t, sim.err)
		for _, n := range sim.nodes {
			version, _, ok := n.staged.Active()
			require.True(t, n.relay || (ok && version == sim.control.Version()), "%s at %d", n.name, version)
		}
	})
}
