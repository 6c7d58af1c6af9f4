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

// A fixed seed makes every run of the tests generate the same cases.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
}

var (
	epoch           = time.Unix(1_000_000, 0)
	critical        = PickInfo{Priority: chain.Critical.MinPriority(), BodyBytes: 1000}
	saturatedReport = &admission.LoadReport{Level: chain.NumPriorities - 1, Limit: 4, InFlight: 4, Queued: 8}
	okResult        = DoneInfo{Latency: 10 * time.Millisecond}
	failedResult    = DoneInfo{Latency: time.Millisecond, Outcome: chain.Unknown, Reason: chain.ReasonUpstreamError}
)

// testUpstreams returns n upstreams in each locality as seen from zone s1 of region south.
func testUpstreams(n int) []Upstream {
	var ups []Upstream
	for i := range n {
		ups = append(ups,
			Upstream{ID: fmt.Sprintf("near%d", i), Region: "south", AvailabilityZone: "s1", Slots: 4},
			Upstream{ID: fmt.Sprintf("next%d", i), Region: "south", AvailabilityZone: "s2", Slots: 4},
			Upstream{ID: fmt.Sprintf("far%d", i), Region: "north", AvailabilityZone: "n1", Slots: 4})
	}
	return ups
}

func newTestBalancer(links *LinkBudget, ups []Upstream) *Balancer {
	b := New(Config{Region: "south", AvailabilityZone: "s1", LinkBudget: links, Seed: 1})
	b.SetUpstreams(epoch, ups)
	return b
}

// reportLoad gives every upstream whose id begins with prefix the same load report.
func reportLoad(b *Balancer, now time.Time, r *admission.LoadReport, prefix string) {
	for _, m := range b.members {
		if len(m.upstream.ID) > len(prefix) && m.upstream.ID[:len(prefix)] == prefix {
			m.inFlight++
			b.Done(now, PickResult{Upstream: m.upstream, member: m}, DoneInfo{Outcome: chain.NotRun, Reason: chain.ReasonOverload, LoadReport: r})
		}
	}
}

// TestLocalities guards against calls that leave the availability zone while it has
// capacity, that stay when it is saturated, or that exceed the budget of a link.
func TestLocalities(t *testing.T) {
	links := NewLinkBudget(LinkBudgetConfig{BytesPerSecond: 10_000})
	b := newTestBalancer(links, testUpstreams(2))
	next := func(r PickInfo) (Locality, *chain.Failure) {
		c, f := b.Pick(epoch, r)
		if f == nil {
			b.Done(epoch, c, DoneInfo{Outcome: chain.NotRun, Reason: chain.ReasonCancelled, Bytes: r.BodyBytes})
		}
		return c.Locality, f
	}
	locality, _ := next(critical)
	require.Equal(t, SameAvailabilityZone, locality)
	reportLoad(b, epoch, saturatedReport, "near")
	locality, _ = next(critical)
	require.Equal(t, SameRegion, locality)
	reportLoad(b, epoch, saturatedReport, "next")
	for range 10 {
		locality, _ = next(critical)
		require.Equal(t, OtherRegion, locality)
	}
	locality, _ = next(critical)
	require.Equal(t, SameAvailabilityZone, locality, "without byte budget, the nearest admission controller decides")
	retry := critical
	retry.Retry = true
	_, f := b.Pick(epoch, retry)
	require.Equal(t, chain.ReasonOverload, f.Reason, "a retry needs an upstream with capacity")
	late := epoch.Add(admission.LevelTTL)
	c, f := b.Pick(late, critical)
	require.Nil(t, f)
	require.Equal(t, SameAvailabilityZone, c.Locality, "load reports expire")
}

// TestSlowStartBeforeOtherRegion guards against calls to other regions while upstreams of
// this region have capacity but are in slow start.
func TestSlowStartBeforeOtherRegion(t *testing.T) {
	ups := testUpstreams(1)
	for i := range ups {
		ups[i].ServingSince = epoch
	}
	b := newTestBalancer(NewLinkBudget(LinkBudgetConfig{BytesPerSecond: 10_000}), ups)
	counts := map[Locality]int{}
	for range 9 {
		c, _ := b.Pick(epoch, critical)
		counts[c.Locality]++
	}
	require.Equal(t, map[Locality]int{SameAvailabilityZone: 4, SameRegion: 4, OtherRegion: 1}, counts)
}

// TestRetriesKeepLinkReserve guards against retries and background work that use up the
// link budget for first attempts of critical requests.
func TestRetriesKeepLinkReserve(t *testing.T) {
	links := NewLinkBudget(LinkBudgetConfig{BytesPerSecond: 10_000})
	ups := testUpstreams(1)[2:]
	ups[0].Slots = 0 // limited by the link budget only
	b := newTestBalancer(links, ups)
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
	closed := newTestBalancer(nil, testUpstreams(1)[2:])
	_, f := closed.Pick(epoch, critical)
	require.Equal(t, chain.ReasonLinkBudget, f.Reason)
}

