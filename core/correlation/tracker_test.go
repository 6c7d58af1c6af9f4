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

// upstreamSim simulates an upstream whose requests on one route issue calls, one after the other,
// and whose VM also has clients.
type upstreamSim struct {
	tracker      Tracker
	now          time.Time
	events       events
	rng          *rand.Rand
	rate         float64       // rate of requests that issue calls, per second
	callTimeout  time.Duration // longest client timeout of a call
	maxReadDelay time.Duration // longest delay until a call is read

	calls, correct, wrong         int // calls after the warm-up, and those with the right or a wrong parent
	clientRequests, misclassified int // requests of clients after the warm-up, and all of them classified as calls
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

func newUpstreamSim(rate float64, callTimeout, maxReadDelay time.Duration) *upstreamSim {
	return &upstreamSim{now: epoch, rng: rand.New(rand.NewPCG(1, 5)), rate: rate, callTimeout: callTimeout, maxReadDelay: maxReadDelay}
}

func (u *upstreamSim) schedule(d time.Duration, do func()) {
	heap.Push(&u.events, event{u.now.Add(d), do})
}

// randomDuration returns a random duration with the given mean.
func (u *upstreamSim) randomDuration(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * math.Exp(0.5*u.rng.NormFloat64()-0.125))
}

// scheduleArrivals calls do at random times, at the given rate per second.
func (u *upstreamSim) scheduleArrivals(rate float64, do func()) {
	u.schedule(time.Duration(u.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		u.scheduleArrivals(rate, do)
		do()
	})
}

func (u *upstreamSim) simulate(d time.Duration) *upstreamSim {
	u.scheduleArrivals(u.rate, u.request)
	u.scheduleArrivals(10, func() { u.clientRequest("upload", 3*time.Second, true) })
	u.scheduleArrivals(10, func() { u.clientRequest("lookup", time.Duration(1000+u.rng.IntN(4000))*time.Millisecond, false) })
	for end := u.now.Add(d); u.events[0].at.Before(end); {
		e := heap.Pop(&u.events).(event)
		u.now = e.at
		e.do()
	}
	return u
}

// warmedUp reports whether the tracker has had time to collect statistics.
func (u *upstreamSim) warmedUp() bool { return u.now.Sub(epoch) >= 2*time.Second }

// request issues four calls, the first after some time.
func (u *upstreamSim) request() {
	timeout := time.Duration(400+u.rng.IntN(1000)) * time.Millisecond
	request := &ParentRequest{Route: "index", Deadline: u.now.Add(timeout), StartedAt: u.now}
	u.tracker.RequestStarted(request)
	u.schedule(u.randomDuration(13*time.Millisecond), func() { u.call(request, 4) })
}

func (u *upstreamSim) call(request *ParentRequest, callsLeft int) {
	remaining := request.Deadline.Sub(u.now).Truncate(time.Millisecond)
	if callsLeft == 0 || remaining <= 0 {
		u.tracker.RequestEnded(request)
		return
	}
	timeout := min(remaining, time.Duration(float64(u.callTimeout)*(0.85+0.15*u.rng.Float64())))
	u.schedule(time.Duration(u.rng.Float64()*float64(u.maxReadDelay)), func() {
		origin := u.tracker.FindParent(u.now, "vehicle", timeout)
		if u.warmedUp() {
			u.calls++
			switch {
			case origin.Parent == request:
				u.correct++
			case origin.Parent != nil:
				u.wrong++
			}
		}
		u.schedule(u.randomDuration(55*time.Millisecond), func() {
			u.tracker.CallEnded(u.now, "vehicle", origin, true)
			u.schedule(200*time.Microsecond, func() { u.call(request, callsLeft-1) })
		})
	})
}

// clientRequest sends a request of a client. The upstream executes it if local is set.
func (u *upstreamSim) clientRequest(route string, timeout time.Duration, local bool) {
	origin := u.tracker.FindParent(u.now, route, timeout)
	if u.warmedUp() {
		u.clientRequests++
	}
	if origin.Parent != nil || origin.Subsequent {
		u.misclassified++
	}
	u.schedule(u.randomDuration(200*time.Millisecond), func() { u.tracker.CallEnded(u.now, route, origin, true) })
	if local {
		request := &ParentRequest{Route: route, Deadline: u.now.Add(timeout), StartedAt: u.now}
		u.tracker.RequestStarted(request)
		u.schedule(u.randomDuration(200*time.Millisecond), func() { u.tracker.RequestEnded(request) })
	}
}

// TestFindParentAccuracy verifies that calls are matched to the request that issued them, also if
// a shorter client timeout of the call hides the deadline of the request, and that no request of
// a client is classified as a call.
func TestFindParentAccuracy(t *testing.T) {
	for name, c := range map[string]struct {
		rate         float64
		callTimeout  time.Duration
		maxReadDelay time.Duration
		minCorrect   float64
	}{
		"quiet":                  {5, time.Minute, time.Millisecond, 0.99},
		"busy":                   {40, time.Minute, time.Millisecond, 0.9},
		"busy, late":             {40, time.Minute, 2 * time.Millisecond, 0.9},
		"calls with own timeout": {5, 700 * time.Millisecond, time.Millisecond, 0.75},
		"own timeout, busy":      {20, 700 * time.Millisecond, time.Millisecond, 0.75},
		"mostly own timeout":     {5, 450 * time.Millisecond, time.Millisecond, 0.75},
	} {
		u := newUpstreamSim(c.rate, c.callTimeout, c.maxReadDelay).simulate(60 * time.Second)
		t.Logf("%s: %d calls, %d matched correctly, %d matched to another request; %d requests of clients, %d classified as calls", name, u.calls, u.correct, u.wrong, u.clientRequests, u.misclassified)
		require.Greater(t, float64(u.correct), c.minCorrect*float64(u.calls), name)
		require.Zero(t, u.misclassified, name)
	}
}

// TestClientRequestsHaveNoParent verifies that no request is classified as a call if the upstream
// issues no calls to its route, whatever the number of requests that have the same deadline by
// chance.
func TestClientRequestsHaveNoParent(t *testing.T) {
	u := newUpstreamSim(1, time.Minute, 0)
	u.scheduleArrivals(100, func() { u.clientRequest("upload", 3*time.Second, true) })
	u.scheduleArrivals(100, func() { u.clientRequest("order", 3*time.Second, true) })
	u.simulate(20 * time.Second)
	require.Zero(t, u.misclassified)
}
