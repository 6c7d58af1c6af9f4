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

// newSlowZoneBalancer returns a Balancer with an upstream in the caller's availability zone
// and two in another region, which the tests make faster.
func newSlowZoneBalancer() *Balancer {
	b := New(Config{Region: "west", AvailabilityZone: "w1", LinkBudget: NewLinkBudget(LinkBudgetConfig{BytesPerSecond: 1 << 20}), Seed: 1})
	b.SetUpstreams(epoch, []Upstream{
		{ID: "near", Region: "west", AvailabilityZone: "w1", Slots: 100},
		{ID: "far1", Region: "east", AvailabilityZone: "e1", Slots: 100},
		{ID: "far2", Region: "east", AvailabilityZone: "e2", Slots: 100},
	})
	return b
}

// observeLatencies records calls that take 0.4 s at the near upstream and the given time at
// the far ones.
func observeLatencies(b *Balancer, now time.Time, far time.Duration) {
	for range 50 {
		for id, m := range b.byID {
			latency := far
			if id == "near" {
				latency = 400 * time.Millisecond
			}
			m.inFlight++
			b.Done(now, PickResult{member: m, Upstream: m.upstream}, DoneInfo{Latency: latency, Route: "r"})
		}
	}
}

// TestShortDeadlineUsesFasterRegion guards against a missed deadline when the upstreams
// nearby take longer than the remaining time of a call and those of another region don't.
// All other calls stay in the availability zone.
func TestShortDeadlineUsesFasterRegion(t *testing.T) {
	localityFor := func(b *Balancer, r PickInfo) Locality {
		r.Route = "r"
		c, f := b.Pick(epoch, r)
		require.Nil(t, f)
		b.Done(epoch, c, DoneInfo{Outcome: chain.NotRun, Reason: chain.ReasonCancelled})
		return c.Locality
	}
	b := newSlowZoneBalancer()
	observeLatencies(b, epoch, 200*time.Millisecond)
	require.Equal(t, SameAvailabilityZone, localityFor(b, PickInfo{Remaining: time.Second}))
	require.Equal(t, SameAvailabilityZone, localityFor(b, PickInfo{}), "the remaining time is not known")
	require.Equal(t, OtherRegion, localityFor(b, PickInfo{Remaining: 300 * time.Millisecond}))
	require.Equal(t, SameAvailabilityZone, localityFor(b, PickInfo{Remaining: 300 * time.Millisecond, BodyBytes: 60 << 10}), "large bodies stay in the zone")
	require.Equal(t, SameAvailabilityZone, localityFor(b, PickInfo{Remaining: 100 * time.Millisecond}), "no upstream is fast enough")

	b = newSlowZoneBalancer()
	observeLatencies(b, epoch, time.Second)
	require.Equal(t, SameAvailabilityZone, localityFor(b, PickInfo{Remaining: 300 * time.Millisecond}), "the far ones are slower")
	c, _ := b.Pick(epoch.Add(10*time.Second), PickInfo{Route: "r", Remaining: 300 * time.Millisecond})
	require.Equal(t, SameAvailabilityZone, c.Locality, "an upstream without calls gets a probe")
}

// TestLatencyDeviationStaysInRegion guards against late responses from an upstream that
// meets most, but not all, deadlines: calls go to a faster upstream of the same region, but
// not of another one.
func TestLatencyDeviationStaysInRegion(t *testing.T) {
	for region, locality := range map[string]Locality{"west": SameRegion, "east": SameAvailabilityZone} {
		b := New(Config{Region: "west", AvailabilityZone: "w1", LinkBudget: NewLinkBudget(LinkBudgetConfig{BytesPerSecond: 1 << 20}), Seed: 1})
		b.SetUpstreams(epoch, []Upstream{
			{ID: "near", Region: "west", AvailabilityZone: "w1", Slots: 100},
			{ID: "other", Region: region, AvailabilityZone: "x", Slots: 100},
		})
		for i := range 200 {
			near := 400*time.Millisecond + time.Duration(i%2*2-1)*100*time.Millisecond
			for id, latency := range map[string]time.Duration{"near": near, "other": 100 * time.Millisecond} {
				b.byID[id].inFlight++
				b.Done(epoch, PickResult{member: b.byID[id], Upstream: b.byID[id].upstream}, DoneInfo{Latency: latency, Route: "r"})
			}
		}
		c, f := b.Pick(epoch, PickInfo{Route: "r", Remaining: 650 * time.Millisecond})
		require.Nil(t, f)
		require.Equal(t, locality, c.Locality, region)
		c, f = b.Pick(epoch, PickInfo{Route: "r", Remaining: time.Second})
		require.Nil(t, f)
		require.Equal(t, SameAvailabilityZone, c.Locality, "the remaining time is long enough")
	}
}

