package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

const (
	simZones    = 6 // two zones in each region
	simDepth    = 4 // calls of one request, each made from the zone of the previous one
	simBytes    = 5 << 10
	simSlots    = 35
	simWork     = 10 * time.Millisecond // time for which a call holds a slot, without the calls that it makes
	simDuration = 10 * time.Second
)

// BenchmarkRegionBytes reports the bytes on region links for each client request, in
// virtual time. Every service has one upstream in each zone; every caller has its own
// balancer and link budgets. Rejected calls are not retried. Run it with -benchtime=1x.
func BenchmarkRegionBytes(b *testing.B) {
	for _, c := range []struct {
		name   string
		load   [simZones]float64
		budget int64 // bytes per second for each daemon and link
	}{
		{"load=50%", [simZones]float64{.5, .5, .5, .5, .5, .5}, 10 << 20},
		{"load=120%-in-one-region/budget=10MiB", [simZones]float64{1.2, 1.2, .5, .5, .5, .5}, 10 << 20},
		{"load=120%-in-one-region/budget=1MiB", [simZones]float64{1.2, 1.2, .5, .5, .5, .5}, 1 << 20},
	} {
		for _, random := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/random=%t", c.name, random), func(b *testing.B) {
				for range b.N {
					s := newRegionSim(c.budget, random)
					s.run(c.load)
					s.report(b)
				}
			})
		}
	}
}

type simEvent struct {
	at time.Time
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

type simUpstream struct {
	inFlight int
	queue    []func()
}

type regionSim struct {
	now       time.Time
	events    simEvents
	rng       *rand.Rand
	random    bool
	upstreams [simDepth][simZones]simUpstream
	callers   [simDepth][simZones]*Balancer // balancers of the callers of the service at this depth

	requests, rejected                 int
	crossRegionBytes, crossRegionCalls int64

	// Counters of the client requests that arrive in region-0.
	region0Requests int
	region0Bytes    int64
}

func simRegion(zone int) string { return fmt.Sprint("region-", zone/2) }

func newRegionSim(budget int64, random bool) *regionSim {
	s := &regionSim{now: epoch, rng: rand.New(rand.NewPCG(1, 2)), random: random}
	var ups []Upstream
	for z := range simZones {
		ups = append(ups, Upstream{ID: fmt.Sprint(z), Region: simRegion(z), AvailabilityZone: fmt.Sprint("zone-", z), Slots: simSlots})
	}
	for d := range simDepth {
		for z := range simZones {
			bal := New(Config{
				Region: simRegion(z), AvailabilityZone: fmt.Sprint("zone-", z), Seed: uint64(d*simZones + z),
				LinkBudget: NewLinkBudget(LinkBudgetConfig{BytesPerSecond: budget}),
			})
			bal.SetUpstreams(s.now, ups)
			s.callers[d][z] = bal
		}
	}
	return s
}

func (s *regionSim) after(d time.Duration, do func()) {
	heap.Push(&s.events, simEvent{s.now.Add(d), do})
}

func (s *regionSim) run(load [simZones]float64) {
	for z, l := range load {
		mean := simWork.Seconds() / simSlots / l
		var arrival func()
		arrival = func() {
			s.requests++
			if z < 2 {
				s.region0Requests++
			}
			s.call(0, z, z)
			s.after(time.Duration(s.rng.ExpFloat64()*mean*float64(time.Second)), arrival)
		}
		arrival()
	}
	for end := s.now.Add(simDuration); len(s.events) > 0; {
		e := heap.Pop(&s.events).(simEvent)
		if e.at.After(end) {
			return
		}
		s.now = e.at
		e.do()
	}
}

// oneWay returns the one-way network latency between two zones.
func oneWay(from, to int) time.Duration {
	switch {
	case from == to:
		return 100 * time.Microsecond
	case from/2 == to/2:
		return time.Millisecond
	}
	return 12 * time.Millisecond
}

// call makes the call at the given depth of the call chain from a zone. entry is the zone in
// which the client request arrived.
func (s *regionSim) call(depth, from, entry int) {
	if depth == simDepth {
		return
	}
	start, bal := s.now, s.callers[depth][from]
	to, done := s.rng.IntN(simZones), func(DoneInfo) {}
	if !s.random {
		c, f := bal.Pick(s.now, PickInfo{Priority: chain.Default.MinPriority(), BodyBytes: simBytes})
		if f != nil {
			s.rejected++
			return
		}
		to = int(c.Upstream.ID[0] - '0')
		done = func(r DoneInfo) { bal.Done(s.now, c, r) }
	}
	crossRegion := from/2 != to/2
	count := func(bytes int64) {
		if crossRegion {
			s.crossRegionBytes += bytes
			if entry < 2 {
				s.region0Bytes += bytes
			}
		}
	}
	count(1 << 10)
	if crossRegion {
		s.crossRegionCalls++
	}
	s.after(oneWay(from, to), func() {
		s.arrive(depth, to, func(outcome chain.Outcome, reason chain.Reason) {
			u := &s.upstreams[depth][to]
			r := DoneInfo{Outcome: outcome, Reason: reason, Bytes: 1 << 10}
			r.LoadReport = &admission.LoadReport{Limit: simSlots, InFlight: u.inFlight, Queued: len(u.queue)}
			if outcome == chain.OK {
				r.Bytes = simBytes
				count(4 << 10)
				s.call(depth+1, to, entry)
			} else {
				s.rejected++
			}
			s.after(oneWay(from, to), func() {
				r.Latency = s.now.Sub(start)
				done(r)
			})
		})
	})
}

// arrive executes a call at an upstream whose queue holds four times its slots.
func (s *regionSim) arrive(depth, zone int, end func(chain.Outcome, chain.Reason)) {
	u := &s.upstreams[depth][zone]
	execute := func() {
		u.inFlight++
		s.after(simWork, func() {
			u.inFlight--
			if len(u.queue) > 0 {
				next := u.queue[0]
				u.queue = u.queue[1:]
				next()
			}
			end(chain.OK, "")
		})
	}
	switch {
	case u.inFlight < simSlots:
		execute()
	case len(u.queue) < 4*simSlots:
		u.queue = append(u.queue, execute)
	default:
		end(chain.NotRun, chain.ReasonOverload)
	}
}

func (s *regionSim) report(b *testing.B) {
	b.ReportMetric(float64(s.crossRegionBytes)/float64(s.requests), "region-B/req")
	b.ReportMetric(float64(s.region0Bytes)/float64(s.region0Requests), "region-B/req-of-region-0")
	b.ReportMetric(float64(s.crossRegionCalls)/float64(s.requests), "region-calls/req")
	b.ReportMetric(100*float64(s.rejected)/float64(s.requests), "refused-%")
	b.ReportMetric(0, "ns/op")
}
