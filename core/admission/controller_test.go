package admission

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// The seed makes every run use the same schedules.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "1000")
}

// model follows a gate through a random schedule.
type model struct {
	t       *rapid.T
	g       *Controller
	now     time.Time
	nextID  uint64
	queued  map[uint64]Request
	running map[uint64]Request
}

func newModel(t *rapid.T) *model {
	cfg := Config{Slots: rapid.IntRange(1, 8).Draw(t, "slots"), MaxQueue: rapid.IntRange(1, 20).Draw(t, "queue")}
	return &model{t: t, g: NewController(cfg), now: simEpoch, queued: map[uint64]Request{}, running: map[uint64]Request{}}
}

func (m *model) arrive() {
	m.nextID++
	r := Request{
		ID:              m.nextID,
		Priority:        chain.Priority(rapid.IntRange(0, int(chain.MaxPriority)-1).Draw(m.t, "priority")),
		StreamingUpload: rapid.IntRange(0, 3).Draw(m.t, "stream") == 0,
		Route:           rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "route"),
	}
	if left := rapid.IntRange(0, 300).Draw(m.t, "left"); left > 0 {
		r.Deadline = m.now.Add(time.Duration(left) * time.Millisecond)
	}
	level := m.g.LoadReport(m.now).Level
	m.queued[r.ID] = r
	limit := m.limit()
	actions := m.g.Submit(m.now, r)
	m.check(actions, limit)
	if _, queued := m.queued[r.ID]; queued || m.running[r.ID].ID != 0 {
		require.GreaterOrEqual(m.t, r.Priority, level, "admitted below the level")
	}
}

func (m *model) limit() int { return m.g.LoadReport(m.now).Limit }

func (m *model) finish() {
	if len(m.running) == 0 {
		return
	}
	id := m.pick(m.running)
	delete(m.running, id)
	limit := m.limit()
	m.check(m.g.Complete(m.now, id, ExecutionResult{Succeeded: rapid.Bool().Draw(m.t, "ok")}), limit)
}

func (m *model) cancel() {
	if len(m.queued) == 0 {
		return
	}
	id := m.pick(m.queued)
	delete(m.queued, id)
	limit := m.limit()
	m.check(m.g.Cancel(m.now, id), limit)
}

func (m *model) tick() {
	limit := m.limit()
	for range rapid.IntRange(1, 12).Draw(m.t, "ticks") {
		m.now = m.now.Add(10 * time.Millisecond)
		m.check(m.g.Tick(m.now), max(limit, m.limit()))
	}
}

// pick draws one id in an order that does not depend on the map.
func (m *model) pick(from map[uint64]Request) uint64 {
	var ids []uint64
	for id := uint64(1); id <= m.nextID; id++ {
		if _, ok := from[id]; ok {
			ids = append(ids, id)
		}
	}
	return rapid.SampledFrom(ids).Draw(m.t, "id")
}

// check applies actions to the model. limitBefore is the limit before the call.
func (m *model) check(actions []Decision, limitBefore int) {
	refused, wasLoad := chain.Sheddable, false
	started := false
	for _, a := range actions {
		r, ok := m.queued[a.ID]
		require.True(m.t, ok, "action on request %d, which was not waiting", a.ID)
		delete(m.queued, a.ID)
		if a.Kind == Admit {
			m.running[a.ID] = r
			started = true
			continue
		}
		require.Equal(m.t, chain.NotRun, a.Failure.Outcome)
		if a.Failure.Reason == chain.ReasonOverload && !r.StreamingUpload {
			refused, wasLoad = max(refused, r.Priority.Class()), true
		}
	}
	require.Equal(m.t, len(m.running), m.g.InFlight())
	require.Equal(m.t, len(m.queued), m.g.LoadReport(m.now).Queued)
	if started {
		require.LessOrEqual(m.t, len(m.running), max(limitBefore, m.limit()))
		m.checkUploads(max(limitBefore, m.limit()))
	}
	if wasLoad {
		m.checkClassOrder(refused)
	}
}

func (m *model) checkUploads(limit int) {
	uploads := 0
	for _, r := range m.running {
		if r.StreamingUpload {
			uploads++
		}
	}
	require.LessOrEqual(m.t, uploads, max(1, limit/2))
}