// TestRemainingTimeReducesLateRequests guards against picks that ignore the remaining time.
// Requests with a timeout of 1 s work for a random time before they call a service that is
// slow nearby. Picks by remaining time must make at least a quarter fewer requests late,
// and send less than a third of the calls to the other region.
func TestRemainingTimeReducesLateRequests(t *testing.T) {
	const n, limit = 4000, 1.0
	run := func(useRemaining bool) (late, crossRegion int) {
		b, rng, now := newSlowZoneBalancer(), rand.New(rand.NewPCG(1, 1)), epoch
		randomTime := func(mean float64) float64 { return mean * math.Exp(0.5*rng.NormFloat64()-0.125) }
		for range n {
			now = now.Add(20 * time.Millisecond)
			work := randomTime(0.25)
			if work >= limit {
				late++
				continue
			}
			r := PickInfo{Route: "r"}
			if useRemaining {
				r.Remaining = time.Duration((limit - work) * float64(time.Second))
			}
			c, f := b.Pick(now, r)
			require.Nil(t, f)
			latency := randomTime(0.4)
			if c.Locality == OtherRegion {
				crossRegion++
				latency = 0.024 + randomTime(0.18)
			}
			res := DoneInfo{Latency: time.Duration(latency * float64(time.Second)), Route: "r"}
			if work+latency > limit {
				late++
				res = DoneInfo{Latency: time.Duration((limit - work) * float64(time.Second)), Route: "r", Outcome: chain.Failed, Reason: chain.ReasonDeadline, TimedOut: true}
			}
			b.Done(now, c, res)
		}
		return late, crossRegion
	}
	lateWithout, _ := run(false)
	late, crossRegion := run(true)
	t.Logf("late requests of %d: %d without remaining time; %d with it, with %d calls to the other region", n, lateWithout, late, crossRegion)
	require.Less(t, late, 3*lateWithout/4)
	require.Less(t, crossRegion, n/3)
}

// TestFailingUpstreamIsAvoided guards against calls to a near upstream that fails or rejects
// many calls while its health checks pass: calls go to another region, except for the few
// that show its recovery. If all upstreams fail, the near one is used.
func TestFailingUpstreamIsAvoided(t *testing.T) {
	now := epoch
	run := func(b *Balancer, failureRatios map[string]float64, failure DoneInfo) (near, failed float64) {
		const n = 2000
		rng := rand.New(rand.NewPCG(1, 1))
		for range n {
			now = now.Add(20 * time.Millisecond)
			c, f := b.Pick(now, PickInfo{Route: "r", Remaining: time.Second})
			require.Nil(t, f)
			r := DoneInfo{Latency: 50 * time.Millisecond, Route: "r"}
			if rng.Float64() < failureRatios[c.Upstream.ID] {
				r = failure
				failed += 1.0 / n
			}
			b.Done(now, c, r)
			if c.Locality == SameAvailabilityZone {
				near += 1.0 / n
			}
		}
		return near, failed
	}
	rejected := DoneInfo{Latency: time.Millisecond, Outcome: chain.NotRun, Reason: chain.ReasonUpstreamRefused, Route: "r"}
	failed := DoneInfo{Latency: 50 * time.Millisecond, Outcome: chain.Failed, Reason: chain.ReasonHandlerError, Route: "r"}
	for _, failure := range []DoneInfo{rejected, failed, {Outcome: chain.Unknown, Reason: chain.ReasonTruncated, Latency: time.Millisecond, Route: "r"}} {
		b := newSlowZoneBalancer()
		near, failedRatio := run(b, map[string]float64{"near": 0.45}, failure)
		require.Less(t, near, 0.25, failure.Reason)
		require.Less(t, failedRatio, 0.12, failure.Reason)
		near, _ = run(b, nil, failure)
		require.Greater(t, near, 0.95, "the upstream has recovered")
		near, _ = run(newSlowZoneBalancer(), map[string]float64{"near": 0.05}, failure)
		require.Greater(t, near, 0.9, "retries make up for few failures")
	}
	near, _ := run(newSlowZoneBalancer(), map[string]float64{"near": 0.6, "far1": 0.6, "far2": 0.6}, rejected)
	require.Greater(t, near, 0.8, "no upstream is better")
	fromDependency := failed
	fromDependency.FromDependency = true
	near, _ = run(newSlowZoneBalancer(), map[string]float64{"near": 0.6}, fromDependency)
	require.Equal(t, 1.0, math.Round(near*100)/100, "a downstream dependency failed, as it would for other upstreams")
}

// TestDegradedUpstreamGetsProbesOnly guards against calls to an upstream that becomes twelve
// times slower for 8 s: except for the calls in flight when this shows, it gets only probes.
// Half of the late calls end as failures of a downstream dependency.
func TestDegradedUpstreamGetsProbesOnly(t *testing.T) {
	const limit, perSecond = time.Second, 20
	b, rng := newSlowZoneBalancer(), rand.New(rand.NewPCG(1, 1))
	var events simEvents
	now := epoch
	after := func(d time.Duration, do func()) { heap.Push(&events, simEvent{now.Add(d), do}) }
	late := 0
	var arrive func()
	arrive = func() {
		after(time.Second/perSecond, arrive)
		c, f := b.Pick(now, PickInfo{Route: "r", Remaining: limit})
		require.Nil(t, f)
		latency := time.Duration(300*math.Exp(0.3*rng.NormFloat64())) * time.Millisecond
		if s := now.Sub(epoch).Seconds(); c.Upstream.ID == "near" && s >= 5 && s < 13 {
			latency *= 12
		}
		r := DoneInfo{Latency: latency, Route: "r"}
		if latency > limit {
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
	t.Logf("%d of %d calls in the slow period are late", late, 8*perSecond)
	require.Less(t, late, 3*perSecond)
	c, _ := b.Pick(now, PickInfo{Route: "r", Remaining: limit})
	require.Equal(t, SameAvailabilityZone, c.Locality, "the upstream has recovered")
}