// TestLinkBytesBounded guards against calls that exceed the budget of a link by more than
// one underestimate.
func TestLinkBytesBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		links := NewLinkBudget(LinkBudgetConfig{BytesPerSecond: 1000, Burst: 5000})
		b := newTestBalancer(links, testUpstreams(2)[2:3])
		now, used, largest := epoch, int64(0), int64(0)
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			c, f := b.Pick(now, PickInfo{Priority: critical.Priority, BodyBytes: rapid.Int64Range(0, 2000).Draw(t, "expected")})
			if f != nil {
				continue
			}
			bytes := rapid.Int64Range(0, 4000).Draw(t, "used")
			b.Done(now, c, DoneInfo{Bytes: bytes})
			used, largest = used+bytes, max(largest, bytes)
		}
		require.LessOrEqual(t, used, int64(5000+now.Sub(epoch).Seconds()*1000)+largest)
	})
}

// TestEjectionLimit guards against the ejection of more than a third of a service or of its
// last usable upstream, and against calls to draining or excluded upstreams.
func TestEjectionLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ups := testUpstreams(rapid.IntRange(1, 4).Draw(t, "n"))
		b := newTestBalancer(nil, ups)
		now := epoch
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 30).Draw(t, "change") == 0 {
				ups = testUpstreams(rapid.IntRange(1, 4).Draw(t, "n"))
				for i := range ups {
					ups[i].Draining = rapid.Bool().Draw(t, "draining")
				}
				b.SetUpstreams(now, ups)
			}
			exclude := []string{ups[rapid.IntRange(0, len(ups)-1).Draw(t, "exclude")].ID}
			if c, f := b.Pick(now, PickInfo{Exclude: exclude}); f == nil {
				require.False(t, c.Upstream.Draining)
				require.NotContains(t, exclude, c.Upstream.ID)
				b.Done(now, c, rapid.SampledFrom([]DoneInfo{okResult, failedResult, failedResult, failedResult}).Draw(t, "result"))
			}
			var earliest *member
			ejected, usable := b.countEjected(now, &earliest)
			require.LessOrEqual(t, ejected, len(ups)/3)
			require.True(t, usable > 0 || ejected == 0)
		}
	})
}

// trafficFractions returns the fraction of the calls that each upstream gets in a second
// with one call per millisecond, of which four are in flight at a time.
func trafficFractions(b *Balancer, from time.Time, respond func(id string) DoneInfo) map[string]float64 {
	got := map[string]float64{}
	var pending []PickResult
	for i := range 1000 {
		now := from.Add(time.Duration(i) * time.Millisecond)
		c, _ := b.Pick(now, critical)
		got[c.Upstream.ID] += 0.001
		if pending = append(pending, c); len(pending) > 3 {
			b.Done(now, pending[0], respond(pending[0].Upstream.ID))
			pending = pending[1:]
		}
	}
	for _, c := range pending {
		b.Done(from.Add(time.Second), c, respond(c.Upstream.ID))
	}
	return got
}

// TestFailingUpstreamGetsFewCallsAndRecovers guards against fast failures that attract
// calls, and against an upstream that is still avoided after its recovery.
func TestFailingUpstreamGetsFewCallsAndRecovers(t *testing.T) {
	ups := testUpstreams(2)
	b := newTestBalancer(nil, []Upstream{ups[0], ups[3]}) // none of two may be ejected
	got := trafficFractions(b, epoch, func(id string) DoneInfo {
		if id == "near0" {
			return failedResult
		}
		return okResult
	})
	require.Less(t, got["near0"], 0.1)
	require.Zero(t, b.byID["near0"].latency, "a fast failure is not a latency sample")
	got = trafficFractions(b, epoch.Add(time.Minute), func(string) DoneInfo { return okResult })
	require.Greater(t, got["near0"], 0.3)
}

// TestSlowStartAfterEjection guards against an ejection that doesn't end and against full
// load right after it.
func TestSlowStartAfterEjection(t *testing.T) {
	ups := testUpstreams(3)
	b := newTestBalancer(nil, []Upstream{ups[0], ups[3], ups[6]})
	for range 5 {
		b.byID["near0"].inFlight++
		b.Done(epoch, PickResult{member: b.byID["near0"]}, failedResult)
	}
	respond := func(string) DoneInfo { return okResult }
	require.Zero(t, trafficFractions(b, epoch, respond)["near0"])
	require.Less(t, trafficFractions(b, epoch.Add(3*time.Second), respond)["near0"], 0.2)
	require.Greater(t, trafficFractions(b, epoch.Add(30*time.Second), respond)["near0"], 0.2)
}

