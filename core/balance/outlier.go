package balance

import (
	"slices"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

const (
	// failureSampleWeight is the weight of one request in a failure ratio.
	failureSampleWeight = 0.05
	// maxFailureRatio is the failure ratio above which an upstream is avoided if another
	// one has capacity. It equals a common retry budget: below it, retries make up for the
	// failures and cost fewer bytes between availability zones.
	maxFailureRatio = 0.2
)

// failureRatio is the ratio of requests that failed for a reason attributable to the
// upstream although its health checks pass. It is a moving average that decays without
// requests, so that the upstream gets calls that show its recovery.
type failureRatio struct {
	ratio float64
	at    time.Time
}

// observe adds the result of a request. Results that are neither a success nor a failure
// of the upstream are left out.
func (f *failureRatio) observe(now time.Time, r DoneInfo) {
	if r.Outcome != chain.OK && !countsInFailureRatio(r) {
		return
	}
	value := 0.0
	if r.Outcome != chain.OK {
		value = 1
	}
	f.ratio, f.at = f.decayed(now)*(1-failureSampleWeight)+value*failureSampleWeight, now
}

func (f *failureRatio) decayed(now time.Time) float64 { return f.ratio * decay(now, f.at) }

// withinFailureLimit reports whether the failure ratio is at most maxFailureRatio.
func (m *member) withinFailureLimit(now time.Time) bool {
	return m.failures.ratio <= maxFailureRatio || m.failures.decayed(now) <= maxFailureRatio
}

// avoidFailing reports whether to avoid upstreams above maxFailureRatio. If they are more
// than may be ejected, the service as a whole fails and no upstream is better.
func (b *Balancer) avoidFailing(now time.Time) bool {
	failing := 0
	for _, m := range b.members {
		if !m.withinFailureLimit(now) {
			failing++
		}
	}
	return failing <= maxEjected(len(b.members))
}

// unhealthy reports whether the admission controller of the upstream has recently rejected
// a call because the upstream fails or hangs.
func (m *member) unhealthy(now time.Time) bool { return now.Before(m.unhealthyUntil) }

// avoidUnhealthy reports whether to avoid unhealthy upstreams. It does not if more
// upstreams are unhealthy or above maxFailureRatio than may be ejected, as when all wait
// for the same downstream dependency.
func (b *Balancer) avoidUnhealthy(now time.Time) bool {
	affected := 0
	for _, m := range b.members {
		if m.unhealthy(now) || !m.withinFailureLimit(now) {
			affected++
		}
	}
	return affected <= maxEjected(len(b.members))
}

// hasAlternative reports whether an upstream other than the chosen one could take a call.
// For calls larger than maxRerouteBytes, only upstreams of this region count, since
// traffic on the links is paid by the byte.
func (b *Balancer) hasAlternative(now time.Time, chosen *member, r PickInfo) bool {
	if !b.avoidUnhealthy(now) {
		return false
	}
	for _, m := range b.members {
		reachable := m.locality != OtherRegion || r.BodyBytes <= maxRerouteBytes
		healthy := !m.draining && !m.ejected(now) && !m.unhealthy(now) && m.withinFailureLimit(now)
		if m != chosen && reachable && healthy && !slices.Contains(r.Exclude, m.upstream.ID) && !m.saturated(now, r.Priority, m.upstream.Slots) {
			return true
		}
	}
	return false
}

// countsInFailureRatio reports whether a failure is attributable to the upstream. Missed
// deadlines do not count, since the route latency covers them, and neither do rejections
// under load.
func countsInFailureRatio(r DoneInfo) bool {
	return !r.TimedOut && (isUpstreamFault(r) && r.Reason != chain.ReasonDeadline || r.Reason == chain.ReasonUpstreamRefused)
}
