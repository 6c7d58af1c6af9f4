package admission

import (
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/routemap"
)

// Controller is the admission controller of one upstream.
type Controller struct {
	mu                 sync.Mutex
	cfg                Config
	entries            map[uint64]*entry
	freeEntries        *entry // free list of entries
	requestQueue       queue
	uploadQueue        queue // streamed uploads, which have a limit of their own
	inFlight           int
	uploadsInFlight    int // streamed uploads among the requests in flight
	level              level
	limiter            limiter
	routes             routemap.Map[serviceTime]
	overallServiceTime serviceTime // across all routes, without streamed uploads
	intervalStart      time.Time   // start of the current adjustment interval
	utilizationAt      time.Time   // time up to which utilization is recorded
	cutoff             classCutoff
	draining           bool
}

// NewController returns a Controller.
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

// Submit decides on a new request. The decisions contain none for this request if it is queued,
// and may reject another request that it evicted from the queue.
func (c *Controller) Submit(now time.Time, r Request) []Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Priority = min(r.Priority, chain.NumPriorities-1)
	c.level.recordArrival(r.Priority)
	routeTime := c.routes.GetOrCreate(r.Route)
	if failure := c.rejection(now, r, routeTime); failure != nil {
		return []Decision{reject(r, failure)}
	}
	decisions := c.dispatch(now, nil) // the limit may have risen since the last event
	e := c.newEntry(now, r, routeTime)
	if c.canStart(r.StreamingUpload) {
		return append(decisions, c.start(now, e))
	}
	return c.enqueue(e, decisions)
}

// rejection returns the failure with which a request is rejected before it is queued, or nil.
func (c *Controller) rejection(now time.Time, r Request, routeTime *serviceTime) *chain.Failure {
	switch {
	case c.draining:
		return chain.NewFailure(chain.NotRun, chain.ReasonDraining, "the upstream is draining")
	case c.entries[r.ID] != nil:
		return chain.NewFailure(chain.NotRun, chain.ReasonBadRequest, "request ID is already queued or in flight")
	case !r.Deadline.IsZero() && !routeTime.canMeetDeadline(r.Deadline.Sub(now), c.cfg.MinRemainingRatio):
		return chain.NewFailure(chain.NotRun, chain.ReasonTooLate, "remaining time is less than the service time")
	case r.Priority < c.level.current:
		return chain.NewFailure(chain.NotRun, chain.ReasonOverload, "priority below the admission level")
	case r.Priority.Class() < c.cutoff.class:
		return chain.NewFailure(chain.NotRun, chain.ReasonOverload, "a request of a higher class was just rejected")
	}
	return nil
}

// Complete records the end of a request in flight and starts queued requests in its place.
func (c *Controller) Complete(now time.Time, id uint64, r ExecutionResult) []Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[id]
	if e == nil || !e.inFlight {
		return nil
	}
	c.recordUtilization(now)
	c.inFlight--
	if e.req.StreamingUpload {
		c.uploadsInFlight--
	}
	e.serviceTime.observe(now.Sub(e.startedAt), r.Succeeded && !r.Cancelled)
	if !e.req.StreamingUpload {
		c.overallServiceTime.observe(now.Sub(e.startedAt), r.Succeeded && !r.Cancelled)
	}
	c.limiter.end(now, e, r)
	c.release(e)
	return c.dispatch(now, nil)
}

// Cancel removes a queued request whose client cancelled. A request in flight is ended by
// Complete.
func (c *Controller) Cancel(now time.Time, id uint64) []Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[id]
	if e == nil || e.inFlight {
		return nil
	}
	c.queueFor(e.req.StreamingUpload).remove(e)
	c.release(e)
	return c.dispatch(now, nil)
}

// Tick rejects queued requests that can no longer meet their deadlines and, at the end of an
// adjustment interval, adjusts the level and the limit. It is called every 10 ms.
func (c *Controller) Tick(now time.Time) []Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordUtilization(now)
	decisions := c.expireQueued(now, nil)
	if c.intervalStart.IsZero() {
		c.intervalStart = now
	}
	if now.Sub(c.intervalStart) >= c.cfg.AdjustInterval {
		c.intervalStart = now
		decisions = c.endInterval(now, decisions)
	}
	return c.dispatch(now, decisions)
}

// Drain rejects all queued and all later requests. Requests in flight continue.
func (c *Controller) Drain() []Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	var decisions []Decision
	c.eachQueued(func(e *entry) {
		failure := chain.NewFailure(chain.NotRun, chain.ReasonDraining, "the upstream is draining")
		decisions = append(decisions, c.evict(e, failure))
	})
	return decisions
}

// InFlight returns the number of requests that execute at the upstream.
func (c *Controller) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// LoadReport returns the load that responses carry.
func (c *Controller) LoadReport(time.Time) LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return LoadReport{
		Level:    max(c.level.current, c.cutoff.level()),
		Limit:    c.limiter.current(),
		InFlight: c.inFlight,
		Queued:   c.requestQueue.size + c.uploadQueue.size,
	}
}
