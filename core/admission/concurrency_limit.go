package admission

import (
	"math"
	"time"
)

// limiter chooses the concurrency limit. The gate calls begin for each request
// that it starts and end for each one that finishes.
type limiter interface {
	// current is the number of requests that may run now.
	current() int
	// begin notes a start. full tells that the request took the last free place.
	begin(now time.Time, e *entry, full bool)
	// end notes a finish.
	end(now time.Time, e *entry, r ExecutionResult)
}

// fixedLimiter keeps to a part of the declared slots.
type fixedLimiter int

func (f fixedLimiter) current() int                         { return int(f) }
func (fixedLimiter) begin(time.Time, *entry, bool)          {}
func (fixedLimiter) end(time.Time, *entry, ExecutionResult) {}

const (
	// probeLow and probeHigh are the limits of the two probes, as parts of the
	// limit. A wider interval gives a clearer signal and costs more throughput.
	probeLow  = 0.90
	probeHigh = 1.15
	// maxStep is the largest relative change of the limit after one round.
	maxStep = 0.2
	// slopeNoise is the standard error of a slope at which its weight is half.
	slopeNoise = 0.2
	// slopeBias moves the limit slightly above the real concurrency: a limit that
	// is too high by a tenth costs a tenth of the service time in latency, one that
	// is too low costs a tenth of the throughput.
	slopeBias = 0.4
	// holdPhases is the length of the hold between two rounds, in phases. The
	// lower probe costs throughput, so a limit that is right is probed rarely.
	holdPhases = 8
	// settlePhases bounds the wait for the last probes, in phases. A shorter wait
	// leaves out the slow requests of the last low probe, which moves the limit
	// down: with exponential service times, 2 phases moved 35 to 28.
	settlePhases = 8
	// minStarts is the smallest number of starts in a phase.
	minStarts = 16
	// minPenalty is the smallest part of the limit that an upstream keeps whose
	// requests fail, so that it can show that it has recovered.
	minPenalty = 0.5
	// failShare is the part of failed requests above which the limit decreases. An
	// overloaded upstream misses many deadlines, and a lower limit would then cost
	// throughput; one that is hung or dead fails nearly all.
	failShare = 0.9
)

// phases of a round. The order low, high, high, low cancels a linear drift of
// the service time. The limit holds while the last probes finish.
const (
	phaseHold = iota
	phaseLow
	phaseHigh
	phaseHighAgain
	phaseLowAgain
	phaseSettle
	numPhases
)

// probeLimiter finds the concurrency above which the upstream queues
// internally. While the gate is saturated, it alternates between a limit
// slightly below and one slightly above the present one. If the upstream runs
// all requests at once, the service time is the same in both and throughput
// follows the limit. If it queues internally, throughput stays and, by Little's
// law, the service time grows by (high - low) / throughput. The measured growth
// divided by that is the slope: 0 without internal queueing, 1 with it. The
// limit is moved to where the slope is what an interval around the upstream's
// real concurrency shows.
//
// The slope compares two probes of the same moment. A service that becomes
// slower at the same number of slots therefore keeps its limit, unlike with
// a latency gradient, which compares with the latency of former times.
//
// Measured against a latency gradient and hill climbing on throughput in
// BenchmarkLimiters: under a fivefold slowdown with three times the demand it
// keeps 94 to 98% of the goodput (gradient 84 to 91%, hill climbing 62 to 81%),
// and it finds 12 real slots behind 35 declared ones, where the gradient ends
// at its upper bound. docs/design.md has the table.
type probeLimiter struct {
	center   float64
	min, max float64
	penalty  float64

	round  int32
	phase  int
	starts int
	idle   int // starts while the gate was not full, less those while it was
	open   int // probes of this round that have not finished
	hold   int // length of the next hold in phases
	began  time.Time
	probed time.Duration // of the probes of this round
	count  int           // starts of probes in this round
	low    samples
	high   samples

	ok, failed int // since the last change of the penalty
}

func newProbeLimiter(cfg Config) *probeLimiter {
	return &probeLimiter{
		center:  float64(cfg.Slots),
		min:     float64(cfg.MinLimit),
		max:     float64(cfg.MaxLimit),
		penalty: 1,
		phase:   phaseLow,
		round:   1,
	}
}

func (p *probeLimiter) current() int {
	limit := p.base()
	switch p.phase {
	case phaseLow, phaseLowAgain:
		limit = p.lowLimit()
	case phaseHigh, phaseHighAgain:
		limit = p.highLimit()
	}
	return max(1, int(math.Round(float64(limit)*p.penalty)))
}

func (p *probeLimiter) base() int { return max(1, int(math.Round(p.center))) }

func (p *probeLimiter) lowLimit() int {
	return max(1, min(p.base()-1, int(math.Round(p.center*probeLow))))
}

func (p *probeLimiter) highLimit() int {
	return max(p.base()+1, int(math.Round(p.center*probeHigh)))
}

func (p *probeLimiter) phaseStarts() int { return max(minStarts, p.base()) }

