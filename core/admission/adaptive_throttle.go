package admission

import (
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// The parameters of an AdaptiveThrottle.
const (
	throttleBuckets = 10
	// throttleWindow is how far back results count: some service times of a chain of
	// calls, and short against the surges of seconds that it answers.
	throttleWindow = 2 * time.Second
	// throttleSlack is the number of requests in a window that are let through
	// whatever became of the others, so that a recovery is noticed.
	throttleSlack = 4
	// maxThrottled is the largest part that is refused. No route is starved.
	maxThrottled = 0.85
)

// throttledFailures is, by class, the part of the requests let through that may fail
// further down. Above it fewer are let through than before, below it more. Lower
// classes give way first.
var throttledFailures = [classCount]float64{chain.Sheddable: 0.15, chain.Default: 0.2, chain.Critical: 0.35}

// throttleGrowth is how many requests are let through for each one that found room
// while none fails further down: after an overload their number triples with each
// window.
const throttleGrowth = 3

// AdaptiveThrottle refuses requests of one route at the entrance because calls that they
// lead to are turned away further down. It answers overload of a deep service that a
// request needs several times: if each of five calls is refused with a probability of
// a fifth, two thirds of the requests fail after they have used the room of the others.
// Which calls belong together is not known there; the entrance sees it from the end of
// the whole request. The zero value is ready for use.
type AdaptiveThrottle struct {
	mu      sync.Mutex
	at      int64 // number of the newest bucket
	buckets [throttleBuckets]throttleCounts
}

// throttleCounts counts the requests that ended in one part of the window: those that
// found no room further down, those that ended in another way, and those refused early.
type throttleCounts struct{ noRoom, other, refused float64 }

// RejectRatio returns the part of the requests with the class of p that is refused now.
func (t *AdaptiveThrottle) RejectRatio(now time.Time, p chain.Priority) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refused(now, p.Class())
}

// Allow reports whether a request may go on, and counts it if not. The priorities of a
// class must be spread over all of it, or a part of it that is refused could be all that
// come, which nothing would ever end. Requests with a high subordinate priority go on, so that a caller who comes again with the same
// request gets the same verdict.
func (t *AdaptiveThrottle) Allow(now time.Time, p chain.Priority) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	class := p.Class()
	sub := float64(p-class.MinPriority()) / float64(chain.Default.MinPriority())
	if sub >= t.refused(now, class) {
		return true
	}
	t.buckets[t.advance(now)].refused++
	return false
}

// RecordResult counts the end of a request that was let through. Only failures of calls that
// found no room further down matter; fewer requests would not prevent others.
func (t *AdaptiveThrottle) RecordResult(now time.Time, failure *chain.Failure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := &t.buckets[t.advance(now)]
	if failure != nil && failure.FromDependency && failure.DependencyOverloaded {
		b.noRoom++
		return
	}
	b.other++
}

func (t *AdaptiveThrottle) refused(now time.Time, class chain.Class) float64 {
	t.advance(now)
	var sum throttleCounts
	for _, b := range t.buckets {
		sum.noRoom += b.noRoom
		sum.other += b.other
		sum.refused += b.refused
	}
	all := sum.noRoom + sum.other + sum.refused
	if all == 0 {
		return 0
	}
	let := sum.other*throttleMargin(sum, throttledFailures[class]) + throttleSlack
	return min(max(1-let/all, 0), maxThrottled)
}

// throttleMargin is how many requests are let through for each one that found room.
// It is such that their number stays the same while the allowed part fails.
func throttleMargin(c throttleCounts, allowed float64) float64 {
	steady := 1 / (1 - allowed)
	if c.other+c.noRoom == 0 {
		return steady
	}
	failures := c.noRoom / (c.other + c.noRoom)
	return steady + (throttleGrowth-steady)*max(1-failures/allowed, 0)
}

// advance empties the buckets that are over and returns the present one.
func (t *AdaptiveThrottle) advance(now time.Time) int {
	n := now.UnixNano() / int64(throttleWindow/throttleBuckets)
	if n-t.at >= throttleBuckets {
		t.buckets, t.at = [throttleBuckets]throttleCounts{}, n
	}
	for t.at < n {
		t.at++
		t.buckets[t.at%throttleBuckets] = throttleCounts{}
	}
	return int(t.at % throttleBuckets)
}
