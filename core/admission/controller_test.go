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

// The fixed seed makes the schedules reproducible.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.checks", "1000")
}

// model tracks the requests of a controller through a random schedule.
type model struct {
	t          *rapid.T
	controller *Controller
	now        time.Time
	nextID     uint64
	queued     map[uint64]Request
	inFlight   map[uint64]Request
}

func newModel(t *rapid.T) *model {
	cfg := Config{Slots: rapid.IntRange(1, 8).Draw(t, "slots"), MaxQueue: rapid.IntRange(1, 20).Draw(t, "queue")}
	return &model{t: t, controller: NewController(cfg), now: simEpoch, queued: map[uint64]Request{}, inFlight: map[uint64]Request{}}
}

func (m *model) arrive() {
	m.nextID++
	r := Request{
		ID:              m.nextID,
		Priority:        chain.Priority(rapid.IntRange(0, int(chain.NumPriorities)-1).Draw(m.t, "priority")),
		StreamingUpload: rapid.IntRange(0, 3).Draw(m.t, "stream") == 0,
		Route:           rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "route"),
	}
	if remaining := rapid.IntRange(0, 300).Draw(m.t, "remaining"); remaining > 0 {
		r.Deadline = m.now.Add(time.Duration(remaining) * time.Millisecond)
	}
	level := m.controller.LoadReport(m.now).Level
	m.queued[r.ID] = r
	limit := m.limit()
	decisions := m.controller.Submit(m.now, r)
	m.check(decisions, limit)
	if _, queued := m.queued[r.ID]; queued || m.inFlight[r.ID].ID != 0 {
		require.GreaterOrEqual(m.t, r.Priority, level, "admitted below the level")
	}
}

func (m *model) limit() int { return m.controller.LoadReport(m.now).Limit }

func (m *model) finish() {
	if len(m.inFlight) == 0 {
		return
	}
	id := m.pick(m.inFlight)
	delete(m.inFlight, id)
	limit := m.limit()
	m.check(m.controller.Complete(m.now, id, ExecutionResult{Succeeded: rapid.Bool().Draw(m.t, "ok")}), limit)
}

func (m *model) cancel() {
	if len(m.queued) == 0 {
		return
	}
	id := m.pick(m.queued)
	delete(m.queued, id)
	limit := m.limit()
	m.check(m.controller.Cancel(m.now, id), limit)
}

func (m *model) tick() {
	limit := m.limit()
	for range rapid.IntRange(1, 12).Draw(m.t, "ticks") {
		m.now = m.now.Add(10 * time.Millisecond)
		m.check(m.controller.Tick(m.now), max(limit, m.limit()))
	}
}

// pick draws an ID in an order that does not depend on the map.
func (m *model) pick(from map[uint64]Request) uint64 {
	var ids []uint64
	for id := uint64(1); id <= m.nextID; id++ {
		if _, ok := from[id]; ok {
			ids = append(ids, id)
		}
	}
	return rapid.SampledFrom(ids).Draw(m.t, "id")
}

// check applies decisions to the model. limitBefore is the limit before the call that returned
// them.
func (m *model) check(decisions []Decision, limitBefore int) {
	rejected, overloaded := chain.Sheddable, false
	started := false
	for _, d := range decisions {
		r, ok := m.queued[d.ID]
		require.True(m.t, ok, "decision on request %d, which was not queued", d.ID)
		delete(m.queued, d.ID)
		if d.Kind == Admit {
			m.inFlight[d.ID] = r
			started = true
			continue
		}
		require.Equal(m.t, chain.NotRun, d.Failure.Outcome)
		if d.Failure.Reason == chain.ReasonOverload && !r.StreamingUpload {
			rejected, overloaded = max(rejected, r.Priority.Class()), true
		}
	}
	require.Equal(m.t, len(m.inFlight), m.controller.InFlight())
	require.Equal(m.t, len(m.queued), m.controller.LoadReport(m.now).Queued)
	if started {
		require.LessOrEqual(m.t, len(m.inFlight), max(limitBefore, m.limit()))
		m.checkUploads(max(limitBefore, m.limit()))
	}
	if overloaded {
		m.checkClassOrder(rejected)
	}
}

func (m *model) checkUploads(limit int) {
	uploads := 0
	for _, r := range m.inFlight {
		if r.StreamingUpload {
			uploads++
		}
	}
	require.LessOrEqual(m.t, uploads, max(1, limit/2))
}

