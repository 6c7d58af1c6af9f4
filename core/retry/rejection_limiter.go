package retry

import (
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// RejectionLimiterConfig holds the parameters of a RejectionLimiter. A field that is zero or
// negative takes its default.
type RejectionLimiterConfig struct {
	Rate         float64 // sustained rejections per second for an address; default 50
	Burst        float64 // rejections in a burst; default 200
	Credit       float64 // rejections that each admitted call compensates; default 1
	MaxAddresses int     // addresses kept; the least recently rejected one is evicted first; default 4096
}

func (c RejectionLimiterConfig) withDefaults() RejectionLimiterConfig {
	setDefault(&c.Rate, 50)
	setDefault(&c.Burst, 200)
	setDefault(&c.Credit, 1)
	setDefault(&c.MaxAddresses, 4096)
	return c
}

const numClasses = int(chain.Critical) + 1

// classOrderInterval is the time after an allowed call of a lower class during which the limiter
// rejects no higher class of the same address.
const classOrderInterval = time.Second

type tokenBucket struct {
	tokens     float64
	refilledAt time.Time // time of the last refill
	allowedAt  time.Time // time of the last allowed call
}

type addressEntry struct {
	address string
	buckets [numClasses]tokenBucket
	prev    *addressEntry // towards the most recently rejected address
	next    *addressEntry
}

// RejectionLimiter limits callers that keep calling after rejections. Each rejection takes a
// token from the bucket of its address and class; time and admitted calls refill the bucket. So
// an address shared by many customers keeps its admitted calls and an equal number of rejected
// ones, however fast it retries. Rejections of a lower class never limit a higher one, and no
// class of an address is limited while a lower one is allowed.
type RejectionLimiter struct {
	mu      sync.Mutex
	cfg     RejectionLimiterConfig
	entries map[string]*addressEntry
	newest  *addressEntry
	oldest  *addressEntry
}

// NewRejectionLimiter returns a RejectionLimiter without addresses.
func NewRejectionLimiter(cfg RejectionLimiterConfig) *RejectionLimiter {
	return &RejectionLimiter{cfg: cfg.withDefaults(), entries: make(map[string]*addressEntry)}
}

// Allow calls AllowClass with the default class.
func (l *RejectionLimiter) Allow(now time.Time, address string) (ok bool, retryAfter time.Duration) {
	return l.AllowClass(now, address, chain.Default)
}

// RecordRejection calls RecordRejectionClass with the default class.
func (l *RejectionLimiter) RecordRejection(now time.Time, address string) {
	l.RecordRejectionClass(now, address, chain.Default)
}

// AllowClass reports whether a call from the address is allowed, and otherwise the time until the
// next one may be. Addresses without rejections are not stored.
func (l *RejectionLimiter) AllowClass(now time.Time, address string, class chain.Class) (ok bool, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[address]
	if e == nil {
		return true, 0
	}
	class = min(class, chain.Critical)
	bucket := &e.buckets[class]
	l.refill(now, bucket)
	if bucket.tokens < 0 && !e.lowerClassAllowed(now, class) {
		wait := time.Duration(-bucket.tokens / l.cfg.Rate * float64(time.Second))
		return false, max(wait, time.Millisecond)
	}
	bucket.allowedAt = now
	// The credit is granted in advance; RecordRejectionClass takes it back together with the
	// token.
	bucket.tokens = min(l.cfg.Burst, bucket.tokens+l.cfg.Credit)
	return true, 0
}

// lowerClassAllowed reports whether a call of a lower class was allowed within
// classOrderInterval.
func (e *addressEntry) lowerClassAllowed(now time.Time, class chain.Class) bool {
	for _, bucket := range e.buckets[:class] {
		if !bucket.allowedAt.IsZero() && now.Sub(bucket.allowedAt) < classOrderInterval {
			return true
		}
	}
	return false
}

// RecordRejectionClass records that a call from the address was rejected because of load.
func (l *RejectionLimiter) RecordRejectionClass(now time.Time, address string, class chain.Class) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[address]
	if e == nil {
		e = l.addEntry(now, address)
	} else if e != l.newest {
		l.unlink(e)
		l.pushNewest(e)
	}
	bucket := &e.buckets[min(class, chain.Critical)]
	l.refill(now, bucket)
	bucket.tokens = max(bucket.tokens-1-l.cfg.Credit, -l.cfg.Rate) // callers wait at most one second
}

func (l *RejectionLimiter) addEntry(now time.Time, address string) *addressEntry {
	if len(l.entries) >= l.cfg.MaxAddresses {
		delete(l.entries, l.oldest.address)
		l.unlink(l.oldest)
	}
	e := &addressEntry{address: address}
	for i := range e.buckets {
		e.buckets[i] = tokenBucket{tokens: l.cfg.Burst, refilledAt: now}
	}
	l.entries[address] = e
	l.pushNewest(e)
	return e
}

func (l *RejectionLimiter) refill(now time.Time, bucket *tokenBucket) {
	if elapsed := now.Sub(bucket.refilledAt).Seconds(); elapsed > 0 {
		bucket.tokens = min(l.cfg.Burst, bucket.tokens+elapsed*l.cfg.Rate)
		bucket.refilledAt = now
	}
}

func (l *RejectionLimiter) pushNewest(e *addressEntry) {
	e.prev, e.next = nil, l.newest
	if l.newest != nil {
		l.newest.prev = e
	}
	l.newest = e
	if l.oldest == nil {
		l.oldest = e
	}
}

func (l *RejectionLimiter) unlink(e *addressEntry) {
	if e.prev == nil {
		l.newest = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.oldest = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
}
