package balance

import (
	"math"
	"slices"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// member is what the balancer knows of one upstream.
type member struct {
	up       Upstream
	tier     Locality
	since    time.Time // start of the slow start
	inFlight int       // attempts of this daemon

	latency   float64 // average in seconds; 0 before the first sample
	latencyAt time.Time

	failures     int // consecutive
	failedAt     time.Time
	timedOut     bool // the last failure was a missed deadline
	ejections    int  // consecutive, for the exponential time
	ejectedUntil time.Time
	unhealthyTo  time.Time // its gate refused a call as unhealthy, and is left until then
	draining     bool      // refused with the reason draining since the last announcement

	report   admission.LoadReport
	reportAt time.Time
	routes   map[string]*routeLatency // by route
	faults   faultShare
}

// minWeight is the weight at the begin of the slow start. It is above zero, so
// that a cold upstream gets the calls that warm it up.
const minWeight = 0.1

// trust is 1 for a warm upstream without failures. It rises linearly during
// the slow start and falls with consecutive failures: ejection is bounded, and
// this also spares those that may not be ejected.
func (m *member) trust(now time.Time, slowStart time.Duration) float64 {
	t := 1.0
	if age := now.Sub(m.since); age < slowStart {
		t = max(minWeight, float64(age)/float64(slowStart))
	}
	if m.failures > 0 {
		t /= 1 + float64(m.failures)*forget(now, m.failedAt)
	}
	return t
}

func (m *member) ejected(now time.Time) bool { return now.Before(m.ejectedUntil) }

func (m *member) level(now time.Time) chain.Priority {
	if m.report.Level == 0 {
		return 0
	}
	return admission.DecayLevel(m.report.Level, now.Sub(m.reportAt))
}

// saturated reports whether the upstream would refuse or queue the call. A
// report can only add to what this daemon sees itself: an upstream that reports
// no load keeps the bound of its declared slots.
func (m *member) saturated(now time.Time, p chain.Priority, slots int) bool {
	if m.level(now) > p {
		return true
	}
	if slots > 0 && m.inFlight >= slots {
		return true
	}
	fresh := now.Sub(m.reportAt) < admission.LevelTTL
	return fresh && m.report.Limit > 0 && m.report.Queued >= m.report.Limit
}

// forgetTime is the time constant with which a high latency and the failures
// of an upstream without new samples are forgotten. Without it, an upstream that
// lost all comparisons would get no call that shows its recovery.
const forgetTime = 5 * time.Second

func forget(now, since time.Time) float64 {
	return math.Exp(-max(now.Sub(since), 0).Seconds() / forgetTime.Seconds())
}

// cost is the product that the choice compares; usual is the average latency of
// the service in seconds, which stands in for missing samples.
func (m *member) cost(now time.Time, cfg *Config, usual float64) float64 {
	c := float64(m.inFlight+1) * m.expectedLatency(now, usual)
	c *= 1 + float64(m.level(now))/float64(chain.MaxPriority)
	return c / m.trust(now, cfg.SlowStart)
}

func (m *member) expectedLatency(now time.Time, usual float64) float64 {
	if m.latency == 0 {
		return max(usual, 1e-6) // never zero, or the number in flight would not count
	}
	if m.latency <= usual {
		return m.latency
	}
	return usual + (m.latency-usual)*forget(now, m.latencyAt)
}

const (
	minSampleWeight = 0.05
	// maxSampleWeight keeps one slow answer after a pause from turning calls
	// away for seconds.
	maxSampleWeight = 0.3
)

// observeLatency adds a sample to the average, weighted by the time since the
// last one, so that the average follows the clock and not the call rate.
func (m *member) observeLatency(now time.Time, sample float64, timeConst time.Duration) {
	if m.latency == 0 {
		m.latency, m.latencyAt = sample, now
		return
	}
	dt := max(now.Sub(m.latencyAt).Seconds(), 0)
	w := 1 - math.Exp(-dt/timeConst.Seconds())
	w = min(max(w, minSampleWeight), maxSampleWeight)
	m.latency += (sample - m.latency) * w
	m.latencyAt = now
}

// SetUpstreams replaces the members of the service. What was learnt of a member
// that stays is kept.
func (b *Balancer) SetUpstreams(now time.Time, ups []Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := len(b.byID) == 0
	byID := make(map[string]*member, len(ups))
	b.members = b.members[:0]
	for _, u := range ups {
		if byID[u.ID] != nil {
			continue
		}
		m := b.byID[u.ID]
		if m == nil {
			m = &member{since: now}
			if first {
				m.since = u.ServingSince // nothing to compare with: trust the announcements
			}
		}
		b.update(now, m, u)
		byID[u.ID] = m
		b.members = append(b.members, m)
	}
	b.byID = byID
	slices.SortStableFunc(b.members, func(x, y *member) int { return int(x.tier) - int(y.tier) })
	b.setEnds()
	b.boundEjections(now)
}

func (b *Balancer) update(now time.Time, m *member, u Upstream) {
	if u.ServingSince.After(m.up.ServingSince) && m.up.ID != "" {
		// Restarted: the load and the failures belong to the former process.
		inFlight := m.inFlight
		*m = member{inFlight: inFlight, since: now}
	}
	m.up = u
	m.tier = b.tierOf(u)
	m.draining = u.Draining
}

func (b *Balancer) setEnds() {
	for t := range b.ends {
		b.ends[t] = 0
		for _, m := range b.members {
			if int(m.tier) <= t {
				b.ends[t]++
			}
		}
	}
}

// boundEjections ends the ejections that are due first until the bound holds
// for the current members.
func (b *Balancer) boundEjections(now time.Time) {
	for {
		var earliest *member
		ejected, usable := b.countEjected(now, &earliest)
		if ejected == 0 || (ejected <= maxEjected(len(b.members)) && usable > 0) {
			return
		}
		earliest.ejectedUntil = now
	}
}

func (b *Balancer) countEjected(now time.Time, earliest **member) (ejected, usable int) {
	for _, m := range b.members {
		switch {
		case m.ejected(now):
			ejected++
			if *earliest == nil || m.ejectedUntil.Before((*earliest).ejectedUntil) {
				*earliest = m
			}
		case !m.draining:
			usable++
		}
	}
	return ejected, usable
}

// maxEjected is the bound on the ejected upstreams of a service: a third.
func maxEjected(members int) int { return members / 3 }
