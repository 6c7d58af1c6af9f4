// Package balance picks the upstream of a call by power of two choices in the nearest
// locality with free capacity. It ejects a limited number of failing upstreams and
// enforces a byte budget for links between regions.
//
// Callers pass in the time and the random seed. All types are safe for concurrent use.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// Upstream is one announced upstream of a service.
type Upstream struct {
	ID               string
	Address          string // peer address of its daemon
	Region           string
	AvailabilityZone string
	Slots            int       // declared concurrency; 0 if not declared
	ServingSince     time.Time // start of the slow-start period
	Draining         bool
}

// Locality is the distance of an upstream from this daemon.
type Locality uint8

// The localities, nearest first.
const (
	SameAvailabilityZone Locality = iota
	SameRegion
	OtherRegion
	numLocalities
)

var localityNames = [numLocalities]string{"availability-zone", "region", "other-region"}

// String returns the name used in the decision log.
func (l Locality) String() string {
	if l < numLocalities {
		return localityNames[l]
	}
	return "unknown"
}

// Config holds the parameters of a Balancer. A zero field takes its default.
type Config struct {
	Region           string
	AvailabilityZone string
	LinkBudget       *LinkBudget // nil allows no calls to other regions
	Seed             uint64

	SlowStart           time.Duration // time until a new upstream has its full weight; default 10 s
	ConsecutiveFailures int           // consecutive failures before an ejection; default 5
	BaseEjectionTime    time.Duration // duration of the first ejection, doubled for each further one; default 1 s
	MaxEjectionTime     time.Duration // longest ejection; default 60 s
	LatencyTimeConstant time.Duration // of the moving average of an upstream's latency; default 1 s
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
	Exclude   []string      // ids of the upstreams of earlier attempts
	BodyBytes int64         // expected size of request and response body; 0 for the mean of the service
	Retry     bool          // a retry or a hedge, which must leave half of a link budget unused
	Route     string        // calls of one route have similar latencies; empty for none
	Remaining time.Duration // remaining time until the deadline; 0 if unknown
}

// PickResult is the upstream picked for one attempt. The caller passes it to Done.
type PickResult struct {
	Upstream       Upstream
	Locality       Locality
	Candidates     int                  // number of candidates in that locality, for the decision log
	HasAlternative bool                 // another upstream could take the call if this one is unhealthy
	LoadReport     admission.LoadReport // last load report of the upstream, for the decision log
	LoadReportAge  time.Duration        // time since that load report; negative if there was none
	member         *member
	bytes          int64 // reserved in the link budget
}

// DoneInfo describes how an attempt ended.
type DoneInfo struct {
	Latency        time.Duration
	Outcome        chain.Outcome
	Reason         chain.Reason
	FromDependency bool                  // the failure originated in a downstream dependency
	LoadReport     *admission.LoadReport // nil if the response carried none
	Bytes          int64                 // body bytes in both directions
	Route          string                // as in PickInfo
	// TimedOut reports that the upstream did not respond before the deadline, for a
	// reason attributable to it.
	TimedOut bool
}

// Balancer balances calls over the upstreams of one service.
type Balancer struct {
	mu           sync.Mutex
	cfg          Config
	rng          *rand.Rand
	members      []*member          // ordered by locality
	localityEnds [numLocalities]int // end of each locality in members
	byID         map[string]*member
	scratch      []*member
	meanBytes    float64 // body bytes of a call, moving average
	meanLatency  float64 // of complete responses in seconds, moving average; 0 before the first
}

// New returns a Balancer without upstreams.
func New(cfg Config) *Balancer {
	cfg = cfg.withDefaults()
	return &Balancer{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 0)),
		byID:      make(map[string]*member),
		meanBytes: 1024,
	}
}

func (b *Balancer) localityOf(u Upstream) Locality {
	switch {
	case u.Region != b.cfg.Region:
		return OtherRegion
	case u.AvailabilityZone != b.cfg.AvailabilityZone:
		return SameRegion
	}
	return SameAvailabilityZone
}
