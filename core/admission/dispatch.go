package admission

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// floorPeriods is the number of periods that a floor holds.
const floorPeriods = 2

// floor keeps lower classes out after a request of a higher class was refused
// for lack of room: without it, the next free place in the queue would go to
// whoever arrives first.
type floor struct {
	class   chain.Class
	periods int
}

func (f floor) level() chain.Priority { return f.class.MinPriority() }

func (g *Controller) queueOf(stream bool) *queue {
	if stream {
		return &g.streams
	}
	return &g.plain
}

// streamLimit is the number of streamed uploads that may run at once. It is at
// least one, or a service with a limit of one would accept no upload.
func (g *Controller) streamLimit() int {
	return max(1, int(float64(g.limiter.current())*g.cfg.StreamRatio))
}

func (g *Controller) canRun(stream bool) bool {
	if g.running >= g.limiter.current() {
		return false
	}
	return !stream || g.uploads < g.streamLimit()
}

// newEntry takes a recycled entry if there is one.
func (g *Controller) newEntry(now time.Time, r Request, route *routeTime) *entry {
	e := g.free
	if e == nil {
		e = &entry{}
	} else {
		g.free = e.next
	}
	*e = entry{req: r, arrived: now, route: route}
	g.entries[r.ID] = e
	return e
}

func (g *Controller) forget(e *entry) {
	delete(g.entries, e.req.ID)
	*e = entry{next: g.free}
	g.free = e
}

// recordUse adds the interval since the last change of the running requests.
func (g *Controller) recordUse(now time.Time) {
	if d := now.Sub(g.used); d > 0 {
		if !g.used.IsZero() {
			g.level.use(d, g.running, g.limiter.current())
		}
		g.used = now
	}
}

func (g *Controller) run(now time.Time, e *entry) Decision {
	g.recordUse(now)
	e.running = true
	e.started = now
	g.running++
	if e.req.StreamingUpload {
		g.uploads++
	} else {
		g.level.wait(e.req.Priority.Class(), now.Sub(e.arrived)) // uploads wait for their share, which is no overload
	}
	g.limiter.begin(now, e, g.running >= g.limiter.current())
	return Decision{Kind: Admit, ID: e.req.ID}
}

// dispatch starts queued requests while the limit allows, by priority.
func (g *Controller) dispatch(now time.Time, actions []Decision) []Decision {
	for {
		e := g.nextToRun()
		if e == nil {
			return actions
		}
		g.queueOf(e.req.StreamingUpload).remove(e)
		if g.late(now, e) {
			actions = g.dropLate(now, e, actions)
			continue
		}
		actions = append(actions, g.run(now, e))
	}
}

func (g *Controller) nextToRun() *entry {
	if !g.canRun(false) {
		return nil
	}
	e := g.plain.first()
	if !g.canRun(true) {
		return e
	}
	if s := g.streams.first(); s != nil && (e == nil || s.req.Priority >= e.req.Priority) {
		return s
	}
	return e
}

// late reports whether an entry has less time left than its service takes.
func (g *Controller) late(now time.Time, e *entry) bool {
	return !e.req.Deadline.IsZero() && !e.route.feasible(e.req.Deadline.Sub(now), g.cfg.MinRemainingRatio)
}

// expire refuses queued entries that can no longer finish in time.
func (g *Controller) expire(now time.Time, actions []Decision) []Decision {
	highest := chain.Sheddable
	g.eachQueued(func(e *entry) {
		if !g.late(now, e) {
			return
		}
		g.queueOf(e.req.StreamingUpload).remove(e)
		if !e.req.StreamingUpload {
			highest = max(highest, e.req.Priority.Class())
		}
		actions = append(actions, g.refuseLate(now, e))
	})
	return g.raiseFloor(highest, actions)
}

// refuseLate refuses an entry that has left the queue because its time ran
// out, which is a lack of capacity unless it waited for the upload share.
func (g *Controller) refuseLate(now time.Time, e *entry) Decision {
	if !e.req.StreamingUpload {
		class := e.req.Priority.Class()
		g.level.classes[class].noRoom++
		g.level.wait(class, now.Sub(e.arrived))
	}
	f := chain.NewFailure(chain.NotRun, chain.ReasonDeadline, "the deadline would pass before the end of the service")
	a := refuse(e.req, f)
	g.forget(e)
	return a
}