func (p *probeLimiter) begin(now time.Time, e *entry, full bool) {
	if !full {
		if p.idle++; p.phase != phaseHold && p.idle > p.phaseStarts() {
			p.restart() // the samples are of different situations
		}
		return
	}
	p.idle = max(0, p.idle-1)
	p.starts++
	switch p.phase {
	case phaseHold:
		if p.starts < p.hold*p.phaseStarts() {
			return
		}
	case phaseSettle:
		if p.open == 0 || p.starts >= settlePhases*p.phaseStarts() {
			p.evaluate()
		}
		return
	default:
		p.mark(now, e)
	}
	if p.starts >= p.phaseStarts() {
		p.nextPhase(now)
	}
}

// mark makes the request a sample of the current probe. Uploads count for the
// throughput only: their duration depends on the link of the customer.
func (p *probeLimiter) mark(now time.Time, e *entry) {
	if p.phase == phaseLow && p.starts == 1 {
		p.began = now
	}
	p.count++
	if e.req.StreamingUpload {
		return
	}
	p.open++
	e.round = p.round
	e.high = p.phase == phaseHigh || p.phase == phaseHighAgain
}

func (p *probeLimiter) nextPhase(now time.Time) {
	p.phase++
	p.starts = 0
	if p.phase == phaseSettle {
		p.probed = now.Sub(p.began)
	}
}

// restart drops the samples and holds the limit.
func (p *probeLimiter) restart() {
	p.round++
	p.phase = phaseHold
	p.starts, p.idle, p.open, p.count = 0, 0, 0, 0
	p.low, p.high = samples{}, samples{}
}

func (p *probeLimiter) end(now time.Time, e *entry, r ExecutionResult) {
	if !r.Cancelled {
		p.adjustPenalty(r.Succeeded)
	}
	if e.round != p.round {
		return
	}
	p.open--
	if r.Cancelled {
		return
	}
	s := &p.low
	if e.high {
		s = &p.high
	}
	own := r.SelfTime
	if own <= 0 {
		own = now.Sub(e.started)
	}
	s.add(own.Seconds(), r.Succeeded)
}

// evaluate ends a round: it moves the limit. If the limit was about right, it
// then holds, the shorter the less certain the slope was.
func (p *probeLimiter) evaluate() {
	step, weight := p.step()
	p.hold = 0
	if math.Abs(step) < maxStep/4 {
		p.hold = int(holdPhases * weight)
	}
	p.center = min(max(p.center*(1-step), p.min), p.max)
	p.restart()
}

// step returns the relative decrease of the limit that the probes suggest, and
// the weight of the slope by its noise.
func (p *probeLimiter) step() (step, weight float64) {
	if p.high.failShare() > p.low.failShare()+0.1 {
		return maxStep, 1 // the upstream refuses what exceeds its slots
	}
	if p.low.n < minStarts || p.high.n < minStarts || p.probed <= 0 {
		return 0, 0
	}
	base, low, high := float64(p.base()), float64(p.lowLimit()), float64(p.highLimit())
	throughput := float64(p.count) / p.probed.Seconds()
	scale := throughput / ((high - low) * p.penalty)
	slope := (p.high.mean() - p.low.mean()) * scale
	noise := math.Sqrt(p.high.errorSquared()+p.low.errorSquared()) * scale
	slope = min(max(slope, -0.5), 1.5)
	target := (high - base) / (high - low) // the slope if the limit is right
	target += slopeBias * (1 - target)
	deviation := (slope - target) / max(target, 0.2)
	if slope > target {
		deviation = (slope - target) / max(1-target, 0.2)
	}
	weight = 1 / (1 + noise*noise/(slopeNoise*slopeNoise))
	return maxStep * weight * min(max(deviation, -1), 1), weight
}

// adjustPenalty lowers the limit while most requests fail and raises it again
// with the first successful ones.
func (p *probeLimiter) adjustPenalty(ok bool) {
	if ok {
		p.ok++
	} else {
		p.failed++
	}
	n := p.ok + p.failed
	if n < minStarts {
		return
	}
	if float64(p.failed) > failShare*float64(n) {
		p.penalty = max(minPenalty, p.penalty*0.9)
	} else {
		p.penalty = min(1, p.penalty*1.25)
	}
	p.ok, p.failed = 0, 0
}

// samples accumulates service times in seconds.
type samples struct {
	n            int
	sum, squares float64
	failed       int
}

func (s *samples) add(v float64, ok bool) {
	if !ok {
		s.failed++
		return
	}
	s.n++
	s.sum += v
	s.squares += v * v
}

func (s *samples) mean() float64 { return s.sum / float64(s.n) }

// errorSquared is the square of the standard error of the mean.
func (s *samples) errorSquared() float64 {
	m := s.mean()
	return max(s.squares/float64(s.n)-m*m, 0) / float64(s.n)
}

func (s *samples) failShare() float64 {
	if s.n+s.failed == 0 {
		return 0
	}
	return float64(s.failed) / float64(s.n+s.failed)
}
