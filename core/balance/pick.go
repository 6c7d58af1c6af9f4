package balance

import (
	"slices"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// Pick chooses the upstream of an attempt. It fails with the outcome not-run if
// no upstream is usable or the byte budget of the link does not allow it.
func (b *Balancer) Pick(now time.Time, r PickInfo) (PickResult, *chain.Failure) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.pickWithRoom(now, r); ok {
		return c, nil
	}
	if r.Retry {
		// The first attempt was refused, and nobody else has room either.
		return PickResult{}, chain.NewFailure(chain.NotRun, chain.ReasonOverload, "no other upstream has room for a retry")
	}
	return b.pickAny(now, r)
}

// movableBytes is the largest call that leaves its availability zone for an upstream
// that is faster or fails less often. Larger ones leave it for lack of room only, since
// links are paid by the byte.
const movableBytes = 8 << 10

// attempt is a tier with the conditions under which its upstreams are taken.
type attempt struct {
	tier   Locality
	scaled bool    // slots are scaled by trust
	spread float64 // mean deviations above the mean latency of a route that a call must have left
}

// attempts is the order in which tiers are tried. A cold or suspected upstream
// is filled up to its declared slots before a call leaves the region, and a risk
// of a late answer is taken that another availability zone would spare.
var attempts = [...]attempt{
	{SameAvailabilityZone, true, zoneSpread},
	{SameRegion, true, zoneSpread},
	{SameAvailabilityZone, false, regionSpread},
	{SameRegion, false, regionSpread},
	{OtherRegion, true, regionSpread},
}

// pickWithRoom takes the nearest tier with an upstream that is neither ejected nor
// saturated, is likely to answer in time, and whose requests seldom fail. If there is
// none, it takes the nearest one with room.
func (b *Balancer) pickWithRoom(now time.Time, r PickInfo) (PickResult, bool) {
	avoid := b.avoidsUnhealthy(now)
	hasRoom := func(m *member, a attempt) bool {
		return !m.ejected(now) && !(avoid && m.unhealthy(now)) && !m.saturated(now, r.Priority, b.slots(now, m, a.scaled))
	}
	if r.BodyBytes <= movableBytes {
		picky := b.avoidsFaulty(now)
		serves := func(m *member, a attempt) bool {
			return hasRoom(m, a) && m.canMeet(now, r, a.spread) && (!picky || m.reliable(now))
		}
		if c, ok := b.pickNearest(now, r, serves); ok {
			return c, true
		}
	}
	return b.pickNearest(now, r, hasRoom)
}

// pickNearest takes an upstream of the nearest tier that has one that is accepted by ok.
func (b *Balancer) pickNearest(now time.Time, r PickInfo, ok func(*member, attempt) bool) (PickResult, bool) {
	for _, a := range attempts {
		candidates := b.candidates(a.tier, r, func(m *member) bool { return ok(m, a) })
		if c, found := b.choose(now, r, candidates); found {
			return c, true
		}
	}
	return PickResult{}, false
}

// slots is the number of own calls above which an upstream is saturated.
// Without the scaling, a cold upstream would get all calls for which warm ones
// have no room.
func (b *Balancer) slots(now time.Time, m *member, scaled bool) int {
	if !scaled || m.up.Slots <= 0 {
		return m.up.Slots
	}
	return max(1, int(float64(m.up.Slots)*m.trust(now, b.cfg.SlowStart)))
}

// pickAny is used when all tiers are saturated or ejected: the gate of the
// nearest usable upstream decides by priority. Ejected ones come last, since
// a suspected upstream is better than none.
func (b *Balancer) pickAny(now time.Time, r PickInfo) (PickResult, *chain.Failure) {
	linkSpent := false
	for _, allowEjected := range []bool{false, true} {
		for t := range numTiers {
			candidates := b.candidates(t, r, func(m *member) bool { return allowEjected || !m.ejected(now) })
			if c, ok := b.choose(now, r, candidates); ok {
				return c, nil
			}
			linkSpent = linkSpent || len(candidates) > 0
		}
	}
	if linkSpent {
		return PickResult{}, chain.NewFailure(chain.NotRun, chain.ReasonLinkBudget, "the byte budget of the region link is spent")
	}
	return PickResult{}, chain.NewFailure(chain.NotRun, chain.ReasonNoUpstream, "no usable upstream is known")
}

// candidates returns the members of a tier that are not draining, not excluded
// and accepted by ok. The slice is valid until the next call.
func (b *Balancer) candidates(t Locality, r PickInfo, ok func(*member) bool) []*member {
	begin := 0
	if t > 0 {
		begin = b.ends[t-1]
	}
	b.scratch = b.scratch[:0]
	for _, m := range b.members[begin:b.ends[t]] {
		if m.draining || slices.Contains(r.Exclude, m.up.ID) || !ok(m) {
			continue
		}
		b.scratch = append(b.scratch, m)
	}
	return b.scratch
}

