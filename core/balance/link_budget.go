package balance

import (
	"sync"
	"time"
)

// LinkBudgetConfig holds the byte budget of the links to other regions.
type LinkBudgetConfig struct {
	BytesPerSecond int64            // refill of each link; 0 closes the links
	Burst          int64            // bytes; default is one second of refill
	PerRegion      map[string]int64 // bytes per second to a region, instead of BytesPerSecond
}

// LinkBudget holds one token bucket of bytes for each link to another region. It is
// shared by the balancers of all services.
type LinkBudget struct {
	mu      sync.Mutex
	cfg     LinkBudgetConfig
	buckets map[string]*bucket
}

type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

// NewLinkBudget builds full buckets.
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
		b = &bucket{rate: float64(rate), burst: float64(burst), tokens: float64(burst), at: now}
		l.buckets[region] = b
	}
	if dt := now.Sub(b.at).Seconds(); dt > 0 {
		b.tokens = min(b.burst, b.tokens+dt*b.rate)
		b.at = now
	}
	return b
}

// take reserves the expected bytes and leaves the given part of the bucket.
func (l *LinkBudget) take(now time.Time, region string, bytes int64, reserve float64) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, region)
	left := b.tokens - float64(bytes)
	if b.rate <= 0 || left < reserve*b.burst {
		return false
	}
	b.tokens = left
	return true
}

// settle charges the difference between the expected and the real bytes. The
// bucket may become negative, so that an underestimate delays later calls.
func (l *LinkBudget) settle(now time.Time, region string, reserved, used int64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, region)
	b.tokens = min(b.burst, b.tokens-float64(used-reserved))
}

// Available returns the bytes that the budget of a link allows now.
func (l *LinkBudget) Available(now time.Time, region string) int64 {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.bucket(now, region).tokens)
}
