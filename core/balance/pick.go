package balance

import (
	"slices"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// Pick picks the upstream of an attempt and counts the attempt as in flight until Done. It
// fails with outcome not-run if no upstream is usable, if no other upstream has capacity for
// a retry, or if the byte budget of the link does not allow the call.
func (b *Balancer) Pick(now time.Time, r PickInfo) (PickResult, *chain.Failure) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.pickWithCapacity(now, r); ok {
		return c, nil
	}
	if r.Retry {
		// The first attempt was rejected, and no other upstream has capacity.
		return PickResult{}, chain.NewFailure(chain.NotRun, chain.ReasonOverload, "no other upstream has capacity for a retry")
	}
	return b.pickFallback(now, r)
}

// maxRerouteBytes is the size of the largest call that leaves its availability zone for an
// upstream that is faster or fails less often. Larger calls leave it only if it lacks
// capacity, since traffic on the links is paid by the byte.
const maxRerouteBytes = 8 << 10

// pickPass is one pass over the upstreams of a locality, with the conditions for a pick.
type pickPass struct {
	locality   Locality
	scaleSlots bool    // scale the slots by the health weight
	deviations float64 // mean deviations above the mean latency of the route that must fit in the remaining time
}

// pickPasses lists the passes in their order. The first two stay in the region and limit upstreams
// in slow start or with failures to a part of their slots. The next two also stay in the region,
// but use the declared slots in full and accept a higher risk of a late response. Only then does
// a call leave the region.
var pickPasses = [...]pickPass{
	{SameAvailabilityZone, true, zoneDeviations},
	{SameRegion, true, zoneDeviations},
	{SameAvailabilityZone, false, regionDeviations},
	{SameRegion, false, regionDeviations},
	{OtherRegion, true, regionDeviations},
}

// pickWithCapacity picks in the nearest locality that has an upstream which is neither
// ejected nor saturated, is likely to meet the deadline and is within the failure limit. If
// there is none, it picks in the nearest locality that has an upstream with capacity.
func (b *Balancer) pickWithCapacity(now time.Time, r PickInfo) (PickResult, bool) {
	avoidUnhealthy := b.avoidUnhealthy(now)
	hasCapacity := func(m *member, pass pickPass) bool {
		return !m.ejected(now) && !(avoidUnhealthy && m.unhealthy(now)) && !m.saturated(now, r.Priority, b.slotLimit(now, m, pass.scaleSlots))
	}
	if r.BodyBytes <= maxRerouteBytes {
		avoidFailing := b.avoidFailing(now)
		preferred := func(m *member, pass pickPass) bool {
			return hasCapacity(m, pass) && m.canMeetDeadline(now, r, pass.deviations) && (!avoidFailing || m.withinFailureLimit(now))
		}
		if c, ok := b.pickNearest(now, r, preferred); ok {
			return c, true
		}
	}
	return b.pickNearest(now, r, hasCapacity)
}

// pickNearest picks in the first pass with upstreams for which accept returns true.
func (b *Balancer) pickNearest(now time.Time, r PickInfo, accept func(*member, pickPass) bool) (PickResult, bool) {
	for _, pass := range pickPasses {
		candidates := b.candidates(pass.locality, r, func(m *member) bool { return accept(m, pass) })
		if c, found := b.choose(now, r, candidates); found {
			return c, true
		}
	}
	return PickResult{}, false
}

// slotLimit returns the number of this daemon's calls in flight at which an upstream is
// saturated. Without the scaling, an upstream in slow start would get all calls for which
// the others have no capacity.
func (b *Balancer) slotLimit(now time.Time, m *member, scaled bool) int {
	if !scaled || m.upstream.Slots <= 0 {
		return m.upstream.Slots
	}
	return max(1, int(float64(m.upstream.Slots)*m.healthWeight(now, b.cfg.SlowStart)))
}

