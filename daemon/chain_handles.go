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

const handleBytes = 16 // random bytes of a chain handle, so that handles cannot be guessed

// parentRequest is a request in flight at the local upstream, or a call that starts a call chain at
// this daemon. The calls that belong to it share its deadline, priority and retry allowance.
type parentRequest struct {
	metadata chain.Metadata
	route    *route

	mu               sync.Mutex
	allowance        *chain.RetryAllowance
	ended            bool
	callCount        int                        // calls issued to dependencies
	callsInFlight    int                        // calls of callCount that have not ended
	lastCall         int                        // number of the last call
	cancels          map[int]context.CancelFunc // of the calls in flight, by number
	dependencyTime   time.Duration              // time with at least one call in flight, without the current period
	dependencySince  time.Time                  // start of the current period with calls in flight
	dependencyFailed bool                       // a call ended without a successful response
}

func newParentRequest(metadata chain.Metadata, r *route, allowance int) *parentRequest {
	return &parentRequest{metadata: metadata, route: r, allowance: chain.NewRetryAllowance(allowance)}
}

// beginCall registers a call to a dependency and returns its number. It returns false if the
// request has ended.
func (p *parentRequest) beginCall(now time.Time, cancel context.CancelFunc) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return 0, false
	}
	if p.cancels == nil {
		p.cancels = make(map[int]context.CancelFunc, 2)
	}
	p.lastCall++
	p.cancels[p.lastCall] = cancel
	p.callCount++
	p.callsInFlight++
	if p.callsInFlight == 1 {
		p.dependencySince = now
	}
	return p.lastCall, true
}

// endCall records the end of a call to a dependency.
func (p *parentRequest) endCall(now time.Time, call int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.cancels, call)
	p.callsInFlight--
	if p.callsInFlight == 0 {
		p.dependencyTime += now.Sub(p.dependencySince)
	}
	p.dependencyFailed = p.dependencyFailed || !ok
}

// close ends the request, so that it can issue no more calls. It returns the unused retries and the
// time spent waiting for dependencies.
func (p *parentRequest) close(now time.Time) (unused int, inDependencies time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	inDependencies = p.dependencyTime
	if p.callsInFlight > 0 {
		inDependencies += now.Sub(p.dependencySince)
	}
	return p.allowance.Remaining(), inDependencies
}

// cancelCalls ends the request and cancels its calls in flight.
func (p *parentRequest) cancelCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, cancel := range p.cancels {
		cancel()
	}
}

func (p *parentRequest) madeCalls() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.callCount > 0
}

func (p *parentRequest) failedInDependency() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dependencyFailed
}

func (p *parentRequest) delegateRetries() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allowance.Delegate()
}

func (p *parentRequest) reclaimRetries(delegated, unused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allowance.Reclaim(delegated, unused)
}

// decideRetry decides whether a call may be retried. A retry consumes one of the allowance.
func (p *parentRequest) decideRetry(now time.Time, budget *retry.TokenBudget, a retry.Attempt) retry.Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	a.Allowance = p.allowance
	return budget.Decide(now, a)
}

// chainHandles maps chain handles to the requests in flight at the local upstream.
type chainHandles struct {
	mu       sync.Mutex
	requests map[string]*parentRequest
}

func newChainHandles() *chainHandles { return &chainHandles{requests: make(map[string]*parentRequest)} }

// add stores a request under a new random handle and returns the handle.
func (h *chainHandles) add(p *parentRequest) string {
	var raw [handleBytes]byte
	_, _ = rand.Read(raw[:]) // never returns an error: it aborts the process instead
	handle := hex.EncodeToString(raw[:])
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests[handle] = p
	return handle
}

func (h *chainHandles) remove(handle string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.requests, handle)
}

// find returns the request of a handle. A well-formed handle that is not in the table was guessed
// or its request has ended. In both cases the call is rejected without execution.
func (h *chainHandles) find(handle string) (*parentRequest, *chain.Failure) {
	if raw, err := hex.DecodeString(handle); err != nil || len(raw) != handleBytes {
		return nil, chain.NewFailure(chain.NotRun, chain.ReasonForgedChain, "malformed chain handle")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.requests[handle]; p != nil {
		return p, nil
	}
	return nil, parentEndedFailure()
}

func parentEndedFailure() *chain.Failure {
	return chain.NewFailure(chain.NotRun, chain.ReasonParentEnded, "the request of this chain handle is not in flight here")
}
