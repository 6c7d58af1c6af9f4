package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/correlation"
)

// callScenario simulates requests at several ingresses, each of which calls a dependency several
// times, one call after the other. A rejected call ends its request.
type callScenario struct {
	throttle             bool
	prioritizeSubsequent bool    // subsequent calls take precedence, as far as the tracker identifies them
	inheritPriority      bool    // calls inherit the priority of their parent request, if the tracker finds it
	callsPerRequest      int     // each to the dependency
	load                 float64 // request rate relative to what the dependency can serve

	now    time.Time
	events eventHeap
	seq    int
	rng    *rand.Rand
	nextID uint64

	throttles   []*AdaptiveThrottle
	trackers    []*correlation.Tracker // one per daemon whose upstream makes the calls
	controllers []*Controller
	pending     map[uint64]func(rejected bool)

	offered, succeeded map[chain.Class]int
}

const (
	depControllers = 6
	depSlots       = 9
	depServiceTime = 40 * time.Millisecond
	simDuration    = 20 * time.Second
	// minGoodputRatio is the smallest ratio of the dependency's capacity that must go into
	// requests that succeed.
	minGoodputRatio = 0.75
	// callGap is the time between the response to a call and the next call of the same request.
	callGap = 300 * time.Microsecond
	// requestTimeout and callTimeout are the mean timeout of a request and the longest one of a
	// call.
	requestTimeout = 1500 * time.Millisecond
	callTimeout    = 700 * time.Millisecond
	// timeToFirstCall is the mean time between the start of a request and its first call.
	timeToFirstCall = 13 * time.Millisecond
	// warmUp is the initial part of a simulation that is left out of the counts.
	warmUp = 4 * time.Second
)

// capacity is the number of requests per second that the dependency can serve.
func (s *callScenario) capacity() float64 {
	return depControllers * depSlots / depServiceTime.Seconds() / float64(s.callsPerRequest)
}

func (s *callScenario) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.seq, do})
}

func (s *callScenario) run() *callScenario {
	s.now, s.rng = simEpoch, rand.New(rand.NewPCG(1, 3))
	s.pending = map[uint64]func(bool){}
	s.offered, s.succeeded = map[chain.Class]int{}, map[chain.Class]int{}
	for range 12 {
		s.throttles = append(s.throttles, &AdaptiveThrottle{})
	}
	for range depControllers {
		s.trackers = append(s.trackers, &correlation.Tracker{})
		c := NewController(Config{Slots: depSlots, FixedLimit: true, MaxQueue: 8 * depSlots})
		s.controllers = append(s.controllers, c)
		s.schedule(0, func() { s.tick(c) })
	}
	s.schedule(0, s.arrive)
	for len(s.events) > 0 && s.now.Sub(simEpoch) < simDuration {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *callScenario) tick(c *Controller) {
	s.apply(c, c.Tick(s.now))
	s.schedule(10*time.Millisecond, func() { s.tick(c) })
}

// arrive creates requests; a third of them are critical.
func (s *callScenario) arrive() {
	class := chain.Sheddable
	if s.rng.IntN(3) == 0 {
		class = chain.Critical
	}
	priority := class.MinPriority() + chain.Priority(s.rng.IntN(128))
	counted := s.now.Sub(simEpoch) >= warmUp
	if counted {
		s.offered[class]++
	}
	// One throttle per class, as each route has its own.
	throttle := s.throttles[s.rng.IntN(len(s.throttles)/2)*2+int(class)/2]
	if !s.throttle || throttle.Allow(s.now, priority) {
		tracker := s.trackers[s.rng.IntN(depControllers)]
		parent := &correlation.ParentRequest{Route: "caller", Deadline: s.now.Add(s.randomDuration(requestTimeout)), Priority: priority, StartedAt: s.now}
		tracker.RequestStarted(parent)
		s.schedule(s.randomDuration(timeToFirstCall), func() {
			s.call(tracker, parent, s.callsPerRequest, func(ok bool) {
				tracker.RequestEnded(parent)
				if !ok {
					throttle.RecordResult(s.now, &chain.Failure{Outcome: chain.Failed, Reason: chain.ReasonHandlerError, FromDependency: true, DependencyOverloaded: true})
					return
				}
				throttle.RecordResult(s.now, nil)
				if counted {
					s.succeeded[class]++
				}
			})
		})
	}
	s.schedule(time.Duration(s.rng.ExpFloat64()/(s.load*s.capacity())*float64(time.Second)), s.arrive)
}

// randomDuration returns a random duration between half and one and a half of the mean.
func (s *callScenario) randomDuration(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + s.rng.Float64()))
}

