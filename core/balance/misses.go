package balance

import "time"

const (
	// missWeight is the weight of one call in the share of missed ones.
	missWeight = 0.1
	// missLimit is the share of missed calls of a route above which an upstream
	// takes such calls only if no other can. Below it, a call to another
	// availability zone costs more than the few that are saved.
	missLimit = 0.2
	// maxMissRoutes bounds the routes that are remembered for an upstream.
	maxMissRoutes = 256
)

// missRate is the share of calls of a route that an upstream answered too late.
// It fades without calls, so that a recovered upstream is noticed.
type missRate struct {
	share float64
	at    time.Time
}

func (r *missRate) now(now time.Time) float64 { return r.share * forget(now, r.at) }

// noteMiss adds a call to the share of its route.
func (m *member) noteMiss(now time.Time, route string, missed bool) {
	if route == "" {
		return
	}
	r := m.misses[route]
	if r == nil {
		if !missed || len(m.misses) >= maxMissRoutes {
			return
		}
		if m.misses == nil {
			m.misses = map[string]*missRate{}
		}
		r = &missRate{}
		m.misses[route] = r
	}
	value := 0.0
	if missed {
		value = 1
	}
	r.share, r.at = r.now(now)*(1-missWeight)+value*missWeight, now
}

// suits reports whether the upstream answers most calls of a route in time.
func (m *member) suits(now time.Time, route string) bool {
	r := m.misses[route]
	return r == nil || r.now(now) <= missLimit
}
