// Package correlation finds the request of the local upstream that issued a call: its parent
// request. Upstreams copy no header from a request to its calls, and calls have request IDs of
// their own. But the deadline of a call is never later than that of its parent, so a call whose
// deadline equals that of a request in flight belongs to it; a later call of the same request
// follows the response to the previous one; and a first call belongs to a request without a call
// so far.
//
// The parent request matters while a dependency that a request calls several times is overloaded:
// admission controllers that receive its priority with each call can reject the calls of
// low-priority requests, and either all calls of a request or none. The result is an estimate; a
// wrong one gives the capacity meant for one request to another.
//
// The current time is passed in. All types are safe for concurrent use.
package correlation

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/routemap"
)

const (
	// deadlineSkewBefore and deadlineSkewAfter bound how much earlier or later the deadline of a
	// call may be than that of its parent: deadlines are sent as remaining time in whole
	// milliseconds, and a call may wait for a processor before it is read. Only an earlier
	// deadline shows that a route is internal, since a client's request that arrives soon after
	// another has a slightly later deadline.
	deadlineSkewBefore = 4 * time.Millisecond
	deadlineSkewAfter  = 8 * time.Millisecond
	// expectedDeadlineSkew is the difference that rounding to milliseconds causes.
	expectedDeadlineSkew = time.Millisecond
	// followWindow is the longest time between the response to a call and the next call of the
	// same request: the upstream and the daemon run on the same VM.
	followWindow = 2 * time.Millisecond
	// maxTimeToFirstCallFactor is the largest ratio between the time to the first call and its mean.
	maxTimeToFirstCallFactor = 8
)

// ParentRequest is a request that the local upstream executes. Its exported fields must not change
// after RequestStarted.
type ParentRequest struct {
	ID               string
	Route            string
	Deadline         time.Time // the deadline that was sent to the upstream
	Priority         chain.Priority
	RetryProbability float64 // probability that the request is itself a retry
	StartedAt        time.Time

	// Guarded by the mutex of Tracker:
	calls          int // calls issued so far
	pendingCalls   int // calls without a response
	lastResponseAt time.Time
}

// Tracker tracks the requests that the local upstream executes. The zero value is ready for use.
type Tracker struct {
	mu       sync.Mutex
	requests []*ParentRequest // in order of their start
	usage    routemap.Map[routeUsage]
}

// RequestStarted records the start of a request at the upstream. RequestEnded must follow.
func (t *Tracker) RequestStarted(request *ParentRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests = append(t.requests, request)
}

// RequestEnded records the end of a request.
func (t *Tracker) RequestEnded(request *ParentRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.requests, request); i >= 0 {
		t.requests = slices.Delete(t.requests, i, i+1)
	}
}

// Origin is the likely origin of a request at the ingress.
type Origin struct {
	Parent     *ParentRequest // request that issued it, nil if unknown
	Subsequent bool           // the request follows the response to another call
}

// FindParent returns the likely origin of a request with the given client timeout. CallEnded must
// follow.
func (t *Tracker) FindParent(now time.Time, route string, timeout time.Duration) Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	usage := t.usage.GetOrCreate(route)
	deadline, follows := now.Add(timeout), usage.followsResponse(now)
	parent := t.matchDeadline(deadline)
	usage.record(parent, deadline, follows)
	if !usage.isInternal() {
		return Origin{}
	}
	if parent == nil && follows {
		parent = t.matchResponse(now, deadline, usage)
	}
	if parent == nil && !follows {
		parent = t.matchFirstCall(now, deadline, usage)
	}
	if parent == nil {
		return Origin{Subsequent: follows}
	}
	parent.calls++
	parent.pendingCalls++
	return Origin{Parent: parent, Subsequent: follows}
}

// CallEnded records the end of a request on a route. responded reports that it got a successful
// response.
func (t *Tracker) CallEnded(now time.Time, route string, origin Origin, responded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if responded {
		usage := t.usage.GetOrCreate(route)
		usage.responses = append(usage.responses, now)
	}
	if origin.Parent != nil {
		origin.Parent.pendingCalls--
		origin.Parent.lastResponseAt = now
	}
}

// matchDeadline returns the request whose deadline is nearest to that of a call.
func (t *Tracker) matchDeadline(deadline time.Time) *ParentRequest {
	var nearest *ParentRequest
	best := time.Duration(0)
	for _, request := range t.requests {
		d := request.Deadline.Sub(deadline)
		if d < -deadlineSkewAfter || d > deadlineSkewBefore {
			continue
		}
		if d = (d - expectedDeadlineSkew).Abs(); nearest == nil || d < best {
			nearest, best = request, d
		}
	}
	return nearest
}

// matchResponse returns the request that was the last to get a response to a call, within
// followWindow before now.
func (t *Tracker) matchResponse(now, deadline time.Time, usage *routeUsage) *ParentRequest {
	var latest *ParentRequest
	for _, request := range t.requests {
		if request.calls == 0 || request.pendingCalls > 0 || now.Sub(request.lastResponseAt) > followWindow || !request.canBeParent(deadline, usage) {
			continue
		}
		if latest == nil || request.lastResponseAt.After(latest.lastResponseAt) {
			latest = request
		}
	}
	return latest
}

// matchFirstCall returns the request without a call whose time since its start is nearest to the
// mean time to the first call. Requests that started much earlier have probably issued calls that
// were not matched.
func (t *Tracker) matchFirstCall(now, deadline time.Time, usage *routeUsage) *ParentRequest {
	var newest *ParentRequest
	for _, request := range t.requests {
		if request.calls == 0 && request.canBeParent(deadline, usage) {
			newest = request
		}
	}
	if newest == nil {
		return nil
	}
	usage.callers.GetOrCreate(newest.Route).observe(now.Sub(newest.StartedAt))
	var nearest *ParentRequest
	best := math.Log(maxTimeToFirstCallFactor)
	for _, request := range t.requests {
		if request.calls > 0 || !request.canBeParent(deadline, usage) {
			continue
		}
		if d := usage.callers.GetOrCreate(request.Route).deviation(now.Sub(request.StartedAt)); d <= best {
			nearest, best = request, d
		}
	}
	return nearest
}

// ifDeadlineAfter returns p if its deadline is after the given one, and nil otherwise.
func (p *ParentRequest) ifDeadlineAfter(deadline time.Time) *ParentRequest {
	if p == nil || !p.Deadline.After(deadline) {
		return nil
	}
	return p
}

// canBeParent reports whether requests on the route of p call the route that usage describes, and
// the deadline of p is late enough for a call with the given deadline.
func (p *ParentRequest) canBeParent(deadline time.Time, usage *routeUsage) bool {
	return p.Deadline.Sub(deadline) >= -deadlineSkewAfter && usage.isCalledBy(p.Route)
}
