package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWindowBoundsTheFleet guards the retry budget that all daemons share: in
// each span of the window's length, the repeats of all together stay within the
// share of the requests plus the slack, whatever the load does.
func TestWindowBoundsTheFleet(t *testing.T) {
	const daemons, slack, ratio, length = 24, 49.0, 0.2, 10 * time.Second
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var windows []*Window
		for range daemons {
			w := NewWindow(length, ratio)
			w.SetSlack(slack / daemons)
			windows = append(windows, w)
		}
		type event struct {
			at     time.Time
			repeat bool
		}
		type repeat struct {
			w       *Window
			arrives bool
		}
		var events []event
		var underway []repeat
		now := time.Unix(1000, 0)
		for range 4000 {
			now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
			w := windows[random.IntN(daemons)]
			if random.IntN(3) > 0 {
				w.Request(now)
				events = append(events, event{now, false})
			}
			for range random.IntN(4) {
				if w.Take(now) {
					underway = append(underway, repeat{w, random.IntN(4) > 0})
				}
			}
			for len(underway) > 0 && random.IntN(4) > 0 { // some take long, so many are on their way at once
				r := underway[0]
				underway = underway[1:]
				if r.arrives {
					events = append(events, event{now, true})
				}
				r.w.Settle(now, r.arrives)
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

// TestWindowForgets guards against a budget that stays spent.
func TestWindowForgets(t *testing.T) {
	w := NewWindow(10*time.Second, 0.2)
	now := time.Unix(1000, 0)
	for range 10 {
		w.Request(now)
	}
	for range 2 {
		require.True(t, w.Take(now))
		w.Settle(now, true)
	}
	require.False(t, w.Take(now))
	w.Charge(now, 3)
	now = now.Add(20 * time.Second)
	require.False(t, w.Take(now), "nothing was requested since")
	w.SetSlack(1)
	require.True(t, w.Take(now))
}

// TestRepeatThatDidNotArriveIsFree guards requests against a budget that is spent on
// repeats which no upstream ever got.
func TestRepeatThatDidNotArriveIsFree(t *testing.T) {
	w := NewWindow(10*time.Second, 0)
	w.SetSlack(1)
	now := time.Unix(1000, 0)
	require.True(t, w.Take(now))
	require.False(t, w.Take(now), "it is on its way")
	w.Settle(now, false)
	require.True(t, w.Take(now))
	w.Settle(now, true)
	require.False(t, w.Take(now))
}
