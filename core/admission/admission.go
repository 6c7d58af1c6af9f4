// Package admission decides which requests run at one upstream, which wait and
// which are refused. The Controller combines an admission level, a concurrency limit
// and a queue that is ordered by priority and bounded by deadlines. A LevelAggregator
// combines the levels that gates report, so that an entrance can refuse early.
//
// Time is passed in. All types are safe for concurrent use; the slices that
// the methods return belong to the caller.
package admission

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// Config holds the parameters of a Controller. A zero field takes its default.
type Config struct {
	Slots          int           // declared concurrency of the upstream; default 16
	MinLimit       int           // lower bound of the limit; default 1
	MaxLimit       int           // upper bound of the limit; default 4 x Slots
	MaxQueue       int           // entries; default 4 x Slots, at least 16 and at most 1024
	QueueTarget    time.Duration // mean queue wait above which the level rises; default 20 ms
	AdjustInterval time.Duration // interval between two changes of the level; default 100 ms
	StreamRatio    float64       // largest part of the limit for streamed bodies; default 0.5
	FixedLimit     bool          // keeps the limit at Slots, less those left free
	// HeadroomRatio is the part of the slots that a fixed limit leaves free, for an upstream
	// that slows down when it is nearly full; default 0.
	HeadroomRatio float64
	// MinRemainingRatio is the part of the usual service time of its route below which the
	// time left of a request is too short to let it run; default 1.
	MinRemainingRatio float64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Slots, 16)
	setDefault(&c.MinLimit, 1)
	setDefault(&c.MaxLimit, 4*c.Slots)
	setDefault(&c.MaxQueue, min(max(4*c.Slots, 16), 1024))
	setDefault(&c.QueueTarget, 20*time.Millisecond)
	setDefault(&c.AdjustInterval, 100*time.Millisecond)
	setDefault(&c.StreamRatio, 0.5)
	setDefault(&c.MinRemainingRatio, 1)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// minSlotsForFree is the number of slots from which on one of them may be left free.
// With fewer, that costs more throughput than an upstream that is a third slower.
const minSlotsForFree = 5

// fixedLimit is the number of slots that a fixed limit uses.
func (c Config) fixedLimit() int {
	if c.Slots < minSlotsForFree {
		return c.Slots
	}
	return max(minSlotsForFree-1, int(float64(c.Slots)*(1-c.HeadroomRatio)))
}

// Request is one arrival at a gate.
type Request struct {
	ID              uint64 // unique among the requests that the gate holds
	Priority        chain.Priority
	Deadline        time.Time // the zero time means no deadline
	StreamingUpload bool      // the request carries a streamed upload
	Route           string    // groups requests of similar service time
}

// ExecutionResult describes a request that has run.
type ExecutionResult struct {
	SelfTime  time.Duration // service time without the waits on calls below; 0 if unknown
	Succeeded bool          // false if the upstream failed or did not answer in time
	// Cancelled tells that the caller left, which says nothing of the upstream.
	Cancelled bool
}

// DecisionKind tells what to do with a request.
type DecisionKind uint8

// The kinds of action.
const (
	Admit  DecisionKind = iota // forward the request to the upstream, then call Complete
	Reject                     // answer with Failure; the gate has forgotten the request
)

// Decision is a decision on one request. Each request that arrived gets exactly
// one action, unless Cancel removed it from the queue first.
type Decision struct {
	Kind       DecisionKind
	ID         uint64
	Failure    *chain.Failure // of a refusal; its outcome is always not-run
	RetryAfter time.Duration  // of a refusal that may be retried by the caller
}

// LoadReport is the state that a gate attaches to each answer.
type LoadReport struct {
	Level           chain.Priority // lowest priority that is admitted
	Limit           int            // concurrency limit
	InFlight        int
	Queued          int
	DependencyLevel chain.Priority // highest level seen on calls below, set by the binding
}
