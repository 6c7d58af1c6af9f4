package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// TestWindowBudgetBoundsFleet verifies the retry budget that all daemons share: in any time span
// of the window's length, the retries of all daemons together stay within the ratio of the
// requests plus the minimum retries, whatever the load.
func TestWindowBudgetBoundsFleet(t *testing.T) {
	const daemons, minRetries, ratio, length = 24, 49.0, 0.2, 10 * time.Second
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var windows []*WindowBudget
		for range daemons {
			w := NewWindowBudget(length, ratio)
			w.SetMinRetries(minRetries / daemons)
			windows = append(windows, w)
		}
		type event struct {
			at    time.Time
			retry bool
		}
		type retry struct {
			w         *WindowBudget
			delivered bool
		}
		var events []event
		var pending []retry
		now := time.Unix(1000, 0)
		for range 4000 {
			now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
			w := windows[random.IntN(daemons)]
			if random.IntN(3) > 0 {
				w.RecordRequest(now, 0)
				events = append(events, event{now, false})
			}
			for range random.IntN(4) {
				if w.Reserve(now, 0) {
					pending = append(pending, retry{w, random.IntN(4) > 0})
				}
			}
			for len(pending) > 0 && random.IntN(4) > 0 { // some take long, so many are reserved at the same time
				r := pending[0]
				pending = pending[1:]
				if r.delivered {
					events = append(events, event{now, true})
				}
				r.w.EndReservation(now, r.delivered)
			}
		}
		for i, last := range events {
			requests, retries := 0.0, 0.0
			for _, e := range events[:i+1] {
				if last.at.Sub(e.at) > length {
					continue
				}
				if e.retry {
					retries++
				} else {
					requests++
				}
			}
			// The oldest bucket may count requests that are older than the span.
			require.LessOrEqual(t, retries, ratio*(requests+float64(daemons))+minRetries+1, "seed %d", seed)
		}
	}
}

// TestWindowBudgetRefills guards against a budget that stays spent.
func TestWindowBudgetRefills(t *testing.T) {
	w := NewWindowBudget(10*time.Second, 0.2)
	now := time.Unix(1000, 0)
	for range 10 {
		w.RecordRequest(now, 0)
	}
	for range 2 {
		require.True(t, w.Reserve(now, 0))
		w.EndReservation(now, true)
	}
	require.False(t, w.Reserve(now, 0))
	w.RecordRetries(now, 3)
	now = now.Add(20 * time.Second)
	require.False(t, w.Reserve(now, 0), "there were no requests since")
	w.SetMinRetries(1)
	require.True(t, w.Reserve(now, 0))
}

// TestUndeliveredRetryIsNotCounted guards against a budget that is spent on retries that no
// upstream received.
func TestUndeliveredRetryIsNotCounted(t *testing.T) {
	w := NewWindowBudget(10*time.Second, 0)
	w.SetMinRetries(1)
	now := time.Unix(1000, 0)
	require.True(t, w.Reserve(now, 0))
	require.False(t, w.Reserve(now, 0), "the first retry is reserved")
	w.EndReservation(now, false)
	require.True(t, w.Reserve(now, 0))
	w.EndReservation(now, true)
	require.False(t, w.Reserve(now, 0))
}

// simulateRequests simulates requests of four calls, one after the other, to a service whose
// upstreams reject at random. A call is retried at most once. It returns the ratios of successful
// critical requests and of successful other requests. If byPriority is false, all calls have the
// same priority.
func simulateRequests(rejectRatio float64, byPriority bool) (critical, others float64) {
	w, rng := NewWindowBudget(10*time.Second, 0.2), rand.New(rand.NewPCG(1, 9))
	w.SetMinRetries(2)
	now := time.Unix(1000, 0)
	offered, succeeded := [2]float64{}, [2]float64{}
	for range 6000 {
		now = now.Add(10 * time.Millisecond)
		kind, class := 0, chain.Default
		if rng.IntN(3) == 0 {
			kind, class = 1, chain.Critical
		}
		p := class.MinPriority() + chain.Priority(rng.IntN(128))
		offered[kind]++
		ok := true
		for call := 0; call < 4 && ok; call++ {
			if !byPriority {
				p = chain.Default.MinPriority()
			}
			w.RecordRequest(now, p)
			ok = rng.Float64() >= rejectRatio
			if !ok && w.Reserve(now, p) {
				w.EndReservation(now, true)
				ok = rng.Float64() >= rejectRatio
			}
		}
		if ok {
			succeeded[kind]++
		}
	}
	return succeeded[1] / offered[1], succeeded[0] / offered[0]
}

// TestRetriesPreferHigherPriority verifies that critical requests get the retries that they need
// if upstreams reject at random and the budget is short, at the cost of other requests, and that
// the total of successful requests stays above 90% of that with equal priorities. While the budget
// suffices, the other requests succeed as often as with equal priorities.
func TestRetriesPreferHigherPriority(t *testing.T) {
	for _, rejectRatio := range []float64{0.1, 0.3, 0.4, 0.55} {
		criticalEqual, othersEqual := simulateRequests(rejectRatio, false)
		critical, others := simulateRequests(rejectRatio, true)
		t.Logf("rejected %.2f: successful critical requests %.2f and others %.2f with equal priorities, %.2f and %.2f by priority", rejectRatio, criticalEqual, othersEqual, critical, others)
		require.GreaterOrEqual(t, critical+2*others, 0.9*(criticalEqual+2*othersEqual))
		if rejectRatio > 0.2 {
			require.Greater(t, critical, 1.2*criticalEqual)
			require.Positive(t, others)
		} else {
			require.InDelta(t, othersEqual, others, 0.02)
		}
	}
}