// choose compares two random candidates. It fails if there is none or if the
// link to the chosen region has no budget left.
func (b *Balancer) choose(now time.Time, r PickInfo, candidates []*member) (PickResult, bool) {
	if len(candidates) == 0 {
		return PickResult{}, false
	}
	m := b.better(now, candidates)
	bytes := int64(0)
	if m.tier == OtherRegion {
		bytes = r.BodyBytes
		if bytes <= 0 {
			bytes = int64(b.avgBytes)
		}
		if !b.cfg.LinkBudget.take(now, m.up.Region, bytes, linkReserve(r)) {
			return PickResult{}, false
		}
	}
	m.inFlight++
	m.noteTry(now, r)
	age := time.Duration(-1)
	if !m.reportAt.IsZero() {
		age = now.Sub(m.reportAt)
	}
	return PickResult{
		Upstream: m.up, Locality: m.tier, Candidates: len(candidates), HasAlternative: b.hasSpare(now, m, r), LoadReport: m.report, LoadReportAge: age, member: m, bytes: bytes,
	}, true
}

// linkReserve is the part of a link budget that a request must leave, so that
// refused background work and retries do not spend what bookings need.
func linkReserve(r PickInfo) float64 {
	switch {
	case r.Retry || r.Priority.Class() == chain.Sheddable:
		return 0.5
	case r.Priority.Class() == chain.Default:
		return 0.25
	}
	return 0
}

func (b *Balancer) better(now time.Time, candidates []*member) *member {
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
	if y.cost(now, &b.cfg, b.usual) < x.cost(now, &b.cfg, b.usual) {
		return y
	}
	return x
}

// Done ends an attempt.
func (b *Balancer) Done(now time.Time, c PickResult, r DoneInfo) {
	m := c.member
	if m == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	m.inFlight = max(m.inFlight-1, 0)
	if r.LoadReport != nil {
		m.report, m.reportAt = *r.LoadReport, now
	}
	if r.Bytes > 0 {
		b.avgBytes += (float64(r.Bytes) - b.avgBytes) / 64
	}
	if m.tier == OtherRegion {
		b.cfg.LinkBudget.settle(now, m.up.Region, c.bytes, r.Bytes)
	}
	m.noteLatency(now, r)
	m.faults.note(now, r)
	b.judge(now, m, r)
}

// judge updates the trust in an upstream.
func (b *Balancer) judge(now time.Time, m *member, r DoneInfo) {
	latency := r.Latency.Seconds()
	switch {
	case r.Outcome == chain.OK:
		m.failures, m.ejections, m.unhealthyTo = 0, 0, time.Time{}
		b.observeUsual(latency)
		m.observeLatency(now, latency, b.cfg.LatencyTimeConstant)
	case r.Reason == chain.ReasonDraining:
		m.draining = true
	case r.Reason == chain.ReasonUnhealthy:
		m.unhealthyTo = now.Add(tryAfter)
	case isFault(r):
		m.failures++
		m.failedAt = now
		m.timedOut = r.Reason == chain.ReasonDeadline
		if b.usual > 0 && latency > max(m.latency, b.usual) { // a fast failure must not look like a fast upstream
			m.observeLatency(now, latency, b.cfg.LatencyTimeConstant)
		}
		b.maybeEject(now, m)
	}
}

func (b *Balancer) observeUsual(latency float64) {
	if b.usual == 0 {
		b.usual = latency
	}
	b.usual += (latency - b.usual) / 32
}

// isFault reports whether a result speaks against the upstream itself: refusals
// under load, faults further down and callers that left do not.
func isFault(r DoneInfo) bool {
	if r.FromDependency || r.Reason == chain.ReasonCancelled || r.Reason == chain.ReasonDownstream {
		return false
	}
	if r.Outcome == chain.NotRun {
		return r.Reason == chain.ReasonConnect
	}
	return true
}

// maybeEject ejects a member after too many failures within the bounds.
func (b *Balancer) maybeEject(now time.Time, m *member) {
	if m.failures < b.cfg.ConsecutiveFailures || m.ejected(now) || b.byID[m.up.ID] != m {
		return
	}
	if m.timedOut && b.commonSlowness(now) {
		return
	}
	var earliest *member
	ejected, usable := b.countEjected(now, &earliest)
	if ejected+1 > maxEjected(len(b.members)) || usable <= 1 {
		return
	}
	m.ejectedUntil = now.Add(b.ejectTime(m))
	m.ejections++
	m.since = m.ejectedUntil // slow start after the return
}

// commonSlowness reports whether more upstreams miss deadlines than may be
// ejected, and then ends their ejections: the service as a whole is slow, and
// without a third of its upstreams it would be slower.
func (b *Balancer) commonSlowness(now time.Time) bool {
	slow := 0
	for _, m := range b.members {
		if m.timedOut && m.failures >= b.cfg.ConsecutiveFailures {
			slow++
		}
	}
	if slow <= maxEjected(len(b.members)) {
		return false
	}
	for _, m := range b.members {
		if m.timedOut && m.ejected(now) {
			m.ejectedUntil = now
			m.since = now.Add(-b.cfg.SlowStart) // it was not the upstream, so no slow start
		}
	}
	return true
}

func (b *Balancer) ejectTime(m *member) time.Duration {
	d := b.cfg.BaseEjectionTime << min(m.ejections, 16)
	if d > b.cfg.MaxEjectionTime || d <= 0 {
		d = b.cfg.MaxEjectionTime
	}
	return d + time.Duration(b.rng.Int64N(int64(d)/4+1)) // daemons must not return together
}