// TestServiceWideSlownessEjectsNone guards against the loss of a third of the capacity when
// a whole service misses deadlines under overload.
func TestServiceWideSlownessEjectsNone(t *testing.T) {
	timeout := DoneInfo{Latency: time.Second, Outcome: chain.Unknown, Reason: chain.ReasonDeadline}
	count := func(failing int, r DoneInfo) int {
		b := newTestBalancer(nil, testUpstreams(2))
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
	require.Equal(t, 2, count(6, failedResult), "broken connections don't count as slowness")
}

// TestSlowStart guards against full load on an upstream that has just started.
func TestSlowStart(t *testing.T) {
	b := newTestBalancer(nil, testUpstreams(2))
	now := epoch.Add(time.Minute)
	added := Upstream{ID: "new", Region: "south", AvailabilityZone: "s1", Slots: 4, ServingSince: epoch}
	b.SetUpstreams(now, append(testUpstreams(2), added)) // an early start does not skip the slow start
	respond := func(string) DoneInfo { return okResult }
	require.Less(t, trafficFractions(b, now, respond)["new"], 0.1)
	require.Greater(t, trafficFractions(b, now.Add(time.Minute), respond)["new"], 0.2)
}

// TestLoadReportNeverLowersCost guards against load reports that attract calls: a report
// never lowers the cost of an upstream and never ends its saturation.
func TestLoadReportNeverLowersCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := member{upstream: Upstream{Slots: 4}, inFlight: rapid.IntRange(0, 6).Draw(t, "in flight"), latency: 0.01}
		priority := chain.Priority(rapid.IntRange(0, int(chain.NumPriorities)-1).Draw(t, "priority"))
		cfg := Config{}.withDefaults()
		cost, saturated := m.cost(epoch, &cfg, 0.01), m.saturated(epoch, priority, 4)
		m.loadReport = admission.LoadReport{
			Level:    chain.Priority(rapid.IntRange(0, int(chain.NumPriorities)).Draw(t, "level")),
			Limit:    rapid.IntRange(0, 1000).Draw(t, "limit"),
			InFlight: rapid.IntRange(0, 10).Draw(t, "reported"),
			Queued:   rapid.IntRange(0, 10).Draw(t, "queued"),
		}
		m.loadReportAt = epoch
		require.GreaterOrEqual(t, m.cost(epoch, &cfg, 0.01), cost)
		require.True(t, !saturated || m.saturated(epoch, priority, 4))
	})
}

// TestNoUpstream guards against a rejection while an upstream is usable, and against a call
// to a draining upstream.
func TestNoUpstream(t *testing.T) {
	b := newTestBalancer(nil, testUpstreams(1)[:1])
	c, f := b.Pick(epoch, critical)
	require.Nil(t, f)
	b.Done(epoch, c, DoneInfo{Outcome: chain.NotRun, Reason: chain.ReasonDraining})
	_, f = b.Pick(epoch, critical)
	require.Equal(t, chain.ReasonNoUpstream, f.Reason)
	require.Equal(t, chain.NotRun, f.Outcome)
}

func BenchmarkPickDone(b *testing.B) {
	lb := newTestBalancer(nil, testUpstreams(8))
	b.ReportAllocs()
	for b.Loop() {
		c, _ := lb.Pick(epoch, critical)
		lb.Done(epoch, c, okResult)
	}
}

// TestSlowUpstreamIsAvoided guards against calls to an upstream that misses many deadlines
// of a route although it has capacity. Calls of the route go to another availability zone,
// except for probes. Other routes stay, and all calls stay if no upstream is faster.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	b := New(Config{Region: "r", AvailabilityZone: "z1"})
	now := time.Unix(1000, 0)
	b.SetUpstreams(now, []Upstream{
		{ID: "near", Region: "r", AvailabilityZone: "z1", Slots: 100}, {ID: "far", Region: "r", AvailabilityZone: "z2", Slots: 100},
	})
	call := func(route string, slowIDs map[string]bool) string {
		now = now.Add(20 * time.Millisecond)
		c, f := b.Pick(now, PickInfo{Route: route, Remaining: time.Second})
		require.Nil(t, f)
		r := DoneInfo{Latency: 200 * time.Millisecond, Route: route}
		if slowIDs[c.Upstream.ID] {
			r = DoneInfo{Latency: time.Second, Route: route, Outcome: chain.Unknown, Reason: chain.ReasonDeadline, TimedOut: true}
		}
		b.Done(now, c, r)
		return c.Upstream.ID
	}
	nearFraction := func(route string, slowIDs map[string]bool) float64 {
		near := 0
		for range 1000 {
			if call(route, slowIDs) == "near" {
				near++
			}
		}
		return float64(near) / 1000
	}
	require.Equal(t, 1.0, nearFraction("heavy", nil))
	require.Less(t, nearFraction("heavy", map[string]bool{"near": true}), 0.1)
	require.Equal(t, 1.0, nearFraction("light", nil))
	now = now.Add(10 * time.Second)
	require.Equal(t, 1.0, nearFraction("heavy", nil), "a recovered upstream is used again")
	require.Greater(t, nearFraction("heavy", map[string]bool{"near": true, "far": true}), 0.6, "if all are slow, the nearest one is used")
}
