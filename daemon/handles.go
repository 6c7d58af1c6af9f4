package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/retry"
)

const handleBytes = 16 // random bytes of a chain handle; enough that none can be guessed

// entry is a request in flight at the local upstream, or one that entered
// here. Calls that belong to it share its deadline, priority and allowance.
type entry struct {
	ctx   chain.Metadata
	route *route

	mu         sync.Mutex
	allowance  *chain.RetryAllowance
	ended      bool
	calls      int // calls made below
	running    int // calls in flight below
	nextCall   int
	cancels    map[int]context.CancelFunc
	waiting    time.Duration // time with at least one call in flight below
	waitSince  time.Time
	belowFails bool // a call below ended without an answer that is ok
}

func newEntry(ctx chain.Metadata, r *route, allowance int) *entry {
	return &entry{ctx: ctx, route: r, allowance: chain.NewRetryAllowance(allowance)}
}

// begin registers a call below and returns its number. It fails once the
// request has ended.
func (e *entry) begin(now time.Time, cancel context.CancelFunc) (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return 0, false
	}
	if e.cancels == nil {
		e.cancels = make(map[int]context.CancelFunc, 2)
	}
	e.nextCall++
	e.cancels[e.nextCall] = cancel
	e.calls++
	e.running++
	if e.running == 1 {
		e.waitSince = now
	}
	return e.nextCall, true
}

// done ends a call below.
func (e *entry) done(now time.Time, call int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancels, call)
	e.running--
	if e.running == 0 {
		e.waiting += now.Sub(e.waitSince)
	}
	e.belowFails = e.belowFails || !ok
}

// end closes the request for further calls and returns the unused retries and
// the time that was spent in calls below.
func (e *entry) end(now time.Time) (unused int, below time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	below = e.waiting
	if e.running > 0 {
		below += now.Sub(e.waitSince)
	}
	return e.allowance.Remaining(), below
}

// abort cancels the calls below that are still in flight.
func (e *entry) abort() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	for _, cancel := range e.cancels {
		cancel()
	}
}

func (e *entry) madeCalls() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls > 0
}

func (e *entry) belowFailed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.belowFails
}

func (e *entry) lend() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.allowance.Delegate()
}

func (e *entry) giveBack(share, unused int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.allowance.Reclaim(share, unused)
}

// decide asks the budget for a retry, which a grant takes from the allowance.
func (e *entry) decide(now time.Time, budget *retry.TokenBudget, a retry.Attempt) retry.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.Allowance = e.allowance
	return budget.Decide(now, a)
}

// handles is the table of requests in flight at the local upstream by chain
// handle.
type handles struct {
	mu      sync.Mutex
	entries map[string]*entry
}

func newHandles() *handles { return &handles{entries: make(map[string]*entry)} }

// add returns a new random handle for the entry.
func (h *handles) add(e *entry) string {
	var raw [handleBytes]byte
	_, _ = rand.Read(raw[:]) // never fails: it aborts the process instead
	handle := hex.EncodeToString(raw[:])
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entries[handle] = e
	return handle
}

func (h *handles) remove(handle string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.entries, handle)
}

// find returns the entry of a handle. A handle that is well formed but not in
// the table belongs to a request that has ended, or was guessed; both are
// refused before anything runs.
func (h *handles) find(handle string) (*entry, *chain.Failure) {
	if raw, err := hex.DecodeString(handle); err != nil || len(raw) != handleBytes {
		return nil, chain.NewFailure(chain.NotRun, chain.ReasonForgedChain, "malformed chain handle")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.entries[handle]; e != nil {
		return e, nil
	}
	return nil, parentEnded()
}

func parentEnded() *chain.Failure {
	return chain.NewFailure(chain.NotRun, chain.ReasonParentEnded, "the request of this chain handle is not in flight here")
}
