package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// gradientLimiter is an alternative for BenchmarkLimiters: the limit follows the ratio of the
// long-term mean latency to the short-term one, plus a constant allowance for queued requests.
type gradientLimiter struct{ limit, long, short, max float64 }

func (g *gradientLimiter) current() int                { return int(g.limit) }
func (*gradientLimiter) begin(time.Time, *entry, bool) {}
func (g *gradientLimiter) end(_ time.Time, _ *entry, r ExecutionResult) {
	v := r.SelfTime.Seconds()
	if g.long == 0 {
		g.long, g.short = v, v
	}
	g.long += (v - g.long) / 600
	g.short += (v - g.short) / 20
	gradient := min(1, max(0.5, 1.5*g.long/g.short))
	g.limit += (g.limit*gradient + 4 - g.limit) * 0.05
	g.limit = min(max(g.limit, 1), g.max)
}

// climbLimiter is an alternative for BenchmarkLimiters (hill climbing): it changes the limit by a
// tenth per window and reverses the direction when the throughput of the window did not follow.
type climbLimiter struct {
	limit, direction, former, max float64
	from                          time.Time
	done                          int
}

func (c *climbLimiter) current() int                { return int(c.limit) }
func (*climbLimiter) begin(time.Time, *entry, bool) {}
func (c *climbLimiter) end(now time.Time, _ *entry, _ ExecutionResult) {
	if c.done++; c.done < 4*int(c.limit) {
		return
	}
	throughput := float64(c.done) / now.Sub(c.from).Seconds()
	grew := throughput > c.former*1.05
	shrank := throughput < c.former*0.95
	if (c.direction > 0 && !grew) || (c.direction < 0 && shrank) {
		c.direction = -c.direction
	}
	c.former, c.done, c.from = throughput, 0, now
	c.limit = min(max(c.limit*(1+0.1*c.direction), 1), c.max)
}

var limiterVariants = map[string]func(Config) limiter{
	"fixed":    func(c Config) limiter { return fixedLimiter(c.Slots) },
	"gradient": func(c Config) limiter { return &gradientLimiter{limit: float64(c.Slots), max: 4 * float64(c.Slots)} },
	"climb": func(c Config) limiter {
		return &climbLimiter{limit: float64(c.Slots), direction: 1, max: 4 * float64(c.Slots)}
	},
	"probe": func(c Config) limiter { return newProbeLimiter(c.withDefaults()) },
}

func controllerWith(name string) *Controller {
	cfg := Config{Slots: 35}
	c := NewController(cfg)
	c.limiter = limiterVariants[name](cfg)
	return c
}

// valueDuring returns high within [from, to) and low otherwise.
func valueDuring[T any](from, to time.Duration, high, low T) func(time.Duration) T {
	return func(at time.Duration) T {
		if at >= from && at < to {
			return high
		}
		return low
	}
}

func constant[T any](v T) func(time.Duration) T { return func(time.Duration) T { return v } }

const sec = time.Second

// overloadScenario is failure F1 of docs/design.md: for ten seconds, the service time is five times
// and the demand three times as high, and callers retry three times at once. The upstream has 35
// slots and can serve 1750 requests/s, and 350 during the overload.
func overloadScenario(c *Controller, noise float64) *scenario {
	return &scenario{controller: c, noise: noise, retries: 3, deadline: 500 * time.Millisecond, length: 20 * sec,
		slots:   constant(35),
		service: valueDuring(5*sec, 15*sec, 100*time.Millisecond, 20*time.Millisecond),
		rate:    valueDuring(5*sec, 15*sec, 3000.0, 1000.0)}
}

// slotMismatch simulates an upstream whose real concurrency differs from the declared 35.
func slotMismatch(c *Controller, realSlots int, noise, rate float64) *scenario {
	return &scenario{controller: c, noise: noise, deadline: 500 * time.Millisecond, length: 20 * sec,
		slots: constant(realSlots), service: constant(20 * time.Millisecond), rate: constant(rate)}
}

// TestOverloadRecovery verifies that an overload neither wastes the capacity of the upstream nor
// outlasts its cause, that no lower class is served while a higher one is rejected, and that the
// limit does not mistake a slower service for internal queueing.
func TestOverloadRecovery(t *testing.T) {
	for _, noise := range []float64{0, 0.3} {
		s := overloadScenario(controllerWith("probe"), noise).run()
		served := sum(s.good, chain.Sheddable, 6, 15)
		require.GreaterOrEqual(t, served, 9*350*9/10, "goodput during the overload, noise %v", noise)
		require.Zero(t, served-sum(s.good, chain.Critical, 6, 15), "critical requests alone exceed the capacity")
		require.Zero(t, s.rejected[17]+s.rejected[18], "rejections from two seconds after the overload")
		require.GreaterOrEqual(t, sum(s.good, 0, 17, 19), sum(s.offered, 0, 17, 19)*95/100)
		require.Zero(t, s.controller.LoadReport(s.now).Level)
		require.GreaterOrEqual(t, mean(s.limits[6:15]), 0.9*35, "%v", s.limits)
	}
}