// checkClassOrder checks the state after a refusal of a class under load: no
// lower class waits, and the next arrival of one would be refused.
func (m *model) checkClassOrder(refused chain.Class) {
	for _, r := range m.queued {
		require.GreaterOrEqual(m.t, r.Priority.Class(), refused, "a lower class is queued")
	}
	require.GreaterOrEqual(m.t, m.g.LoadReport(m.now).Level, refused.MinPriority(), "a lower class would be admitted")
}

// TestControllerProperties guards against a request that is started twice, lost or
// both started and refused, against a gate above its limit, against uploads
// above their share, and against refusing a class before the classes below it.
func TestControllerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(*rapid.T) { m.arrive() },
			"surge": func(*rapid.T) {
				for range 10 {
					m.arrive()
				}
			},
			"finish": func(*rapid.T) { m.finish() },
			"cancel": func(*rapid.T) { m.cancel() },
			"tick":   func(*rapid.T) { m.tick() },
		})
		m.check(m.g.Drain(), m.limit())
		require.Empty(t, m.queued, "a request got no decision")
		for len(m.running) > 0 {
			m.finish()
		}
		require.Zero(t, m.g.InFlight())
		require.Empty(t, m.g.entries)
	})
}

// fill occupies all slots of a gate and returns the next free id.
func fill(g *Controller, slots int, p chain.Priority) uint64 {
	for i := range slots {
		g.Submit(simEpoch, Request{ID: uint64(i) + 1, Priority: p})
	}
	return uint64(slots) + 1
}

// TestExpiryKeepsClassOrder guards against serving a lower class right after a
// higher one lost its time in the queue.
func TestExpiryKeepsClassOrder(t *testing.T) {
	g := NewController(Config{Slots: 2, FixedLimit: true})
	id := fill(g, 2, chain.Critical.MinPriority())
	g.Submit(simEpoch, Request{ID: id, Priority: chain.Sheddable.MinPriority()})
	g.Submit(simEpoch, Request{ID: id + 1, Priority: chain.Critical.MinPriority(), Deadline: simEpoch.Add(15 * time.Millisecond)})
	actions := g.Tick(simEpoch.Add(20 * time.Millisecond))
	require.Len(t, actions, 2)
	require.Equal(t, chain.ReasonDeadline, actions[0].Failure.Reason)
	require.Equal(t, chain.ReasonOverload, actions[1].Failure.Reason)
	late := g.Submit(simEpoch.Add(21*time.Millisecond), Request{ID: id + 2, Priority: chain.Default.MinPriority()})
	require.Equal(t, Reject, late[0].Kind)
}

// TestTooLateIsNoLackOfRoom guards other requests against early refusal because of one
// that came with too little time, wherever that was lost. A request whose time ran out
// in the queue did lack room.
func TestTooLateIsNoLackOfRoom(t *testing.T) {
	g := NewController(Config{Slots: 1, FixedLimit: true})
	start := simEpoch
	g.Submit(start, Request{ID: 1, Route: "r", Deadline: start.Add(time.Second)})
	g.Complete(start.Add(100*time.Millisecond), 1, ExecutionResult{Succeeded: true})
	now := start.Add(200 * time.Millisecond)
	actions := g.Submit(now, Request{ID: 2, Route: "r", Deadline: now.Add(10 * time.Millisecond)})
	require.Equal(t, chain.ReasonTooLate, actions[0].Failure.Reason)
	require.False(t, actions[0].Failure.IsOverload())
	g.Submit(now, Request{ID: 3, Route: "r", Deadline: now.Add(time.Second)})
	require.Empty(t, g.Submit(now, Request{ID: 4, Route: "r", Deadline: now.Add(150 * time.Millisecond)}))
	actions = g.Tick(now.Add(100 * time.Millisecond))
	require.Equal(t, chain.ReasonDeadline, actions[0].Failure.Reason)
	require.True(t, actions[0].Failure.IsOverload())
}

// TestUploadShareIsNoOverload guards against uploads that overflow their own
// share and thereby raise the level for lookups.
func TestUploadShareIsNoOverload(t *testing.T) {
	g := NewController(Config{Slots: 4, FixedLimit: true})
	for i := range 50 {
		g.Submit(simEpoch, Request{ID: uint64(i), Priority: chain.Critical.MinPriority(), StreamingUpload: true})
	}
	g.Tick(simEpoch)
	g.Tick(simEpoch.Add(100 * time.Millisecond))
	require.Zero(t, g.LoadReport(simEpoch).Level)
	actions := g.Submit(simEpoch, Request{ID: 100, Priority: chain.Default.MinPriority()})
	require.Equal(t, Admit, actions[0].Kind)
}

