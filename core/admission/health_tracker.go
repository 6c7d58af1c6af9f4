package admission

import (
	"math"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/routemap"
)

// The parameters of HealthTracker.
const (
	// healthWeight is the weight of one run in the share of faulty ones.
	healthWeight = 0.05
	// healthFaults is the share of faulty runs above which an upstream is unhealthy. It
	// is the share of repeats that users usually allow: below it, repeats make up for
	// the faults and cost fewer bytes between availability zones.
	healthFaults = 0.2
	// healthForget is the time constant with which faults are forgotten, so that an
	// upstream that nobody calls is tried again.
	healthForget = 5 * time.Second
	// healthSamples is the number of answers after which the usual run time of a route is
	// known.
	healthSamples = 20
	// usualSamples is the number of answers that the usual run time is an average of. Times
	// of runs vary much, and their average must not.
	usualSamples = 50
	// slowFactor is how much longer than usual runs may take: an upstream whose runs take
	// twice as long is slow, which its callers see by their own time limits.
	slowFactor = 2
	// missedAnswers is the number of answers that are missing, by the number of runs and
	// slowFactor times their usual time, from which on the upstream hangs. Runs of varying
	// length miss a few by chance.
	missedAnswers = 9
	// missingKept is the part of the missing answers that stays when one comes, besides the
	// one that came: an upstream that answers all the time is at most slow.
	missingKept = 0.75
	// maxMissing bounds the missing answers that are remembered, so that an upstream that
	// answers again is soon used.
	maxMissing = 1.5 * missedAnswers
	// tryRepeatable and tryOther are the intervals at which an unhealthy upstream gets a
	// run, one that may be repeated and any other: each may be lost, but shows a recovery.
	tryRepeatable = 100 * time.Millisecond
	tryOther      = time.Second
)

// HealthSample is what a run says of its upstream.
type HealthSample uint8

// The verdicts.
const (
	SampleSuccess HealthSample = iota // the upstream answered
	SampleFault                       // it failed or refused for a reason of its own
	SampleIgnored                     // its time was over or its caller left
)

// HealthState is what an upstream's runs say of it.
type HealthState uint8

// The states.
const (
	Healthy      HealthState = iota
	Failing                  // much of what it gets fails for reasons of its own
	Unresponsive             // it owes more answers than chance explains
)

var healthNames = [...]string{"healthy", "failing", "hanging"}

// String returns the name used in logs.
func (s HealthState) String() string { return healthNames[s] }

// HealthTracker judges from all runs at an upstream whether it does its work, whatever its
// health checks say. It answers upstreams that fail, refuse or hang while they look well:
// each caller alone would need some lost requests of its own to see it. The gate refuses
// for it, as not run, what another upstream can take. The zero value is ready for use.
type HealthTracker struct {
	mu      sync.Mutex
	state   HealthState
	share   float64 // of faulty runs
	shareAt time.Time
	routes  routemap.Map[routeRuns]
	missing float64   // answers that should have come, less those that did
	at      time.Time // up to when missing is counted
	tried   time.Time // last run of an unhealthy upstream
}

// routeRuns are the runs of one route. Routes are told apart, since a few long runs among
// many short ones would look like missing answers.
type routeRuns struct {
	usual   time.Duration // run time of answered runs
	samples int
	running int
}

// HealthStatus is what HealthTracker goes by, for logs.
type HealthStatus struct {
	State            HealthState
	FaultRatio       float64 // of faulty runs
	OverdueResponses float64 // answers that should have come, less those that did
	InFlight         int
}

// ExecutionStarted notes the start of a run.
func (h *HealthTracker) ExecutionStarted(now time.Time, route string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count(now)
	h.routes.GetOrCreate(route).running++
}

// ExecutionEnded notes the end of a run that took some time.
func (h *HealthTracker) ExecutionEnded(now time.Time, route string, took time.Duration, v HealthSample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count(now)
	runs := h.routes.GetOrCreate(route)
	runs.running--
	if v == SampleIgnored {
		return
	}
	if h.state == Unresponsive {
		h.missing /= 2 // a few answers to tries show a recovery
	} else {
		h.missing = max(h.missing*missingKept-1, 0)
	}
	fault := 0.0
	if v == SampleFault {
		fault = 1
	} else {
		runs.observe(took)
	}
	h.share, h.shareAt = h.shareNow(now)*(1-healthWeight)+fault*healthWeight, now
}

func (r *routeRuns) observe(took time.Duration) {
	r.samples++
	if r.samples == 1 {
		r.usual = took
	}
	r.usual += (took - r.usual) / usualSamples
}

// due is the rate at which answers should come at least, by the second.
func (r *routeRuns) due() float64 {
	if r.samples < healthSamples {
		return 0
	}
	return float64(r.running) / (slowFactor * max(r.usual, time.Millisecond).Seconds())
}

// count adds the answers that should have come since the last event.
func (h *HealthTracker) count(now time.Time) {
	if d := now.Sub(h.at); d > 0 {
		due := 0.0
		h.routes.Range(func(r *routeRuns) { due += r.due() * d.Seconds() })
		h.missing = min(h.missing+due, maxMissing)
	}
	h.at = now
}

func (h *HealthTracker) shareNow(now time.Time) float64 {
	return h.share * math.Exp(-max(now.Sub(h.shareAt), 0).Seconds()/healthForget.Seconds())
}

// judge brings the state up to date.
func (h *HealthTracker) judge(now time.Time) {
	h.count(now)
	switch {
	case h.missing >= missedAnswers:
		h.state = Unresponsive
	case h.shareNow(now) > healthFaults:
		h.state = Failing
	default:
		h.state = Healthy
	}
}

// Allow reports whether a request may run for all that is known of the upstream's
// health. An unhealthy one gets a try now and then. Spare tells that another upstream
// can take the request; without one it may always run, as a suspected upstream is better
// than none.
func (h *HealthTracker) Allow(now time.Time, spare, repeatable bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.judge(now)
	if h.state == Healthy || !spare {
		return true
	}
	every := tryOther
	if repeatable {
		every = tryRepeatable
	}
	if now.Sub(h.tried) < every {
		return false
	}
	h.tried = now
	return true
}

// Status returns what is known now.
func (h *HealthTracker) Status(now time.Time) HealthStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.judge(now)
	running := 0
	h.routes.Range(func(r *routeRuns) { running += r.running })
	return HealthStatus{State: h.state, FaultRatio: h.shareNow(now), OverdueResponses: h.missing, InFlight: running}
}
