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

// parentRequest is a request in flight at the local upstream, or one that entered
// here. Calls that belong to it share its deadline, priority and allowance.
type parentRequest struct {
	metadata chain.Metadata
	route    *route

	mu               sync.Mutex
	allowance        *chain.RetryAllowance
	ended            bool
	callCount        int // calls made below
	callsInFlight    int // calls in flight below
	lastCall         int
	cancels          map[int]context.CancelFunc
	dependencyTime   time.Duration // time with at least one call in flight below
	dependencySince  time.Time
	dependencyFailed bool // a call below ended without an answer that is ok
}

func newParentRequest(ctx chain.Metadata, r *route, allowance int) *parentRequest {
	return &parentRequest{metadata: ctx, route: r, allowance: chain.NewRetryAllowance(allowance)}
}

// beginCall registers a call below and returns its number. It fails once the
// request has ended.
func (e *parentRequest) beginCall(now time.Time, cancel context.CancelFunc) (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return 0, false
	}
	if e.cancels == nil {
		e.cancels = make(map[int]context.CancelFunc, 2)
	}
	e.lastCall++
	e.cancels[e.lastCall] = cancel
	e.callCount++
	e.callsInFlight++
	if e.callsInFlight == 1 {
		e.dependencySince = now
	}
	return e.lastCall, true
}

// endCall ends a call below.
func (e *parentRequest) endCall(now time.Time, call int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.cancels, call)
	e.callsInFlight--
	if e.callsInFlight == 0 {
		e.dependencyTime += now.Sub(e.dependencySince)
	}
	e.dependencyFailed = e.dependencyFailed || !ok
}

// close closes the request for further calls and returns the unused retries and
// the time that was spent in calls below.
func (e *parentRequest) close(now time.Time) (unused int, below time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	below = e.dependencyTime
	if e.callsInFlight > 0 {
		below += now.Sub(e.dependencySince)
	}
	return e.allowance.Remaining(), below
}

// cancelCalls cancels the calls below that are still in flight.
func (e *parentRequest) cancelCalls() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	for _, cancel := range e.cancels {
		cancel()
	}
}

func (e *parentRequest) madeCalls() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.callCount > 0
}

func (e *parentRequest) failedInDependency() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dependencyFailed
}

func (e *parentRequest) delegateRetries() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.allowance.Delegate()
}

func (e *parentRequest) reclaimRetries(share, unused int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.allowance.Reclaim(share, unused)
}

// decideRetry asks the budget for a retry, which a grant takes from the allowance.
func (e *parentRequest) decideRetry(now time.Time, budget *retry.TokenBudget, a retry.Attempt) retry.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.Allowance = e.allowance
	return budget.Decide(now, a)
}

// chainHandles is the table of requests in flight at the local upstream by chain
// handle.
type chainHandles struct {
	mu       sync.Mutex
	requests map[string]*parentRequest
}

func newChainHandles() *chainHandles { return &chainHandles{requests: make(map[string]*parentRequest)} }

// add returns a new random handle for the entry.
func (h *chainHandles) add(e *parentRequest) string {
	var raw [handleBytes]byte
	_, _ = rand.Read(raw[:]) // never fails: it aborts the process instead
	handle := hex.EncodeToString(raw[:])
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[handle] = e
	return handle
}

func (h *chainHandles) remove(handle string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.requests, handle)
}

// find returns the entry of a handle. A handle that is well formed but not in
// the table belongs to a request that has ended, or was guessed; both are
// refused before anything runs.
func (h *chainHandles) find(handle string) (*parentRequest, *chain.Failure) {
	if raw, err := hex.DecodeString(handle); err != nil || len(raw) != handleBytes {
		return nil, chain.NewFailure(chain.NotRun, chain.ReasonForgedChain, "malformed chain handle")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if e := h.requests[handle]; e != nil {
		return e, nil
	}
	return nil, parentEndedFailure()
}

func parentEndedFailure() *chain.Failure {
	return chain.NewFailure(chain.NotRun, chain.ReasonParentEnded, "the request of this chain handle is not in flight here")
}