// call makes the remaining calls of a request, one after the other. Each has a request ID of its
// own.
func (s *callScenario) call(tracker *correlation.Tracker, parent *correlation.ParentRequest, remaining int, done func(ok bool)) {
	if remaining == 0 {
		done(true)
		return
	}
	s.nextID++
	id, c := s.nextID, s.controllers[s.rng.IntN(len(s.controllers))]
	timeout := min(parent.Deadline.Sub(s.now), time.Duration(float64(callTimeout)*(0.85+0.15*s.rng.Float64()))).Truncate(time.Millisecond)
	origin := tracker.FindParent(s.now, "r", timeout)
	s.pending[id] = func(rejected bool) {
		if rejected {
			tracker.CallEnded(s.now, "r", origin, false)
			done(false)
			return
		}
		s.schedule(s.randomDuration(depServiceTime), func() {
			s.apply(c, c.Complete(s.now, id, ExecutionResult{Succeeded: true}))
			tracker.CallEnded(s.now, "r", origin, true)
			s.schedule(callGap, func() { s.call(tracker, parent, remaining-1, done) })
		})
	}
	priority := chain.Default.MinPriority() + chain.Priority(s.rng.IntN(128))
	if s.inheritPriority && origin.Parent != nil {
		priority = origin.Parent.Priority.RaiseToClass(chain.Default)
	}
	if s.prioritizeSubsequent && origin.Subsequent {
		priority = priority.UpperBand()
	} else if s.prioritizeSubsequent {
		priority = priority.LowerBand()
	}
	s.apply(c, c.Submit(s.now, Request{ID: id, Priority: priority, Deadline: s.now.Add(timeout), Route: "r"}))
}

func (s *callScenario) apply(_ *Controller, decisions []Decision) {
	for _, d := range decisions {
		decide := s.pending[d.ID]
		delete(s.pending, d.ID)
		decide(d.Kind == Reject)
	}
}

// goodputRatio is the number of successful requests per second relative to the capacity.
func (s *callScenario) goodputRatio() float64 {
	n := s.succeeded[chain.Critical] + s.succeeded[chain.Sheddable]
	return float64(n) / (simDuration - warmUp).Seconds() / s.capacity()
}

// TestThrottleImprovesGoodput verifies that most of the capacity of an overloaded dependency goes
// into requests that succeed, if each request calls it several times.
func TestThrottleImprovesGoodput(t *testing.T) {
	for _, load := range []float64{1.5, 2, 3} {
		without := (&callScenario{callsPerRequest: 5, load: load}).run()
		with := (&callScenario{callsPerRequest: 5, load: load, throttle: true}).run()
		t.Logf("load %.1f: goodput %.2f of the capacity without throttle, %.2f with it", load, without.goodputRatio(), with.goodputRatio())
		require.Greater(t, with.goodputRatio(), minGoodputRatio, "load %.1f", load)
		require.Greater(t, with.goodputRatio(), without.goodputRatio())
	}
}

// TestThrottleRejectsLowerClassesFirst verifies the order of the classes when all calls to the
// dependency have the same class.
func TestThrottleRejectsLowerClassesFirst(t *testing.T) {
	s := (&callScenario{callsPerRequest: 5, load: 2, throttle: true}).run()
	critical := float64(s.succeeded[chain.Critical]) / float64(s.offered[chain.Critical])
	sheddable := float64(s.succeeded[chain.Sheddable]) / float64(s.offered[chain.Sheddable])
	t.Logf("served: critical %.2f, sheddable %.2f", critical, sheddable)
	require.Greater(t, critical, 1-targetFailureRatios[chain.Critical])
	require.Greater(t, critical, sheddable)
	require.Greater(t, sheddable, 0.1, "no class is starved")
}

// TestThrottleWithoutOverload verifies that occasional failures without overload cause no
// rejections.
func TestThrottleWithoutOverload(t *testing.T) {
	s := (&callScenario{callsPerRequest: 5, load: 0.6, throttle: true}).run()
	require.InDelta(t, 0.6, s.goodputRatio(), 0.05)
}

// TestThrottleIgnoresOtherFailures verifies that failures that do not depend on the load, such as
// an upstream that rejects at random, cause no rejections: each early rejection would only lose a
// request that might succeed.
func TestThrottleIgnoresOtherFailures(t *testing.T) {
	var throttle AdaptiveThrottle
	for i := range 100 {
		throttle.RecordResult(simEpoch.Add(time.Duration(i)*10*time.Millisecond), &chain.Failure{Outcome: chain.Failed, FromDependency: true})
	}
	require.True(t, throttle.Allow(simEpoch.Add(time.Second), 0))
}

// TestThrottleRecovers verifies that all requests are allowed within a few windows after the
// overload of the dependency ends.
func TestThrottleRecovers(t *testing.T) {
	var throttle AdaptiveThrottle
	now := simEpoch
	overloaded := &chain.Failure{Outcome: chain.Failed, FromDependency: true, DependencyOverloaded: true}
	simulate := func(d time.Duration, failure *chain.Failure) (rejected int) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			if p := chain.Priority(rand.N(128)); !throttle.Allow(now, p) {
				rejected++
				continue
			}
			throttle.RecordResult(now, failure)
		}
		return rejected
	}
	require.NotZero(t, simulate(5*time.Second, overloaded))
	require.InDelta(t, maxRejectRatio, throttle.RejectRatio(now, 0), 0.01, "some requests are always allowed")
	simulate(8*time.Second, nil)
	require.Zero(t, simulate(time.Second, nil))
}
