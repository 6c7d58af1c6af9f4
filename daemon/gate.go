package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admit"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

const gateTick = 10 * time.Millisecond

// gate binds the admission core to goroutines: each request waits for its
// action on a ticket.
type gate struct {
	now func() time.Time

	mu      sync.Mutex
	core    *admit.Gate
	tickets map[uint64]*ticket
	next    uint64
	slots   int

	replaced bool
}

// ticket is one request at the gate.
type ticket struct {
	id      uint64
	verdict chan admit.Action // capacity 1; the core decides each id once
	since   time.Time         // start of the run
}

var tickets = sync.Pool{New: func() any { return &ticket{verdict: make(chan admit.Action, 1)} }}

func newGate(now func() time.Time, core *admit.Gate, slots int) *gate {
	return &gate{now: now, core: core, tickets: make(map[uint64]*ticket), slots: slots}
}

// enter waits until the request may run, is refused, or its context ends.
// After a nil failure the caller must call leave.
func (g *gate) enter(ctx context.Context, r admit.Request) (*ticket, time.Duration, *chain.Failure) {
	t := g.arrive(r)
	select {
	case action := <-t.verdict:
		return g.accept(t, action)
	case <-ctx.Done():
	}
	if action, decided := g.withdraw(t); decided {
		if action.Kind == admit.Run {
			g.finish(t, admit.Result{Cancelled: true})
		}
	}
	tickets.Put(t)
	return nil, 0, contextFailure(ctx, chain.NotRun, "ended while the request was queued")
}

func (g *gate) arrive(r admit.Request) *ticket {
	t := tickets.Get().(*ticket)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.next++
	t.id, r.ID = g.next, g.next
	g.tickets[t.id] = t
	g.deliver(g.core.Arrive(g.now(), r))
	return t
}

func (g *gate) accept(t *ticket, action admit.Action) (*ticket, time.Duration, *chain.Failure) {
	if action.Kind == admit.Run {
		t.since = g.now()
		return t, 0, nil
	}
	tickets.Put(t)
	return nil, action.RetryAfter, action.Failure
}

// withdraw removes a queued request. If it was decided in the meantime the
// action is returned.
func (g *gate) withdraw(t *ticket) (admit.Action, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, queued := g.tickets[t.id]; !queued {
		return <-t.verdict, true
	}
	delete(g.tickets, t.id)
	g.deliver(g.core.Cancel(g.now(), t.id))
	return admit.Action{}, false
}

// leave ends a run. Below is the time that the run spent in calls below.
func (g *gate) leave(t *ticket, below time.Duration, result admit.Result) {
	result.Own = max(g.now().Sub(t.since)-below, 0)
	g.finish(t, result)
	tickets.Put(t)
}

func (g *gate) finish(t *ticket, result admit.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.Finish(g.now(), t.id, result))
}

// deliver hands actions to their tickets. The caller holds the mutex.
func (g *gate) deliver(actions []admit.Action) {
	for _, action := range actions {
		if t := g.tickets[action.ID]; t != nil {
			delete(g.tickets, action.ID)
			t.verdict <- action
		}
	}
}

func (g *gate) drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.Drain())
}

func (g *gate) report() admit.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Report(g.now())
}

// tick runs the periods of the admission core until ctx ends, or until the
// gate has been replaced and is empty.
func (g *gate) tick(ctx context.Context) {
	ticker := time.NewTicker(gateTick)
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
func (g *gate) period() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.core.Tick(g.now()))
	return !g.replaced || len(g.tickets) > 0 || g.core.InFlight() > 0
}

// retire marks a gate that new requests no longer use.
func (g *gate) retire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replaced = true
}

// contextFailure types the end of a context.
func contextFailure(ctx context.Context, outcome chain.Outcome, message string) *chain.Failure {
	if ctx.Err() == context.DeadlineExceeded {
		return chain.Wrap(outcome, chain.ReasonDeadline, message, ctx.Err())
	}
	return chain.Wrap(outcome, chain.ReasonCancelled, message, ctx.Err())
}
