package balance

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// The seed makes every run use the same schedules.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var (
	epoch    = time.Unix(1_000_000, 0)
	critical = PickInfo{Priority: chain.Critical.MinPriority(), BodyBytes: 1000}
	full     = &admission.LoadReport{Level: chain.MaxPriority - 1, Limit: 4, InFlight: 4, Queued: 8}
	ok       = DoneInfo{Latency: 10 * time.Millisecond}
	broken   = DoneInfo{Latency: time.Millisecond, Outcome: chain.Unknown, Reason: chain.ReasonUpstreamError}
)

// service has n upstreams in each tier as seen from zone s1 of region south.
func service(n int) []Upstream {
	var ups []Upstream
	for i := range n {
		ups = append(ups,
			Upstream{ID: fmt.Sprintf("near%d", i), Region: "south", AvailabilityZone: "s1", Slots: 4},
			Upstream{ID: fmt.Sprintf("next%d", i), Region: "south", AvailabilityZone: "s2", Slots: 4},
			Upstream{ID: fmt.Sprintf("far%d", i), Region: "north", AvailabilityZone: "n1", Slots: 4})
	}
	return ups
}

func balancer(links *LinkBudget, ups []Upstream) *Balancer {
	b := New(Config{Region: "south", AvailabilityZone: "s1", LinkBudget: links, Seed: 1})
	b.SetUpstreams(epoch, ups)
	return b
}

// report lets every upstream of the ids report the same.
func report(b *Balancer, now time.Time, r *admission.LoadReport, prefix string) {
	for _, m := range b.members {
		if len(m.up.ID) > len(prefix) && m.up.ID[:len(prefix)] == prefix {
			m.inFlight++
			b.Done(now, PickResult{Upstream: m.up, member: m}, DoneInfo{Outcome: chain.NotRun, Reason: chain.ReasonOverload, LoadReport: r})
		}
	}
}

// TestLocalities guards against leaving the availability zone while it has room,
// against staying when it is saturated, and against links without budget.
func TestLocalities(t *testing.T) {
	links := NewLinkBudget(LinkBudgetConfig{BytesPerSecond: 10_000})
	b := balancer(links, service(2))
	next := func(r PickInfo) (Locality, *chain.Failure) {
		c, f := b.Pick(epoch, r)
		if f == nil {
			b.Done(epoch, c, DoneInfo{Outcome: chain.NotRun, Reason: chain.ReasonCancelled, Bytes: r.BodyBytes})
		}
		return c.Locality, f
	}
	tier, _ := next(critical)
	require.Equal(t, SameAvailabilityZone, tier)
	report(b, epoch, full, "near")
	tier, _ = next(critical)
	require.Equal(t, SameRegion, tier)
	report(b, epoch, full, "next")
	for range 10 {
		tier, _ = next(critical)
		require.Equal(t, OtherRegion, tier)
	}
	tier, _ = next(critical)
	require.Equal(t, SameAvailabilityZone, tier, "no byte budget: the gate nearby decides")
	retry := critical
	retry.Retry = true
	_, f := b.Pick(epoch, retry)
	require.Equal(t, chain.ReasonOverload, f.Reason, "a retry needs an upstream with room")
	late := epoch.Add(admission.LevelTTL)
	c, f := b.Pick(late, critical)
	require.Nil(t, f)
	require.Equal(t, SameAvailabilityZone, c.Locality, "reports age")
}

// TestColdBeforeFar guards against calls to other regions while upstreams of
// this region have room but have just started.
func TestColdBeforeFar(t *testing.T) {
	ups := service(1)
	for i := range ups {
		ups[i].ServingSince = epoch
	}
	b := balancer(NewLinkBudget(LinkBudgetConfig{BytesPerSecond: 10_000}), ups)
	tiers := map[Locality]int{}
	for range 9 {
		c, _ := b.Pick(epoch, critical)
		tiers[c.Locality]++
	}
	require.Equal(t, map[Locality]int{SameAvailabilityZone: 4, SameRegion: 4, OtherRegion: 1}, tiers)
}

// TestRetriesLeaveLinkBudget guards against retries and background work that
// spend the link budget of first attempts of critical requests.
func TestRetriesLeaveLinkBudget(t *testing.T) {
	links := NewLinkBudget(LinkBudgetConfig{BytesPerSecond: 10_000})
	ups := service(1)[2:]
	ups[0].Slots = 0 // no bound but the budget
	b := balancer(links, ups)
	retry := critical
	retry.Retry = true
	count := func(r PickInfo) int {
		n := 0
		for f := (*chain.Failure)(nil); f == nil; n++ {
			_, f = b.Pick(epoch, r)
			require.True(t, f == nil || f.Outcome == chain.NotRun)
		}
		return n - 1
	}
	require.Equal(t, 5, count(retry))
	require.Equal(t, 0, count(PickInfo{Priority: chain.Sheddable.MinPriority(), BodyBytes: 1000}))
	require.Equal(t, 5, count(critical))
	require.EqualValues(t, 0, links.Available(epoch, "north"))
	closed := balancer(nil, service(1)[2:])
	_, f := closed.Pick(epoch, critical)
	require.Equal(t, chain.ReasonLinkBudget, f.Reason)
}

