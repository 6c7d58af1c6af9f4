package admission

import (
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// The parameters of an AdaptiveThrottle.
const (
	throttleBuckets = 10
	// throttleWindow is the time span over which results count. It covers several executions of a
	// call chain, and is short compared to the overloads of several seconds that the throttle
	// handles.
	throttleWindow = 2 * time.Second
	// throttleMinAllowed is the number of requests in a window that are allowed regardless of the
	// results, so that a recovery is detected.
	throttleMinAllowed = 4
	// maxRejectRatio is the highest ratio of requests that is rejected, so that no route is
	// starved.
	maxRejectRatio = 0.85
)

// targetFailureRatios holds, for each class, the tolerated ratio of allowed requests that fail
// because a dependency is overloaded. Above it, the throttle allows fewer requests than before,
// below it more. Lower classes have a lower ratio, so they are throttled first.
var targetFailureRatios = [numClasses]float64{chain.Sheddable: 0.15, chain.Default: 0.2, chain.Critical: 0.35}

// throttleGrowth is the number of requests that are allowed for each success while no request
// fails because of an overloaded dependency: after an overload, the allowed requests triple in
// each window.
const throttleGrowth = 3

// AdaptiveThrottle rejects requests of one route at the ingress because calls that they cause are
// rejected by an overloaded dependency. It matters for requests that call the dependency several
// times: if each of five calls is rejected with a probability of a fifth, two thirds of the
// requests fail after they have used capacity that other requests needed. The dependency cannot
// tell which calls belong to the same request; the ingress sees the result of the whole request.
// The zero value is ready for use.
type AdaptiveThrottle struct {
	mu           sync.Mutex
	newestBucket int64 // time of the newest bucket, in bucket widths since the Unix epoch
	buckets      [throttleBuckets]throttleCounts
}

// throttleCounts counts the requests that ended in one bucket of the window: those that failed
// because a dependency was overloaded, those that ended otherwise, and those that the throttle
// rejected.
type throttleCounts struct{ dependencyOverloads, other, rejected float64 }

// RejectRatio returns the current ratio of rejected requests for the class of p.
func (t *AdaptiveThrottle) RejectRatio(now time.Time, p chain.Priority) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rejectRatioLocked(now, p.Class())
}

// Allow reports whether a request is allowed, and counts it as rejected if not. Within a class,
// requests with a low sub-priority are rejected, so a retry of the same request gets the same
// decision. The sub-priorities of the requests must therefore be spread over the whole class;
// otherwise, all requests could be in the rejected part, and the throttle would never recover.
func (t *AdaptiveThrottle) Allow(now time.Time, p chain.Priority) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	class := p.Class()
	sub := float64(p-class.MinPriority()) / float64(chain.Default.MinPriority())
	if sub >= t.rejectRatioLocked(now, class) {
		return true
	}
	t.buckets[t.advance(now)].rejected++
	return false
}

// RecordResult counts the result of an allowed request. Only failures because of an overloaded
// dependency count as such: fewer requests would not prevent other failures.
func (t *AdaptiveThrottle) RecordResult(now time.Time, failure *chain.Failure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	bucket := &t.buckets[t.advance(now)]
	if failure != nil && failure.FromDependency && failure.DependencyOverloaded {
		bucket.dependencyOverloads++
		return
	}
	bucket.other++
}

func (t *AdaptiveThrottle) rejectRatioLocked(now time.Time, class chain.Class) float64 {
	t.advance(now)
	var total throttleCounts
	for _, b := range t.buckets {
		total.dependencyOverloads += b.dependencyOverloads
		total.other += b.other
		total.rejected += b.rejected
	}
	all := total.dependencyOverloads + total.other + total.rejected
	if all == 0 {
		return 0
	}
	allowed := total.other*allowedPerSuccess(total, targetFailureRatios[class]) + throttleMinAllowed
	return min(max(1-allowed/all, 0), maxRejectRatio)
}

// allowedPerSuccess is the number of requests that are allowed for each one that did not fail
// because of an overloaded dependency. At the target failure ratio, the number of allowed
// requests stays constant.
func allowedPerSuccess(c throttleCounts, targetRatio float64) float64 {
	equilibrium := 1 / (1 - targetRatio)
	if c.other+c.dependencyOverloads == 0 {
		return equilibrium
	}
	observed := c.dependencyOverloads / (c.other + c.dependencyOverloads)
	return equilibrium + (throttleGrowth-equilibrium)*max(1-observed/targetRatio, 0)
}

// advance clears the buckets that have left the window and returns the index of the current one.
func (t *AdaptiveThrottle) advance(now time.Time) int {
	n := now.UnixNano() / int64(throttleWindow/throttleBuckets)
	if n-t.newestBucket >= throttleBuckets {
		t.buckets, t.newestBucket = [throttleBuckets]throttleCounts{}, n
	}
	for t.newestBucket < n {
		t.newestBucket++
		t.buckets[t.newestBucket%throttleBuckets] = throttleCounts{}
	}
	return int(t.newestBucket % throttleBuckets)
}