// TestHeadroomKeepsThroughput verifies that headroom raises the throughput of an upstream that is
// a third slower when all its slots are in use. The load is 1.4 times what the upstream serves,
// and the client timeout is four times the service time.
func TestHeadroomKeepsThroughput(t *testing.T) {
	served := func(slots int, headroom, slowdown float64) int {
		s := &scenario{
			controller: NewController(Config{Slots: slots, FixedLimit: true, HeadroomRatio: headroom, MaxQueue: 8 * slots, MinRemainingRatio: 0.5}),
			slots:      constant(slots), service: constant(50 * time.Millisecond), noise: 0.5,
			slowdown: func(busy int) float64 {
				if float64(busy) > 0.95*float64(slots) {
					return slowdown
				}
				return 1
			},
			rate: constant(1.4 * float64(slots) / 0.05), deadline: 200 * time.Millisecond, length: 20 * time.Second, seed: 1,
		}
		return sum(s.run().good, chain.Sheddable, 2, 20)
	}
	for _, slots := range []int{11, 27, 63} {
		with, without, all := served(slots, 0.05, 1.3), served(slots, 0, 1.3), served(slots, 0, 1)
		t.Logf("%d slots: %d with headroom, %d without, %d without slowdown", slots, with, without, all)
		require.Greater(t, with, without)
		used := float64(Config{Slots: slots, HeadroomRatio: 0.05}.fixedLimit()) / float64(slots)
		require.GreaterOrEqual(t, float64(with), 0.95*used*float64(all), "the throughput is proportional to the slots in use")
	}
	require.Equal(t, served(4, 0, 1), served(4, 0.05, 1), "no headroom with few slots")
}

// TestLimitConvergesToRealSlots guards against a limit that stays at a wrong declaration: too
// high, requests queue inside the upstream; too low, its capacity stays idle.
func TestLimitConvergesToRealSlots(t *testing.T) {
	for _, noise := range []float64{0, 0.3} {
		low := slotMismatch(controllerWith("probe"), 12, noise, 1500).run()
		require.InDelta(t, 12, mean(low.limits[8:]), 3, "%v", low.limits)
		high := slotMismatch(controllerWith("probe"), 70, noise, 4500).run()
		require.InDelta(t, 70, mean(high.limits[8:]), 14, "%v", high.limits)
	}
}

// TestLimitRecovers guards against a limit that stays low after the upstream has its slots again.
func TestLimitRecovers(t *testing.T) {
	s := slotMismatch(controllerWith("probe"), 0, 0.3, 2500)
	s.slots = valueDuring(4*sec, 10*sec, 12, 35)
	s.run()
	require.Less(t, mean(s.limits[8:10]), 18.0, "%v", s.limits)
	require.Greater(t, mean(s.limits[15:]), 30.0, "%v", s.limits)
}

// TestLimitOfFailingUpstream guards against a limit that does not recover after the requests of
// an upstream have failed, and against one that halves the throughput of an upstream that misses
// deadlines under overload.
func TestLimitOfFailingUpstream(t *testing.T) {
	limiter := newProbeLimiter(Config{Slots: 20}.withDefaults())
	start := limiter.current()
	for i := range 200 {
		limiter.end(simEpoch, &entry{}, ExecutionResult{Cancelled: true})
		limiter.end(simEpoch, &entry{}, ExecutionResult{Succeeded: i%5 == 0})
	}
	require.Equal(t, start, limiter.current(), "missed deadlines under overload")
	for range 200 {
		limiter.end(simEpoch, &entry{}, ExecutionResult{})
	}
	require.Less(t, limiter.current(), start)
	for range 200 {
		limiter.end(simEpoch, &entry{}, ExecutionResult{Succeeded: true})
	}
	require.Equal(t, start, limiter.current())
}

// BenchmarkLimiters reports the figures of docs/design.md, in simulated time:
//
//	go test -run - -bench Limiters -benchtime 1x ./core/admission
func BenchmarkLimiters(b *testing.B) {
	for _, name := range []string{"fixed", "gradient", "climb", "probe"} {
		for _, noise := range []float64{0, 0.3, 1} {
			b.Run(fmt.Sprintf("%s/noise=%v", name, noise), func(b *testing.B) {
				for range b.N {
					reportLimiter(b, name, noise)
				}
			})
		}
	}
}

// reportLimiter reports the means over five seeds.
func reportLimiter(b *testing.B, name string, noise float64) {
	totals := map[string]float64{}
	const seeds = 5
	for seed := range uint64(seeds) {
		run := func(s *scenario, from, to, capacity int) (limit, goodput float64) {
			s.seed = seed
			s.run()
			return mean(s.limits[from:]) / seeds, 100 * float64(sum(s.good, 0, from, to)) / float64((to-from)*capacity) / seeds
		}
		f1 := overloadScenario(controllerWith(name), noise)
		_, goodput := run(f1, 6, 15, 350)
		totals["F1-goodput%"] += goodput
		totals["F1-slowest-ms-after-2s"] = max(totals["F1-slowest-ms-after-2s"], float64(f1.slowest[17].Milliseconds()))
		limit, goodput := run(slotMismatch(controllerWith(name), 12, noise, 1500), 10, 20, 600)
		totals["limit-of-12"] += limit
		totals["goodput%-of-12"] += goodput
		limit, goodput = run(slotMismatch(controllerWith(name), 70, noise, 4500), 10, 20, 3500)
		totals["limit-of-70"] += limit
		totals["goodput%-of-70"] += goodput
	}
	b.ReportMetric(0, "ns/op")
	for unit, value := range totals {
		b.ReportMetric(value, unit)
	}
}

func mean(values []int) float64 {
	total := 0
	for _, v := range values {
		total += v
	}
	return float64(total) / float64(len(values))
}
