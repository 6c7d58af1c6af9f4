package correlation

import (
	"math"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/routemap"
)

const (
	// internalRatio is the ratio of the requests on a route that must have the deadline of a
	// request in flight, or follow a response, for the route to count as internal, that is, as
	// called by the local upstream. Few requests of clients do, and only by chance.
	internalRatio = 0.5
	// minUsageSamples is the number of requests that are needed to classify a route.
	minUsageSamples = 8
	// minCallerRatio is the ratio of the calls matched by deadline that must come from requests
	// of a route for that route to count as a caller. Other routes match a few calls by chance.
	minCallerRatio = 0.25
	// minTimeToFirstCall is the shortest time to a first call; shorter ones are rounded up to it.
	minTimeToFirstCall = time.Millisecond
	// timeToFirstCallSamples is the number of requests that the moving average of the time to the
	// first call covers.
	timeToFirstCallSamples = 20
	// maxUsageSamples bounds the requests of a route that count, so that a change in its use is
	// detected.
	maxUsageSamples = 500
)

// routeUsage holds statistics of the requests on a route.
type routeUsage struct {
	requests   float64
	correlated float64                   // requests with the deadline of a request in flight, or after a response
	callers    routemap.Map[callerStats] // by route of the calling request
	responses  []time.Time               // responses that no request has followed yet, oldest first
}

// callerStats holds statistics of the requests of one route as callers of another route.
type callerStats struct {
	matchedCalls    float64       // calls matched by deadline
	timeToFirstCall time.Duration // moving average of the time from the start of a request to its first call, 0 if unknown
}

// isInternal reports whether the local upstream calls the route.
func (u *routeUsage) isInternal() bool {
	return u.requests >= minUsageSamples && u.correlated >= internalRatio*u.requests
}

// isCalledBy reports whether requests of the given route call this one.
func (u *routeUsage) isCalledBy(route string) bool {
	total := 0.0
	u.callers.Range(func(c *callerStats) { total += c.matchedCalls })
	return u.callers.GetOrCreate(route).matchedCalls > minCallerRatio*total
}

// followsResponse reports whether a request follows a response within followWindow. It consumes
// the newest such response.
func (u *routeUsage) followsResponse(now time.Time) bool {
	for len(u.responses) > 0 && now.Sub(u.responses[0]) > followWindow {
		u.responses = u.responses[1:]
	}
	n := len(u.responses)
	if n == 0 {
		return false
	}
	u.responses = u.responses[:n-1]
	return true
}

// record adds a request with the given deadline. parent is the request in flight whose deadline
// matches, or nil; it counts as a caller only if its own deadline is later.
func (u *routeUsage) record(parent *ParentRequest, deadline time.Time, follows bool) {
	parent = parent.ifDeadlineAfter(deadline)
	u.requests++
	if parent != nil || follows {
		u.correlated++
	}
	if parent != nil {
		u.callers.GetOrCreate(parent.Route).matchedCalls++
	}
	if u.requests < maxUsageSamples {
		return
	}
	u.requests, u.correlated = u.requests/2, u.correlated/2
	u.callers.Range(func(c *callerStats) { c.matchedCalls /= 2 })
}

// deviation is the absolute logarithm of the ratio between a time to the first call and its mean,
// 0 if the mean is unknown.
func (c *callerStats) deviation(elapsed time.Duration) float64 {
	if c.timeToFirstCall == 0 {
		return 0
	}
	return math.Abs(math.Log(float64(max(elapsed, minTimeToFirstCall)) / float64(c.timeToFirstCall)))
}

// observe adds a sample of the time to the first call. elapsed is the time since the start of the
// newest request, which is the correct parent more often than any other request.
func (c *callerStats) observe(elapsed time.Duration) {
	elapsed = max(elapsed, minTimeToFirstCall)
	if c.timeToFirstCall == 0 {
		c.timeToFirstCall = elapsed
	}
	c.timeToFirstCall += (elapsed - c.timeToFirstCall) / timeToFirstCallSamples
}
