package admission

import (
	"sync"
	"time"
)

// The parameters of CallerClassifier.
const (
	// correlationWindow is the longest time between the failure of a call and the failure of the
	// execution that made it. An upstream usually fails at once, but may wait for a processor.
	correlationWindow = 20 * time.Millisecond
	// minRouteFailures is the number of failures of a route that are needed to classify it.
	minRouteFailures = 5
	// maxRouteFailures bounds the failures of a route that count, so that a change in its use is
	// detected.
	maxRouteFailures = 64
	// maxClassifiedRoutes bounds the number of routes.
	maxClassifiedRoutes = 1024
)

// CallerClassifier detects which routes the local upstream calls and which ones only clients
// call. A request at the ingress does not show its sender. But when a call of the upstream fails,
// the execution that made it fails right after; the failure of a client's request is followed by
// the failure of an execution only by chance. The zero value is ready for use.
type CallerClassifier struct {
	mu      sync.Mutex
	routes  map[string]*routeCounts
	pending []failedRequest // failures within the correlation window, oldest first
}

// routeCounts counts the failures of a route that were followed by the failure of an execution,
// and those that were not.
type routeCounts struct{ correlated, uncorrelated int }

type failedRequest struct {
	route string
	at    time.Time
}

// RequestFailed records the failure of a request on a route at the ingress.
func (c *CallerClassifier) RequestFailed(now time.Time, route string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	c.pending = append(c.pending, failedRequest{route, now})
}

// ExecutionFailed records the failure of an execution at the local upstream.
func (c *CallerClassifier) ExecutionFailed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(now)
	if n := len(c.pending); n > 0 {
		c.count(c.pending[n-1].route, true)
		c.pending = c.pending[:n-1]
	}
}

// ClientOnly reports whether enough failures were observed to tell that only clients call a
// route.
func (c *CallerClassifier) ClientOnly(route string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	return r != nil && r.correlated+r.uncorrelated >= minRouteFailures && r.uncorrelated > r.correlated
}

// expire counts the failures that were not followed by the failure of an execution in time.
func (c *CallerClassifier) expire(now time.Time) {
	for len(c.pending) > 0 && now.Sub(c.pending[0].at) > correlationWindow {
		c.count(c.pending[0].route, false)
		c.pending = c.pending[1:]
	}
}

func (c *CallerClassifier) count(route string, correlated bool) {
	if c.routes == nil {
		c.routes = map[string]*routeCounts{}
	}
	r := c.routes[route]
	if r == nil {
		if len(c.routes) >= maxClassifiedRoutes {
			return
		}
		r = &routeCounts{}
		c.routes[route] = r
	}
	if correlated {
		r.correlated++
	} else {
		r.uncorrelated++
	}
	if r.correlated+r.uncorrelated > maxRouteFailures {
		r.correlated /= 2
		r.uncorrelated /= 2
	}
}
