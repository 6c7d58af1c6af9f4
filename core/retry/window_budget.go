package retry

import (
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// windowBuckets is the resolution of a WindowBudget. The oldest bucket counts in full,
// so a window reaches back by up to one bucket more than its length.
const windowBuckets = 20

const (
	// lowestPart is the part of the budget that the least important requests may use.
	// More important ones may use more, the most important ones all of it.
	lowestPart = 0.9
	// levelWidth is the number of priorities that are counted together.
	levelWidth = 16
	levels     = int(chain.MaxPriority) / levelWidth
	// levelKeep is the weight of the requests by priority after one bucket more.
	levelKeep = 0.8
)

// WindowBudget limits the repeats towards one service to a share of the requests for
// it in a sliding window, plus a slack that all daemons of a fleet share. Daemons
// need not talk to each other: if each keeps to its own requests and its part of
// the slack, all of them together keep to the sum.
//
// While the budget is short, more important requests go first, as far as their priorities
// tell. It answers upstreams that refuse or fail at random: a request whose calls all need
// a repeat now and then ends well only if it gets them all, so a few requests get all of
// theirs in place of each one some.
type WindowBudget struct {
	mu       sync.Mutex
	ratio    float64
	slack    float64
	width    time.Duration // of a bucket
	at       int64         // number of the newest bucket
	requests [windowBuckets]float64
	repeats  [windowBuckets]float64
	reserved float64         // repeats on their way
	byLevel  [levels]float64 // requests by priority, fading
}

// NewWindowBudget returns a window of the given length. Ratio is the repeats that are
// allowed for each request.
func NewWindowBudget(length time.Duration, ratio float64) *WindowBudget {
	return &WindowBudget{ratio: ratio, width: max(length/(windowBuckets-1), time.Millisecond)}
}

// SetMinRetries sets this daemon's part of the repeats that are allowed regardless of
// the requests.
func (w *WindowBudget) SetMinRetries(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// RecordRequest counts a request that this daemon took in, not its repeats.
func (w *WindowBudget) RecordRequest(now time.Time, p chain.Priority) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance(now)]++
	w.byLevel[levelOf(p)]++
}

func levelOf(p chain.Priority) int { return int(min(p, chain.MaxPriority-1)) / levelWidth }

// part is the part of the budget that a request may use: the larger, the fewer requests
// are more important.
func (w *WindowBudget) part(p chain.Priority) float64 {
	all, upTo := 0.0, 0.0
	for level, n := range w.byLevel {
		all += n
		if level <= levelOf(p) {
			upTo += n
		}
	}
	if all == 0 {
		return 1
	}
	return lowestPart + (1-lowestPart)*upTo/all
}

// RecordRetries counts repeats that happened anyway, as the calls of a request that was
// itself repeated.
func (w *WindowBudget) RecordRetries(now time.Time, repeats float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.repeats[w.advance(now)] += repeats
}

// Reserve reserves one repeat of a request if the window allows it. Commit ends the reservation.
func (w *WindowBudget) Reserve(now time.Time, p chain.Priority) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if used, budget := sum(&w.repeats)+w.reserved, w.ratio*sum(&w.requests)+w.slack; used+1 > budget || used > budget*w.part(p) {
		return false
	}
	w.reserved++
	return true
}

// Commit counts a reserved repeat, or gives it back if it did not arrive: only what
// upstreams have to deal with is limited.
func (w *WindowBudget) Commit(now time.Time, arrived bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reserved--
	if arrived {
		w.repeats[w.advance(now)]++
	}
}

// Usage returns the requests and repeats in the window, those on their way included.
func (w *WindowBudget) Usage(now time.Time) (requests, repeats float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return sum(&w.requests), sum(&w.repeats) + w.reserved
}

// advance empties the buckets that are over and returns the present one.
func (w *WindowBudget) advance(now time.Time) int {
	n := now.UnixNano() / int64(w.width)
	if n-w.at >= windowBuckets {
		w.requests, w.repeats = [windowBuckets]float64{}, [windowBuckets]float64{}
		w.byLevel = [levels]float64{}
		w.at = n
	}
	for w.at < n {
		w.at++
		i := w.at % windowBuckets
		w.requests[i], w.repeats[i] = 0, 0
		for level := range w.byLevel {
			w.byLevel[level] *= levelKeep
		}
	}
	return int(w.at % windowBuckets)
}

func sum(buckets *[windowBuckets]float64) float64 {
	total := 0.0
	for _, n := range buckets {
		total += n
	}
	return total
}