// TestLinkBytesBounded guards against more bytes on a link than the budget,
// beyond one underestimate.
func TestLinkBytesBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		links := NewLinkBudget(LinkBudgetConfig{BytesPerSecond: 1000, Burst: 5000})
		b := balancer(links, service(2)[2:3])
		now, used, largest := epoch, int64(0), int64(0)
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			c, f := b.Pick(now, PickInfo{Priority: critical.Priority, BodyBytes: rapid.Int64Range(0, 2000).Draw(t, "expected")})
			if f != nil {
				continue
			}
			bytes := rapid.Int64Range(0, 4000).Draw(t, "real")
			b.Done(now, c, DoneInfo{Bytes: bytes})
			used, largest = used+bytes, max(largest, bytes)
		}
		require.LessOrEqual(t, used, int64(5000+now.Sub(epoch).Seconds()*1000)+largest)
	})
}

// TestEjectionBounded guards against ejecting more than a third of a service or
// its last usable upstream, and against calls to draining or excluded ones.
func TestEjectionBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ups := service(rapid.IntRange(1, 4).Draw(t, "n"))
		b := balancer(nil, ups)
		now := epoch
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 30).Draw(t, "change") == 0 {
				ups = service(rapid.IntRange(1, 4).Draw(t, "n"))
				for i := range ups {
					ups[i].Draining = rapid.Bool().Draw(t, "draining")
				}
				b.SetUpstreams(now, ups)
			}
			exclude := []string{ups[rapid.IntRange(0, len(ups)-1).Draw(t, "exclude")].ID}
			if c, f := b.Pick(now, PickInfo{Exclude: exclude}); f == nil {
				require.False(t, c.Upstream.Draining)
				require.NotContains(t, exclude, c.Upstream.ID)
				b.Done(now, c, rapid.SampledFrom([]DoneInfo{ok, broken, broken, broken}).Draw(t, "result"))
			}
			var earliest *member
			ejected, usable := b.countEjected(now, &earliest)
			require.LessOrEqual(t, ejected, len(ups)/3)
			require.True(t, usable > 0 || ejected == 0)
		}
	})
}

// share returns the part of the calls that each upstream gets in a second with
// one call per millisecond, of which four are in flight at a time.
func share(b *Balancer, from time.Time, answer func(id string) DoneInfo) map[string]float64 {
	got := map[string]float64{}
	var pending []PickResult
	for i := range 1000 {
		now := from.Add(time.Duration(i) * time.Millisecond)
		c, _ := b.Pick(now, critical)
		got[c.Upstream.ID] += 0.001
		if pending = append(pending, c); len(pending) > 3 {
			b.Done(now, pending[0], answer(pending[0].Upstream.ID))
			pending = pending[1:]
		}
	}
	for _, c := range pending {
		b.Done(from.Add(time.Second), c, answer(c.Upstream.ID))
	}
	return got
}

// TestSuspectsGetLessAndReturn guards against fast failures that attract calls,
// and against an upstream that is avoided for ever after its recovery.
func TestSuspectsGetLessAndReturn(t *testing.T) {
	ups := service(2)
	b := balancer(nil, []Upstream{ups[0], ups[3]}) // two: none may be ejected
	got := share(b, epoch, func(id string) DoneInfo {
		if id == "near0" {
			return broken
		}
		return ok
	})
	require.Less(t, got["near0"], 0.1)
	require.Zero(t, b.byID["near0"].latency, "a failure is no sample of a fast answer")
	got = share(b, epoch.Add(time.Minute), func(string) DoneInfo { return ok })
	require.Greater(t, got["near0"], 0.3)
}

// TestEjectedReturnSlowly guards against an ejection without end and against
// full load right after it.
func TestEjectedReturnSlowly(t *testing.T) {
	ups := service(3)
	b := balancer(nil, []Upstream{ups[0], ups[3], ups[6]})
	for range 5 {
		b.byID["near0"].inFlight++
		b.Done(epoch, PickResult{member: b.byID["near0"]}, broken)
	}
	answer := func(string) DoneInfo { return ok }
	require.Zero(t, share(b, epoch, answer)["near0"])
	require.Less(t, share(b, epoch.Add(3*time.Second), answer)["near0"], 0.2)
	require.Greater(t, share(b, epoch.Add(30*time.Second), answer)["near0"], 0.2)
}

