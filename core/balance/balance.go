// Package balance chooses the upstream of a call: the less loaded of two random
// ones in the nearest tier that has room, with bounded ejection of failing
// upstreams and a byte budget for links between regions.
//
// Time and seeds are passed in. All types are safe for concurrent use.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// Upstream is one member of a service as announced.
type Upstream struct {
	ID               string
	Address          string // peer address of its daemon
	Region           string
	AvailabilityZone string
	Slots            int       // declared concurrency; 0 if unknown
	ServingSince     time.Time // start of the slow start
	Draining         bool
}

// Locality is the locality of an upstream as seen from this daemon.
type Locality uint8

// The tiers, nearest first.
const (
	SameAvailabilityZone Locality = iota
	SameRegion
	OtherRegion
	numTiers
)

var tierNames = [numTiers]string{"availability-zone", "region", "other-region"}

// String returns the name that the decision log uses.
func (t Locality) String() string {
	if t < numTiers {
		return tierNames[t]
	}
	return "unknown"
}

// Config holds the parameters of a Balancer. A zero field takes its default.
type Config struct {
	Region           string
	AvailabilityZone string
	LinkBudget       *LinkBudget // nil closes the links to other regions
	Seed             uint64

	SlowStart           time.Duration // time until a new upstream has its full weight; default 10 s
	ConsecutiveFailures int           // consecutive failures; default 5
	BaseEjectionTime    time.Duration // first ejection, doubled at each repetition; default 1 s
	MaxEjectionTime     time.Duration // default 60 s
	LatencyTimeConstant time.Duration // of the latency average; default 1 s
}

func (c Config) withDefaults() Config {
	setDefault(&c.SlowStart, 10*time.Second)
	setDefault(&c.ConsecutiveFailures, 5)
	setDefault(&c.BaseEjectionTime, time.Second)
	setDefault(&c.MaxEjectionTime, time.Minute)
	setDefault(&c.LatencyTimeConstant, time.Second)
	return c
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// PickInfo describes the call that needs an upstream.
type PickInfo struct {
	Priority  chain.Priority
	Exclude   []string      // upstreams tried before
	BodyBytes int64         // expected size of both bodies; 0 takes the average of the service
	Retry     bool          // a retry or a hedge, which must leave half of a link budget
	Route     string        // groups calls of similar service time; empty for none
	Remaining time.Duration // time left for the answer; 0 if unknown
}

// PickResult is an upstream picked for one attempt. It is passed to Done.
type PickResult struct {
	Upstream       Upstream
	Locality       Locality
	Candidates     int                  // upstreams that were candidates in that tier, for the decision log
	HasAlternative bool                 // another upstream could take the call, should this one be unhealthy
	LoadReport     admission.LoadReport // last load that the upstream reported, for the decision log
	LoadReportAge  time.Duration        // time since that report; negative if there was none
	member         *member
	bytes          int64 // taken from the link budget
}

// DoneInfo describes how an attempt ended.
type DoneInfo struct {
	Latency        time.Duration
	Outcome        chain.Outcome
	Reason         chain.Reason
	FromDependency bool                  // the failure originated further down
	LoadReport     *admission.LoadReport // nil if the answer carried none
	Bytes          int64                 // body bytes in both directions
	Route          string                // as in the request
	// TimedOut tells that the upstream did not answer in time, for a reason of its
	// own.
	TimedOut bool
}

// Balancer chooses among the upstreams of one service.
type Balancer struct {
	mu       sync.Mutex
	cfg      Config
	rng      *rand.Rand
	members  []*member // ordered by tier
	ends     [numTiers]int
	byID     map[string]*member
	scratch  []*member
	avgBytes float64 // per call
	usual    float64 // average latency of complete answers in seconds, 0 before the first
}

// New builds a Balancer without upstreams.
func New(cfg Config) *Balancer {
	cfg = cfg.withDefaults()
	return &Balancer{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(cfg.Seed, 0)),
		byID:     make(map[string]*member),
		avgBytes: 1024,
	}
}

func (b *Balancer) tierOf(u Upstream) Locality {
	switch {
	case u.Region != b.cfg.Region:
		return OtherRegion
	case u.AvailabilityZone != b.cfg.AvailabilityZone:
		return SameRegion
	}
	return SameAvailabilityZone
}
