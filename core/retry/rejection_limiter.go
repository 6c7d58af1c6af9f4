package retry

import (
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// RejectionLimiterConfig holds the parameters of a RejectionLimiter. A zero field takes its default.
type RejectionLimiterConfig struct {
	Rate         float64 // refusals per second that an address may cause for ever; default 50
	Burst        float64 // refusals that it may cause at once; default 200
	Credit       float64 // refusals that each admitted call pays for; default 1
	MaxAddresses int     // entries kept; the least recently refused goes first; default 4096
}

func (c RejectionLimiterConfig) withDefaults() RejectionLimiterConfig {
	setDefault(&c.Rate, 50)
	setDefault(&c.Burst, 200)
	setDefault(&c.Credit, 1)
	setDefault(&c.MaxAddresses, 4096)
	return c
}

const numClasses = int(chain.Critical) + 1

// orderInterval is how long an admitted call of a lower class keeps the higher
// classes of the same address from being held off.
const orderInterval = time.Second

type holdBucket struct {
	tokens  float64
	at      time.Time // of the last refill
	allowed time.Time // of the last call that went on
}

type holdEntry struct {
	address string
	buckets [numClasses]holdBucket
	prev    *holdEntry // towards the most recently refused
	next    *holdEntry
}

// RejectionLimiter limits callers that go on after refusals. Each refusal takes a token
// from the bucket of its address and class; time and admitted calls refill it.
// An address behind which many customers sit therefore keeps its admitted
// calls, and an equal number of refused ones, however fast it retries. Refused
// checks never hold off a booking, and no class of an address is held off while
// a lower one of it is admitted.
type RejectionLimiter struct {
	mu      sync.Mutex
	cfg     RejectionLimiterConfig
	entries map[string]*holdEntry
	newest  *holdEntry
	oldest  *holdEntry
}

// NewRejectionLimiter builds a RejectionLimiter that knows no address.
func NewRejectionLimiter(cfg RejectionLimiterConfig) *RejectionLimiter {
	return &RejectionLimiter{cfg: cfg.withDefaults(), entries: make(map[string]*holdEntry)}
}

// Allow is AllowClass for the default class.
func (h *RejectionLimiter) Allow(now time.Time, address string) (ok bool, retryAfter time.Duration) {
	return h.AllowClass(now, address, chain.Default)
}

// RecordRejection is RecordRejectionClass for the default class.
func (h *RejectionLimiter) RecordRejection(now time.Time, address string) {
	h.RecordRejectionClass(now, address, chain.Default)
}

// AllowClass reports whether a call from the address may go on, and otherwise
// when the next one may. Addresses that were never refused are not stored.
func (h *RejectionLimiter) AllowClass(now time.Time, address string, class chain.Class) (ok bool, retryAfter time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.entries[address]
	if e == nil {
		return true, 0
	}
	class = min(class, chain.Critical)
	b := &e.buckets[class]
	h.refill(now, b)
	if b.tokens < 0 && !e.lowerAllowed(now, class) {
		wait := time.Duration(-b.tokens / h.cfg.Rate * float64(time.Second))
		return false, max(wait, time.Millisecond)
	}
	b.allowed = now
	// Paid in advance; RecordRejectionClass takes it back with the token.
	b.tokens = min(h.cfg.Burst, b.tokens+h.cfg.Credit)
	return true, 0
}

// lowerAllowed reports whether a call of a lower class went on just before.
func (e *holdEntry) lowerAllowed(now time.Time, class chain.Class) bool {
	for _, b := range e.buckets[:class] {
		if !b.allowed.IsZero() && now.Sub(b.allowed) < orderInterval {
			return true
		}
	}
	return false
}

// RecordRejectionClass records that a call from the address was refused under load.
func (h *RejectionLimiter) RecordRejectionClass(now time.Time, address string, class chain.Class) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.entries[address]
	if e == nil {
		e = h.add(now, address)
	} else if e != h.newest {
		h.unlink(e)
		h.pushNewest(e)
	}
	b := &e.buckets[min(class, chain.Critical)]
	h.refill(now, b)
	b.tokens = max(b.tokens-1-h.cfg.Credit, -h.cfg.Rate) // at most one second of hold
}

func (h *RejectionLimiter) add(now time.Time, address string) *holdEntry {
	if len(h.entries) >= h.cfg.MaxAddresses {
		delete(h.entries, h.oldest.address)
		h.unlink(h.oldest)
	}
	e := &holdEntry{address: address}
	for i := range e.buckets {
		e.buckets[i] = holdBucket{tokens: h.cfg.Burst, at: now}
	}
	h.entries[address] = e
	h.pushNewest(e)
	return e
}

func (h *RejectionLimiter) refill(now time.Time, b *holdBucket) {
	if dt := now.Sub(b.at).Seconds(); dt > 0 {
		b.tokens = min(h.cfg.Burst, b.tokens+dt*h.cfg.Rate)
		b.at = now
	}
}

func (h *RejectionLimiter) pushNewest(e *holdEntry) {
	e.prev, e.next = nil, h.newest
	if h.newest != nil {
		h.newest.prev = e
	}
	h.newest = e
	if h.oldest == nil {
		h.oldest = e
	}
}

func (h *RejectionLimiter) unlink(e *holdEntry) {
	if e.prev == nil {
		h.newest = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		h.oldest = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next = nil, nil
}
