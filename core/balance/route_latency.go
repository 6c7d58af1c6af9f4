package balance

import (
	"math"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

const (
	// zoneDeviations and regionDeviations are how many mean deviations above the mean latency
	// of a route must fit in the remaining time of a call that stays in its availability
	// zone, or in its region. Latencies above three deviations are rare. With one and a half,
	// about one call in ten is late; this is accepted within a region, since links between
	// regions are slow and paid by the byte.
	zoneDeviations   = 3
	regionDeviations = 1.5
	// timeoutFactor estimates how long a call that timed out would have taken, as a multiple
	// of its timeout.
	timeoutFactor = 1.5
	// probeInterval is how long an upstream that is too slow for a call, or whose admission
	// controller rejects calls because the upstream is unhealthy, gets no calls before the
	// next probe. All callers nearby send probes, so it is well above the latency of calls.
	probeInterval = 2 * time.Second
	// slowAfterLateCalls is the number of consecutive late calls after which the upstream
	// counts as slow, so that the next fast call shows its recovery. Fewer occur by chance.
	slowAfterLateCalls = 3
	// maxLateSampleWeight is the largest weight of a late call in the moving averages.
	maxLateSampleWeight = 0.4
	// maxRoutes is the largest number of routes for which the latency of an upstream is kept.
	maxRoutes = 256
)

// routeLatency is the latency of an upstream for the calls of one route, in seconds, as
// moving averages.
type routeLatency struct {
	mean            float64
	deviation       float64 // mean absolute deviation
	updatedAt       time.Time
	probedAt        time.Time // last probe
	consecutiveLate int       // consecutive calls that failed and took longer than the mean
}

// observeRouteLatency adds a call to the latency of its route. The latency of a failed call
// is a lower bound, also if a downstream dependency failed, so it is used only if it is
// above the mean.
func (m *member) observeRouteLatency(now time.Time, r DoneInfo) {
	if r.Route == "" {
		return
	}
	l := m.routes[r.Route]
	sample := r.Latency.Seconds()
	if r.TimedOut {
		sample *= timeoutFactor
	}
	usable := r.Outcome == chain.OK || r.TimedOut
	switch {
	case l == nil && (!usable || len(m.routes) >= maxRoutes):
		return
	case l == nil:
		if m.routes == nil {
			m.routes = map[string]*routeLatency{}
		}
		m.routes[r.Route] = &routeLatency{mean: sample, deviation: sample / 4, updatedAt: now}
		return
	case l.consecutiveLate >= slowAfterLateCalls && r.Outcome == chain.OK && sample < l.mean/2:
		*l = routeLatency{mean: sample, deviation: sample / 4} // recovered
	case r.Outcome == chain.OK || sample > l.mean:
		weight := l.sampleWeight(now, r.Outcome == chain.OK)
		l.mean += (sample - l.mean) * weight
		l.deviation += (math.Abs(sample-l.mean) - l.deviation) * weight
	default:
		return
	}
	l.updatedAt = now
}

// sampleWeight returns the weight of a new sample; ok tells that the call succeeded. The
// weight grows with the time since the last sample, and doubles with each consecutive late
// call, as the upstream has probably become slow.
func (l *routeLatency) sampleWeight(now time.Time, ok bool) float64 {
	weight := max(minSampleWeight, 1-decay(now, l.updatedAt))
	if ok {
		l.consecutiveLate = 0
		return weight
	}
	l.consecutiveLate++
	return max(weight, min(minSampleWeight*float64(int(1)<<min(l.consecutiveLate-1, 8)), maxLateSampleWeight))
}

// canMeetDeadline reports whether the upstream is likely to respond in the remaining time of
// a call. It also reports true if the latency is not known, or if a probe is due:
// probeInterval after the last sample or probe.
func (m *member) canMeetDeadline(now time.Time, r PickInfo, deviations float64) bool {
	l := m.routes[r.Route]
	if l == nil || r.Remaining <= 0 {
		return true
	}
	return l.estimate(deviations) <= r.Remaining.Seconds() || now.Sub(latest(l.updatedAt, l.probedAt)) >= probeInterval
}

// estimate is an upper estimate of the latency: the mean plus some mean deviations.
func (l *routeLatency) estimate(deviations float64) float64 { return l.mean + deviations*l.deviation }

// recordProbe records a call as a probe if the upstream is too slow for its remaining time, so
// that no further call is a probe before probeInterval has passed.
func (m *member) recordProbe(now time.Time, r PickInfo) {
	if l := m.routes[r.Route]; l != nil && r.Remaining > 0 && l.estimate(regionDeviations) > r.Remaining.Seconds() {
		l.probedAt = now
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
