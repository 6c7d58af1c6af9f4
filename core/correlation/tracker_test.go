package correlation

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1000, 0)

// upstream plays an upstream whose requests of one route make calls, one after the other,
// and whose VM has clients of its own.
type upstream struct {
	running Tracker
	now     time.Time
	events  events
	rng     *rand.Rand
	perS    float64       // requests that make calls
	cap     time.Duration // longest time that a call waits
	delay   time.Duration // longest time until a call is read

	calls, right, wrong int // after the first second
	clients, mistaken   int // the same, requests of clients, taken for calls
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

func newUpstream(perS float64, limit, delay time.Duration) *upstream {
	return &upstream{now: epoch, rng: rand.New(rand.NewPCG(1, 5)), perS: perS, cap: limit, delay: delay}
}

func (u *upstream) after(d time.Duration, do func()) {
	heap.Push(&u.events, event{u.now.Add(d), do})
}

// lasting is a random time with the given mean.
func (u *upstream) lasting(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(0.5*u.rng.NormFloat64()-0.125))
}

func (u *upstream) every(perS float64, do func()) {
	u.after(time.Duration(u.rng.ExpFloat64()/perS*float64(time.Second)), func() {
		u.every(perS, do)
		do()
	})
}

func (u *upstream) play(d time.Duration) *upstream {
	u.every(u.perS, u.request)
	u.every(10, func() { u.client("upload", 3*time.Second, true) })
	u.every(10, func() { u.client("lookup", time.Duration(1000+u.rng.IntN(4000))*time.Millisecond, false) })
	for end := u.now.Add(d); u.events[0].at.Before(end); {
		e := heap.Pop(&u.events).(event)
		u.now = e.at
		e.do()
	}
	return u
}

// counts reports whether enough has been learnt by now.
func (u *upstream) counts() bool { return u.now.Sub(epoch) >= 2*time.Second }

// request makes four calls and does some work before the first one.
func (u *upstream) request() {
	wait := time.Duration(400+u.rng.IntN(1000)) * time.Millisecond
	q := &ParentRequest{Route: "index", Deadline: u.now.Add(wait), StartedAt: u.now}
	u.running.RequestStarted(q)
	u.after(u.lasting(13*time.Millisecond), func() { u.call(q, 4) })
}

func (u *upstream) call(q *ParentRequest, left int) {
	rest := q.Deadline.Sub(u.now).Truncate(time.Millisecond)
	if left == 0 || rest <= 0 {
		u.running.RequestEnded(q)
		return
	}
	wait := min(rest, time.Duration(float64(u.cap)*(0.85+0.15*u.rng.Float64())))
	u.after(time.Duration(u.rng.Float64()*float64(u.delay)), func() {
		c := u.running.FindParent(u.now, "vehicle", wait)
		if u.counts() {
			u.calls++
			switch {
			case c.Parent == q:
				u.right++
			case c.Parent != nil:
				u.wrong++
			}
		}
		u.after(u.lasting(55*time.Millisecond), func() {
			u.running.CallEnded(u.now, "vehicle", c, true)
			u.after(200*time.Microsecond, func() { u.call(q, left-1) })
		})
	})
}

// client sends a request, which the upstream runs if it is for its service.
func (u *upstream) client(route string, wait time.Duration, here bool) {
	c := u.running.FindParent(u.now, route, wait)
	if u.counts() {
		u.clients++
	}
	if c.Parent != nil || c.Subsequent {
		u.mistaken++
	}
	u.after(u.lasting(200*time.Millisecond), func() { u.running.CallEnded(u.now, route, c, true) })
	if here {
		q := &ParentRequest{Route: route, Deadline: u.now.Add(wait), StartedAt: u.now}
		u.running.RequestStarted(q)
		u.after(u.lasting(200*time.Millisecond), func() { u.running.RequestEnded(q) })
	}
}

// TestCallsFindTheirRequests guards the order of requests at a deep service: calls are
// told to belong to the request that made them, also if a limit of their own hides its
// time limit, and requests of clients are not taken for calls.
func TestCallsFindTheirRequests(t *testing.T) {
	for name, c := range map[string]struct {
		perS  float64
		cap   time.Duration
		delay time.Duration
		right float64
	}{
		"quiet":                       {5, time.Minute, time.Millisecond, 0.99},
		"busy":                        {40, time.Minute, time.Millisecond, 0.9},
		"busy, late":                  {40, time.Minute, 2 * time.Millisecond, 0.9},
		"calls with their own limit":  {5, 700 * time.Millisecond, time.Millisecond, 0.75},
		"the same, busy":              {20, 700 * time.Millisecond, time.Millisecond, 0.75},
		"nearly all with their limit": {5, 450 * time.Millisecond, time.Millisecond, 0.75},
	} {
		u := newUpstream(c.perS, c.cap, c.delay).play(60 * time.Second)
		t.Logf("%s: %d calls, %d found, %d in another request; %d requests of clients, %d taken for calls", name, u.calls, u.right, u.wrong, u.clients, u.mistaken)
		require.Greater(t, float64(u.right), c.right*float64(u.calls), name)
		require.Zero(t, u.mistaken, name)
	}
}

// TestClientsAreNoCalls guards clients of a VM whose upstream makes no calls: with any
// number of requests that have the same time limit by chance, none is taken for a call.
func TestClientsAreNoCalls(t *testing.T) {
	u := newUpstream(1, time.Minute, 0)
	u.every(100, func() { u.client("upload", 3*time.Second, true) })
	u.every(100, func() { u.client("order", 3*time.Second, true) })
	u.play(20 * time.Second)
	require.Zero(t, u.mistaken)
}
