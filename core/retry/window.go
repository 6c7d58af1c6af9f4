package retry

import (
	"sync"
	"time"
)

// windowBuckets is the resolution of a Window. The oldest bucket counts in full,
// so a window reaches back by up to one bucket more than its length.
const windowBuckets = 20

// Window limits the repeats towards one service to a share of the requests for
// it in a sliding window, plus a slack that all daemons of a fleet share. Daemons
// need not talk to each other: if each keeps to its own requests and its part of
// the slack, all of them together keep to the sum.
type Window struct {
	mu       sync.Mutex
	ratio    float64
	slack    float64
	width    time.Duration // of a bucket
	at       int64         // number of the newest bucket
	requests [windowBuckets]float64
	repeats  [windowBuckets]float64
	reserved float64 // repeats on their way
}

// NewWindow returns a window of the given length. Ratio is the repeats that are
// allowed for each request.
func NewWindow(length time.Duration, ratio float64) *Window {
	return &Window{ratio: ratio, width: max(length/(windowBuckets-1), time.Millisecond)}
}

// SetSlack sets this daemon's part of the repeats that are allowed regardless of
// the requests.
func (w *Window) SetSlack(slack float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slack = slack
}

// Request counts a request that this daemon took in, not its repeats.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance(now)]++
}

// Charge counts repeats that happened anyway, as the calls of a request that was
// itself repeated.
func (w *Window) Charge(now time.Time, repeats float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.repeats[w.advance(now)] += repeats
}

// Take reserves one repeat if the window allows it. Settle ends the reservation.
func (w *Window) Take(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if sum(&w.repeats)+w.reserved+1 > w.ratio*sum(&w.requests)+w.slack {
		return false
	}
	w.reserved++
	return true
}

// Settle counts a reserved repeat, or gives it back if it did not arrive: only what
// upstreams have to deal with is limited.
func (w *Window) Settle(now time.Time, arrived bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reserved--
	if arrived {
		w.repeats[w.advance(now)]++
	}
}

// Used returns the requests and repeats in the window, those on their way included.
func (w *Window) Used(now time.Time) (requests, repeats float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return sum(&w.requests), sum(&w.repeats) + w.reserved
}

// advance empties the buckets that are over and returns the present one.
func (w *Window) advance(now time.Time) int {
	n := now.UnixNano() / int64(w.width)
	if n-w.at >= windowBuckets {
		w.requests, w.repeats = [windowBuckets]float64{}, [windowBuckets]float64{}
		w.at = n
	}
	for w.at < n {
		w.at++
		i := w.at % windowBuckets
		w.requests[i], w.repeats[i] = 0, 0
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
