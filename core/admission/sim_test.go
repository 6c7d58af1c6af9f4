package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// event is one event of the simulation.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

// scenario simulates one controller and an upstream with a FIFO queue of its own.
type scenario struct {
	controller *Controller
	slots      func(now time.Duration) int // real concurrency of the upstream
	service    func(now time.Duration) time.Duration
	slowdown   func(busy int) float64          // factor on the service time by busy slots, nil for none
	noise      float64                         // 0: constant, 1: exponential service times
	rate       func(now time.Duration) float64 // first attempts per second
	retries    int                             // immediate retries of a caller after a failure
	deadline   time.Duration
	length     time.Duration
	seed       uint64

	now    time.Time
	events eventHeap
	seq    int
	nextID uint64
	rng    *rand.Rand
	calls  map[uint64]*simCall
	queue  []*simCall // inside the upstream
	busy   int

	offered  [60][3]int        // first attempts by second of arrival and class
	good     [60][3]int        // responses before the deadline by second of completion and class
	rejected [60]int           // rejections by second
	slowest  [60]time.Duration // longest response time by second of arrival
	limits   []int             // at the start of each second
}

type simCall struct {
	id       uint64
	priority chain.Priority
	arrived  time.Time
	deadline time.Time
	attempt  int
}

var simEpoch = time.Unix(1_000_000, 0)

func (s *scenario) schedule(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.seq, do})
}

func (s *scenario) elapsed() time.Duration { return s.now.Sub(simEpoch) }

func (s *scenario) second() int { return int(s.elapsed() / time.Second) }

func (s *scenario) run() *scenario {
	s.now = simEpoch
	s.rng = rand.New(rand.NewPCG(s.seed, 2))
	s.calls = make(map[uint64]*simCall)
	s.schedule(0, s.arrive)
	s.schedule(0, s.tick)
	for len(s.events) > 0 && s.elapsed() < s.length {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *scenario) tick() {
	s.apply(s.controller.Tick(s.now))
	if s.elapsed()%time.Second == 0 {
		s.limits = append(s.limits, s.controller.LoadReport(s.now).Limit)
	}
	s.schedule(10*time.Millisecond, s.tick)
}

// arrive creates requests at random times: 20% critical, 60% default, 20% sheddable.
func (s *scenario) arrive() {
	class := chain.Default
	if u := s.rng.Float64(); u < 0.2 {
		class = chain.Critical
	} else if u < 0.4 {
		class = chain.Sheddable
	}
	s.nextID++
	priority := class.MinPriority() + chain.Priority(s.rng.IntN(128))
	s.offered[s.second()][class]++
	s.send(&simCall{priority: priority, attempt: 1})
	s.schedule(time.Duration(s.rng.ExpFloat64()/s.rate(s.elapsed())*float64(time.Second)), s.arrive)
}

func (s *scenario) send(c *simCall) {
	s.nextID++
	c.id = s.nextID
	c.arrived = s.now
	c.deadline = s.now.Add(s.deadline)
	s.calls[c.id] = c
	s.apply(s.controller.Submit(s.now, Request{ID: c.id, Priority: c.priority, Deadline: c.deadline, Route: "r"}))
}

func (s *scenario) apply(decisions []Decision) {
	for _, d := range decisions {
		c := s.calls[d.ID]
		if d.Kind == Reject {
			delete(s.calls, d.ID)
			s.rejected[s.second()]++
			s.retry(c)
			continue
		}
		s.queue = append(s.queue, c)
		s.serve()
	}
}

// retry simulates a caller that ignores Retry-After.
func (s *scenario) retry(c *simCall) {
	if c.attempt <= s.retries {
		again := &simCall{priority: c.priority, attempt: c.attempt + 1}
		s.schedule(time.Duration(s.rng.IntN(50))*time.Millisecond, func() { s.send(again) })
	}
}

func (s *scenario) serve() {
	for len(s.queue) > 0 && s.busy < s.slots(s.elapsed()) {
		c := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		factor := 1 - s.noise + s.noise*s.rng.ExpFloat64()
		if s.slowdown != nil {
			factor *= s.slowdown(s.busy)
		}
		s.schedule(time.Duration(float64(s.service(s.elapsed()))*factor), func() { s.finish(c) })
	}
}

func (s *scenario) finish(c *simCall) {
	s.busy--
	delete(s.calls, c.id)
	e := s.controller.entries[c.id]
	selfTime := s.now.Sub(e.startedAt)
	ok := !s.now.After(c.deadline)
	if ok {
		s.good[s.second()][c.priority.Class()]++
	} else {
		s.retry(c)
	}
	second := int(c.arrived.Sub(simEpoch) / time.Second)
	s.slowest[second] = max(s.slowest[second], s.now.Sub(c.arrived))
	s.serve()
	s.apply(s.controller.Complete(s.now, c.id, ExecutionResult{SelfTime: selfTime, Succeeded: ok}))
}

// sum adds up the classes from the given one over the seconds [from, to).
func sum(counts [60][3]int, class chain.Class, from, to int) int {
	total := 0
	for _, second := range counts[from:to] {
		for _, n := range second[class:] {
			total += n
		}
	}
	return total
}
