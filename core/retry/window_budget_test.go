package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// TestWindowBudgetBoundsTheFleet guards the retry budget that all daemons share: in
// each span of the window's length, the repeats of all together stay within the
// share of the requests plus the slack, whatever the load does.
func TestWindowBudgetBoundsTheFleet(t *testing.T) {
	const daemons, slack, ratio, length = 24, 49.0, 0.2, 10 * time.Second
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var windows []*WindowBudget
		for range daemons {
			w := NewWindowBudget(length, ratio)
			w.SetMinRetries(slack / daemons)
			windows = append(windows, w)
		}
		type event struct {
			at     time.Time
			repeat bool
		}
		type repeat struct {
			w       *WindowBudget
			arrives bool
		}
		var events []event
		var underway []repeat
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
					underway = append(underway, repeat{w, random.IntN(4) > 0})
				}
			}
			for len(underway) > 0 && random.IntN(4) > 0 { // some take long, so many are on their way at once
				r := underway[0]
				underway = underway[1:]
				if r.arrives {
					events = append(events, event{now, true})
				}
				r.w.Commit(now, r.arrives)
			}
		}
		for i, last := range events {
			requests, repeats := 0.0, 0.0
			for _, e := range events[:i+1] {
				if last.at.Sub(e.at) > length {
					continue
				}
				if e.repeat {
					repeats++
				} else {
					requests++
				}
			}
			// The oldest bucket may count requests that the span has left.
			require.LessOrEqual(t, repeats, ratio*(requests+float64(daemons))+slack+1, "seed %d", seed)
		}
	}
}

// TestWindowBudgetForgets guards against a budget that stays spent.
func TestWindowBudgetForgets(t *testing.T) {
	w := NewWindowBudget(10*time.Second, 0.2)
	now := time.Unix(1000, 0)
	for range 10 {
		w.RecordRequest(now, 0)
	}
	for range 2 {
		require.True(t, w.Reserve(now, 0))
		w.Commit(now, true)
	}
	require.False(t, w.Reserve(now, 0))
	w.RecordRetries(now, 3)
	now = now.Add(20 * time.Second)
	require.False(t, w.Reserve(now, 0), "nothing was requested since")
	w.SetMinRetries(1)
	require.True(t, w.Reserve(now, 0))
}

// TestRepeatThatDidNotArriveIsFree guards requests against a budget that is spent on
// repeats which no upstream ever got.
func TestRepeatThatDidNotArriveIsFree(t *testing.T) {
	w := NewWindowBudget(10*time.Second, 0)
	w.SetMinRetries(1)
	now := time.Unix(1000, 0)
	require.True(t, w.Reserve(now, 0))
	require.False(t, w.Reserve(now, 0), "it is on its way")
	w.Commit(now, false)
	require.True(t, w.Reserve(now, 0))
	w.Commit(now, true)
	require.False(t, w.Reserve(now, 0))
}

// wholeRequests plays requests of four calls, one after the other, at a service whose
// upstreams refuse at random. A call may be made twice. It returns the shares of bookings
// and of other requests that end well.
func wholeRequests(refusal float64, known bool) (bookings, others float64) {
	w, rng := NewWindowBudget(10*time.Second, 0.2), rand.New(rand.NewPCG(1, 9))
	w.SetMinRetries(2)
	now := time.Unix(1000, 0)
	offered, whole := [2]float64{}, [2]float64{}
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
			if !known {
				p = chain.Default.MinPriority()
			}
			w.RecordRequest(now, p)
			ok = rng.Float64() >= refusal
			if !ok && w.Reserve(now, p) {
				w.Commit(now, true)
				ok = rng.Float64() >= refusal
			}
		}
		if ok {
			whole[kind]++
		}
	}
	return whole[1] / offered[1], whole[0] / offered[0]
}

// TestImportantRequestsAreRepeatedFirst guards bookings against random refusals: while the
// budget is short they get the repeats that they need, at the cost of less important
// requests, and as many requests end well in all. While it is not short nobody loses.
func TestImportantRequestsAreRepeatedFirst(t *testing.T) {
	for _, refusal := range []float64{0.1, 0.3, 0.4, 0.55} {
		bookingsAlike, othersAlike := wholeRequests(refusal, false)
		bookings, others := wholeRequests(refusal, true)
		t.Logf("refused %.2f: whole bookings %.2f and others %.2f if all are alike, %.2f and %.2f by priority", refusal, bookingsAlike, othersAlike, bookings, others)
		require.GreaterOrEqual(t, bookings+2*others, 0.9*(bookingsAlike+2*othersAlike))
		if refusal > 0.2 {
			require.Greater(t, bookings, 1.2*bookingsAlike)
			require.Positive(t, others)
		} else {
			require.InDelta(t, othersAlike, others, 0.02)
		}
	}
}
