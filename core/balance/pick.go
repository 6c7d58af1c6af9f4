package balance

import (
	"slices"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// Pick chooses the upstream of an attempt. It fails with the outcome not-run if
// no upstream is usable or the byte budget of the link does not allow it.
func (b *Balancer) Pick(now time.Time, r Request) (Choice, *chain.Failure) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c, ok := b.pickWithRoom(now, r); ok {
		return c, nil
	}
	return b.pickAny(now, r)
}

// pickWithRoom takes the nearest tier with an upstream that is neither ejected
// nor saturated.
func (b *Balancer) pickWithRoom(now time.Time, r Request) (Choice, bool) {
	for t := range numTiers {
		candidates := b.candidates(t, r, func(m *member) bool {
			return !m.ejected(now) && !m.saturated(now, r.Priority)
		})
		if c, ok := b.choose(now, r, candidates); ok {
			return c, true
		}
	}
	return Choice{}, false
}

// pickAny is used when all tiers are saturated or ejected: the gate of the
// nearest usable upstream decides by priority. Ejected ones come last, since
// a suspected upstream is better than none.
func (b *Balancer) pickAny(now time.Time, r Request) (Choice, *chain.Failure) {
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
		return Choice{}, chain.NewFailure(chain.NotRun, chain.ReasonLinkBudget, "the byte budget of the region link is spent")
	}
	return Choice{}, chain.NewFailure(chain.NotRun, chain.ReasonNoUpstream, "no usable upstream is known")
}

// candidates returns the members of a tier that are not draining, not excluded
// and accepted by ok. The slice is valid until the next call.
func (b *Balancer) candidates(t Tier, r Request, ok func(*member) bool) []*member {
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
func (b *Balancer) choose(now time.Time, r Request, candidates []*member) (Choice, bool) {
	if len(candidates) == 0 {
		return Choice{}, false
	}
	m := b.better(now, candidates)
	bytes := int64(0)
	if m.tier == OtherRegion {
		bytes = r.Bytes
		if bytes <= 0 {
			bytes = int64(b.avgBytes)
		}
		if !b.cfg.Links.take(now, m.up.Region, bytes, r.Retry) {
			return Choice{}, false
		}
	}
	m.inFlight++
	return Choice{Upstream: m.up, Tier: m.tier, Usable: len(candidates), member: m, bytes: bytes}, true
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
	fallback := max(x.latency, y.latency, 0.001)
	if y.cost(now, &b.cfg, fallback) < x.cost(now, &b.cfg, fallback) {
		return y
	}
	return x
}

// Done ends an attempt.
func (b *Balancer) Done(now time.Time, c Choice, r Result) {
	m := c.member
	if m == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	m.inFlight = max(m.inFlight-1, 0)
	if r.Report != nil {
		m.report, m.reportAt = *r.Report, now
	}
	if r.Bytes > 0 {
		b.avgBytes += (float64(r.Bytes) - b.avgBytes) / 64
	}
	if m.tier == OtherRegion {
		b.cfg.Links.settle(now, m.up.Region, c.bytes, r.Bytes)
	}
	b.judge(now, m, r)
}

// judge updates the trust in an upstream.
func (b *Balancer) judge(now time.Time, m *member, r Result) {
	latency := r.Latency.Seconds()
	switch {
	case r.Outcome == chain.OK:
		m.failures, m.ejections = 0, 0
		m.observeLatency(now, latency, b.cfg.LatencyTimeConst)
	case r.Reason == chain.ReasonDraining:
		m.draining = true
	case isFault(r):
		m.failures++
		if latency > m.latency { // a fast failure must not make an upstream look fast
			m.observeLatency(now, latency, b.cfg.LatencyTimeConst)
		}
		b.maybeEject(now, m)
	}
}

// isFault reports whether a result speaks against the upstream itself: refusals
// under load, faults further down and callers that left do not.
func isFault(r Result) bool {
	if r.Deep || r.Reason == chain.ReasonCancelled || r.Reason == chain.ReasonDownstream {
		return false
	}
	if r.Outcome == chain.NotRun {
		return r.Reason == chain.ReasonConnect
	}
	return true
}

func (b *Balancer) maybeEject(now time.Time, m *member) {
	if m.failures < b.cfg.EjectAfter || m.ejected(now) || b.byID[m.up.ID] != m {
		return
	}
	var earliest *member
	ejected, usable := b.countEjected(now, &earliest)
	if ejected+1 > maxEjected(len(b.members)) || usable <= 1 {
		return
	}
	d := b.cfg.EjectTime << min(m.ejections, 16)
	if d > b.cfg.MaxEjectTime || d <= 0 {
		d = b.cfg.MaxEjectTime
	}
	d += time.Duration(b.rng.Int64N(int64(d)/4 + 1)) // daemons must not return together
	m.ejections++
	m.ejectedUntil = now.Add(d)
	m.since = m.ejectedUntil // slow start after the return
}