// TestCommonSlownessEjectsNone guards against losing a third of the capacity
// when a whole service misses deadlines in an overload.
func TestCommonSlownessEjectsNone(t *testing.T) {
	timeout := DoneInfo{Latency: time.Second, Outcome: chain.Unknown, Reason: chain.ReasonDeadline}
	count := func(failing int, r DoneInfo) int {
		b := balancer(nil, service(2))
		for range 20 {
			for _, m := range b.members[:failing] {
				m.inFlight++
				b.Done(epoch, PickResult{member: m}, r)
			}
		}
		var earliest *member
		ejected, _ := b.countEjected(epoch, &earliest)
		return ejected
	}
	require.Equal(t, 1, count(1, timeout))
	require.Equal(t, 2, count(2, timeout))
	require.Equal(t, 0, count(3, timeout))
	require.Equal(t, 0, count(6, timeout))
	require.Equal(t, 2, count(6, broken), "broken connections are no slowness")
}

// TestSlowStart guards against full load on an upstream that has just started.
func TestSlowStart(t *testing.T) {
	b := balancer(nil, service(2))
	now := epoch.Add(time.Minute)
	fresh := Upstream{ID: "new", Region: "south", AvailabilityZone: "s1", Slots: 4, ServingSince: epoch}
	b.SetUpstreams(now, append(service(2), fresh)) // an old start time grants nothing
	answer := func(string) DoneInfo { return ok }
	require.Less(t, share(b, now, answer)["new"], 0.1)
	require.Greater(t, share(b, now.Add(time.Minute), answer)["new"], 0.2)
}

// TestReportsGrantNothing guards against load reports that attract calls: any
// report leaves the cost of an upstream the same or raises it.
func TestReportsGrantNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := member{up: Upstream{Slots: 4}, inFlight: rapid.IntRange(0, 6).Draw(t, "in flight"), latency: 0.01}
		priority := chain.Priority(rapid.IntRange(0, int(chain.MaxPriority)-1).Draw(t, "priority"))
		cfg := Config{}.withDefaults()
		cost, saturated := m.cost(epoch, &cfg, 0.01), m.saturated(epoch, priority, 4)
		m.report = admission.LoadReport{
			Level:    chain.Priority(rapid.IntRange(0, int(chain.MaxPriority)).Draw(t, "level")),
			Limit:    rapid.IntRange(0, 1000).Draw(t, "limit"),
			InFlight: rapid.IntRange(0, 10).Draw(t, "reported"),
			Queued:   rapid.IntRange(0, 10).Draw(t, "queued"),
		}
		m.reportAt = epoch
		require.GreaterOrEqual(t, m.cost(epoch, &cfg, 0.01), cost)
		require.True(t, !saturated || m.saturated(epoch, priority, 4))
	})
}

// TestNoUpstream guards against a refusal while an upstream is left, and
// against a call to a draining one.
func TestNoUpstream(t *testing.T) {
	b := balancer(nil, service(1)[:1])
	c, f := b.Pick(epoch, critical)
	require.Nil(t, f)
	b.Done(epoch, c, DoneInfo{Outcome: chain.NotRun, Reason: chain.ReasonDraining})
	_, f = b.Pick(epoch, critical)
	require.Equal(t, chain.ReasonNoUpstream, f.Reason)
	require.Equal(t, chain.NotRun, f.Outcome)
}

func BenchmarkPickDone(b *testing.B) {
	lb := balancer(nil, service(8))
	b.ReportAllocs()
	for b.Loop() {
		c, _ := lb.Pick(epoch, critical)
		lb.Done(epoch, c, ok)
	}
}

// TestSlowUpstreamIsLeft guards calls against an upstream that answers many of
// them too late, though it has room: they go further away, but for the share that
// shows its recovery. Other routes stay, and so do all if nobody is faster.
func TestSlowUpstreamIsLeft(t *testing.T) {
	b := New(Config{Region: "r", AvailabilityZone: "z1"})
	now := time.Unix(1000, 0)
	b.SetUpstreams(now, []Upstream{
		{ID: "near", Region: "r", AvailabilityZone: "z1", Slots: 100}, {ID: "far", Region: "r", AvailabilityZone: "z2", Slots: 100},
	})
	call := func(route string, slow map[string]bool) string {
		now = now.Add(20 * time.Millisecond)
		c, f := b.Pick(now, PickInfo{Route: route, Remaining: time.Second})
		require.Nil(t, f)
		r := DoneInfo{Latency: 200 * time.Millisecond, Route: route}
		if slow[c.Upstream.ID] {
			r = DoneInfo{Latency: time.Second, Route: route, Outcome: chain.Unknown, Reason: chain.ReasonDeadline, TimedOut: true}
		}
		b.Done(now, c, r)
		return c.Upstream.ID
	}
	share := func(route string, slow map[string]bool) float64 {
		near := 0
		for range 1000 {
			if call(route, slow) == "near" {
				near++
			}
		}
		return float64(near) / 1000
	}
	require.Equal(t, 1.0, share("heavy", nil))
	require.Less(t, share("heavy", map[string]bool{"near": true}), 0.1)
	require.Equal(t, 1.0, share("light", nil))
	now = now.Add(10 * time.Second)
	require.Equal(t, 1.0, share("heavy", nil), "a recovered upstream is used again")
	require.Greater(t, share("heavy", map[string]bool{"near": true, "far": true}), 0.6, "if all are slow, the near one is used")
}
