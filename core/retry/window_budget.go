package retry

import (
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// windowBuckets is the number of buckets of a window. The oldest bucket counts in full, so a
// window covers up to one bucket more than its length.
const windowBuckets = 20

const (
	// minPriorityRatio is the ratio of the budget that requests of the lowest priority may use.
	// Requests of a higher priority may use more, those of the highest priority all of it.
	minPriorityRatio = 0.9
	// priorityBucketWidth is the number of priorities that are counted together.
	priorityBucketWidth = 16
	priorityBuckets     = int(chain.NumPriorities) / priorityBucketWidth
	// priorityDecay is the factor by which the requests by priority shrink with each time bucket.
	priorityDecay = 0.8
)

// WindowBudget limits the retries to one service to a ratio of the requests for it in a sliding
// window, plus a minimum number of retries that all daemons of a fleet share. The daemons do not
// need to coordinate: if each keeps to its own requests and its part of the minimum, all of them
// together keep to the total.
//
// While the budget is short, requests of a higher priority may use more of it. This matters if
// upstreams reject or fail at random: a request with several calls, each of which may need a
// retry, succeeds only if it gets all of these retries. So it is better to give some requests all
// their retries than all requests some of them.
type WindowBudget struct {
	mu           sync.Mutex
	ratio        float64
	minRetries   float64
	bucketWidth  time.Duration // width of a bucket
	newestBucket int64         // time of the newest bucket, in bucket widths since the Unix epoch
	requests     [windowBuckets]float64
	retries      [windowBuckets]float64
	reserved     float64                  // reservations that have not ended
	byPriority   [priorityBuckets]float64 // requests by priority, decaying
}

// NewWindowBudget returns a budget with a window of the given length. ratio is the number of
// retries that are allowed per request.
func NewWindowBudget(length time.Duration, ratio float64) *WindowBudget {
	return &WindowBudget{ratio: ratio, bucketWidth: max(length/(windowBuckets-1), time.Millisecond)}
}

// SetMinRetries sets this daemon's part of the retries that are allowed regardless of the number
// of requests.
func (w *WindowBudget) SetMinRetries(minRetries float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.minRetries = minRetries
}

// RecordRequest counts a request that this daemon accepted. It must not be called for retries.
func (w *WindowBudget) RecordRequest(now time.Time, p chain.Priority) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance(now)]++
	w.byPriority[priorityBucket(p)]++
}

func priorityBucket(p chain.Priority) int {
	return int(min(p, chain.NumPriorities-1)) / priorityBucketWidth
}

// budgetRatio returns the ratio of the budget that a request may use: the fewer requests have a
// higher priority, the larger it is.
func (w *WindowBudget) budgetRatio(p chain.Priority) float64 {
	total, upTo := 0.0, 0.0
	for bucket, n := range w.byPriority {
		total += n
		if bucket <= priorityBucket(p) {
			upTo += n
		}
	}
	if total == 0 {
		return 1
	}
	return minPriorityRatio + (1-minPriorityRatio)*upTo/total
}

// RecordRetries counts retries that were not reserved, such as the calls of a request that is
// itself a retry.
func (w *WindowBudget) RecordRetries(now time.Time, retries float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retries[w.advance(now)] += retries
}

// Reserve reserves one retry of a request if the budget allows it. EndReservation must follow.
func (w *WindowBudget) Reserve(now time.Time, p chain.Priority) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if used, budget := sum(&w.retries)+w.reserved, w.ratio*sum(&w.requests)+w.minRetries; used+1 > budget || used > budget*w.budgetRatio(p) {
		return false
	}
	w.reserved++
	return true
}

// EndReservation ends the reservation of one retry and counts the retry if it was delivered: only
// retries that reach an upstream are limited.
func (w *WindowBudget) EndReservation(now time.Time, delivered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reserved--
	if delivered {
		w.retries[w.advance(now)]++
	}
}

// Usage returns the requests and retries in the window, including reserved retries.
func (w *WindowBudget) Usage(now time.Time) (requests, retries float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return sum(&w.requests), sum(&w.retries) + w.reserved
}

// advance clears the buckets that have left the window and returns the index of the current one.
func (w *WindowBudget) advance(now time.Time) int {
	n := now.UnixNano() / int64(w.bucketWidth)
	if n-w.newestBucket >= windowBuckets {
		w.requests, w.retries = [windowBuckets]float64{}, [windowBuckets]float64{}
		w.byPriority = [priorityBuckets]float64{}
		w.newestBucket = n
	}
	for w.newestBucket < n {
		w.newestBucket++
		i := w.newestBucket % windowBuckets
		w.requests[i], w.retries[i] = 0, 0
		for bucket := range w.byPriority {
			w.byPriority[bucket] *= priorityDecay
		}
	}
	return int(w.newestBucket % windowBuckets)
}

func sum(buckets *[windowBuckets]float64) float64 {
	total := 0.0
	for _, n := range buckets {
		total += n
	}
	return total
}