// pickFallback picks when every upstream is saturated or ejected: the admission controller
// of the nearest usable upstream then decides by priority. Ejected upstreams come last, as
// one that may fail is better than none.
func (b *Balancer) pickFallback(now time.Time, r PickInfo) (PickResult, *chain.Failure) {
	linkExhausted := false
	for _, allowEjected := range []bool{false, true} {
		for locality := range numLocalities {
			candidates := b.candidates(locality, r, func(m *member) bool { return allowEjected || !m.ejected(now) })
			if c, ok := b.choose(now, r, candidates); ok {
				return c, nil
			}
			linkExhausted = linkExhausted || len(candidates) > 0
		}
	}
	if linkExhausted {
		return PickResult{}, chain.NewFailure(chain.NotRun, chain.ReasonLinkBudget, "the byte budget of the link to the region is exhausted")
	}
	return PickResult{}, chain.NewFailure(chain.NotRun, chain.ReasonNoUpstream, "no usable upstream is known")
}

// candidates returns the members of a locality that are not draining, not excluded and
// for which accept returns true. The slice is valid until the next call.
func (b *Balancer) candidates(locality Locality, r PickInfo, accept func(*member) bool) []*member {
	begin := 0
	if locality > 0 {
		begin = b.localityEnds[locality-1]
	}
	b.scratch = b.scratch[:0]
	for _, m := range b.members[begin:b.localityEnds[locality]] {
		if m.draining || slices.Contains(r.Exclude, m.upstream.ID) || !accept(m) {
			continue
		}
		b.scratch = append(b.scratch, m)
	}
	return b.scratch
}

// choose picks the better of two random candidates and reserves the bytes of the call. It
// fails if there is no candidate or the budget of the link to its region is exhausted.
func (b *Balancer) choose(now time.Time, r PickInfo, candidates []*member) (PickResult, bool) {
	if len(candidates) == 0 {
		return PickResult{}, false
	}
	m := b.powerOfTwoChoices(now, candidates)
	bytes := int64(0)
	if m.locality == OtherRegion {
		bytes = r.BodyBytes
		if bytes <= 0 {
			bytes = int64(b.meanBytes)
		}
		if !b.cfg.LinkBudget.reserve(now, m.upstream.Region, bytes, linkReserveRatio(r)) {
			return PickResult{}, false
		}
	}
	m.inFlight++
	m.recordProbe(now, r)
	age := time.Duration(-1)
	if !m.loadReportAt.IsZero() {
		age = now.Sub(m.loadReportAt)
	}
	return PickResult{
		Upstream: m.upstream, Locality: m.locality, Candidates: len(candidates), HasAlternative: b.hasAlternative(now, m, r), LoadReport: m.loadReport, LoadReportAge: age, member: m, bytes: bytes,
	}, true
}

// linkReserveRatio is the ratio of a link budget that a call must leave unused, so that
// background work and retries do not use up what critical requests need.
func linkReserveRatio(r PickInfo) float64 {
	switch {
	case r.Retry || r.Priority.Class() == chain.Sheddable:
		return 0.5
	case r.Priority.Class() == chain.Default:
		return 0.25
	}
	return 0
}

// powerOfTwoChoices returns the member of lower cost of two random candidates.
func (b *Balancer) powerOfTwoChoices(now time.Time, candidates []*member) *member {
	n := len(candidates)
	if n == 1 {
		return candidates[0]
	}
	i := b.rng.IntN(n)
	j := b.rng.IntN(n - 1)
	if j >= i {
		j++
	}
	x, y := candidates[i], candidates[j]
	if y.cost(now, &b.cfg, b.meanLatency) < x.cost(now, &b.cfg, b.meanLatency) {
		return y
	}
	return x
}

// Done records the end of an attempt.
func (b *Balancer) Done(now time.Time, picked PickResult, info DoneInfo) {
	m := picked.member
	if m == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	m.inFlight = max(m.inFlight-1, 0)
	if info.LoadReport != nil {
		m.loadReport, m.loadReportAt = *info.LoadReport, now
	}
	if info.Bytes > 0 {
		b.meanBytes += (float64(info.Bytes) - b.meanBytes) / 64
	}
	if m.locality == OtherRegion {
		b.cfg.LinkBudget.settle(now, m.upstream.Region, picked.bytes, info.Bytes)
	}
	m.observeRouteLatency(now, info)
	m.failures.observe(now, info)
	b.updateHealth(now, m, info)
}

