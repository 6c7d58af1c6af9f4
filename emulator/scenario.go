package emulator

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Scenario is the failure that the system is judged by: a deep service slows,
// demand surges at the same moment, and customers retry without waiting.
type Scenario struct {
	UpstreamsPerService int
	Slowness            float64 // factor on the service time of the deep service
	Surge               float64 // factor on the rate of all requests
	Steady, Overload    time.Duration
	Calm                time.Duration
	Rate                float64 // requests per second in the steady phase
	Attempts            int     // tries of a customer
	Seed                uint64
}

// DefaultScenario overloads the deep service to 4.5 times what it can serve.
func DefaultScenario() Scenario {
	return Scenario{
		UpstreamsPerService: 2, Slowness: 5, Surge: 3,
		Steady: 4 * time.Second, Overload: 8 * time.Second, Calm: 8 * time.Second,
		Rate: 300, Attempts: 4, Seed: 1,
	}
}

// Parameters of the emulated services, a small Pant Dent. The sizes per
// upstream are those of docs/design.md.
const (
	frontSlots       = 35
	deepSlots        = 10
	frontServiceTime = 4 * time.Millisecond
	deepServiceTime  = 20 * time.Millisecond
	deepService      = "customers"

	customerTimeout = 2 * time.Second
	tryTimeout      = 500 * time.Millisecond
	customerDelay   = 50 * time.Millisecond
	customerCount   = 40
)

// Services lists the emulated services from the first to the deepest.
func Services() []string { return []string{"rounds", "bookings", "photos", deepService} }

// Slots is the number of requests that one upstream of a service runs at a time.
func Slots(service string) int {
	if service == deepService {
		return deepSlots
	}
	return frontSlots
}

// Routes are the emulated routes of a service.
func Routes(service string) []RouteSpec {
	front := func(method, prefix string, calls ...CallSpec) RouteSpec {
		return RouteSpec{Method: method, Prefix: prefix, ServiceTime: frontServiceTime, Calls: calls, AnswerBytes: 256}
	}
	get := func(service, path string) CallSpec { return CallSpec{Method: "GET", Service: service, Path: path} }
	switch service {
	case "rounds":
		return []RouteSpec{
			front("GET", "/today", get("bookings", "/jobs")),
			front("POST", "/repairs", CallSpec{Method: "POST", Service: "bookings", Path: "/reserve"}),
			front("GET", "/selfcheck", get(deepService, "/check")),
		}
	case "bookings":
		return []RouteSpec{
			front("GET", "/jobs", get("photos", "/list")),
			front("POST", "/reserve", get(deepService, "/history")),
		}
	case "photos":
		return []RouteSpec{front("GET", "/list", get(deepService, "/history"))}
	}
	return []RouteSpec{
		{Method: "GET", Prefix: "/history", ServiceTime: deepServiceTime, AnswerBytes: 512},
		{Method: "GET", Prefix: "/check", ServiceTime: deepServiceTime},
	}
}

// Kinds are the requests of the scenario: half lookups, a sixth bookings, a
// third internal checks. Each makes one call to the deep service.
func (s Scenario) Kinds() []Kind {
	return []Kind{
		{Name: "lookup", Class: "default", Rate: s.Rate / 2, Timeout: customerTimeout, Depth: 4,
			Call: CallSpec{Method: "GET", Service: "rounds", Path: "/today"}},
		{Name: "booking", Class: "critical", Rate: s.Rate / 6, Timeout: customerTimeout, Depth: 3, Keyed: true,
			Call: CallSpec{Method: "POST", Service: "rounds", Path: "/repairs"}},
		{Name: "check", Class: "sheddable", Rate: s.Rate / 3, Timeout: customerTimeout, Depth: 2,
			Call: CallSpec{Method: "GET", Service: "rounds", Path: "/selfcheck"}},
	}
}

// Bottleneck is what the deep service can serve during the overload, in
// requests per second.
func (s Scenario) Bottleneck() float64 {
	perSlot := 1 / (deepServiceTime.Seconds() * s.Slowness)
	return float64(s.UpstreamsPerService*deepSlots) * perSlot
}

// Fleet is a set of running emulated upstreams.
type Fleet struct {
	Upstreams map[string][]*Upstream
	Addresses map[string][]string // host:port by service
	Ledger    *Ledger
	servers   []*http.Server
}

