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
	// A fixed seed gives the same schedules in each run; the command line may
	// choose another one.
	_ = flag.Set("rapid.seed", "20230517")
	_ = flag.Set("rapid.checks", "1000")
	os.Exit(m.Run())
}

// rule decides which version a simulated daemon puts in force.
type rule func(s *Subscriber, candidates []uint64) (version uint64, ok, probe bool)

func quorumRule(s *Subscriber, candidates []uint64) (uint64, bool, bool) {
	return s.ActiveVersion(candidates)
}

// newestRule is a mutation: the newest version of whichever source answers.
func newestRule(_ *Subscriber, candidates []uint64) (uint64, bool, bool) {
	if n := len(candidates); n > 0 && candidates[n-1] > 0 {
		return candidates[n-1], true, false
	}
	return 0, false, false
}

// reportedRule is a mutation: a majority reported the version, at whatever
// moments.
func reportedRule(s *Subscriber, candidates []uint64) (uint64, bool, bool) {
	for i := len(candidates) - 1; s.floorKnown && i >= 0 && candidates[i] >= s.floor; i-- {
		if reported, _ := s.holders(candidates[i]); reported {
			return candidates[i], true, false
		}
	}
	return 0, false, false
}

// noFloorRule is a mutation: a starting daemon doesn't ask what was in force.
func noFloorRule(s *Subscriber, candidates []uint64) (uint64, bool, bool) {
	s.floorKnown = true
	return s.ActiveVersion(candidates)
}

const controlName = "control"

// simNode is a relay or a daemon of the simulation.
type simNode struct {
	name    string
	relay   bool
	sub     *Subscriber
	store   DocumentStore
	staged  StagedConfig
	started bool
	highest uint64 // highest version ever in force, over all restarts
}

// simStream is one stream from a source to a subscriber. Messages that were
// sent before a partition or a restart of the source may still arrive.
type simStream struct {
	to, from string
	cut      bool
	ended    bool // the source restarted; nothing new is sent
	requests []simRequest
	updates  []simUpdate
	echo     uint64
	want     bool
	held     uint64
}

type simRequest struct {
	sequence, held uint64
	want           bool
}

type simUpdate struct {
	report SourceStatus
	delta  *Delta
}

type simulation struct {
	now      time.Time
	rule     rule
	accepted []time.Time // time of acceptance of version i+1
	control  DocumentStore
	relays   []string
	nodes    map[string]*simNode
	streams  []*simStream
	forced   int
	eager    bool // mutation: relays count before they have completed their start
	err      error
}

