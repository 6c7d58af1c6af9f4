package admission

import (
	"math"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/routemap"
)

// The parameters of HealthTracker.
const (
	// faultWeight is the weight of one execution in the moving average of the fault ratio.
	faultWeight = 0.05
	// maxFaultRatio is the fault ratio above which an upstream is failing. It equals the usual
	// retry budget: below it, retries make up for the faults and cost less traffic between
	// availability zones than sending all requests elsewhere.
	maxFaultRatio = 0.2
	// faultDecay is the time constant with which the fault ratio decays, so that an upstream that
	// gets no requests is used again.
	faultDecay = 5 * time.Second
	// minHealthSamples is the number of responses after which the mean execution time of a route
	// is used.
	minHealthSamples = 20
	// meanSamples is the number of responses that the moving average of the execution time
	// covers. Execution times vary much, so a shorter average would be too noisy.
	meanSamples = 50
	// slowFactor is the multiple of the mean execution time within which a response is expected.
	// An upstream whose executions take twice as long as before is slow rather than unresponsive;
	// callers detect that by their own deadlines.
	slowFactor = 2
	// overdueThreshold is the number of overdue responses at which an upstream is unresponsive.
	// The expected responses follow from the executions in flight and slowFactor times their mean
	// execution time. If execution times vary, a few responses are overdue by chance.
	overdueThreshold = 9
	// overdueRetained is the factor by which a response reduces the overdue responses before the
	// response itself is subtracted: an upstream that keeps responding is slow at most.
	overdueRetained = 0.75
	// maxOverdue bounds the overdue responses, so that an upstream that responds again is soon
	// used.
	maxOverdue = 1.5 * overdueThreshold
	// probeIntervalIdempotent and probeInterval are the intervals at which an unhealthy upstream
	// gets an idempotent request and any other one as a probe. A probe may fail, but detects a
	// recovery.
	probeIntervalIdempotent = 100 * time.Millisecond
	probeInterval           = time.Second
)

// HealthSample classifies the result of an execution by what it says about the health of the
// upstream.
type HealthSample uint8

// The samples.
const (
	SampleSuccess HealthSample = iota // the upstream responded
	SampleFault                       // the upstream failed or rejected the request, and the cause is its own
	SampleIgnored                     // the deadline passed or the client cancelled
)

// HealthState is the health of an upstream, derived from its executions.
type HealthState uint8

// The states.
const (
	Healthy      HealthState = iota
	Failing                  // the fault ratio is above maxFaultRatio
	Unresponsive             // more responses are overdue than chance explains
)

var healthStateNames = [...]string{"healthy", "failing", "hanging"}

// String returns the name used in logs.
func (s HealthState) String() string { return healthStateNames[s] }

// HealthTracker derives the health of an upstream from all executions, whatever its health checks
// report. It detects upstreams that fail, reject or hang while their health checks pass; each
// caller on its own would have to lose several requests to detect that. While an upstream is
// unhealthy, requests that another upstream can take are rejected as not run. The zero value is
// ready for use.
type HealthTracker struct {
	mu           sync.Mutex
	state        HealthState
	faultRatio   float64 // moving average of the ratio of faulty executions
	faultRatioAt time.Time
	routes       routemap.Map[routeExecutions]
	overdue      float64   // expected responses that have not arrived
	overdueAt    time.Time // time of the last update of overdue
	lastProbe    time.Time // last probe of an unhealthy upstream
}

// routeExecutions holds the executions of one route. Routes are tracked separately, since a few
// long executions among many short ones would look like overdue responses.
type routeExecutions struct {
	mean     time.Duration // moving average of the execution time of requests with a response
	samples  int
	inFlight int
}

// HealthStatus is the state of a HealthTracker, for logs.
type HealthStatus struct {
	State            HealthState
	FaultRatio       float64 // moving average of the ratio of faulty executions
	OverdueResponses float64 // expected responses that have not arrived
	InFlight         int
}

// ExecutionStarted records the start of an execution.
func (h *HealthTracker) ExecutionStarted(now time.Time, route string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateOverdue(now)
	h.routes.GetOrCreate(route).inFlight++
}

// ExecutionEnded records the end of an execution and its duration.
func (h *HealthTracker) ExecutionEnded(now time.Time, route string, duration time.Duration, sample HealthSample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateOverdue(now)
	executions := h.routes.GetOrCreate(route)
	executions.inFlight--
	if sample == SampleIgnored {
		return
	}
	if h.state == Unresponsive {
		h.overdue /= 2 // a few responses to probes are enough for a recovery
	} else {
		h.overdue = max(h.overdue*overdueRetained-1, 0)
	}
	fault := 0.0
	if sample == SampleFault {
		fault = 1
	} else {
		executions.observe(duration)
	}
	h.faultRatio, h.faultRatioAt = h.decayedFaultRatio(now)*(1-faultWeight)+fault*faultWeight, now
}

func (r *routeExecutions) observe(duration time.Duration) {
	r.samples++
	if r.samples == 1 {
		r.mean = duration
	}
	r.mean += (duration - r.mean) / meanSamples
}

// expectedRate is the minimum rate of responses to expect, per second.
func (r *routeExecutions) expectedRate() float64 {
	if r.samples < minHealthSamples {
		return 0
	}
	return float64(r.inFlight) / (slowFactor * max(r.mean, time.Millisecond).Seconds())
}

// updateOverdue adds the responses that were expected since the last update.
func (h *HealthTracker) updateOverdue(now time.Time) {
	if d := now.Sub(h.overdueAt); d > 0 {
		expected := 0.0
		h.routes.Range(func(r *routeExecutions) { expected += r.expectedRate() * d.Seconds() })
		h.overdue = min(h.overdue+expected, maxOverdue)
	}
	h.overdueAt = now
}

func (h *HealthTracker) decayedFaultRatio(now time.Time) float64 {
	return h.faultRatio * math.Exp(-max(now.Sub(h.faultRatioAt), 0).Seconds()/faultDecay.Seconds())
}

// updateState derives the state from the overdue responses and the fault ratio.
func (h *HealthTracker) updateState(now time.Time) {
	h.updateOverdue(now)
	switch {
	case h.overdue >= overdueThreshold:
		h.state = Unresponsive
	case h.decayedFaultRatio(now) > maxFaultRatio:
		h.state = Failing
	default:
		h.state = Healthy
	}
}

// Allow reports whether the health of the upstream allows a request. An unhealthy upstream gets
// only occasional probes if there is an alternative, that is, another upstream that can take the
// request. Without an alternative, every request is allowed, since an unhealthy upstream is
// better than none.
func (h *HealthTracker) Allow(now time.Time, alternative, idempotent bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateState(now)
	if h.state == Healthy || !alternative {
		return true
	}
	interval := probeInterval
	if idempotent {
		interval = probeIntervalIdempotent
	}
	if now.Sub(h.lastProbe) < interval {
		return false
	}
	h.lastProbe = now
	return true
}

// Status returns the current state.
func (h *HealthTracker) Status(now time.Time) HealthStatus {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateState(now)
	inFlight := 0
	h.routes.Range(func(r *routeExecutions) { inFlight += r.inFlight })
	return HealthStatus{State: h.state, FaultRatio: h.decayedFaultRatio(now), OverdueResponses: h.overdue, InFlight: inFlight}
}
