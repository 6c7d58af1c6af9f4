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

// chainScenario plays requests at several entrances, each of which needs a deep
// service several times, one call after the other. A call that is turned away ends
// its request.
type chainScenario struct {
	throttled bool
	sequenced bool    // later calls go first, as far as it is known which are
	inherited bool    // calls have the priority of their request, as far as that is known
	calls     int     // of each request
	load      float64 // requests, as a part of those that the deep service can serve

	now    time.Time
	events eventHeap
	seq    int
	rng    *rand.Rand
	nextID uint64

	throttles []*AdaptiveThrottle
	callers   []*correlation.Tracker // of the daemons beside the upstreams that make the calls
	gates     []*Controller
	waiting   map[uint64]func(refused bool)

	offered, served map[chain.Class]int
}

const (
	chainGates   = 6
	chainSlots   = 9
	chainService = 40 * time.Millisecond
	chainTime    = 20 * time.Second
	// wholeShare is the part of the room of the deep service that is to go into
	// requests that end well.
	wholeShare = 0.75
	// nextCallAfter is how long a run takes to make its next call.
	nextCallAfter = 300 * time.Microsecond
	// requestTime is the time that a request has, callTime that of a call.
	requestTime = 1500 * time.Millisecond
	callTime    = 700 * time.Millisecond
	// leadTime is how long a run works until its first call.
	leadTime = 13 * time.Millisecond
	// chainSettled is from when on requests count.
	chainSettled = 4 * time.Second
)

// capacity is the number of requests per second that the deep service can serve.
func (s *chainScenario) capacity() float64 {
	return chainGates * chainSlots / chainService.Seconds() / float64(s.calls)
}

func (s *chainScenario) at(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.seq, do})
}

