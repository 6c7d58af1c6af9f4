package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// upstreamSim simulates executions at an upstream: each starts after a random time and takes a
// random time, unless the upstream hangs.
type upstreamSim struct {
	health     HealthTracker
	now        time.Time
	rng        *rand.Rand
	rate       float64       // requests per second
	mean       time.Duration // mean execution time
	hanging    bool
	faultRatio float64
	longRatio  float64 // ratio of executions on a route with the mean execution time longMean
	ends       []executionEnd
	rejected   int
	executed   int
}

// longMean is the mean execution time of the route "long".
const longMean = 900 * time.Millisecond

type executionEnd struct {
	at     time.Time
	route  string
	took   time.Duration
	sample HealthSample
}

func newUpstreamSim(rate float64, mean time.Duration) *upstreamSim {
	return &upstreamSim{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2)), rate: rate, mean: mean}
}

// simulate advances the time in steps of a millisecond.
func (u *upstreamSim) simulate(d time.Duration, alternative bool) {
	for end := u.now.Add(d); u.now.Before(end); u.now = u.now.Add(time.Millisecond) {
		for i := 0; i < len(u.ends); i++ {
			if e := u.ends[i]; !e.at.After(u.now) {
				u.health.ExecutionEnded(u.now, e.route, e.took, e.sample)
				u.ends = append(u.ends[:i], u.ends[i+1:]...)
				i--
			}
		}
		if u.rng.Float64() >= u.rate/1000 {
			continue
		}
		if !u.health.Allow(u.now, alternative, true) {
			u.rejected++
			continue
		}
		u.executed++
		route, mean, timeout := "short", u.mean, time.Second
		if u.longRatio > 0 && u.rng.Float64() < u.longRatio {
			route, mean, timeout = "long", longMean, 10*time.Second
		}
		u.health.ExecutionStarted(u.now, route)
		duration, sample := time.Duration(float64(mean)*math.Exp(0.8*u.rng.NormFloat64()-0.32)), SampleSuccess
		switch {
		case u.hanging || duration > timeout:
			duration, sample = timeout, SampleIgnored
		case u.rng.Float64() < u.faultRatio:
			sample = SampleFault
		}
		u.ends = append(u.ends, executionEnd{u.now.Add(duration), route, duration, sample})
	}
}

func (u *upstreamSim) state() HealthState { return u.health.Status(u.now).State }

// TestHangingUpstreamDetected verifies that an upstream that accepts requests and never responds
// is detected within a second, five times the mean execution time, and used again within three
// seconds after it responds. Execution times that vary or double do not count as hanging.
func TestHangingUpstreamDetected(t *testing.T) {
	for _, rate := range []float64{15, 40, 200} {
		u := newUpstreamSim(rate, 200*time.Millisecond)
		u.simulate(10*time.Second, true)
		require.Zero(t, u.rejected, "varying execution times are no fault")
		u.mean *= 2
		u.simulate(5*time.Second, true)
		u.mean /= 2
		u.simulate(5*time.Second, true)
		require.Zero(t, u.rejected, "a slower upstream is no fault")
		u.hanging = true
		u.simulate(time.Second, true)
		require.Equal(t, Unresponsive, u.state(), rate)
		u.executed, u.rejected = 0, 0
		u.simulate(4*time.Second, true)
		require.LessOrEqual(t, u.executed, 41, "it gets only probes")
		u.hanging = false
		u.simulate(3*time.Second, true)
		require.Equal(t, Healthy, u.state(), rate)
	}
}

// TestVaryingExecutionTimesAreHealthy verifies that execution times that vary much, with a route
// of long executions and one of short ones, do not look like overdue responses.
func TestVaryingExecutionTimesAreHealthy(t *testing.T) {
	for seed := range uint64(20) {
		for _, rate := range []float64{15, 50, 200} {
			u := newUpstreamSim(rate, 50*time.Millisecond)
			u.rng = rand.New(rand.NewPCG(seed, 3))
			u.longRatio = 0.03
			u.simulate(20*time.Second, true)
			u.mean *= 2
			u.simulate(5*time.Second, true)
			require.Zero(t, u.rejected, "seed %d, %v requests per second", seed, rate)
		}
	}
}

// TestIdleUpstreamIsHealthy verifies that upstreams with few requests, with long waits for
// dependencies, or just started stay healthy: the absence of responses alone is no fault.
func TestIdleUpstreamIsHealthy(t *testing.T) {
	u := newUpstreamSim(0.5, 200*time.Millisecond)
	u.simulate(2*time.Minute, true)
	require.Zero(t, u.rejected)
	cold := newUpstreamSim(100, 400*time.Millisecond)
	cold.simulate(time.Second, true)
	require.Zero(t, cold.rejected)
}

// TestFailingUpstreamGetsOnlyProbes verifies that an upstream that fails most requests gets only
// probes while another upstream can take the others, and all requests again after its recovery. A
// low fault ratio is left to retries.
func TestFailingUpstreamGetsOnlyProbes(t *testing.T) {
	u := newUpstreamSim(100, 50*time.Millisecond)
	u.faultRatio = 0.05
	u.simulate(20*time.Second, true)
	require.Zero(t, u.rejected)
	u.faultRatio = 0.8
	u.simulate(time.Second, true)
	require.Equal(t, Failing, u.state())
	u.executed, u.rejected = 0, 0
	u.simulate(5*time.Second, true)
	require.LessOrEqual(t, u.executed, 51)
	u.simulate(time.Second, false)
	require.Greater(t, u.executed, 100, "requests without an alternative are allowed")
	u.faultRatio = 0
	u.simulate(4*time.Second, true)
	require.Equal(t, Healthy, u.state())
}

// TestProbesPreferIdempotentRequests verifies that an unhealthy upstream gets fewer
// non-idempotent requests as probes: a probe that fails is lost, as it cannot be retried.
func TestProbesPreferIdempotentRequests(t *testing.T) {
	h, now := HealthTracker{}, time.Unix(1000, 0)
	for range 40 {
		h.ExecutionStarted(now, "r")
		h.ExecutionEnded(now, "r", time.Millisecond, SampleFault)
	}
	require.True(t, h.Allow(now, true, true))
	now = now.Add(probeIntervalIdempotent)
	require.False(t, h.Allow(now, true, false))
	require.True(t, h.Allow(now, true, true))
	require.True(t, h.Allow(now.Add(probeInterval), true, false))
}