// updateHealth updates the failures, ejection and latency of an upstream.
func (b *Balancer) updateHealth(now time.Time, m *member, r DoneInfo) {
	latency := r.Latency.Seconds()
	switch {
	case r.Outcome == chain.OK:
		m.consecutiveFailures, m.consecutiveEjections, m.unhealthyUntil = 0, 0, time.Time{}
		b.observeMeanLatency(latency)
		m.observeLatency(now, latency, b.cfg.LatencyTimeConstant)
	case r.Reason == chain.ReasonDraining:
		m.draining = true
	case r.Reason == chain.ReasonUnhealthy:
		m.unhealthyUntil = now.Add(probeInterval)
	case isUpstreamFault(r):
		m.consecutiveFailures++
		m.failedAt = now
		m.timedOut = r.Reason == chain.ReasonDeadline
		if b.meanLatency > 0 && latency > max(m.latency, b.meanLatency) { // a fast failure must not lower the latency
			m.observeLatency(now, latency, b.cfg.LatencyTimeConstant)
		}
		b.maybeEject(now, m)
	}
}

func (b *Balancer) observeMeanLatency(latency float64) {
	if b.meanLatency == 0 {
		b.meanLatency = latency
	}
	b.meanLatency += (latency - b.meanLatency) / 32
}

// isUpstreamFault reports whether a failure is attributable to the upstream. Rejections
// under load, failures of downstream dependencies and client cancellations are not.
func isUpstreamFault(r DoneInfo) bool {
	if r.FromDependency || r.Reason == chain.ReasonCancelled || r.Reason == chain.ReasonDownstream {
		return false
	}
	if r.Outcome == chain.NotRun {
		return r.Reason == chain.ReasonConnect
	}
	return true
}

// maybeEject ejects a member after too many consecutive failures if the ejection limit
// allows it.
func (b *Balancer) maybeEject(now time.Time, m *member) {
	if m.consecutiveFailures < b.cfg.ConsecutiveFailures || m.ejected(now) || b.byID[m.upstream.ID] != m {
		return
	}
	if m.timedOut && b.serviceWideSlowness(now) {
		return
	}
	var earliest *member
	ejected, usable := b.countEjected(now, &earliest)
	if ejected+1 > maxEjected(len(b.members)) || usable <= 1 {
		return
	}
	m.ejectedUntil = now.Add(b.ejectionTime(m))
	m.consecutiveEjections++
	m.slowStartAt = m.ejectedUntil // slow start after the ejection
}

// serviceWideSlowness reports whether more upstreams miss deadlines than may be ejected,
// and if so ends their ejections: the service as a whole is slow, and would be slower
// without a third of its upstreams.
func (b *Balancer) serviceWideSlowness(now time.Time) bool {
	slow := 0
	for _, m := range b.members {
		if m.timedOut && m.consecutiveFailures >= b.cfg.ConsecutiveFailures {
			slow++
		}
	}
	if slow <= maxEjected(len(b.members)) {
		return false
	}
	for _, m := range b.members {
		if m.timedOut && m.ejected(now) {
			m.ejectedUntil = now
			m.slowStartAt = now.Add(-b.cfg.SlowStart) // no slow start, as the upstream was not at fault
		}
	}
	return true
}

// ejectionTime returns the duration of the next ejection of a member: exponential backoff
// with a random extension of up to a quarter.
func (b *Balancer) ejectionTime(m *member) time.Duration {
	d := b.cfg.BaseEjectionTime << min(m.consecutiveEjections, 16)
	if d > b.cfg.MaxEjectionTime || d <= 0 {
		d = b.cfg.MaxEjectionTime
	}
	return d + time.Duration(b.rng.Int64N(int64(d)/4+1)) // so that not all daemons send calls again at once
}
