// Package admission decides which requests execute at one upstream, which wait and which are
// rejected. A Controller combines an admission level, a concurrency limit and a queue that is
// ordered by priority and bounded by deadlines. A LevelAggregator combines the levels that
// several controllers report, so that an ingress can reject early.
//
// The current time is passed in. All types are safe for concurrent use. The slices that methods
// return belong to the caller.
package admission

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// Config holds the parameters of a Controller. A field that is zero or negative takes its
// default.
type Config struct {
	Slots          int           // declared concurrency of the upstream; default 16
	MinLimit       int           // lower bound of the concurrency limit; default 1
	MaxLimit       int           // upper bound of the concurrency limit; default 4 x Slots
	MaxQueue       int           // queued requests; default 4 x Slots, at least 16 and at most 1024
	QueueTarget    time.Duration // mean queue wait above which the level rises; default 20 ms
	AdjustInterval time.Duration // interval between two adjustments of the level; default 100 ms
	StreamRatio    float64       // largest ratio of the limit, and of the queue, that streamed uploads may use; default 0.5
	FixedLimit     bool          // keeps the limit constant at Slots minus the headroom
	// HeadroomRatio is the ratio of the slots that a fixed limit leaves unused, for an upstream
	// that slows down when it is nearly full; default 0.
	HeadroomRatio float64
	// MinRemainingRatio is the least remaining time of a request, as a ratio of the mean service
	// time of its route. A request with less is rejected. Default 1.
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

// minSlotsForHeadroom is the smallest number of slots for which a fixed limit leaves headroom.
// With fewer slots, one unused slot costs more throughput than an upstream that is a third
// slower.
const minSlotsForHeadroom = 5

// fixedLimit is the concurrency limit of a controller with FixedLimit: the slots minus the
// headroom.
func (c Config) fixedLimit() int {
	if c.Slots < minSlotsForHeadroom {
		return c.Slots
	}
	return max(minSlotsForHeadroom-1, int(float64(c.Slots)*(1-c.HeadroomRatio)))
}

// Request is a request that is submitted to a Controller.
type Request struct {
	ID              uint64 // unique among the requests that are queued or in flight
	Priority        chain.Priority
	Deadline        time.Time // the zero time means no deadline
	StreamingUpload bool      // the request carries a streamed upload
	Route           string    // groups requests of similar service time
}

// ExecutionResult describes the execution of a request at the upstream.
type ExecutionResult struct {
	SelfTime  time.Duration // execution time without the time spent waiting for dependencies; 0 if unknown
	Succeeded bool          // false if the upstream failed or did not respond in time
	// Cancelled reports that the client cancelled, so the result carries no information about the
	// upstream.
	Cancelled bool
}

// DecisionKind is what the caller of a Controller must do with a request.
type DecisionKind uint8

// The kinds of decision.
const (
	Admit  DecisionKind = iota // forward the request to the upstream, then call Complete
	Reject                     // respond with Failure; the controller keeps no record of the request
)

// Decision is the decision on one request. Each submitted request gets exactly one, unless Cancel
// removes it from the queue first.
type Decision struct {
	Kind       DecisionKind
	ID         uint64
	Failure    *chain.Failure // for Reject; its outcome is always not-run
	RetryAfter time.Duration  // for Reject; zero if the caller should not retry
}

// LoadReport is the load of a Controller, which each response carries.
type LoadReport struct {
	Level           chain.Priority // lowest priority that is admitted
	Limit           int            // concurrency limit
	InFlight        int
	Queued          int
	DependencyLevel chain.Priority // highest level reported by dependencies; set by the caller of the Controller
}
