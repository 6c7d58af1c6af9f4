// Package admissionqueue is the blocking wrapper of an admission.Controller: the goroutine of
// each request waits for its decision.
package admissionqueue

import (
	"context"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// tickInterval is the interval between two calls of Controller.Tick.
const tickInterval = 10 * time.Millisecond

// Queue is the blocking admission controller of one upstream.
type Queue struct {
	now func() time.Time

	mu         sync.Mutex
	controller *admission.Controller
	waiting    map[uint64]*Permit
	lastID     uint64
	slots      int

	closed bool
}

// Permit is a request that is queued or in flight. Acquire returns one for each admitted request.
type Permit struct {
	id        uint64
	decision  chan admission.Decision // capacity 1: the controller decides on each ID once
	startedAt time.Time               // start of the execution
}

var permitPool = sync.Pool{New: func() any { return &Permit{decision: make(chan admission.Decision, 1)} }}

// New returns a Queue. The caller must start Run, which adjusts the admission level and rejects
// requests that expire in the queue. slots is the declared concurrency of the upstream.
func New(now func() time.Time, controller *admission.Controller, slots int) *Queue {
	return &Queue{now: now, controller: controller, waiting: make(map[uint64]*Permit), slots: slots}
}

// Acquire waits until the request is admitted or rejected, or its context ends. It returns a
// permit, or a failure and the delay for Retry-After. The caller of a successful Acquire must
// call Release.
func (q *Queue) Acquire(ctx context.Context, r admission.Request) (*Permit, time.Duration, *chain.Failure) {
	permit := q.submit(r)
	select {
	case decision := <-permit.decision:
		return q.resolve(permit, decision)
	case <-ctx.Done():
	}
	if decision, decided := q.cancel(permit); decided {
		if decision.Kind == admission.Admit {
			q.finish(permit, admission.ExecutionResult{Cancelled: true})
		}
	}
	permitPool.Put(permit)
	return nil, 0, chain.FailureFromContext(ctx, chain.NotRun, "request ended while it was queued")
}

func (q *Queue) submit(r admission.Request) *Permit {
	permit := permitPool.Get().(*Permit)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	permit.id, r.ID = q.lastID, q.lastID
	q.waiting[permit.id] = permit
	q.deliver(q.controller.Submit(q.now(), r))
	return permit
}

func (q *Queue) resolve(permit *Permit, decision admission.Decision) (*Permit, time.Duration, *chain.Failure) {
	if decision.Kind == admission.Admit {
		permit.startedAt = q.now()
		return permit, 0, nil
	}
	permitPool.Put(permit)
	return nil, decision.RetryAfter, decision.Failure
}

// cancel removes a queued request. If the controller has already decided, cancel returns that
// decision and true.
func (q *Queue) cancel(permit *Permit) (admission.Decision, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, queued := q.waiting[permit.id]; !queued {
		return <-permit.decision, true
	}
	delete(q.waiting, permit.id)
	q.deliver(q.controller.Cancel(q.now(), permit.id))
	return admission.Decision{}, false
}

// Release records the end of an execution. dependencyTime is the time that the execution spent
// waiting for dependencies.
func (q *Queue) Release(permit *Permit, dependencyTime time.Duration, result admission.ExecutionResult) {
	result.SelfTime = max(q.now().Sub(permit.startedAt)-dependencyTime, 0)
	q.finish(permit, result)
	permitPool.Put(permit)
}

func (q *Queue) finish(permit *Permit, result admission.ExecutionResult) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.controller.Complete(q.now(), permit.id, result))
}

// deliver sends decisions to the waiting permits. The caller must hold the mutex.
func (q *Queue) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		if permit := q.waiting[decision.ID]; permit != nil {
			delete(q.waiting, decision.ID)
			permit.decision <- decision
		}
	}
}

// Drain rejects all queued and all later requests.
func (q *Queue) Drain() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.controller.Drain())
}

// LoadReport returns the load of the admission controller.
func (q *Queue) LoadReport() admission.LoadReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.LoadReport(q.now())
}

// Run calls Controller.Tick at regular intervals until ctx ends, or until the queue is closed and
// no request is queued or in flight.
func (q *Queue) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if !q.tick() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// tick calls Controller.Tick. It reports whether the queue is still in use.
func (q *Queue) tick() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.controller.Tick(q.now()))
	return !q.closed || len(q.waiting) > 0 || q.controller.InFlight() > 0
}

// Close marks the queue as no longer used for new requests, so that Run returns once it is empty.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
}

// Slots returns the declared concurrency that was passed to New.
func (q *Queue) Slots() int { return q.slots }