func newSimulation(relays, daemons int, r rule) *simulation {
	w := &simulation{now: time.Unix(1000, 0), rule: r, nodes: map[string]*simNode{}}
	for i := range relays {
		w.relays = append(w.relays, fmt.Sprintf("relay-%d", i))
	}
	for _, name := range w.relays {
		w.nodes[name] = &simNode{name: name, relay: true}
		w.streams = append(w.streams, &simStream{to: name, from: controlName})
		for _, peer := range w.relays {
			if peer != name {
				w.streams = append(w.streams, &simStream{to: name, from: peer})
			}
		}
	}
	for i := range daemons {
		name := fmt.Sprintf("daemon-%d", i)
		w.nodes[name] = &simNode{name: name}
		for _, relay := range w.relays {
			w.streams = append(w.streams, &simStream{to: name, from: relay})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
		w.boot(w.nodes[name])
	}
	for _, s := range w.streams {
		w.open(s)
	}
	w.publish()
	return w
}

// boot starts a node with empty memory.
func (w *simulation) boot(n *simNode) {
	sources := w.relays
	if n.relay {
		sources = []string{controlName}
		for _, peer := range w.relays {
			if peer != n.name {
				sources = append(sources, peer)
			}
		}
	}
	n.sub = NewSubscriber(SubscriberConfig{Start: w.now, Sources: sources, Relays: w.relays, Relay: n.relay})
	n.store, n.staged, n.started = DocumentStore{}, StagedConfig{}, false
	for _, s := range w.streams {
		switch n.name {
		case s.to:
			w.open(s)
		case s.from:
			s.ended = true
		}
	}
}

func (w *simulation) open(s *simStream) {
	*s = simStream{to: s.to, from: s.from, cut: s.cut}
	w.nodes[s.to].sub.Connected(w.now, s.from)
}

// reopen lets the subscriber notice that the source restarted.
func (w *simulation) reopen(s *simStream) {
	if s.ended {
		w.nodes[s.to].sub.Disconnected(s.from)
		w.open(s)
	}
}

func (w *simulation) publish() {
	v := w.control.Version()
	w.accepted = append(w.accepted, w.now)
	name := fmt.Sprintf("service-%d", v%4)
	if err := w.control.Apply(Delta{From: v, To: v + 1, Changed: []Document{{Service: name}}}); err != nil {
		w.err = err
	}
}

func (n *simNode) held() uint64 {
	if n.relay {
		return n.store.Version()
	}
	return n.staged.NewestReceived()
}

func (w *simulation) request(s *simStream) {
	n := w.nodes[s.to]
	s.requests = append(s.requests, simRequest{n.sub.NextRequest(w.now, s.from), n.held(), n.sub.Source() == s.from})
}

func (w *simulation) takeRequests(s *simStream) {
	if s.cut || s.ended {
		return
	}
	for _, r := range s.requests {
		s.echo, s.want, s.held = r.sequence, r.want, r.held
	}
	s.requests = nil
}

// emit lets the source send an update. age is that of a control replica which
// lags behind.
func (w *simulation) emit(s *simStream, age time.Duration) {
	if s.ended || s.echo == 0 {
		return
	}
	u := simUpdate{report: SourceStatus{Echo: s.echo}}
	if s.from == controlName {
		v := uint64(0)
		for v < uint64(len(w.accepted)) && !w.accepted[v].After(w.now.Add(-age)) {
			v++
		}
		u.report.Version, u.report.Confirmed, u.report.ConfirmedVersion = v, true, v
		u.report.Age, u.report.Bound = age, age
		if s.want && s.held < v {
			u.delta = &Delta{From: 0, To: v}
			for i := range min(v, 4) {
				u.delta.Changed = append(u.delta.Changed, Document{Service: fmt.Sprintf("service-%d", i)})
			}
		}
	} else {
		src := w.nodes[s.from]
		u.report.Version, u.report.Started = src.store.Version(), src.started
		u.report.Age, u.report.Bound, u.report.ConfirmedVersion, u.report.Confirmed = src.sub.Confirmation(w.now)
		if s.want && s.held < src.store.Version() {
			d := src.store.Since(s.held, nil)
			u.delta = &d
		}
	}
	if u.delta != nil {
		s.held = u.delta.To
	}
	s.updates = append(s.updates, u)
}

// deliver hands up to count updates to the subscriber.
func (w *simulation) deliver(s *simStream, count int) {
	if s.cut {
		return
	}
	n := w.nodes[s.to]
	for ; count > 0 && len(s.updates) > 0; count-- {
		u := s.updates[0]
		s.updates = s.updates[1:]
		n.sub.UpdateReceived(w.now, s.from, u.report)
		if u.delta != nil && n.relay {
			_ = n.store.Apply(*u.delta)
		} else if u.delta != nil {
			_ = n.staged.Add(*u.delta)
		}
		w.evaluate(n)
	}
}

func (w *simulation) evaluate(n *simNode) {
	n.sub.SelectSource(w.now, n.held())
	if n.relay {
		n.started = n.sub.Started(n.store.Version()) || w.eager
		return
	}
	v, ok, _ := w.rule(n.sub, n.staged.Versions())
	if !ok {
		return
	}
	if v < n.highest && w.err == nil {
		w.err = fmt.Errorf("version in force at %s went from %d to %d", n.name, n.highest, v)
	}
	n.highest = max(n.highest, v)
	n.staged.Activate(v)
	n.sub.CompactHistory(v)
	w.forced++
}

// exchange moves one request and its answer over a stream.
func (w *simulation) exchange(s *simStream, age time.Duration) {
	w.request(s)
	w.takeRequests(s)
	w.emit(s, age)
	w.deliver(s, 1)
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

func (w *simulation) apply(st action) {
	w.now = w.now.Add(time.Duration(st.Delay) * time.Millisecond)
	s := w.streams[st.Index%len(w.streams)]
	age := time.Duration(st.Index%5) * 500 * time.Millisecond
	switch actionKinds[st.Kind%len(actionKinds)] {
	case "exchange":
		w.exchange(s, age)
	case "request":
		w.request(s)
		w.takeRequests(s)
	case "emit":
		w.emit(s, age)
	case "deliver":
		w.deliver(s, 1+st.Index%3)
	case "publish":
		w.publish()
	case "cut":
		s.cut = !s.cut
	case "cut-control":
		for _, c := range w.streams {
			c.cut = c.cut || c.from == controlName
		}
	case "heal":
		s.cut = false
	case "reopen":
		w.reopen(s)
	case "heal-all":
		for _, c := range w.streams {
			c.cut = false
		}
	case "reopen-all":
		for _, c := range w.streams {
			w.reopen(c)
		}
	case "restart-relay":
		w.boot(w.nodes[w.relays[st.Index%len(w.relays)]])
	case "restart-daemon":
		w.boot(w.nodes[fmt.Sprintf("daemon-%d", st.Index%(len(w.nodes)-len(w.relays)))])
	case "round":
		for _, c := range w.streams {
			w.exchange(c, 0)
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

func runSchedule(schedule []action, relays int, r rule) *simulation {
	w := newSimulation(relays, 2, r)
	w.run(schedule)
	return w
}

func (w *simulation) run(schedule []action) {
	for _, st := range schedule {
		w.apply(st)
	}
}

// TestVersionInForceNeverDecreases guards against a reversal of the version in
// force at a daemon identity, also over restarts of the daemon and its relays.
func TestVersionInForceNeverDecreases(t *testing.T) {
	forced := 0
	rapid.Check(t, func(t *rapid.T) {
		relays := rapid.SampledFrom([]int{1, 2, 3, 3, 3, 5}).Draw(t, "relays")
		w := runSchedule(schedules.Draw(t, "schedule"), relays, quorumRule)
		require.NoError(t, w.err)
		forced += w.forced
	})
	require.NotZero(t, forced, "no schedule put a version in force")
	t.Logf("versions put in force: %d", forced)
}

// TestMutationsAreCaught guards against a property that holds for any rule:
// each weakened rule must lead to a reversal in some schedule.
func TestMutationsAreCaught(t *testing.T) {
	mutations := map[string]rule{"newest of whichever answers": newestRule, "without floor": noFloorRule, "eager relays": quorumRule}
	for name, mutation := range mutations {
		t.Run(name, func(t *testing.T) {
			for seed := range 20000 {
				w := newSimulation(3, 2, mutation)
				w.eager = name == "eager relays"
				if w.run(schedules.Example(seed)); w.err != nil {
					t.Logf("seed %d: %v", seed, w.err)
					return
				}
			}
			t.Error("no schedule shows a reversal")
		})
	}
}

// TestReportsOfDifferentMoments guards against counting a majority that never
// existed: a relay reports a version, restarts and completes its start from
// relays without it, and only then another relay gets the version.
func TestReportsOfDifferentMoments(t *testing.T) {
	run := func(r rule) error {
		w := newSimulation(3, 1, r)
		for range 4 {
			w.now = w.now.Add(time.Second)
			w.exchangeAll("", "")
		}
		require.Equal(t, uint64(1), w.nodes["daemon-0"].highest)
		w.now = w.now.Add(time.Minute)
		w.publish()
		w.exchangeAll("relay-0", controlName)
		w.exchangeAll("daemon-0", "relay-0")
		w.boot(w.nodes["relay-0"])
		w.exchangeAll("relay-0", "relay-1")
		w.exchangeAll("relay-0", "relay-2")
		require.True(t, w.nodes["relay-0"].started)
		w.exchangeAll("relay-1", controlName)
		w.exchangeAll("daemon-0", "relay-1")
		w.boot(w.nodes["relay-1"])
		w.exchangeAll("relay-1", "relay-0")
		w.exchangeAll("relay-1", "relay-2")
		w.boot(w.nodes["daemon-0"])
		w.exchangeAll("daemon-0", "relay-0")
		w.exchangeAll("daemon-0", "relay-2")
		return w.err
	}
	require.NoError(t, run(quorumRule))
	require.Error(t, run(reportedRule))
}

// exchangeAll does three exchanges on each stream between the given ends;
// empty means any.
func (w *simulation) exchangeAll(to, from string) {
	for _, s := range w.streams {
		if (to != "" && s.to != to) || (from != "" && s.from != from) {
			continue
		}
		w.reopenUnlessDaemon(s)
		for range 3 {
			w.now = w.now.Add(time.Millisecond)
			w.exchange(s, 0)
		}
	}
}

// reopenUnlessDaemon leaves daemons unaware of the restart of a relay.
func (w *simulation) reopenUnlessDaemon(s *simStream) {
	if w.nodes[s.to].relay {
		w.reopen(s)
	}
}

// TestHealedSystemPutsNewestInForce guards against a rule that is safe because
// nothing ever comes into force.
func TestHealedSystemPutsNewestInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := runSchedule(schedules.Draw(t, "schedule"), 3, quorumRule)
		for _, s := range w.streams {
			s.cut = false
			w.open(s)
		}
		for range 8 {
			w.now = w.now.Add(RenewInterval)
			for _, s := range w.streams {
				w.deliver(s, len(s.updates))
				w.exchange(s, 0)
			}
		}
		require.NoError(t, w.err)
		for _, n := range w.nodes {
			version, _, ok := n.staged.Active()
			require.True(t, n.relay || (ok && version == w.control.Version()), "%s at %d", n.name, version)
		}
	})
}
