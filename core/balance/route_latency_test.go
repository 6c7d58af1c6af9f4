package balance

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// slowZone has an upstream in the caller's availability zone and two faster ones in
// another region.
func slowZone() *Balancer {
	b := New(Config{Region: "west", AvailabilityZone: "w1", LinkBudget: NewLinkBudget(LinkBudgetConfig{BytesPerSecond: 1 << 20}), Seed: 1})
	b.SetUpstreams(epoch, []Upstream{
		{ID: "near", Region: "west", AvailabilityZone: "w1", Slots: 100},
		{ID: "far1", Region: "east", AvailabilityZone: "e1", Slots: 100},
		{ID: "far2", Region: "east", AvailabilityZone: "e2", Slots: 100},
	})
	return b
}

// teach lets the near upstream answer in 0.4 s and the far ones in the given time.
func teach(b *Balancer, now time.Time, far time.Duration) {
	for range 50 {
		for id, m := range b.byID {
			latency := far
			if id == "near" {
				latency = 400 * time.Millisecond
			}
			m.inFlight++
			b.Done(now, PickResult{member: m, Upstream: m.up}, DoneInfo{Latency: latency, Route: "r"})
		}
	}
}

// TestCallsLeaveForLackOfTime guards a call that has less time left than the upstreams
// nearby take: it goes to a faster one further away, all others stay.
func TestCallsLeaveForLackOfTime(t *testing.T) {
	tierFor := func(b *Balancer, r PickInfo) Locality {
		r.Route = "r"
		c, f := b.Pick(epoch, r)
		require.Nil(t, f)
		b.Done(epoch, c, DoneInfo{Outcome: chain.NotRun, Reason: chain.ReasonCancelled})
		return c.Locality
	}
	b := slowZone()
	teach(b, epoch, 200*time.Millisecond)
	require.Equal(t, SameAvailabilityZone, tierFor(b, PickInfo{Remaining: time.Second}))
	require.Equal(t, SameAvailabilityZone, tierFor(b, PickInfo{}), "the time left is not known")
	require.Equal(t, OtherRegion, tierFor(b, PickInfo{Remaining: 300 * time.Millisecond}))
	require.Equal(t, SameAvailabilityZone, tierFor(b, PickInfo{Remaining: 300 * time.Millisecond, BodyBytes: 60 << 10}), "large bodies stay")
	require.Equal(t, SameAvailabilityZone, tierFor(b, PickInfo{Remaining: 100 * time.Millisecond}), "nobody is fast enough")

	b = slowZone()
	teach(b, epoch, time.Second)
	require.Equal(t, SameAvailabilityZone, tierFor(b, PickInfo{Remaining: 300 * time.Millisecond}), "the far ones are slower")
	c, _ := b.Pick(epoch.Add(10*time.Second), PickInfo{Route: "r", Remaining: 300 * time.Millisecond})
	require.Equal(t, SameAvailabilityZone, c.Locality, "what is not called is no longer known to be slow")
}

// TestRiskOfLateAnswers guards calls that most, but not all, of the answers nearby would
// reach in time: they go to a faster upstream of their region, and do not leave it.
func TestRiskOfLateAnswers(t *testing.T) {
	for region, tier := range map[string]Locality{"west": SameRegion, "east": SameAvailabilityZone} {
		b := New(Config{Region: "west", AvailabilityZone: "w1", LinkBudget: NewLinkBudget(LinkBudgetConfig{BytesPerSecond: 1 << 20}), Seed: 1})
		b.SetUpstreams(epoch, []Upstream{
			{ID: "near", Region: "west", AvailabilityZone: "w1", Slots: 100},
			{ID: "other", Region: region, AvailabilityZone: "x", Slots: 100},
		})
		for i := range 200 {
			near := 400*time.Millisecond + time.Duration(i%2*2-1)*100*time.Millisecond
			for id, latency := range map[string]time.Duration{"near": near, "other": 100 * time.Millisecond} {
				b.byID[id].inFlight++
				b.Done(epoch, PickResult{member: b.byID[id], Upstream: b.byID[id].up}, DoneInfo{Latency: latency, Route: "r"})
			}
		}
		c, f := b.Pick(epoch, PickInfo{Route: "r", Remaining: 650 * time.Millisecond})
		require.Nil(t, f)
		require.Equal(t, tier, c.Locality, region)
		c, f = b.Pick(epoch, PickInfo{Route: "r", Remaining: time.Second})
		require.Nil(t, f)
		require.Equal(t, SameAvailabilityZone, c.Locality, "there is time enough")
	}
}

