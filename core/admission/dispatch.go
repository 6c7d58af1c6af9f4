package admission

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// cutoffIntervals is the number of adjustment intervals for which a class cutoff lasts.
const cutoffIntervals = 2

// classCutoff rejects lower classes after a request of a higher class was rejected for lack of
// capacity. Without it, the next free slot or queue entry would go to whichever request arrives
// first, even one of a lower class.
type classCutoff struct {
	class         chain.Class
	intervalsLeft int
}

func (cutoff classCutoff) level() chain.Priority { return cutoff.class.MinPriority() }

func (c *Controller) queueFor(upload bool) *queue {
	if upload {
		return &c.uploadQueue
	}
	return &c.requestQueue
}

// uploadLimit is the number of streamed uploads that may be in flight. It is at least one;
// otherwise a controller with a limit of one would admit no upload.
func (c *Controller) uploadLimit() int {
	return max(1, int(float64(c.limiter.current())*c.cfg.StreamRatio))
}

func (c *Controller) canStart(upload bool) bool {
	if c.inFlight >= c.limiter.current() {
		return false
	}
	return !upload || c.uploadsInFlight < c.uploadLimit()
}

// newEntry returns an entry for a request, from the free list if it has one.
func (c *Controller) newEntry(now time.Time, r Request, routeTime *serviceTime) *entry {
	e := c.freeEntries
	if e == nil {
		e = &entry{}
	} else {
		c.freeEntries = e.next
	}
	*e = entry{req: r, arrivedAt: now, serviceTime: routeTime}
	c.entries[r.ID] = e
	return e
}

func (c *Controller) release(e *entry) {
	delete(c.entries, e.req.ID)
	*e = entry{next: c.freeEntries}
	c.freeEntries = e
}

// recordUtilization records the utilization since the last change of the requests in flight.
func (c *Controller) recordUtilization(now time.Time) {
	if d := now.Sub(c.utilizationAt); d > 0 {
		if !c.utilizationAt.IsZero() {
			c.level.recordUtilization(d, c.inFlight, c.limiter.current())
		}
		c.utilizationAt = now
	}
}

func (c *Controller) start(now time.Time, e *entry) Decision {
	c.recordUtilization(now)
	e.inFlight = true
	e.startedAt = now
	c.inFlight++
	if e.req.StreamingUpload {
		c.uploadsInFlight++
	} else {
		// Waits of uploads are left out: they wait for the upload limit, which is no sign of overload.
		c.level.recordWait(e.req.Priority.Class(), now.Sub(e.arrivedAt))
	}
	c.limiter.begin(now, e, c.inFlight >= c.limiter.current())
	return Decision{Kind: Admit, ID: e.req.ID}
}

// dispatch starts queued requests by priority until the limit is reached.
func (c *Controller) dispatch(now time.Time, decisions []Decision) []Decision {
	for {
		e := c.nextEntry()
		if e == nil {
			return decisions
		}
		c.queueFor(e.req.StreamingUpload).remove(e)
		if c.expired(now, e) {
			decisions = c.rejectHead(now, e, decisions)
			continue
		}
		decisions = append(decisions, c.start(now, e))
	}
}

func (c *Controller) nextEntry() *entry {
	if !c.canStart(false) {
		return nil
	}
	e := c.requestQueue.first()
	if !c.canStart(true) {
		return e
	}
	if upload := c.uploadQueue.first(); upload != nil && (e == nil || upload.req.Priority >= e.req.Priority) {
		return upload
	}
	return e
}

// expired reports whether an entry can no longer meet its deadline.
func (c *Controller) expired(now time.Time, e *entry) bool {
	return !e.req.Deadline.IsZero() && !e.serviceTime.canMeetDeadline(e.req.Deadline.Sub(now), c.cfg.MinRemainingRatio)
}

// expireQueued rejects queued entries that can no longer meet their deadlines.
func (c *Controller) expireQueued(now time.Time, decisions []Decision) []Decision {
	highest := chain.Sheddable
	c.eachQueued(func(e *entry) {
		if !c.expired(now, e) {
			return
		}
		c.queueFor(e.req.StreamingUpload).remove(e)
		if !e.req.StreamingUpload {
			highest = max(highest, e.req.Priority.Class())
		}
		decisions = append(decisions, c.rejectExpired(now, e))
	})
	return c.raiseCutoff(highest, decisions)
}

// rejectExpired rejects an entry that was removed from the queue because it can no longer meet
// its deadline. This counts as a lack of capacity, except for uploads, which wait for the upload
// limit.
func (c *Controller) rejectExpired(now time.Time, e *entry) Decision {
	if !e.req.StreamingUpload {
		class := e.req.Priority.Class()
		c.level.classes[class].capacityRejections++
		c.level.recordWait(class, now.Sub(e.arrivedAt))
	}
	failure := chain.NewFailure(chain.NotRun, chain.ReasonDeadline, "the deadline would pass before the upstream could respond")
	decision := reject(e.req, failure)
	c.release(e)
	return decision
}