// dropLate refuses a late entry that dispatch found at the head of the queue.
func (g *Controller) dropLate(now time.Time, e *entry, actions []Decision) []Decision {
	class := e.req.Priority.Class()
	if e.req.StreamingUpload {
		class = chain.Sheddable
	}
	actions = append(actions, g.refuseLate(now, e))
	return g.raiseFloor(class, actions)
}

// enqueue queues an entry, or refuses the lowest one if there is no room.
func (g *Controller) enqueue(e *entry, actions []Decision) []Decision {
	g.queueOf(e.req.StreamingUpload).push(e)
	f := chain.NewFailure(chain.NotRun, chain.ReasonOverload, "the queue is full")
	if g.plain.size+g.streams.size > g.cfg.MaxQueue {
		last := g.lowest()
		class := last.req.Priority.Class()
		g.level.classes[class].noRoom++
		actions = append(actions, g.evict(last, f))
		return g.raiseFloor(class, actions)
	}
	if g.streams.size > g.streamQueue() {
		// The upload share is full, not the gate: neither level nor floor rise.
		actions = append(actions, g.evict(g.streams.last(), f))
	}
	return actions
}

// streamQueue is the number of streamed uploads that may wait.
func (g *Controller) streamQueue() int { return max(1, int(float64(g.cfg.MaxQueue)*g.cfg.StreamRatio)) }

// lowest returns the entry of the lowest priority, an upload if both are equal.
func (g *Controller) lowest() *entry {
	e, s := g.plain.last(), g.streams.last()
	if e == nil || (s != nil && s.req.Priority <= e.req.Priority) {
		return s
	}
	return e
}

// evict refuses a queued entry.
func (g *Controller) evict(e *entry, f *chain.Failure) Decision {
	a := refuse(e.req, f)
	g.queueOf(e.req.StreamingUpload).remove(e)
	g.forget(e)
	return a
}

// raiseFloor refuses the queued work of the classes below and keeps them out
// for floorPeriods periods.
func (g *Controller) raiseFloor(class chain.Class, actions []Decision) []Decision {
	if class == chain.Sheddable || class < g.floor.class {
		return actions // no class is below, or the floor is higher already
	}
	g.floor = floor{class: class, periods: floorPeriods}
	return g.evictBelow(g.floor.level(), actions)
}

func (g *Controller) evictBelow(p chain.Priority, actions []Decision) []Decision {
	for _, q := range [...]*queue{&g.plain, &g.streams} {
		for e := q.last(); e != nil && e.req.Priority < p; e = q.last() {
			f := chain.NewFailure(chain.NotRun, chain.ReasonOverload, "priority below the admission level")
			actions = append(actions, g.evict(e, f))
		}
	}
	return actions
}

// endPeriod adapts the level, refuses queued work below it, and ages the floor
// and the service times.
func (g *Controller) endPeriod(now time.Time, actions []Decision) []Decision {
	g.plain.each(func(e *entry) {
		p := &g.level.classes[e.req.Priority.Class()]
		p.oldest = max(p.oldest, now.Sub(e.arrived))
	})
	g.level.adapt(g.queueTarget())
	g.typical.decay()
	g.routes.Range((*routeTime).decay)
	if g.floor.periods--; g.floor.periods <= 0 {
		g.floor = floor{}
	}
	return g.evictBelow(g.level.current, actions)
}

// queueTarget is the declared target, or half of the service time if that is
// longer: with few slots, a request waits a part of the service time for the
// next free one without any overload.
func (g *Controller) queueTarget() time.Duration { return max(g.cfg.QueueTarget, g.typical.mean/2) }

func (g *Controller) eachQueued(f func(*entry)) {
	g.plain.each(f)
	g.streams.each(f)
}

func refuse(r Request, f *chain.Failure) Decision {
	a := Decision{Kind: Reject, ID: r.ID, Failure: f}
	if f.RetryableByCaller() {
		a.RetryAfter = RetryAfter(r.Priority)
	}
	return a
}

// RetryAfter spreads the callers that were refused together over the second
// after the next one. Entrances use it for early refusals.
func RetryAfter(p chain.Priority) time.Duration {
	sub := p - p.Class().MinPriority()
	return time.Second + time.Duration(sub)*time.Second/time.Duration(chain.Default.MinPriority())
}