// checkClassOrder checks the state after the rejection of a class because of overload: no lower
// class is queued, and the next request of one would be rejected.
func (m *model) checkClassOrder(rejected chain.Class) {
	for _, r := range m.queued {
		require.GreaterOrEqual(m.t, r.Priority.Class(), rejected, "a lower class is queued")
	}
	require.GreaterOrEqual(m.t, m.controller.LoadReport(m.now).Level, rejected.MinPriority(), "a lower class would be admitted")
}

// TestControllerProperties verifies that no request is started twice, lost or both started and
// rejected, that requests in flight stay within the limit and uploads within theirs, and that no
// class is rejected before the classes below it.
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
		m.check(m.controller.Drain(), m.limit())
		require.Empty(t, m.queued, "a request has no decision")
		for len(m.inFlight) > 0 {
			m.finish()
		}
		require.Zero(t, m.controller.InFlight())
		require.Empty(t, m.controller.entries)
	})
}

// occupySlots occupies all slots of a controller and returns the next free request ID.
func occupySlots(c *Controller, slots int, p chain.Priority) uint64 {
	for i := range slots {
		c.Submit(simEpoch, Request{ID: uint64(i) + 1, Priority: p})
	}
	return uint64(slots) + 1
}

// TestExpiryKeepsClassOrder guards against admitting a lower class right after a request of a
// higher one expired in the queue.
func TestExpiryKeepsClassOrder(t *testing.T) {
	c := NewController(Config{Slots: 2, FixedLimit: true})
	id := occupySlots(c, 2, chain.Critical.MinPriority())
	c.Submit(simEpoch, Request{ID: id, Priority: chain.Sheddable.MinPriority()})
	c.Submit(simEpoch, Request{ID: id + 1, Priority: chain.Critical.MinPriority(), Deadline: simEpoch.Add(15 * time.Millisecond)})
	decisions := c.Tick(simEpoch.Add(20 * time.Millisecond))
	require.Len(t, decisions, 2)
	require.Equal(t, chain.ReasonDeadline, decisions[0].Failure.Reason)
	require.Equal(t, chain.ReasonOverload, decisions[1].Failure.Reason)
	late := c.Submit(simEpoch.Add(21*time.Millisecond), Request{ID: id + 2, Priority: chain.Default.MinPriority()})
	require.Equal(t, Reject, late[0].Kind)
}

// TestTooLateIsNotOverload guards against early rejections because of a request that arrived with
// too little remaining time, wherever the time was spent. A request that expires in the queue
// does count as overload.
func TestTooLateIsNotOverload(t *testing.T) {
	c := NewController(Config{Slots: 1, FixedLimit: true})
	start := simEpoch
	c.Submit(start, Request{ID: 1, Route: "r", Deadline: start.Add(time.Second)})
	c.Complete(start.Add(100*time.Millisecond), 1, ExecutionResult{Succeeded: true})
	now := start.Add(200 * time.Millisecond)
	decisions := c.Submit(now, Request{ID: 2, Route: "r", Deadline: now.Add(10 * time.Millisecond)})
	require.Equal(t, chain.ReasonTooLate, decisions[0].Failure.Reason)
	require.False(t, decisions[0].Failure.IsOverload())
	c.Submit(now, Request{ID: 3, Route: "r", Deadline: now.Add(time.Second)})
	require.Empty(t, c.Submit(now, Request{ID: 4, Route: "r", Deadline: now.Add(150 * time.Millisecond)}))
	decisions = c.Tick(now.Add(100 * time.Millisecond))
	require.Equal(t, chain.ReasonDeadline, decisions[0].Failure.Reason)
	require.True(t, decisions[0].Failure.IsOverload())
}

// TestUploadLimitIsNotOverload guards against uploads above the upload limit that raise the level
// for other requests.
func TestUploadLimitIsNotOverload(t *testing.T) {
	c := NewController(Config{Slots: 4, FixedLimit: true})
	for i := range 50 {
		c.Submit(simEpoch, Request{ID: uint64(i), Priority: chain.Critical.MinPriority(), StreamingUpload: true})
	}
	c.Tick(simEpoch)
	c.Tick(simEpoch.Add(100 * time.Millisecond))
	require.Zero(t, c.LoadReport(simEpoch).Level)
	decisions := c.Submit(simEpoch, Request{ID: 100, Priority: chain.Default.MinPriority()})
	require.Equal(t, Admit, decisions[0].Kind)
}

