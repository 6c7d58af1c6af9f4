package admission

import (
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/routemap"
)

// Controller is the admission controller in front of one upstream.
type Controller struct {
	mu       sync.Mutex
	cfg      Config
	entries  map[uint64]*entry
	free     *entry // recycled entries
	plain    queue
	streams  queue // streamed uploads, which wait for their own share
	running  int
	uploads  int // running requests with a streamed upload
	level    level
	limiter  limiter
	routes   routemap.Map[routeTime]
	typical  routeTime // of all routes
	period   time.Time // start of the current period
	used     time.Time // up to when the use of the limit is recorded
	floor    floor
	draining bool
}

// NewController builds a gate.
func NewController(cfg Config) *Controller {
	cfg = cfg.withDefaults()
	var l limiter = fixedLimiter(cfg.fixedLimit())
	if !cfg.FixedLimit {
		l = newProbeLimiter(cfg)
	}
	return &Controller{
		cfg:     cfg,
		entries: make(map[uint64]*entry),
		limiter: l,
	}
}

// Submit decides on a new request. It returns nothing if the request is
// queued, and may refuse another one that was evicted from the queue.
func (g *Controller) Submit(now time.Time, r Request) []Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Priority = min(r.Priority, chain.MaxPriority-1)
	g.level.arrive(r.Priority)
	route := g.routes.GetOrCreate(r.Route)
	if f := g.refusal(now, r, route); f != nil {
		return []Decision{refuse(r, f)}
	}
	actions := g.dispatch(now, nil) // the limit may have grown since the last event
	e := g.newEntry(now, r, route)
	if g.canRun(r.StreamingUpload) {
		return append(actions, g.run(now, e))
	}
	return g.enqueue(e, actions)
}

// refusal returns the reason why a request may not even wait, or nil.
func (g *Controller) refusal(now time.Time, r Request, route *routeTime) *chain.Failure {
	switch {
	case g.draining:
		return chain.NewFailure(chain.NotRun, chain.ReasonDraining, "the upstream is draining")
	case g.entries[r.ID] != nil:
		return chain.NewFailure(chain.NotRun, chain.ReasonBadRequest, "request id already held by the gate")
	case !r.Deadline.IsZero() && !route.feasible(r.Deadline.Sub(now), g.cfg.MinRemainingRatio):
		return chain.NewFailure(chain.NotRun, chain.ReasonTooLate, "less time left than the service takes")
	case r.Priority < g.level.current:
		return chain.NewFailure(chain.NotRun, chain.ReasonOverload, "priority below the admission level")
	case r.Priority.Class() < g.floor.class:
		return chain.NewFailure(chain.NotRun, chain.ReasonOverload, "a higher class was refused just before")
	}
	return nil
}

// Complete ends a running request and starts queued ones in its place.
func (g *Controller) Complete(now time.Time, id uint64, r ExecutionResult) []Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[id]
	if e == nil || !e.running {
		return nil
	}
	g.recordUse(now)
	g.running--
	if e.req.StreamingUpload {
		g.uploads--
	}
	e.route.observe(now.Sub(e.started), r.Succeeded && !r.Cancelled)
	if !e.req.StreamingUpload {
		g.typical.observe(now.Sub(e.started), r.Succeeded && !r.Cancelled)
	}
	g.limiter.end(now, e, r)
	g.forget(e)
	return g.dispatch(now, nil)
}

// Cancel removes a queued request whose caller has left. A running request is
// ended by Complete.
func (g *Controller) Cancel(now time.Time, id uint64) []Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[id]
	if e == nil || e.running {
		return nil
	}
	g.queueOf(e.req.StreamingUpload).remove(e)
	g.forget(e)
	return g.dispatch(now, nil)
}

// Tick expires queued work and, at the end of a period, adapts the level and
// the limit. It is called every 10 ms.
func (g *Controller) Tick(now time.Time) []Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordUse(now)
	actions := g.expire(now, nil)
	if g.period.IsZero() {
		g.period = now
	}
	if now.Sub(g.period) >= g.cfg.AdjustInterval {
		g.period = now
		actions = g.endPeriod(now, actions)
	}
	return g.dispatch(now, actions)
}

// Drain refuses all queued and all later requests. Running requests go on.
func (g *Controller) Drain() []Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	var actions []Decision
	g.eachQueued(func(e *entry) {
		f := chain.NewFailure(chain.NotRun, chain.ReasonDraining, "the upstream is draining")
		actions = append(actions, g.evict(e, f))
	})
	return actions
}

// InFlight returns the number of running requests.
func (g *Controller) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// LoadReport returns the state that answers carry.
func (g *Controller) LoadReport(time.Time) LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return LoadReport{
		Level:    max(g.level.current, g.floor.level()),
		Limit:    g.limiter.current(),
		InFlight: g.running,
		Queued:   g.plain.size + g.streams.size,
	}
}
