package balance

import (
	"sync"
	"time"
)

// LinkBudgetConfig holds the byte budgets of the links to other regions.
type LinkBudgetConfig struct {
	BytesPerSecond int64            // refill rate of each link; 0 allows no calls over the links
	Burst          int64            // bucket size in bytes; default is one second of refill
	PerRegion      map[string]int64 // bytes per second by region, instead of BytesPerSecond
}

// LinkBudget holds one token bucket of bytes for each link to another region. The
// balancers of all services share it.
type LinkBudget struct {
	mu      sync.Mutex
	cfg     LinkBudgetConfig
	buckets map[string]*bucket
}

type bucket struct {
	rate, burst, tokens float64
	refilledAt          time.Time
}

// NewLinkBudget returns a LinkBudget whose buckets start full.
func NewLinkBudget(cfg LinkBudgetConfig) *LinkBudget {
	return &LinkBudget{cfg: cfg, buckets: make(map[string]*bucket)}
}

func (l *LinkBudget) bucket(now time.Time, region string) *bucket {
	b := l.buckets[region]
	if b == nil {
		rate := l.cfg.BytesPerSecond
		if r, ok := l.cfg.PerRegion[region]; ok {
			rate = r
		}
		burst := l.cfg.Burst
		if burst <= 0 {
			burst = rate
		}
		b = &bucket{rate: float64(rate), burst: float64(burst), tokens: float64(burst), refilledAt: now}
		l.buckets[region] = b
	}
	if dt := now.Sub(b.refilledAt).Seconds(); dt > 0 {
		b.tokens = min(b.burst, b.tokens+dt*b.rate)
		b.refilledAt = now
	}
	return b
}

// reserve takes the expected bytes from the bucket of a link. It reports false if less
// than reserveRatio of the bucket would remain.
func (l *LinkBudget) reserve(now time.Time, region string, bytes int64, reserveRatio float64) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, region)
	remaining := b.tokens - float64(bytes)
	if b.rate <= 0 || remaining < reserveRatio*b.burst {
		return false
	}
	b.tokens = remaining
	return true
}

// settle charges the difference between the reserved and the used bytes. The bucket may
// become negative, so that an underestimate delays later calls.
func (l *LinkBudget) settle(now time.Time, region string, reserved, used int64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, region)
	b.tokens = min(b.burst, b.tokens-float64(used-reserved))
}

// Available returns the bytes in the bucket of the link to a region. The number may be
// negative.
func (l *LinkBudget) Available(now time.Time, region string) int64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.bucket(now, region).tokens)
}