func (s *chainScenario) run() *chainScenario {
	s.now, s.rng = simEpoch, rand.New(rand.NewPCG(1, 3))
	s.waiting = map[uint64]func(bool){}
	s.offered, s.served = map[chain.Class]int{}, map[chain.Class]int{}
	for range 12 {
		s.throttles = append(s.throttles, &AdaptiveThrottle{})
	}
	for range chainGates {
		s.callers = append(s.callers, &correlation.Tracker{})
		g := NewController(Config{Slots: chainSlots, FixedLimit: true, MaxQueue: 8 * chainSlots})
		s.gates = append(s.gates, g)
		s.at(0, func() { s.tick(g) })
	}
	s.at(0, s.arrive)
	for len(s.events) > 0 && s.now.Sub(simEpoch) < chainTime {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *chainScenario) tick(g *Controller) {
	s.apply(g, g.Tick(s.now))
	s.at(10*time.Millisecond, func() { s.tick(g) })
}

// arrive creates requests, a third of them critical.
func (s *chainScenario) arrive() {
	class := chain.Sheddable
	if s.rng.IntN(3) == 0 {
		class = chain.Critical
	}
	priority := class.MinPriority() + chain.Priority(s.rng.IntN(128))
	counts := s.now.Sub(simEpoch) >= chainSettled
	if counts {
		s.offered[class]++
	}
	// One throttle for each class, as each route has its own.
	t := s.throttles[s.rng.IntN(len(s.throttles)/2)*2+int(class)/2]
	if !s.throttled || t.Allow(s.now, priority) {
		from := s.callers[s.rng.IntN(chainGates)]
		origin := &correlation.ParentRequest{Route: "caller", Deadline: s.now.Add(s.lasting(requestTime)), Priority: priority, StartedAt: s.now}
		from.RequestStarted(origin)
		s.at(s.lasting(leadTime), func() {
			s.call(from, origin, s.calls, func(ok bool) {
				from.RequestEnded(origin)
				if !ok {
					t.RecordResult(s.now, &chain.Failure{Outcome: chain.Failed, Reason: chain.ReasonHandlerError, FromDependency: true, DependencyOverloaded: true})
					return
				}
				t.RecordResult(s.now, nil)
				if counts {
					s.served[class]++
				}
			})
		})
	}
	s.at(time.Duration(s.rng.ExpFloat64()/(s.load*s.capacity())*float64(time.Second)), s.arrive)
}

// lasting is a random time, up to a half shorter or longer.
func (s *chainScenario) lasting(mean time.Duration) time.Duration {
	return time.Duration(float64(mean) * (0.5 + s.rng.Float64()))
}

// call makes the calls of a request, which all have ids of their own.
func (s *chainScenario) call(from *correlation.Tracker, origin *correlation.ParentRequest, left int, done func(ok bool)) {
	if left == 0 {
		done(true)
		return
	}
	s.nextID++
	id, g := s.nextID, s.gates[s.rng.IntN(len(s.gates))]
	wait := min(origin.Deadline.Sub(s.now), time.Duration(float64(callTime)*(0.85+0.15*s.rng.Float64()))).Truncate(time.Millisecond)
	found := from.FindParent(s.now, "r", wait)
	s.waiting[id] = func(refused bool) {
		if refused {
			from.CallEnded(s.now, "r", found, false)
			done(false)
			return
		}
		s.at(s.lasting(chainService), func() {
			s.apply(g, g.Complete(s.now, id, ExecutionResult{Succeeded: true}))
			from.CallEnded(s.now, "r", found, true)
			s.at(nextCallAfter, func() { s.call(from, origin, left-1, done) })
		})
	}
	priority := chain.Default.MinPriority() + chain.Priority(s.rng.IntN(128))
	if s.inherited && found.Parent != nil {
		priority = found.Parent.Priority.RaiseToClass(chain.Default)
	}
	if s.sequenced && found.Subsequent {
		priority = priority.UpperBand()
	} else if s.sequenced {
		priority = priority.LowerBand()
	}
	s.apply(g, g.Submit(s.now, Request{ID: id, Priority: priority, Deadline: s.now.Add(wait), Route: "r"}))
}

func (s *chainScenario) apply(_ *Controller, actions []Decision) {
	for _, a := range actions {
		decided := s.waiting[a.ID]
		delete(s.waiting, a.ID)
		decided(a.Kind == Reject)
	}
}

// share is the number of whole requests per second, as a part of the capacity.
func (s *chainScenario) share() float64 {
	n := s.served[chain.Critical] + s.served[chain.Sheddable]
	return float64(n) / (chainTime - chainSettled).Seconds() / s.capacity()
}

// TestThrottleKeepsRequestsWhole guards callers whose requests need a full service
// several times: most of its capacity goes into requests that end well.
func TestThrottleKeepsRequestsWhole(t *testing.T) {
	for _, load := range []float64{1.5, 2, 3} {
		without := (&chainScenario{calls: 5, load: load}).run()
		with := (&chainScenario{calls: 5, load: load, throttled: true}).run()
		t.Logf("load %.1f: whole requests %.2f of the capacity without, %.2f with early refusal", load, without.share(), with.share())
		require.Greater(t, with.share(), wholeShare, "load %.1f", load)
		require.Greater(t, with.share(), without.share())
	}
}

// TestThrottleSparesHigherClasses guards the order of classes where the deep service
// cannot tell them apart.
func TestThrottleSparesHigherClasses(t *testing.T) {
	s := (&chainScenario{calls: 5, load: 2, throttled: true}).run()
	critical := float64(s.served[chain.Critical]) / float64(s.offered[chain.Critical])
	sheddable := float64(s.served[chain.Sheddable]) / float64(s.offered[chain.Sheddable])
	t.Logf("served: critical %.2f, sheddable %.2f", critical, sheddable)
	require.Greater(t, critical, 1-throttledFailures[chain.Critical])
	require.Greater(t, critical, sheddable)
	require.Greater(t, sheddable, 0.1, "nobody is starved")
}

// TestThrottleWithoutOverload guards calm days: single failures refuse nobody.
func TestThrottleWithoutOverload(t *testing.T) {
	s := (&chainScenario{calls: 5, load: 0.6, throttled: true}).run()
	require.InDelta(t, 0.6, s.share(), 0.05)
}

// TestThrottleIgnoresOtherFailures guards requests that fail further down whatever the
// load, as with an upstream that refuses at random: each one refused early is one less
// that might be served.
func TestThrottleIgnoresOtherFailures(t *testing.T) {
	var th AdaptiveThrottle
	for i := range 100 {
		th.RecordResult(simEpoch.Add(time.Duration(i)*10*time.Millisecond), &chain.Failure{Outcome: chain.Failed, FromDependency: true})
	}
	require.True(t, th.Allow(simEpoch.Add(time.Second), 0))
}

// TestThrottleEnds guards the recovery: once calls are served again, all requests go
// on within some windows.
func TestThrottleEnds(t *testing.T) {
	var th AdaptiveThrottle
	now := simEpoch
	deep := &chain.Failure{Outcome: chain.Failed, FromDependency: true, DependencyOverloaded: true}
	step := func(d time.Duration, failure *chain.Failure) (refused int) {
		for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
			if p := chain.Priority(rand.N(128)); !th.Allow(now, p) {
				refused++
				continue
			}
			th.RecordResult(now, failure)
		}
		return refused
	}
	require.NotZero(t, step(5*time.Second, deep))
	require.InDelta(t, maxThrottled, th.RejectRatio(now, 0), 0.01, "some are let through all the time")
	step(8*time.Second, nil)
	require.Zero(t, step(time.Second, nil))
}
