// Package admissionqueue binds the admission core to goroutines: each request waits for
// its verdict.
package admissionqueue

import (
	"context"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// tickEvery is the interval at which the core expires queued work.
const tickEvery = 10 * time.Millisecond

// Queue is the admission controller in front of one upstream.
type Queue struct {
	now func() time.Time

	mu      sync.Mutex
	core    *admission.Controller
	tickets map[uint64]*Permit
	next    uint64
	slots   int

	replaced bool
}

// Permit is one request at the gate.
type Permit struct {
	id      uint64
	verdict chan admission.Decision // capacity 1; the core decides each id once
	since   time.Time               // start of the run
}

var tickets = sync.Pool{New: func() any { return &Permit{verdict: make(chan admission.Decision, 1)} }}

// New returns a gate that works while Run does. Slots is the declared
// concurrency of the upstream.
func New(now func() time.Time, core *admission.Controller, slots int) *Queue {
	return &Queue{now: now, core: core, tickets: make(map[uint64]*Permit), slots: slots}
}

// Acquire waits until the request may run, is refused, or its context ends.
// After a nil failure the caller must call Release.
func (g *Queue) Acquire(ctx context.Context, r admission.Request) (*Permit, time.Duration, *chain.Failure) {
	t := g.arrive(r)
	select {
	case action := <-t.verdict:
		return g.accept(t, action)
	case <-ctx.Done():
	}
	if action, decided := g.withdraw(t); decided {
		if action.Kind == admission.Admit {
			g.finish(t, admission.ExecutionResult{Cancelled: true})
		}
	}
	tickets.Put(t)
	return nil, 0, chain.FailureFromContext(ctx, chain.NotRun, "ended while the request was queued")
}

func (g *Queue) arrive(r admission.Request) *Permit {
	t := tickets.Get().(*Permit)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	t.id, r.ID = g.next, g.next
	g.tickets[t.id] = t
	g.deliver(g.core.Submit(g.now(), r))
	return t
}

func (g *Queue) accept(t *Permit, action admission.Decision) (*Permit, time.Duration, *chain.Failure) {
	if action.Kind == admission.Admit {
		t.since = g.now()
		return t, 0, nil
	}
	tickets.Put(t)
	return nil, action.RetryAfter, action.Failure
}

// withdraw removes a queued request. If it was decided in the meantime the
// action is returned.
func (g *Queue) withdraw(t *Permit) (admission.Decision, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, queued := g.tickets[t.id]; !queued {
		return <-t.verdict, true
	}
	delete(g.tickets, t.id)
	g.deliver(g.core.Cancel(g.now(), t.id))
	return admission.Decision{}, false
}

// Release ends a run. Below is the time that the run spent in calls below.
func (g *Queue) Release(t *Permit, below time.Duration, result admission.ExecutionResult) {
	result.SelfTime = max(g.now().Sub(t.since)-below, 0)
	g.finish(t, result)
	tickets.Put(t)
}

func (g *Queue) finish(t *Permit, result admission.ExecutionResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.Complete(g.now(), t.id, result))
}

// deliver hands actions to their tickets. The caller holds the mutex.
func (g *Queue) deliver(actions []admission.Decision) {
	for _, action := range actions {
		if t := g.tickets[action.ID]; t != nil {
			delete(g.tickets, action.ID)
			t.verdict <- action
		}
	}
}

// Drain refuses all queued and all later requests.
func (g *Queue) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.Drain())
}

// LoadReport describes the load of the gate.
func (g *Queue) LoadReport() admission.LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.LoadReport(g.now())
}

// Run executes the periods of the admission core until ctx ends, or until the
// gate has been replaced and is empty.
func (g *Queue) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if !g.period() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// period reports whether the gate is still in use.
func (g *Queue) period() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.Tick(g.now()))
	return !g.replaced || len(g.tickets) > 0 || g.core.InFlight() > 0
}

// Close marks a gate that new requests no longer use.
func (g *Queue) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replaced = true
}

// Slots is the declared concurrency that the gate was made for.
func (g *Queue) Slots() int { return g.slots }
