package balance

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// healthSim plays many callers of a service whose upstreams have gates that watch their
// health.
type healthSim struct {
	now     time.Time
	events  simEvents
	rng     *rand.Rand
	callers []*Balancer
	gates   map[string]*admission.HealthTracker
	bad     map[string]bool // upstreams that hang
	watched bool            // gates refuse for an unhealthy upstream
	lost    int             // calls without an answer
	refused int             // refusals of gates
	far     int             // calls that left their region
}

const (
	simCallers = 24
	simLimit   = 1500 * time.Millisecond
	simUsual   = 300 * time.Millisecond
)

// newHealthSim has three regions of two availability zones with an upstream each, and
// four callers in each zone.
func newHealthSim(watched bool) *healthSim {
	s := &healthSim{now: epoch, rng: rand.New(rand.NewPCG(1, 1)), gates: map[string]*admission.HealthTracker{}, bad: map[string]bool{}, watched: watched}
	var ups []Upstream
	for i := range 6 {
		id := "u" + strconv.Itoa(i)
		ups = append(ups, Upstream{ID: id, Region: strconv.Itoa(i / 2), AvailabilityZone: strconv.Itoa(i), Slots: 60})
		s.gates[id] = &admission.HealthTracker{}
	}
	for i := range simCallers {
		b := New(Config{Region: strconv.Itoa(i % 6 / 2), AvailabilityZone: strconv.Itoa(i % 6), LinkBudget: NewLinkBudget(LinkBudgetConfig{BytesPerSecond: 1 << 20}), Seed: uint64(i)})
		b.SetUpstreams(epoch, ups)
		s.callers = append(s.callers, b)
		s.after(time.Duration(s.rng.Int64N(int64(time.Second))), func() { s.arrive(b) })
	}
	return s
}

func (s *healthSim) after(d time.Duration, do func()) {
	heap.Push(&s.events, simEvent{s.now.Add(d), do})
}

func (s *healthSim) play(d time.Duration) {
	for end := s.now.Add(d); s.events[0].at.Before(end); {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

// arrive makes a call of a caller, which makes eight a second.
func (s *healthSim) arrive(b *Balancer) {
	s.after(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/8), func() { s.arrive(b) })
	s.attempt(b, nil)
}

func (s *healthSim) attempt(b *Balancer, tried []string) {
	c, f := b.Pick(s.now, PickInfo{Route: "r", Remaining: simLimit, Exclude: tried})
	if f != nil {
		s.lost++
		return
	}
	if c.Locality == OtherRegion {
		s.far++
	}
	id := c.Upstream.ID
	gate := s.gates[id]
	if s.watched && !gate.Allow(s.now, c.HasAlternative, false) {
		s.refused++
		b.Done(s.now, c, DoneInfo{Outcome: chain.NotRun, Reason: chain.ReasonUnhealthy, Route: "r"})
		s.attempt(b, append(tried, id))
		return
	}
	gate.ExecutionStarted(s.now, "r")
	took := time.Duration(float64(simUsual) * math.Exp(0.5*s.rng.NormFloat64()-0.125))
	r, verdict := DoneInfo{Latency: took, Route: "r"}, admission.SampleSuccess
	if s.bad[id] || took > simLimit {
		s.lost++
		took, verdict = simLimit, admission.SampleIgnored
		r = DoneInfo{Latency: simLimit, Route: "r", Outcome: chain.Unknown, Reason: chain.ReasonDeadline, TimedOut: true}
	}
	s.after(took, func() {
		gate.ExecutionEnded(s.now, "r", took, verdict)
		b.Done(s.now, c, r)
	})
}

// TestHangingUpstreamsCostFewCalls plays two of six upstreams that hang for 5 s while
// they look well. Each caller alone loses calls until it has seen it; the gate beside the
// upstream sees it for all of them, and loses half of that at most.
func TestHangingUpstreamsCostFewCalls(t *testing.T) {
	lost := func(watched bool) int {
		s := newHealthSim(watched)
		s.play(20 * time.Second)
		require.Zero(t, s.refused, "no upstream is unhealthy by chance")
		s.lost = 0
		s.bad["u0"], s.bad["u3"] = true, true
		s.play(5 * time.Second)
		n := s.lost
		s.bad = map[string]bool{}
		s.play(10 * time.Second)
		s.far, s.refused = 0, 0
		s.play(5 * time.Second)
		require.Zero(t, s.refused, "they have recovered")
		require.Zero(t, s.far)
		return n
	}
	alone, together := lost(false), lost(true)
	t.Logf("calls lost: %d by callers alone, %d with the gates", alone, together)
	require.Less(t, together, alone/2)
}

// TestServiceThatHangsIsUsed plays a service all of whose upstreams hang, as when all
// wait for another one: nobody is better, so calls run all the same, and a caller asks
// no more than two gates in vain, and one that shows that more are unhealthy than may be.
func TestServiceThatHangsIsUsed(t *testing.T) {
	s := newHealthSim(true)
	s.play(20 * time.Second)
	for id := range s.gates {
		s.bad[id] = true
	}
	s.lost = 0
	s.play(3 * tryAfter)
	require.Greater(t, s.lost, simCallers*8*6*8/10)
	require.LessOrEqual(t, s.refused, simCallers*3*3)
}
