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

// healthSim simulates many callers of a service whose upstreams have a health tracker in
// their admission controllers.
type healthSim struct {
	now         time.Time
	events      simEvents
	rng         *rand.Rand
	callers     []*Balancer
	trackers    map[string]*admission.HealthTracker
	hanging     map[string]bool // upstreams that hang
	trackHealth bool            // admission controllers reject calls to an unhealthy upstream
	failed      int             // calls without a response
	rejected    int             // rejections by admission controllers
	crossRegion int             // calls to other regions
}

const (
	simCallers     = 24
	simTimeout     = 1500 * time.Millisecond
	simMeanLatency = 300 * time.Millisecond
)

// newHealthSim returns a simulation of three regions with two availability zones each. Each
// zone has one upstream and four callers.
func newHealthSim(trackHealth bool) *healthSim {
	s := &healthSim{now: epoch, rng: rand.New(rand.NewPCG(1, 1)), trackers: map[string]*admission.HealthTracker{}, hanging: map[string]bool{}, trackHealth: trackHealth}
	var ups []Upstream
	for i := range 6 {
		id := "u" + strconv.Itoa(i)
		ups = append(ups, Upstream{ID: id, Region: strconv.Itoa(i / 2), AvailabilityZone: strconv.Itoa(i), Slots: 60})
		s.trackers[id] = &admission.HealthTracker{}
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

func (s *healthSim) run(d time.Duration) {
	for end := s.now.Add(d); s.events[0].at.Before(end); {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

// arrive makes a call of a caller and schedules its next one; a caller makes eight calls a
// second on average.
func (s *healthSim) arrive(b *Balancer) {
	s.after(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/8), func() { s.arrive(b) })
	s.attempt(b, nil)
}

func (s *healthSim) attempt(b *Balancer, tried []string) {
	c, f := b.Pick(s.now, PickInfo{Route: "r", Remaining: simTimeout, Exclude: tried})
	if f != nil {
		s.failed++
		return
	}
	if c.Locality == OtherRegion {
		s.crossRegion++
	}
	id := c.Upstream.ID
	tracker := s.trackers[id]
	if s.trackHealth && !tracker.Allow(s.now, c.HasAlternative, false) {
		s.rejected++
		b.Done(s.now, c, DoneInfo{Outcome: chain.NotRun, Reason: chain.ReasonUnhealthy, Route: "r"})
		s.attempt(b, append(tried, id))
		return
	}
	tracker.ExecutionStarted(s.now, "r")
	latency := time.Duration(float64(simMeanLatency) * math.Exp(0.5*s.rng.NormFloat64()-0.125))
	r, sample := DoneInfo{Latency: latency, Route: "r"}, admission.SampleSuccess
	if s.hanging[id] || latency > simTimeout {
		s.failed++
		latency, sample = simTimeout, admission.SampleIgnored
		r = DoneInfo{Latency: simTimeout, Route: "r", Outcome: chain.Unknown, Reason: chain.ReasonDeadline, TimedOut: true}
	}
	s.after(latency, func() {
		tracker.ExecutionEnded(s.now, "r", latency, sample)
		b.Done(s.now, c, r)
	})
}

// TestHealthTrackerReducesFailedCalls guards against calls to upstreams that hang while
// their health checks pass. Two of six upstreams hang for 5 s. Without health trackers, each
// caller loses calls until it detects the failure itself; the trackers at the upstreams
// detect it for all callers, with less than half as many failed calls.
func TestHealthTrackerReducesFailedCalls(t *testing.T) {
	failed := func(trackHealth bool) int {
		s := newHealthSim(trackHealth)
		s.run(20 * time.Second)
		require.Zero(t, s.rejected, "an upstream is unhealthy by chance")
		s.failed = 0
		s.hanging["u0"], s.hanging["u3"] = true, true
		s.run(5 * time.Second)
		n := s.failed
		s.hanging = map[string]bool{}
		s.run(10 * time.Second)
		s.crossRegion, s.rejected = 0, 0
		s.run(5 * time.Second)
		require.Zero(t, s.rejected, "the upstreams have recovered")
		require.Zero(t, s.crossRegion)
		return n
	}
	withoutTracker, withTracker := failed(false), failed(true)
	t.Logf("failed calls: %d without health trackers, %d with them", withoutTracker, withTracker)
	require.Less(t, withTracker, withoutTracker/2)
}

// TestServiceWideHangStillServes guards against rejections when all upstreams of a service
// hang, as when all wait for the same dependency. No upstream is better, so calls are
// executed nevertheless; each caller gets at most three rejections per probe interval, the
// third of which shows that more upstreams are unhealthy than may be ejected.
func TestServiceWideHangStillServes(t *testing.T) {
	s := newHealthSim(true)
	s.run(20 * time.Second)
	for id := range s.trackers {
		s.hanging[id] = true
	}
	s.failed = 0
	s.run(3 * probeInterval)
	require.Greater(t, s.failed, simCallers*8*6*8/10)
	require.LessOrEqual(t, s.rejected, simCallers*3*3)
}
