package balance

import (
	"math"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

const (
	// spreadMargin is the number of mean deviations above the mean latency of a route
	// that a call must have left: about four of five calls take less.
	spreadMargin = 1
	// missedFactor estimates how long a call would have taken that was given up, as a
	// multiple of the time for which it was waited.
	missedFactor = 1.5
	// maxRoutes bounds the routes that are remembered for an upstream.
	maxRoutes = 256
)

// routeLatency is the latency of an upstream's answers to the calls of one route, in
// seconds. It fades without calls, so that a recovered upstream is noticed.
type routeLatency struct {
	mean      float64
	deviation float64 // mean deviation
	at        time.Time
}

// noteLatency adds a call to the latency of its route. A call that was given up early tells
// nothing of an upstream that usually takes longer.
func (m *member) noteLatency(now time.Time, r Result) {
	if r.Route == "" || r.Outcome != chain.OK && !r.Missed {
		return
	}
	l := m.routes[r.Route]
	sample := r.Latency.Seconds()
	if r.Missed {
		sample *= missedFactor
	}
	switch {
	case l == nil && len(m.routes) >= maxRoutes:
		return
	case l == nil:
		if m.routes == nil {
			m.routes = map[string]*routeLatency{}
		}
		l = &routeLatency{mean: sample, deviation: sample / 4}
		m.routes[r.Route] = l
	case !r.Missed || sample > l.mean:
		weight := max(minSampleWeight, 1-forget(now, l.at)) // after a pause, what was known counts less
		l.mean += (sample - l.mean) * weight
		l.deviation += (math.Abs(sample-l.mean) - l.deviation) * weight
	}
	l.at = now
}

// canMeet reports whether the upstream is likely to answer a call in the time that
// is left for it. One that answered no such call lately is given a try.
func (m *member) canMeet(now time.Time, r Request) bool {
	l := m.routes[r.Route]
	if l == nil || r.Remaining <= 0 {
		return true
	}
	need, left := l.mean+spreadMargin*l.deviation, r.Remaining.Seconds()
	return need <= left || need*forget(now, l.at) <= left
}
