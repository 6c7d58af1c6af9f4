package balance

import (
	"math"
	"slices"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// member is the state that the balancer keeps for one upstream.
type member struct {
	upstream    Upstream
	locality    Locality
	slowStartAt time.Time // start of the slow-start period
	inFlight    int       // attempts of this daemon in flight

	latency   float64 // moving average in seconds; 0 before the first sample
	latencyAt time.Time

	consecutiveFailures  int
	failedAt             time.Time
	timedOut             bool // the last failure was a missed deadline
	consecutiveEjections int  // without a success in between, for the exponential backoff
	ejectedUntil         time.Time
	unhealthyUntil       time.Time // avoided until then, since its admission controller rejected a call as unhealthy
	draining             bool      // announced as draining, or rejected a call with this reason since the announcement

	loadReport   admission.LoadReport
	loadReportAt time.Time
	routes       map[string]*routeLatency // by route name
	failures     failureRatio
}

// minSlowStartWeight is the health weight at the start of the slow-start period. It is
// above zero, so that a cold upstream gets the calls that warm it up.
const minSlowStartWeight = 0.1

// healthWeight is 1 for an upstream without failures after its slow start. It rises
// linearly during the slow start and falls with consecutive failures. This also takes
// traffic off failing upstreams that the ejection limit keeps in use.
func (m *member) healthWeight(now time.Time, slowStart time.Duration) float64 {
	weight := 1.0
	if age := now.Sub(m.slowStartAt); age < slowStart {
		weight = max(minSlowStartWeight, float64(age)/float64(slowStart))
	}
	if m.consecutiveFailures > 0 {
		weight /= 1 + float64(m.consecutiveFailures)*decay(now, m.failedAt)
	}
	return weight
}

func (m *member) ejected(now time.Time) bool { return now.Before(m.ejectedUntil) }

func (m *member) level(now time.Time) chain.Priority {
	if m.loadReport.Level == 0 {
		return 0
	}
	return admission.DecayLevel(m.loadReport.Level, now.Sub(m.loadReportAt))
}

// saturated reports whether the upstream would reject or queue a call. A load report can
// only raise the load that this daemon counts itself: an upstream that reports no load is
// still limited to its slots.
func (m *member) saturated(now time.Time, p chain.Priority, slots int) bool {
	if m.level(now) > p {
		return true
	}
	if slots > 0 && m.inFlight >= slots {
		return true
	}
	recent := now.Sub(m.loadReportAt) < admission.LevelTTL
	return recent && m.loadReport.Limit > 0 && m.loadReport.Queued >= m.loadReport.Limit
}

// decayTime is the time constant with which a high latency and the failures of an
// upstream without new samples decay. Without the decay, an upstream that loses every
// comparison would get no call that shows its recovery.
const decayTime = 5 * time.Second

// decay returns the factor by which a value that was last updated at since has decayed.
func decay(now, since time.Time) float64 {
	return math.Exp(-max(now.Sub(since), 0).Seconds() / decayTime.Seconds())
}

// cost is the cost by which the balancer compares two upstreams: the calls in flight including
// this one, times the expected latency, times a factor of 1 to 2 for the admission level,
// divided by the health weight. meanLatency is that of the service in seconds, used in place of
// missing samples.
func (m *member) cost(now time.Time, cfg *Config, meanLatency float64) float64 {
	c := float64(m.inFlight+1) * m.expectedLatency(now, meanLatency)
	c *= 1 + float64(m.level(now))/float64(chain.NumPriorities)
	return c / m.healthWeight(now, cfg.SlowStart)
}

// expectedLatency returns the latency in seconds. A latency above meanLatency decays towards it
// without new samples.
func (m *member) expectedLatency(now time.Time, meanLatency float64) float64 {
	if m.latency == 0 {
		return max(meanLatency, 1e-6) // zero would cancel the number of calls in flight
	}
	if m.latency <= meanLatency {
		return m.latency
	}
	return meanLatency + (m.latency-meanLatency)*decay(now, m.latencyAt)
}

const (
	// minSampleWeight is the least weight of a sample in a moving average.
	minSampleWeight = 0.05
	// maxSampleWeight keeps one slow response after a pause from diverting calls for
	// seconds.
	maxSampleWeight = 0.3
)

// observeLatency adds a sample to the moving average. Its weight grows with the time since
// the last sample, so that the average follows the clock and not the call rate.
func (m *member) observeLatency(now time.Time, sample float64, timeConstant time.Duration) {
	if m.latency == 0 {
		m.latency, m.latencyAt = sample, now
		return
	}
	dt := max(now.Sub(m.latencyAt).Seconds(), 0)
	w := 1 - math.Exp(-dt/timeConstant.Seconds())
	w = min(max(w, minSampleWeight), maxSampleWeight)
	m.latency += (sample - m.latency) * w
	m.latencyAt = now
}

// SetUpstreams replaces the upstreams of the service. Upstreams that remain keep their
// state.
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
			m = &member{slowStartAt: now}
			if first {
				m.slowStartAt = u.ServingSince // all members are new to this daemon: use the announced start
			}
		}
		b.updateMember(now, m, u)
		byID[u.ID] = m
		b.members = append(b.members, m)
	}
	b.byID = byID
	slices.SortStableFunc(b.members, func(x, y *member) int { return int(x.locality) - int(y.locality) })
	b.setLocalityEnds()
	b.enforceEjectionLimit(now)
}

func (b *Balancer) updateMember(now time.Time, m *member, u Upstream) {
	if u.ServingSince.After(m.upstream.ServingSince) && m.upstream.ID != "" {
		// A later start means a new incarnation: the recorded load and failures are those of
		// the former one.
		inFlight := m.inFlight
		*m = member{inFlight: inFlight, slowStartAt: now}
	}
	m.upstream = u
	m.locality = b.localityOf(u)
	m.draining = u.Draining
}

func (b *Balancer) setLocalityEnds() {
	for locality := range b.localityEnds {
		b.localityEnds[locality] = 0
		for _, m := range b.members {
			if int(m.locality) <= locality {
				b.localityEnds[locality]++
			}
		}
	}
}

// enforceEjectionLimit ends the ejections with the earliest end until the limit holds for
// the current members.
func (b *Balancer) enforceEjectionLimit(now time.Time) {
	for {
		var earliest *member
		ejected, usable := b.countEjected(now, &earliest)
		if ejected == 0 || (ejected <= maxEjected(len(b.members)) && usable > 0) {
			return
		}
		earliest.ejectedUntil = now
	}
}

// countEjected returns the numbers of ejected and of usable members, and sets earliest to
// the member whose ejection ends first.
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

// maxEjected is the largest number of ejected upstreams of a service: a third of them.
func maxEjected(members int) int { return members / 3 }