// rejectHead rejects an expired entry that dispatch found at the head of the queue.
func (c *Controller) rejectHead(now time.Time, e *entry, decisions []Decision) []Decision {
	class := e.req.Priority.Class()
	if e.req.StreamingUpload {
		class = chain.Sheddable
	}
	decisions = append(decisions, c.rejectExpired(now, e))
	return c.raiseCutoff(class, decisions)
}

// enqueue queues an entry. If the queue is full, it evicts the entry of the lowest priority.
func (c *Controller) enqueue(e *entry, decisions []Decision) []Decision {
	c.queueFor(e.req.StreamingUpload).push(e)
	failure := chain.NewFailure(chain.NotRun, chain.ReasonOverload, "the queue is full")
	if c.requestQueue.size+c.uploadQueue.size > c.cfg.MaxQueue {
		last := c.lowestPriority()
		class := last.req.Priority.Class()
		c.level.classes[class].capacityRejections++
		decisions = append(decisions, c.evict(last, failure))
		return c.raiseCutoff(class, decisions)
	}
	if c.uploadQueue.size > c.uploadQueueLimit() {
		// Only the upload limit is reached, not the whole queue, so neither the level nor the
		// class cutoff rises.
		decisions = append(decisions, c.evict(c.uploadQueue.last(), failure))
	}
	return decisions
}

// uploadQueueLimit is the number of streamed uploads that may be queued.
func (c *Controller) uploadQueueLimit() int {
	return max(1, int(float64(c.cfg.MaxQueue)*c.cfg.StreamRatio))
}

// lowestPriority returns the queued entry of the lowest priority. Between an upload and another
// request of the same priority, it returns the upload.
func (c *Controller) lowestPriority() *entry {
	e, upload := c.requestQueue.last(), c.uploadQueue.last()
	if e == nil || (upload != nil && upload.req.Priority <= e.req.Priority) {
		return upload
	}
	return e
}

// evict rejects a queued entry.
func (c *Controller) evict(e *entry, failure *chain.Failure) Decision {
	decision := reject(e.req, failure)
	c.queueFor(e.req.StreamingUpload).remove(e)
	c.release(e)
	return decision
}

// raiseCutoff rejects the queued requests of the classes below the given one, and those that
// arrive within cutoffIntervals adjustment intervals.
func (c *Controller) raiseCutoff(class chain.Class, decisions []Decision) []Decision {
	if class == chain.Sheddable || class < c.cutoff.class {
		return decisions // there is no lower class, or the cutoff is already higher
	}
	c.cutoff = classCutoff{class: class, intervalsLeft: cutoffIntervals}
	return c.evictBelow(c.cutoff.level(), decisions)
}

func (c *Controller) evictBelow(p chain.Priority, decisions []Decision) []Decision {
	for _, q := range [...]*queue{&c.requestQueue, &c.uploadQueue} {
		for e := q.last(); e != nil && e.req.Priority < p; e = q.last() {
			failure := chain.NewFailure(chain.NotRun, chain.ReasonOverload, "priority below the admission level")
			decisions = append(decisions, c.evict(e, failure))
		}
	}
	return decisions
}

// endInterval adjusts the level, rejects queued requests below it, and ages the class cutoff and
// the mean service times.
func (c *Controller) endInterval(now time.Time, decisions []Decision) []Decision {
	c.requestQueue.each(func(e *entry) {
		stats := &c.level.classes[e.req.Priority.Class()]
		stats.oldestWait = max(stats.oldestWait, now.Sub(e.arrivedAt))
	})
	c.level.adjust(c.queueTarget())
	c.overallServiceTime.decay()
	c.routes.Range((*serviceTime).decay)
	if c.cutoff.intervalsLeft--; c.cutoff.intervalsLeft <= 0 {
		c.cutoff = classCutoff{}
	}
	return c.evictBelow(c.level.current, decisions)
}

// queueTarget is the configured target, or half of the mean service time if that is longer: with
// few slots, a request waits for a considerable part of the service time until a slot is free,
// without any overload.
func (c *Controller) queueTarget() time.Duration {
	return max(c.cfg.QueueTarget, c.overallServiceTime.mean/2)
}

func (c *Controller) eachQueued(f func(*entry)) {
	c.requestQueue.each(f)
	c.uploadQueue.each(f)
}

func reject(r Request, failure *chain.Failure) Decision {
	decision := Decision{Kind: Reject, ID: r.ID, Failure: failure}
	if failure.RetryableByCaller() {
		decision.RetryAfter = RetryAfter(r.Priority)
	}
	return decision
}

// RetryAfter returns a delay between one and two seconds that depends on the priority, so that
// callers rejected at the same time do not all retry at the same time. An ingress also uses it
// for early rejections.
func RetryAfter(p chain.Priority) time.Duration {
	sub := p - p.Class().MinPriority()
	return time.Second + time.Duration(sub)*time.Second/time.Duration(chain.Default.MinPriority())
}
