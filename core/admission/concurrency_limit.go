package admission

import (
	"math"
	"time"
)

// limiter determines the concurrency limit. The controller calls begin for each request that it
// starts and end for each one that finishes.
type limiter interface {
	// current returns the concurrency limit.
	current() int
	// begin records the start of a request. full reports that it took the last free slot.
	begin(now time.Time, e *entry, full bool)
	// end records the end of a request.
	end(now time.Time, e *entry, r ExecutionResult)
}

// fixedLimiter is a constant limit.
type fixedLimiter int

func (f fixedLimiter) current() int                         { return int(f) }
func (fixedLimiter) begin(time.Time, *entry, bool)          {}
func (fixedLimiter) end(time.Time, *entry, ExecutionResult) {}

const (
	// lowProbeRatio and highProbeRatio are the limits of the two probes relative to the base
	// limit. A wider range gives a clearer signal and costs more throughput.
	lowProbeRatio  = 0.90
	highProbeRatio = 1.15
	// maxStep is the largest relative change of the base limit after one round.
	maxStep = 0.2
	// slopeNoise is the standard error of a slope at which its weight is one half.
	slopeNoise = 0.2
	// slopeBias shifts the base limit slightly above the real concurrency: a limit that is a
	// tenth too high adds a tenth of the service time to the latency, one that is too low loses a
	// tenth of the throughput.
	slopeBias = 0.4
	// holdPhases is the longest pause between two rounds, in phases. The lower probe costs
	// throughput, so a limit that is about right is probed rarely.
	holdPhases = 8
	// settlePhases bounds the wait for the requests of the last probes, in phases. A shorter wait
	// omits the slow requests of the last low probe, which lowers the limit: with exponential
	// service times, 2 phases moved it from 35 to 28.
	settlePhases = 8
	// minStarts is the smallest number of request starts in a phase, and of samples for a step or
	// a penalty.
	minStarts = 16
	// minPenalty is the lowest factor on the limit for an upstream whose requests fail. It still
	// gets requests, so a recovery is detected.
	minPenalty = 0.5
	// penaltyFailureRatio is the ratio of failed requests above which the limit decreases. An
	// overloaded upstream misses many deadlines, and a lower limit would then cost throughput;
	// one that hangs or crashed fails nearly all requests.
	penaltyFailureRatio = 0.9
)

// Phases of a round. The order low, high, high, low cancels a linear drift of the service time.
// During phaseSettle, the base limit applies until the requests of the probes have finished.
const (
	phaseHold = iota
	phaseLow
	phaseHigh
	phaseHighAgain
	phaseLowAgain
	phaseSettle
	numPhases
)

// probeLimiter estimates the concurrency above which requests queue inside the upstream. While
// all slots are in use, it alternates between a limit slightly below and one slightly above the
// base limit. If the upstream executes all requests concurrently, the service time is the same in
// both probes, and the throughput follows the limit. If it queues requests internally, the
// throughput is the same and, by Little's law, the service time grows by (high - low) /
// throughput. The measured growth divided by that is the slope: 0 without internal queueing, 1
// with it. At the upstream's real concurrency, the slope has a value between these; the base
// limit moves until the slope reaches it.
//
// The slope compares two probes of the same time. A service that becomes slower with the same
// number of slots therefore keeps its limit, unlike with a latency gradient, which compares with
// an earlier latency.
//
// Comparison with a latency gradient and with hill climbing on the throughput
// (BenchmarkLimiters): with a fivefold service time and three times the demand, probeLimiter
// keeps 94 to 98% of the goodput (gradient 84 to 91%, hill climbing 62 to 81%). It finds 12 real
// slots where 35 are declared; the gradient ends at its upper bound. docs/design.md has the
// table.
type probeLimiter struct {
	base     float64 // base limit before rounding
	min, max float64
	penalty  float64 // factor on the limit, from minPenalty to 1

	round             int32
	phase             int
	phaseStarts       int
	unsaturatedStarts int // starts while slots were free, less those that took the last slot
	pendingSamples    int // samples of this round that are still in flight
	holdLength        int // length of the next phaseHold, in phases
	probesStartedAt   time.Time
	probeDuration     time.Duration // duration of the probes of this round
	probeStarts       int           // request starts during the probes of this round
	lowSamples        samples
	highSamples       samples

	succeeded, failed int // requests since the last change of the penalty
}

func newProbeLimiter(cfg Config) *probeLimiter {
	return &probeLimiter{
		base:    float64(cfg.Slots),
		min:     float64(cfg.MinLimit),
		max:     float64(cfg.MaxLimit),
		penalty: 1,
		phase:   phaseLow,
		round:   1,
	}
}

func (l *probeLimiter) current() int {
	limit := l.baseLimit()
	switch l.phase {
	case phaseLow, phaseLowAgain:
		limit = l.lowLimit()
	case phaseHigh, phaseHighAgain:
		limit = l.highLimit()
	}
	return max(1, int(math.Round(float64(limit)*l.penalty)))
}

func (l *probeLimiter) baseLimit() int { return max(1, int(math.Round(l.base))) }

func (l *probeLimiter) lowLimit() int {
	return max(1, min(l.baseLimit()-1, int(math.Round(l.base*lowProbeRatio))))
}

func (l *probeLimiter) highLimit() int {
	return max(l.baseLimit()+1, int(math.Round(l.base*highProbeRatio)))
}

func (l *probeLimiter) phaseLength() int { return max(minStarts, l.baseLimit()) }

