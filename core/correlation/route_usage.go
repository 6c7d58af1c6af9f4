package correlation

import (
	"math"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/routemap"
)

const (
	// callShare is the part of the requests on a route that must have the time limit of a
	// running request, or follow an answer, for the route to count as one of calls. Of
	// clients' requests few do, by chance.
	callShare = 0.5
	// callSamples is the number of requests after which a route is judged.
	callSamples = 8
	// callerShare is the part of the calls found by their time limits that a kind of request
	// must have made to count as one that makes such calls. By chance others have made some.
	callerShare = 0.25
	// minLead is the shortest time until a first call that is told apart.
	minLead = time.Millisecond
	// leadSamples is the number of requests that the usual time is an average of.
	leadSamples = 20
	// memory bounds the requests of a route that count, so that a changed use is noticed.
	memory = 500
)

// use is what is known of the requests on a route.
type use struct {
	requests float64
	linked   float64              // with the time limit of a running request, or after an answer
	callers  routemap.Map[caller] // by the route of the running request
	answered []time.Time          // answers that nothing has followed yet, oldest first
}

// caller is what is known of the requests of one route as those that make calls on another.
type caller struct {
	found float64       // calls found by their time limits
	lead  time.Duration // usual time until the first call, 0 if not known
}

// byCalls reports whether the route is one of calls.
func (u *use) byCalls() bool {
	return u.requests >= callSamples && u.linked >= callShare*u.requests
}

// makes reports whether requests of a route are known to make calls on this one.
func (u *use) makes(route string) bool {
	found := 0.0
	u.callers.Range(func(c *caller) { found += c.found })
	return u.callers.GetOrCreate(route).found > callerShare*found
}

// follows reports whether a request follows an answer, the newest that nothing has followed.
func (u *use) follows(now time.Time) bool {
	for len(u.answered) > 0 && now.Sub(u.answered[0]) > followTime {
		u.answered = u.answered[1:]
	}
	n := len(u.answered)
	if n == 0 {
		return false
	}
	u.answered = u.answered[:n-1]
	return true
}

// learn counts a request with a time limit, found in a running request or not.
func (u *use) learn(found *ParentRequest, limit time.Time, follows bool) {
	found = found.ifEndsAfter(limit)
	u.requests++
	if found != nil || follows {
		u.linked++
	}
	if found != nil {
		u.callers.GetOrCreate(found.Route).found++
	}
	if u.requests < memory {
		return
	}
	u.requests, u.linked = u.requests/2, u.linked/2
	u.callers.Range(func(c *caller) { c.found /= 2 })
}

// distance tells how far a time until a first call is from the usual one, by its logarithm.
func (c *caller) distance(lead time.Duration) float64 {
	if c.lead == 0 {
		return 0
	}
	return math.Abs(math.Log(float64(max(lead, minLead)) / float64(c.lead)))
}

// observe adds the time until a first call. It is that of the request which began last,
// which is right more often than any other that a guess could choose.
func (c *caller) observe(lead time.Duration) {
	lead = max(lead, minLead)
	if c.lead == 0 {
		c.lead = lead
	}
	c.lead += (lead - c.lead) / leadSamples
}
