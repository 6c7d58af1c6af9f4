package balance

import (
	"math"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

const (
	// zoneSpread and regionSpread are the numbers of mean deviations above the mean latency
	// of a route that a call must have left to stay in its availability zone and in its
	// region. More than three deviations are rare; with one and a half about one call in
	// ten is late, since links between regions are slow and paid by the byte.
	zoneSpread   = 3
	regionSpread = 1.5
	// missedFactor estimates how long a call would have taken that was given up, as a
	// multiple of the time for which it was waited.
	missedFactor = 1.5
	// tryAfter is how long an upstream that is too slow for a call, or whose gate refuses
	// since it is unhealthy, gets none before one is tried. All callers nearby try, so it is well above the time that calls take.
	tryAfter = 2 * time.Second
	// slowAfter is the number of late calls in a row after which one that is fast again
	// shows a recovery. Fewer happen by chance.
	slowAfter = 3
	// maxLateWeight is the largest weight of a late call.
	maxLateWeight = 0.4
	// maxRoutes bounds the routes that are remembered for an upstream.
	maxRoutes = 256
)

// routeLatency is the latency of an upstream's answers to the calls of one route, in
// seconds.
type routeLatency struct {
	mean      float64
	deviation float64 // mean deviation
	at        time.Time
	tried     time.Time // last call that was a try
	late      int       // calls in a row that took longer than the mean without a whole answer
}

// noteLatency adds a call to the latency of its route. A call without a whole answer
// took at least as long as it was waited for, also if it failed further down.
func (m *member) noteLatency(now time.Time, r DoneInfo) {
	if r.Route == "" {
		return
	}
	l := m.routes[r.Route]
	sample := r.Latency.Seconds()
	if r.TimedOut {
		sample *= missedFactor
	}
	whole := r.Outcome == chain.OK || r.TimedOut
	switch {
	case l == nil && (!whole || len(m.routes) >= maxRoutes):
		return
	case l == nil:
		if m.routes == nil {
			m.routes = map[string]*routeLatency{}
		}
		m.routes[r.Route] = &routeLatency{mean: sample, deviation: sample / 4, at: now}
		return
	case l.late >= slowAfter && r.Outcome == chain.OK && sample < l.mean/2:
		*l = routeLatency{mean: sample, deviation: sample / 4} // it is no longer slow
	case r.Outcome == chain.OK || sample > l.mean:
		weight := l.weight(now, r.Outcome == chain.OK)
		l.mean += (sample - l.mean) * weight
		l.deviation += (math.Abs(sample-l.mean) - l.deviation) * weight
	default:
		return
	}
	l.at = now
}

// weight is the weight of a new sample. After a pause, what was known counts less.
// Late calls in a row count more and more, as their upstream has probably become slow.
func (l *routeLatency) weight(now time.Time, whole bool) float64 {
	weight := max(minSampleWeight, 1-forget(now, l.at))
	if whole {
		l.late = 0
		return weight
	}
	l.late++
	return max(weight, min(minSampleWeight*float64(int(1)<<min(l.late-1, 8)), maxLateWeight))
}

// canMeet reports whether the upstream is likely to answer a call in the time that
// is left for it. One that answered no such call lately is given a try.
func (m *member) canMeet(now time.Time, r PickInfo, spread float64) bool {
	l := m.routes[r.Route]
	if l == nil || r.Remaining <= 0 {
		return true
	}
	return l.need(spread) <= r.Remaining.Seconds() || now.Sub(later(l.at, l.tried)) >= tryAfter
}

// need is the time that most calls take: the mean and some mean deviations.
func (l *routeLatency) need(spread float64) float64 { return l.mean + spread*l.deviation }

// noteTry makes sure that an upstream that is given a try gets one call, and not all
// that come before its answer.
func (m *member) noteTry(now time.Time, r PickInfo) {
	if l := m.routes[r.Route]; l != nil && r.Remaining > 0 && l.need(regionSpread) > r.Remaining.Seconds() {
		l.tried = now
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