// TestRequestsEndInTime plays requests of 1 s whose own work takes a random time
// before they call a service that is slow nearby: a quarter of the calls that would be
// late are in time if the time left counts, and few leave the region for it.
func TestRequestsEndInTime(t *testing.T) {
	const n, limit = 4000, 1.0
	play := func(timely bool) (late, left int) {
		b, rng, now := slowZone(), rand.New(rand.NewPCG(1, 1)), epoch
		lasting := func(mean float64) float64 { return mean * math.Exp(0.5*rng.NormFloat64()-0.125) }
		for range n {
			now = now.Add(20 * time.Millisecond)
			work := lasting(0.25)
			if work >= limit {
				late++
				continue
			}
			r := PickInfo{Route: "r"}
			if timely {
				r.Remaining = time.Duration((limit - work) * float64(time.Second))
			}
			c, f := b.Pick(now, r)
			require.Nil(t, f)
			took := lasting(0.4)
			if c.Locality == OtherRegion {
				left++
				took = 0.024 + lasting(0.18)
			}
			res := DoneInfo{Latency: time.Duration(took * float64(time.Second)), Route: "r"}
			if work+took > limit {
				late++
				res = DoneInfo{Latency: time.Duration((limit - work) * float64(time.Second)), Route: "r", Outcome: chain.Failed, Reason: chain.ReasonDeadline, TimedOut: true}
			}
			b.Done(now, c, res)
		}
		return late, left
	}
	lateBefore, _ := play(false)
	late, left := play(true)
	t.Logf("late %d of %d, or %d with %d calls to the other region", lateBefore, n, late, left)
	require.Less(t, late, 3*lateBefore/4)
	require.Less(t, left, n/3)
}

// TestFaultyUpstreamIsLeft guards callers against an upstream nearby that fails or
// refuses much of what it gets while it looks healthy: they go further away, but for
// the few that show its recovery. If all are like that, the near one is used.
func TestFaultyUpstreamIsLeft(t *testing.T) {
	now := epoch
	play := func(b *Balancer, faulty map[string]float64, fault DoneInfo) (near, failed float64) {
		const n = 2000
		rng := rand.New(rand.NewPCG(1, 1))
		for range n {
			now = now.Add(20 * time.Millisecond)
			c, f := b.Pick(now, PickInfo{Route: "r", Remaining: time.Second})
			require.Nil(t, f)
			r := DoneInfo{Latency: 50 * time.Millisecond, Route: "r"}
			if rng.Float64() < faulty[c.Upstream.ID] {
				r = fault
				failed += 1.0 / n
			}
			b.Done(now, c, r)
			if c.Locality == SameAvailabilityZone {
				near += 1.0 / n
			}
		}
		return near, failed
	}
	refused := DoneInfo{Latency: time.Millisecond, Outcome: chain.NotRun, Reason: chain.ReasonUpstreamRefused, Route: "r"}
	failed := DoneInfo{Latency: 50 * time.Millisecond, Outcome: chain.Failed, Reason: chain.ReasonHandlerError, Route: "r"}
	for _, fault := range []DoneInfo{refused, failed, {Outcome: chain.Unknown, Reason: chain.ReasonTruncated, Latency: time.Millisecond, Route: "r"}} {
		b := slowZone()
		near, share := play(b, map[string]float64{"near": 0.45}, fault)
		require.Less(t, near, 0.25, fault.Reason)
		require.Less(t, share, 0.12, fault.Reason)
		near, _ = play(b, nil, fault)
		require.Greater(t, near, 0.95, "it has recovered")
		near, _ = play(slowZone(), map[string]float64{"near": 0.05}, fault)
		require.Greater(t, near, 0.9, "few failures are left to repeats")
	}
	near, _ := play(slowZone(), map[string]float64{"near": 0.6, "far1": 0.6, "far2": 0.6}, refused)
	require.Greater(t, near, 0.8, "nobody is better")
	deep := failed
	deep.FromDependency = true
	near, _ = play(slowZone(), map[string]float64{"near": 0.6}, deep)
	require.Equal(t, 1.0, math.Round(near*100)/100, "a call further down failed, which others would meet too")
}

// TestSlowedUpstreamGetsFewCalls guards callers against an upstream that becomes twelve
// times slower for 8 s: besides the calls that are under way when this shows, only a try
// now and then meets it. Half of the late calls end as failures of calls further down.
func TestSlowedUpstreamGetsFewCalls(t *testing.T) {
	const limit, perSecond = time.Second, 20
	b, rng := slowZone(), rand.New(rand.NewPCG(1, 1))
	var events simEvents
	now := epoch
	after := func(d time.Duration, do func()) { heap.Push(&events, simEvent{now.Add(d), do}) }
	late := 0
	var arrive func()
	arrive = func() {
		after(time.Second/perSecond, arrive)
		c, f := b.Pick(now, PickInfo{Route: "r", Remaining: limit})
		require.Nil(t, f)
		took := time.Duration(300*math.Exp(0.3*rng.NormFloat64())) * time.Millisecond
		if s := now.Sub(epoch).Seconds(); c.Upstream.ID == "near" && s >= 5 && s < 13 {
			took *= 12
		}
		r := DoneInfo{Latency: took, Route: "r"}
		if took > limit {
			late++
			r = DoneInfo{Latency: limit, Route: "r", Outcome: chain.Unknown, Reason: chain.ReasonDeadline, TimedOut: true}
			if late%2 == 0 {
				r = DoneInfo{Latency: 850 * time.Millisecond, Route: "r", Outcome: chain.Failed, Reason: chain.ReasonHandlerError, FromDependency: true}
			}
		}
		after(r.Latency, func() { b.Done(now, c, r) })
	}
	arrive()
	for now.Sub(epoch) < 20*time.Second {
		e := heap.Pop(&events).(simEvent)
		now = e.at
		e.do()
	}
	t.Logf("%d of %d calls of the slow time are late", late, 8*perSecond)
	require.Less(t, late, 3*perSecond)
	c, _ := b.Pick(now, PickInfo{Route: "r", Remaining: limit})
	require.Equal(t, SameAvailabilityZone, c.Locality, "it has recovered")
}