// TestRouteEstimateIsCorrected guards against an estimate above all deadlines
// that refuses every request and is therefore never measured again.
func TestRouteEstimateIsCorrected(t *testing.T) {
	g := NewController(Config{Slots: 1})
	now := simEpoch
	g.Submit(now, Request{ID: 1})
	now = now.Add(time.Second)
	g.Complete(now, 1, ExecutionResult{Succeeded: true})
	kind := Reject
	for id := uint64(2); kind == Reject && id < 5000; id++ {
		now = now.Add(10 * time.Millisecond)
		g.Tick(now)
		kind = g.Submit(now, Request{ID: id, Deadline: now.Add(300 * time.Millisecond)})[0].Kind
	}
	require.Equal(t, Admit, kind)
}

// TestFallBelowEmptyHistogram guards against a level that falls to the bottom
// within one period because entrances refuse early and the gate sees no arrivals
// below its level.
func TestFallBelowEmptyHistogram(t *testing.T) {
	l := level{current: chain.MaxPriority - 20}
	for range 10 {
		l.arrive(chain.MaxPriority - 1)
	}
	l.use(time.Second, 1, 10)
	l.adapt(20 * time.Millisecond)
	require.Equal(t, chain.MaxPriority-40, l.current)
	for range 6 {
		l.use(time.Second, 0, 10)
		l.adapt(20 * time.Millisecond)
	}
	require.Zero(t, l.current, "an idle gate is open within a second")
}

// TestRiseStopsAtClass guards against shedding a higher class before it is seen
// whether shedding all of the lower ones is enough.
func TestRiseStopsAtClass(t *testing.T) {
	l := level{}
	for _, want := range []chain.Priority{chain.Default.MinPriority(), chain.Critical.MinPriority(), maxLevel} {
		for p := range chain.MaxPriority {
			l.arrive(p)
		}
		l.classes[chain.Critical].noRoom = 1000
		l.adapt(time.Millisecond)
		require.Equal(t, want, l.current)
	}
}

// TestLowerClassDoesNotShedHigher guards against critical requests that are
// refused because default ones, queued before the level rose, still wait.
func TestLowerClassDoesNotShedHigher(t *testing.T) {
	l := level{current: chain.Critical.MinPriority()}
	for range 10 {
		l.arrive(chain.MaxPriority - 1)
		l.wait(chain.Critical, time.Millisecond)
		l.wait(chain.Default, time.Second)
	}
	l.classes[chain.Default].noRoom = 10
	l.adapt(20 * time.Millisecond)
	require.Equal(t, chain.Critical.MinPriority(), l.current, "it neither rises nor falls")
}

// TestLevelAggregator guards against an entrance that refuses because of one upstream,
// or because of a report that has become old.
func TestLevelAggregator(t *testing.T) {
	var l LevelAggregator
	now := simEpoch
	high := chain.Critical.MinPriority()
	require.True(t, l.Allow(now, "r", 0))
	l.Record(now, "r", "a", LoadReport{Level: high})
	require.False(t, l.Allow(now, "r", high-1))
	require.True(t, l.Allow(now, "r", high))
	l.Record(now, "r", "b", LoadReport{})
	require.True(t, l.Allow(now, "r", 0), "another upstream admits")
	l.Record(now, "r", "b", LoadReport{DependencyLevel: high})
	require.False(t, l.Allow(now, "r", high-1), "refused further down")
	require.True(t, l.Allow(now.Add(LevelTTL), "r", 0), "old reports have no weight")
	for i := range 5 {
		l.Record(now, "s", fmt.Sprint("rarely called ", i), LoadReport{Level: high})
	}
	now = now.Add(LevelTTL - time.Millisecond)
	l.Record(now, "s", "near", LoadReport{Level: high})
	require.False(t, l.Allow(now, "s", high-1), "reports that have become old do not outvote a fresh one")
	require.True(t, l.Allow(now.Add(time.Second), "s", high-1), "a report loses weight with its age")
	rapid.Check(t, func(t *rapid.T) {
		level := chain.Priority(rapid.IntRange(0, int(chain.MaxPriority)).Draw(t, "level"))
		a := time.Duration(rapid.Int64Range(0, int64(2*LevelTTL)).Draw(t, "age"))
		b := time.Duration(rapid.Int64Range(0, int64(2*LevelTTL)).Draw(t, "older")) + a
		require.LessOrEqual(t, DecayLevel(level, b), DecayLevel(level, a), "age never raises a level")
	})
}