func (l *probeLimiter) begin(now time.Time, e *entry, full bool) {
	if !full {
		if l.unsaturatedStarts++; l.phase != phaseHold && l.unsaturatedStarts > l.phaseLength() {
			l.startRound() // the samples were taken under different load
		}
		return
	}
	l.unsaturatedStarts = max(0, l.unsaturatedStarts-1)
	l.phaseStarts++
	switch l.phase {
	case phaseHold:
		if l.phaseStarts < l.holdLength*l.phaseLength() {
			return
		}
	case phaseSettle:
		if l.pendingSamples == 0 || l.phaseStarts >= settlePhases*l.phaseLength() {
			l.evaluate()
		}
		return
	default:
		l.markSample(now, e)
	}
	if l.phaseStarts >= l.phaseLength() {
		l.nextPhase(now)
	}
}

// markSample makes the request a sample of the current probe. Uploads count only towards the
// throughput: their duration depends on the customer's network connection.
func (l *probeLimiter) markSample(now time.Time, e *entry) {
	if l.phase == phaseLow && l.phaseStarts == 1 {
		l.probesStartedAt = now
	}
	l.probeStarts++
	if e.req.StreamingUpload {
		return
	}
	l.pendingSamples++
	e.probeRound = l.round
	e.highProbe = l.phase == phaseHigh || l.phase == phaseHighAgain
}

func (l *probeLimiter) nextPhase(now time.Time) {
	l.phase++
	l.phaseStarts = 0
	if l.phase == phaseSettle {
		l.probeDuration = now.Sub(l.probesStartedAt)
	}
}

// startRound discards the samples and starts a new round with phaseHold.
func (l *probeLimiter) startRound() {
	l.round++
	l.phase = phaseHold
	l.phaseStarts, l.unsaturatedStarts, l.pendingSamples, l.probeStarts = 0, 0, 0, 0
	l.lowSamples, l.highSamples = samples{}, samples{}
}

func (l *probeLimiter) end(now time.Time, e *entry, r ExecutionResult) {
	if !r.Cancelled {
		l.adjustPenalty(r.Succeeded)
	}
	if e.probeRound != l.round {
		return
	}
	l.pendingSamples--
	if r.Cancelled {
		return
	}
	probe := &l.lowSamples
	if e.highProbe {
		probe = &l.highSamples
	}
	serviceTime := r.SelfTime
	if serviceTime <= 0 {
		serviceTime = now.Sub(e.startedAt)
	}
	probe.add(serviceTime.Seconds(), r.Succeeded)
}

// evaluate adjusts the base limit at the end of a round. After a small step it pauses before the
// next round, for longer the more certain the slope is.
func (l *probeLimiter) evaluate() {
	step, weight := l.step()
	l.holdLength = 0
	if math.Abs(step) < maxStep/4 {
		l.holdLength = int(holdPhases * weight)
	}
	l.base = min(max(l.base*(1-step), l.min), l.max)
	l.startRound()
}

// step returns the relative decrease of the base limit that the probes suggest, and the weight of
// the slope according to its noise.
func (l *probeLimiter) step() (step, weight float64) {
	if l.highSamples.failureRatio() > l.lowSamples.failureRatio()+0.1 {
		return maxStep, 1 // the upstream rejects requests above its slots
	}
	if l.lowSamples.n < minStarts || l.highSamples.n < minStarts || l.probeDuration <= 0 {
		return 0, 0
	}
	base, low, high := float64(l.baseLimit()), float64(l.lowLimit()), float64(l.highLimit())
	throughput := float64(l.probeStarts) / l.probeDuration.Seconds()
	scale := throughput / ((high - low) * l.penalty)
	slope := (l.highSamples.mean() - l.lowSamples.mean()) * scale
	noise := math.Sqrt(l.highSamples.errorSquared()+l.lowSamples.errorSquared()) * scale
	slope = min(max(slope, -0.5), 1.5)
	target := (high - base) / (high - low) // slope at the real concurrency
	target += slopeBias * (1 - target)
	deviation := (slope - target) / max(target, 0.2)
	if slope > target {
		deviation = (slope - target) / max(1-target, 0.2)
	}
	weight = 1 / (1 + noise*noise/(slopeNoise*slopeNoise))
	return maxStep * weight * min(max(deviation, -1), 1), weight
}

// adjustPenalty lowers the penalty factor while most requests fail and raises it once they
// succeed again.
func (l *probeLimiter) adjustPenalty(ok bool) {
	if ok {
		l.succeeded++
	} else {
		l.failed++
	}
	n := l.succeeded + l.failed
	if n < minStarts {
		return
	}
	if float64(l.failed) > penaltyFailureRatio*float64(n) {
		l.penalty = max(minPenalty, l.penalty*0.9)
	} else {
		l.penalty = min(1, l.penalty*1.25)
	}
	l.succeeded, l.failed = 0, 0
}

// samples accumulates service times in seconds, and failures.
type samples struct {
	n               int
	sum, sumSquares float64
	failed          int
}

func (s *samples) add(seconds float64, ok bool) {
	if !ok {
		s.failed++
		return
	}
	s.n++
	s.sum += seconds
	s.sumSquares += seconds * seconds
}

func (s *samples) mean() float64 { return s.sum / float64(s.n) }

// errorSquared is the square of the standard error of the mean.
func (s *samples) errorSquared() float64 {
	m := s.mean()
	return max(s.sumSquares/float64(s.n)-m*m, 0) / float64(s.n)
}

func (s *samples) failureRatio() float64 {
	if s.n+s.failed == 0 {
		return 0
	}
	return float64(s.failed) / float64(s.n+s.failed)
}
