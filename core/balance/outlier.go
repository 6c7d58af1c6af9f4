package balance

import (
	"slices"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

const (
	// faultWeight is the weight of one request in the share of failed ones.
	faultWeight = 0.05
	// faultLimit is the share above which an upstream is left if another has room. It
	// is the share of repeats that users usually allow: below it, repeats make up for
	// the failures and cost fewer bytes between availability zones.
	faultLimit = 0.2
)

// faultShare is the share of the requests at an upstream that failed for a reason of
// its own, its health checks being good. It fades without requests, so that a recovery
// is noticed.
type faultShare struct {
	share float64
	at    time.Time
}

// note adds the result of a request that reached the upstream.
func (f *faultShare) note(now time.Time, r DoneInfo) {
	if r.Outcome != chain.OK && !isOwnFault(r) {
		return
	}
	value := 0.0
	if r.Outcome != chain.OK {
		value = 1
	}
	f.share, f.at = f.now(now)*(1-faultWeight)+value*faultWeight, now
}

func (f *faultShare) now(now time.Time) float64 { return f.share * forget(now, f.at) }

// reliable reports whether few enough requests fail at the upstream.
func (m *member) reliable(now time.Time) bool {
	return m.faults.share <= faultLimit || m.faults.now(now) <= faultLimit
}

// avoidsFaulty reports whether faulty upstreams are to be left. If more of them fail
// than may be ejected, the service as a whole is faulty, and others nearby or far are
// no better.
func (b *Balancer) avoidsFaulty(now time.Time) bool {
	faulty := 0
	for _, m := range b.members {
		if !m.reliable(now) {
			faulty++
		}
	}
	return faulty <= maxEjected(len(b.members))
}

// unhealthy reports whether the gate of the upstream has refused a call lately since it
// fails or hangs.
func (m *member) unhealthy(now time.Time) bool { return now.Before(m.unhealthyTo) }

// avoidsUnhealthy reports whether unhealthy upstreams are to be left: not if more of them
// are unhealthy or faulty than may be ejected, as when all wait for a service further down.
func (b *Balancer) avoidsUnhealthy(now time.Time) bool {
	bad := 0
	for _, m := range b.members {
		if m.unhealthy(now) || !m.reliable(now) {
			bad++
		}
	}
	return bad <= maxEjected(len(b.members))
}

// hasSpare reports whether another upstream than the chosen one could take a call. Large
// calls stay in their region, since links are paid by the byte.
func (b *Balancer) hasSpare(now time.Time, chosen *member, r PickInfo) bool {
	if !b.avoidsUnhealthy(now) {
		return false
	}
	for _, m := range b.members {
		near := m.tier != OtherRegion || r.BodyBytes <= movableBytes
		sound := !m.draining && !m.ejected(now) && !m.unhealthy(now) && m.reliable(now)
		if m != chosen && near && sound && !slices.Contains(r.Exclude, m.up.ID) && !m.saturated(now, r.Priority, m.up.Slots) {
			return true
		}
	}
	return false
}

// isOwnFault reports whether a failure is one of the upstream and neither a matter of
// time, which its latency shows, nor of its load.
func isOwnFault(r DoneInfo) bool {
	return !r.TimedOut && (isFault(r) && r.Reason != chain.ReasonDeadline || r.Reason == chain.ReasonUpstreamRefused)
}