// TestServiceTimeDecays guards against a mean service time above all deadlines, which rejects
// every request and is therefore never updated.
func TestServiceTimeDecays(t *testing.T) {
	c := NewController(Config{Slots: 1})
	now := simEpoch
	c.Submit(now, Request{ID: 1})
	now = now.Add(time.Second)
	c.Complete(now, 1, ExecutionResult{Succeeded: true})
	kind := Reject
	for id := uint64(2); kind == Reject && id < 5000; id++ {
		now = now.Add(10 * time.Millisecond)
		c.Tick(now)
		kind = c.Submit(now, Request{ID: id, Deadline: now.Add(300 * time.Millisecond)})[0].Kind
	}
	require.Equal(t, Admit, kind)
}

// TestLevelFallsGradually guards against a level that falls to 0 within one interval because
// ingresses reject early and the controller sees no arrivals below its level.
func TestLevelFallsGradually(t *testing.T) {
	l := level{current: chain.NumPriorities - 20}
	for range 10 {
		l.recordArrival(chain.NumPriorities - 1)
	}
	l.recordUtilization(time.Second, 1, 10)
	l.adjust(20 * time.Millisecond)
	require.Equal(t, chain.NumPriorities-40, l.current)
	for range 6 {
		l.recordUtilization(time.Second, 0, 10)
		l.adjust(20 * time.Millisecond)
	}
	require.Zero(t, l.current, "an idle controller admits everything within a second")
}

// TestLevelRiseStopsAtClass guards against shedding a higher class before an interval has shown
// whether shedding all lower ones is enough.
func TestLevelRiseStopsAtClass(t *testing.T) {
	l := level{}
	for _, want := range []chain.Priority{chain.Default.MinPriority(), chain.Critical.MinPriority(), maxLevel} {
		for p := range chain.NumPriorities {
			l.recordArrival(p)
		}
		l.classes[chain.Critical].capacityRejections = 1000
		l.adjust(time.Millisecond)
		require.Equal(t, want, l.current)
	}
}

// TestLowerClassDoesNotShedHigher guards against rejecting critical requests because default
// ones, queued before the level rose, are still waiting.
func TestLowerClassDoesNotShedHigher(t *testing.T) {
	l := level{current: chain.Critical.MinPriority()}
	for range 10 {
		l.recordArrival(chain.NumPriorities - 1)
		l.recordWait(chain.Critical, time.Millisecond)
		l.recordWait(chain.Default, time.Second)
	}
	l.classes[chain.Default].capacityRejections = 10
	l.adjust(20 * time.Millisecond)
	require.Equal(t, chain.Critical.MinPriority(), l.current, "the level is unchanged")
}

// TestLevelAggregator guards against an ingress that rejects because of a single upstream or an
// old report.
func TestLevelAggregator(t *testing.T) {
	var levels LevelAggregator
	now := simEpoch
	high := chain.Critical.MinPriority()
	require.True(t, levels.Allow(now, "r", 0))
	levels.Record(now, "r", "a", LoadReport{Level: high})
	require.False(t, levels.Allow(now, "r", high-1))
	require.True(t, levels.Allow(now, "r", high))
	levels.Record(now, "r", "b", LoadReport{})
	require.True(t, levels.Allow(now, "r", 0), "another upstream admits")
	levels.Record(now, "r", "b", LoadReport{DependencyLevel: high})
	require.False(t, levels.Allow(now, "r", high-1), "a dependency rejects")
	require.True(t, levels.Allow(now.Add(LevelTTL), "r", 0), "expired reports do not count")
	for i := range 5 {
		levels.Record(now, "s", fmt.Sprint("rarely called ", i), LoadReport{Level: high})
	}
	now = now.Add(LevelTTL - time.Millisecond)
	levels.Record(now, "s", "near", LoadReport{Level: high})
	require.False(t, levels.Allow(now, "s", high-1), "old reports do not outvote a fresh one")
	require.True(t, levels.Allow(now.Add(time.Second), "s", high-1), "a reported level decays with its age")
	rapid.Check(t, func(t *rapid.T) {
		level := chain.Priority(rapid.IntRange(0, int(chain.NumPriorities)).Draw(t, "level"))
		a := time.Duration(rapid.Int64Range(0, int64(2*LevelTTL)).Draw(t, "age"))
		b := time.Duration(rapid.Int64Range(0, int64(2*LevelTTL)).Draw(t, "older")) + a
		require.LessOrEqual(t, DecayLevel(level, b), DecayLevel(level, a), "a level never rises with age")
	})
}
