package admission

import "time"

// routeTime estimates the service time of a route, with waits on calls below.
type routeTime struct {
	mean    time.Duration
	touched bool // a sample arrived since the last decay
}

// observe adds a finished request. A request that failed tells only that the
// service takes at least that long, so it never lowers the estimate: fast
// failures would otherwise make queued work look feasible.
func (r *routeTime) observe(took time.Duration, ok bool) {
	if !ok && took < r.mean {
		return
	}
	r.touched = true
	if r.mean == 0 {
		r.mean = took
		return
	}
	r.mean += (took - r.mean) / 8
}

// decay lowers an estimate that got no sample. Without it, an estimate above
// every deadline would refuse all requests and never be corrected.
func (r *routeTime) decay() {
	if !r.touched {
		r.mean -= r.mean / 10
	}
	r.touched = false
}

// feasible reports whether a request with this much time left may still finish,
// if it needs at least a part of the usual time.
func (r *routeTime) feasible(remaining time.Duration, part float64) bool {
	return remaining > 0 && remaining >= time.Duration(part*float64(r.mean))
}
