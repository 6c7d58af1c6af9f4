package admission

import (
	"sync"
	"time"
)

// The parameters of CallerClassifier.
const (
	// calledWithin is the time between the answer to a failed call and the failure of
	// the run that made it: an upstream gives up at once, but may wait for a processor.
	calledWithin = 20 * time.Millisecond
	// calledSamples is the number of failures of a route from which on it is judged.
	calledSamples = 5
	// calledMemory bounds the failures that count, so that a changed use is noticed.
	calledMemory = 64
	// maxCalledRoutes bounds the routes that are remembered.
	maxCalledRoutes = 1024
)

// CallerClassifier learns which routes the local upstream calls, and which ones only clients use.
// Requests do not tell; but a run whose call fails fails right after it, and the
// failure of a client's request is followed by one of a run only by chance. The zero
// value is ready for use.
type CallerClassifier struct {
	mu      sync.Mutex
	routes  map[string]*calledRoute
	pending []failedRequest // failures that may still be followed, oldest first
}

type calledRoute struct{ followed, alone int }

type failedRequest struct {
	route string
	at    time.Time
}

// RequestFailed records that a request on a route failed at the entrance.
func (c *CallerClassifier) RequestFailed(now time.Time, route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	c.pending = append(c.pending, failedRequest{route, now})
}

// ExecutionFailed records that a run of the local upstream failed.
func (c *CallerClassifier) ExecutionFailed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	if n := len(c.pending); n > 0 {
		c.count(c.pending[n-1].route, true)
		c.pending = c.pending[:n-1]
	}
}

// ClientOnly reports whether a route is known to be used by clients only.
func (c *CallerClassifier) ClientOnly(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	return r != nil && r.followed+r.alone >= calledSamples && r.alone > r.followed
}

// expire counts the failures that no failure of a run has followed.
func (c *CallerClassifier) expire(now time.Time) {
	for len(c.pending) > 0 && now.Sub(c.pending[0].at) > calledWithin {
		c.count(c.pending[0].route, false)
		c.pending = c.pending[1:]
	}
}

func (c *CallerClassifier) count(route string, followed bool) {
	if c.routes == nil {
		c.routes = map[string]*calledRoute{}
	}
	r := c.routes[route]
	if r == nil {
		if len(c.routes) >= maxCalledRoutes {
			return
		}
		r = &calledRoute{}
		c.routes[route] = r
	}
	if followed {
		r.followed++
	} else {
		r.alone++
	}
	if r.followed+r.alone > calledMemory {
		r.followed /= 2
		r.alone /= 2
	}
}