// StartFleet starts all upstreams on loopback ports. The callers are asked for
// when all addresses are known.
func (s Scenario) StartFleet(maxQueue int, caller func(f *Fleet, service string, index int) Caller) (*Fleet, error) {
	f := &Fleet{Upstreams: make(map[string][]*Upstream), Addresses: make(map[string][]string), Ledger: NewLedger()}
	var listeners []net.Listener
	for _, service := range Services() {
		for range s.UpstreamsPerService {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				f.Close()
				return nil, err
			}
			listeners = append(listeners, l)
			f.Addresses[service] = append(f.Addresses[service], l.Addr().String())
		}
	}
	n := 0
	for _, service := range Services() {
		for i := range s.UpstreamsPerService {
			u := NewUpstream(UpstreamConfig{
				Service: service, Slots: Slots(service), MaxQueue: maxQueue * Slots(service),
				Routes: Routes(service), Ledger: f.Ledger, Caller: caller(f, service, i),
			})
			f.Upstreams[service] = append(f.Upstreams[service], u)
			f.serve(listeners[n], u)
			n++
		}
	}
	return f, nil
}

func (f *Fleet) serve(l net.Listener, u *Upstream) {
	srv := &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second}
	f.servers = append(f.servers, srv)
	go func() { _ = srv.Serve(l) }() // ends with ErrServerClosed on Close
}

// Close stops all upstreams at once.
func (f *Fleet) Close() {
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// SetSlowness changes the speed of the deep service.
func (f *Fleet) SetSlowness(factor float64) {
	for _, u := range f.Upstreams[deepService] {
		u.SetSlowness(factor)
	}
}

// Arrived sums the requests that reached the handlers of a service.
func (f *Fleet) Arrived(service string) int64 {
	n := int64(0)
	for _, u := range f.Upstreams[service] {
		n += u.Counters.Arrived.Load()
	}
	return n
}

// Amplification is the number of calls that reached the deep service for each
// request that reached the first one. A request makes one such call.
func (f *Fleet) Amplification() float64 {
	return float64(f.Arrived(deepService)) / float64(max(f.Arrived(Services()[0]), 1))
}

// Run makes the load of the scenario against a fleet. Targets gives the base
// address of a call's service at each entrance.
func (s Scenario) Run(ctx context.Context, f *Fleet, targets func(CallSpec) []string, progress func(string)) *Report {
	note := func(name string, slowness float64) func() {
		return func() {
			f.SetSlowness(slowness)
			if progress != nil {
				progress(name)
			}
		}
	}
	return RunLoad(ctx, LoadConfig{
		Kinds: s.Kinds(),
		Phases: []Phase{
			{Name: "steady", Duration: s.Steady, Factor: 1, Start: note("steady", 1)},
			{Name: "overload", Duration: s.Overload, Factor: s.Surge, Start: note("overload", s.Slowness)},
			{Name: "calm", Duration: s.Calm, Factor: 1, Start: note("calm", 1)},
		},
		Targets: targets, Customers: customerCount, Tries: s.Attempts,
		RetryDelay: customerDelay, TryTimeout: tryTimeout, Seed: s.Seed, Ledger: f.Ledger,
	})
}

// Baseline parameters: tries and patience of each hop without overload control.
const (
	directTries      = 3
	directTryTimeout = 500 * time.Millisecond
)

// RunDirect runs the scenario without daemons: direct calls with retries at
// each hop. A maxQueue above zero limits the concurrency of each upstream to
// its slots and a queue of that many times its slots.
func (s Scenario) RunDirect(ctx context.Context, maxQueue int, progress func(string)) (*Report, *Fleet, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	direct := &DirectCaller{Client: client, Tries: directTries, TryTimeout: directTryTimeout}
	fleet, err := s.StartFleet(maxQueue, func(f *Fleet, _ string, _ int) Caller {
		direct.Upstreams = baseURLs(f.Addresses)
		return direct
	})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	targets := func(c CallSpec) []string { return direct.Upstreams[c.Service] }
	return s.Run(ctx, fleet, targets, progress), fleet, nil
}

func baseURLs(addresses map[string][]string) map[string][]string {
	out := make(map[string][]string, len(addresses))
	for service, list := range addresses {
		for _, a := range list {
			out[service] = append(out[service], "http://"+a)
		}
	}
	return out
}
