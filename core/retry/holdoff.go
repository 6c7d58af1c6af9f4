package retry

import (
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// HoldOffConfig holds the parameters of a HoldOff. A zero field takes its default.
type HoldOffConfig struct {
	Rate         float64 // refusals per second that an address may cause for ever; default 50
	Burst        float64 // refusals that it may cause at once; default 200
	Credit       float64 // refusals that each admitted call pays for; default 1
	MaxAddresses int     // entries kept; the least recently refused goes first; default 4096
}

func (c HoldOffConfig) withDefaults() HoldOffConfig {
	setDefault(&c.Rate, 50)
	setDefault(&c.Burst, 200)
	setDefault(&c.Credit, 1)
	setDefault(&c.MaxAddresses, 4096)
	return c
}

type holdKey struct {
	address string
	class   chain.Class
}

type holdEntry struct {
	key    holdKey
	tokens float64
	at     time.Time
	prev   *holdEntry // towards the most recently refused
	next   *holdEntry
}

// HoldOff limits callers that go on after refusals. Each refusal takes a token
// from the bucket of its address and class; time and admitted calls refill it.
// An address behind which many customers sit therefore keeps its admitted
// calls, and an equal number of refused ones, however fast it retries. The
// classes have separate buckets, so that refused checks never hold off a
// booking from the same address.
type HoldOff struct {
	mu      sync.Mutex
	cfg     HoldOffConfig
	entries map[holdKey]*holdEntry
	newest  *holdEntry
	oldest  *holdEntry
}

// NewHoldOff builds a HoldOff that knows no address.
func NewHoldOff(cfg HoldOffConfig) *HoldOff {
	return &HoldOff{cfg: cfg.withDefaults(), entries: make(map[holdKey]*holdEntry)}
}

// Allow is AllowClass for the default class.
func (h *HoldOff) Allow(now time.Time, address string) (ok bool, retryAfter time.Duration) {
	return h.AllowClass(now, address, chain.Default)
}

// OnRefusal is OnRefusalClass for the default class.
func (h *HoldOff) OnRefusal(now time.Time, address string) {
	h.OnRefusalClass(now, address, chain.Default)
}

// AllowClass reports whether a call from the address may go on, and otherwise
// when the next one may. Addresses that were never refused are not stored.
func (h *HoldOff) AllowClass(now time.Time, address string, class chain.Class) (ok bool, retryAfter time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.entries[holdKey{address, class}]
	if e == nil {
		return true, 0
	}
	h.refill(now, e)
	if e.tokens >= 0 {
		// Paid in advance; OnRefusalClass takes it back with the token.
		e.tokens = min(h.cfg.Burst, e.tokens+h.cfg.Credit)
		return true, 0
	}
	wait := -e.tokens / h.cfg.Rate
	return false, max(time.Duration(wait*float64(time.Second)), time.Millisecond)
}

// OnRefusalClass records that a call from the address was refused under load.
func (h *HoldOff) OnRefusalClass(now time.Time, address string, class chain.Class) {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := holdKey{address, class}
	e := h.entries[key]
	if e == nil {
		e = h.add(now, key)
	} else {
		h.refill(now, e)
		h.unlink(e)
		h.pushNewest(e)
	}
	e.tokens = max(e.tokens-1-h.cfg.Credit, -h.cfg.Rate)
}

func (h *HoldOff) add(now time.Time, key holdKey) *holdEntry {
	if len(h.entries) >= h.cfg.MaxAddresses {
		delete(h.entries, h.oldest.key)
		h.unlink(h.oldest)
	}
	e := &holdEntry{key: key, tokens: h.cfg.Burst, at: now}
	h.entries[key] = e
	h.pushNewest(e)
	return e
}

func (h *HoldOff) refill(now time.Time, e *holdEntry) {
	if dt := now.Sub(e.at).Seconds(); dt > 0 {
		e.tokens = min(h.cfg.Burst, e.tokens+dt*h.cfg.Rate)
		e.at = now
	}
}

func (h *HoldOff) pushNewest(e *holdEntry) {
	e.prev, e.next = nil, h.newest
	if h.newest != nil {
		h.newest.prev = e
	}
	h.newest = e
	if h.oldest == nil {
		h.oldest = e
	}
}

func (h *HoldOff) unlink(e *holdEntry) {
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
