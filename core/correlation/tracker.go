// Package correlation tells which request of the local upstream a call belongs to. Upstreams
// copy no header from a request to the calls that they make for it, and calls have ids of
// their own. But a call ends at the time limit of its request at the latest, so a call whose
// limit is that of a running request belongs to it; later calls follow the answer to the
// one before; and a first call belongs to a request that has made none yet.
//
// It answers overload of a deep service that a request needs several times: gates that know
// the request can refuse the calls of unimportant ones, and all or none of each. What it
// finds is a guess, and a wrong one costs a request the place of another.
//
// Time is passed in. All types are safe for concurrent use.
package correlation

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/routemap"
)

const (
	// early and late bound the difference between the time limits of a request and of its
	// call: limits travel in whole milliseconds, and a call may wait for the processor
	// before it is read. Only earlier ones tell that a route is one of calls, since a
	// client's request that comes soon after another has a somewhat later limit.
	early = 4 * time.Millisecond
	late  = 8 * time.Millisecond
	// usualDifference is what rounding makes of it.
	usualDifference = time.Millisecond
	// followTime is how soon after the answer to a call the next one of the same request
	// comes: the upstream and the daemon are on one VM.
	followTime = 2 * time.Millisecond
	// maxLead is how many times the usual time a request may take until its first call.
	maxLead = 8
)

// ParentRequest is a request that the local upstream runs. Its fields do not change.
type ParentRequest struct {
	ID               string
	Route            string
	Deadline         time.Time // time limit, as the upstream was told
	Priority         chain.Priority
	RetryProbability float64 // probability that it repeats work
	StartedAt        time.Time

	// Guarded by the mutex of Tracker:
	calls      int // made so far
	open       int // of these, without an answer
	answeredAt time.Time
}

// Tracker knows the requests that the local upstream runs. The zero value is ready for use.
type Tracker struct {
	mu       sync.Mutex
	requests []*ParentRequest // in the order of their starts
	uses     routemap.Map[use]
}

// RequestStarted notes that the upstream gets a request. RequestEnded must follow.
func (r *Tracker) RequestStarted(q *ParentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, q)
}

// RequestEnded notes that a request has ended.
func (r *Tracker) RequestEnded(q *ParentRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.requests, q); i >= 0 {
		r.requests = slices.Delete(r.requests, i, i+1)
	}
}

// Origin is what is known of the origin of a request at the entrance.
type Origin struct {
	Parent     *ParentRequest // that made it, nil if that is not known
	Subsequent bool           // it follows the answer to another call
}

// FindParent tells where a request may have come from that waits for some time more. CallEnded must
// follow.
func (r *Tracker) FindParent(now time.Time, route string, wait time.Duration) Origin {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.uses.GetOrCreate(route)
	limit, follows := now.Add(wait), u.follows(now)
	q := r.byDeadline(limit)
	u.learn(q, limit, follows)
	if !u.byCalls() {
		return Origin{}
	}
	if q == nil && follows {
		q = r.byAnswer(now, limit, u)
	}
	if q == nil && !follows {
		q = r.first(now, limit, u)
	}
	if q == nil {
		return Origin{Subsequent: follows}
	}
	q.calls++
	q.open++
	return Origin{Parent: q, Subsequent: follows}
}

// CallEnded notes the end of a request on a route, with a good answer or without.
func (r *Tracker) CallEnded(now time.Time, route string, c Origin, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		u := r.uses.GetOrCreate(route)
		u.answered = append(u.answered, now)
	}
	if c.Parent != nil {
		c.Parent.open--
		c.Parent.answeredAt = now
	}
}

// byDeadline returns the request whose time limit is nearest to that of a call.
func (r *Tracker) byDeadline(limit time.Time) *ParentRequest {
	var found *ParentRequest
	best := time.Duration(0)
	for _, q := range r.requests {
		d := q.Deadline.Sub(limit)
		if d < -late || d > early {
			continue
		}
		if d = (d - usualDifference).Abs(); found == nil || d < best {
			found, best = q, d
		}
	}
	return found
}

// byAnswer returns the request that got the answer to a call last, just before this one.
func (r *Tracker) byAnswer(now, limit time.Time, u *use) *ParentRequest {
	var found *ParentRequest
	for _, q := range r.requests {
		if q.calls == 0 || q.open > 0 || now.Sub(q.answeredAt) > followTime || !q.mayCall(limit, u) {
			continue
		}
		if found == nil || q.answeredAt.After(found.answeredAt) {
			found = q
		}
	}
	return found
}

// first returns the request without a call whose time so far is nearest to the usual one
// until the first call. Those that have run for much longer have probably made calls that
// were not found.
func (r *Tracker) first(now, limit time.Time, u *use) *ParentRequest {
	var newest *ParentRequest
	for _, q := range r.requests {
		if q.calls == 0 && q.mayCall(limit, u) {
			newest = q
		}
	}
	if newest == nil {
		return nil
	}
	u.callers.GetOrCreate(newest.Route).observe(now.Sub(newest.StartedAt))
	var found *ParentRequest
	best := math.Log(maxLead)
	for _, q := range r.requests {
		if q.calls > 0 || !q.mayCall(limit, u) {
			continue
		}
		if d := u.callers.GetOrCreate(q.Route).distance(now.Sub(q.StartedAt)); d <= best {
			found, best = q, d
		}
	}
	return found
}

func (q *ParentRequest) ifEndsAfter(limit time.Time) *ParentRequest {
	if q == nil || !q.Deadline.After(limit) {
		return nil
	}
	return q
}

// mayCall reports whether requests of this kind make such calls, and this one ends late
// enough.
func (q *ParentRequest) mayCall(limit time.Time, u *use) bool {
	return q.Deadline.Sub(limit) >= -late && u.makes(q.Route)
}
