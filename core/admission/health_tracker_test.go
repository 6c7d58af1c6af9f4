package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// upstreamRuns plays runs at an upstream: each arrives after a random time and takes a
// random time, unless the upstream hangs.
type upstreamRuns struct {
	health  HealthTracker
	now     time.Time
	rng     *rand.Rand
	perS    float64
	mean    time.Duration
	hangs   bool
	faulty  float64
	long    float64 // part of the runs that belong to a route with runs of longMean
	ends    []runEnd
	refused int
	ran     int
}

// longMean is the mean time of the runs of the second route.
const longMean = 900 * time.Millisecond

type runEnd struct {
	at      time.Time
	route   string
	took    time.Duration
	verdict HealthSample
}

func newUpstreamRuns(perS float64, mean time.Duration) *upstreamRuns {
	return &upstreamRuns{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2)), perS: perS, mean: mean}
}

// play lets time pass in steps of a millisecond.
func (u *upstreamRuns) play(d time.Duration, spare bool) {
	for end := u.now.Add(d); u.now.Before(end); u.now = u.now.Add(time.Millisecond) {
		for i := 0; i < len(u.ends); i++ {
			if e := u.ends[i]; !e.at.After(u.now) {
				u.health.ExecutionEnded(u.now, e.route, e.took, e.verdict)
				u.ends = append(u.ends[:i], u.ends[i+1:]...)
				i--
			}
		}
		if u.rng.Float64() >= u.perS/1000 {
			continue
		}
		if !u.health.Allow(u.now, spare, true) {
			u.refused++
			continue
		}
		u.ran++
		route, mean, limit := "short", u.mean, time.Second
		if u.long > 0 && u.rng.Float64() < u.long {
			route, mean, limit = "long", longMean, 10*time.Second
		}
		u.health.ExecutionStarted(u.now, route)
		took, verdict := time.Duration(float64(mean)*math.Exp(0.8*u.rng.NormFloat64()-0.32)), SampleSuccess
		switch {
		case u.hangs || took > limit:
			took, verdict = limit, SampleIgnored
		case u.rng.Float64() < u.faulty:
			verdict = SampleFault
		}
		u.ends = append(u.ends, runEnd{u.now.Add(took), route, took, verdict})
	}
}

func (u *upstreamRuns) state() HealthState { return u.health.Status(u.now).State }

// TestHangingUpstreamIsNoticed guards callers against an upstream that takes requests
// and answers none: it is noticed within a second, five times the usual time of a run,
// and used again within three after it answers. Work of varying length, or twice as slow, does
// not look like that.
func TestHangingUpstreamIsNoticed(t *testing.T) {
	for _, perS := range []float64{15, 40, 200} {
		u := newUpstreamRuns(perS, 200*time.Millisecond)
		u.play(10*time.Second, true)
		require.Zero(t, u.refused, "work of varying length is no sign of a fault")
		u.mean *= 2
		u.play(5*time.Second, true)
		u.mean /= 2
		u.play(5*time.Second, true)
		require.Zero(t, u.refused, "slower work neither")
		u.hangs = true
		u.play(time.Second, true)
		require.Equal(t, Unresponsive, u.state(), perS)
		u.ran, u.refused = 0, 0
		u.play(4*time.Second, true)
		require.LessOrEqual(t, u.ran, 41, "only tries meet it")
		u.hangs = false
		u.play(3*time.Second, true)
		require.Equal(t, Healthy, u.state(), perS)
	}
}

// TestVaryingRunsAreNoHang guards upstreams whose runs vary much in length, with a route of
// long runs beside one of short ones: neither looks like missing answers.
func TestVaryingRunsAreNoHang(t *testing.T) {
	for seed := range uint64(20) {
		for _, perS := range []float64{15, 50, 200} {
			u := newUpstreamRuns(perS, 50*time.Millisecond)
			u.rng = rand.New(rand.NewPCG(seed, 3))
			u.long = 0.03
			u.play(20*time.Second, true)
			u.mean *= 2
			u.play(5*time.Second, true)
			require.Zero(t, u.refused, "seed %d, %v runs a second", seed, perS)
		}
	}
}

// TestQuietUpstreamIsHealthy guards upstreams that are seldom called, wait for calls of
// their own, or have just started: silence alone is no sign of a fault.
func TestQuietUpstreamIsHealthy(t *testing.T) {
	u := newUpstreamRuns(0.5, 200*time.Millisecond)
	u.play(2*time.Minute, true)
	require.Zero(t, u.refused)
	cold := newUpstreamRuns(100, 400*time.Millisecond)
	cold.play(time.Second, true)
	require.Zero(t, cold.refused)
}

// TestFailingUpstreamIsSpared guards callers against an upstream that fails much of what
// it gets: what others can take is refused there but for a few tries, and all of it
// comes back after a recovery. Few faults are left to repeats.
func TestFailingUpstreamIsSpared(t *testing.T) {
	u := newUpstreamRuns(100, 50*time.Millisecond)
	u.faulty = 0.05
	u.play(20*time.Second, true)
	require.Zero(t, u.refused)
	u.faulty = 0.8
	u.play(time.Second, true)
	require.Equal(t, Failing, u.state())
	u.ran, u.refused = 0, 0
	u.play(5*time.Second, true)
	require.LessOrEqual(t, u.ran, 51)
	u.play(time.Second, false)
	require.Greater(t, u.ran, 100, "what nobody else can take runs all the same")
	u.faulty = 0
	u.play(4*time.Second, true)
	require.Equal(t, Healthy, u.state())
}

// TestTriesPreferWhatMayBeRepeated guards requests that may not be repeated: a try that
// fails loses them.
func TestTriesPreferWhatMayBeRepeated(t *testing.T) {
	h, now := HealthTracker{}, time.Unix(1000, 0)
	for range 40 {
		h.ExecutionStarted(now, "r")
		h.ExecutionEnded(now, "r", time.Millisecond, SampleFault)
	}
	require.True(t, h.Allow(now, true, true))
	now = now.Add(tryRepeatable)
	require.False(t, h.Allow(now, true, false))
	require.True(t, h.Allow(now, true, true))
	require.True(t, h.Allow(now.Add(tryOther), true, false))
}
