package emulator

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Scenario is the overload by which the system is evaluated: a service deep in the call
// chain becomes slow, the request rate surges at the same time, and customers retry
// without waiting for Retry-After.
type Scenario struct {
	UpstreamsPerService int
	Slowness            float64 // factor on the service time of the deep service
	Surge               float64 // factor on the rate of all requests
	Steady, Overload    time.Duration
	Calm                time.Duration
	Rate                float64 // requests per second in the steady phase
	Attempts            int     // attempts of a request, including the first
	Seed                uint64
}

// DefaultScenario returns a scenario that overloads the deep service to 4.5 times its
// capacity.
func DefaultScenario() Scenario {
	return Scenario{
		UpstreamsPerService: 2, Slowness: 5, Surge: 3,
		Steady: 4 * time.Second, Overload: 8 * time.Second, Calm: 8 * time.Second,
		Rate: 300, Attempts: 4, Seed: 1,
	}
}

// Parameters of the emulated services, which are modelled on a small Pant Dent. The sizes
// of an upstream are those in docs/design.md.
const (
	frontSlots       = 35
	deepSlots        = 10
	frontServiceTime = 4 * time.Millisecond
	deepServiceTime  = 20 * time.Millisecond
	deepService      = "customers"

	customerTimeout = 2 * time.Second
	attemptTimeout  = 500 * time.Millisecond
	customerDelay   = 50 * time.Millisecond
	customerCount   = 40
)

// Services returns the emulated services in the order of the call chain.
func Services() []string { return []string{"rounds", "bookings", "photos", deepService} }

// Slots returns the number of requests that one upstream of a service executes at a time.
func Slots(service string) int {
	if service == deepService {
		return deepSlots
	}
	return frontSlots
}

// Routes returns the emulated routes of a service.
func Routes(service string) []RouteSpec {
	front := func(method, prefix string, calls ...CallSpec) RouteSpec {
		return RouteSpec{Method: method, Prefix: prefix, ServiceTime: frontServiceTime, Calls: calls, ResponseBytes: 256}
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
		{Method: "GET", Prefix: "/history", ServiceTime: deepServiceTime, ResponseBytes: 512},
		{Method: "GET", Prefix: "/check", ServiceTime: deepServiceTime},
	}
}

// Kinds returns the kinds of requests of the scenario: one half lookups, one sixth
// bookings, one third internal checks. Each request causes one call to the deep service.
func (s Scenario) Kinds() []RequestKind {
	return []RequestKind{
		{Name: "lookup", Class: "default", Rate: s.Rate / 2, Timeout: customerTimeout, Depth: 4,
			Call: CallSpec{Method: "GET", Service: "rounds", Path: "/today"}},
		{Name: "booking", Class: "critical", Rate: s.Rate / 6, Timeout: customerTimeout, Depth: 3, Keyed: true,
			Call: CallSpec{Method: "POST", Service: "rounds", Path: "/repairs"}},
		{Name: "check", Class: "sheddable", Rate: s.Rate / 3, Timeout: customerTimeout, Depth: 2,
			Call: CallSpec{Method: "GET", Service: "rounds", Path: "/selfcheck"}},
	}
}

// Bottleneck returns the capacity of the deep service during the overload, in requests per
// second.
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

// StartFleet starts all upstreams on loopback ports. It calls the function caller for each
// upstream after all addresses are known.
func (s Scenario) StartFleet(maxQueue int, caller func(f *Fleet, service string, index int) Caller) (*Fleet, error) {
	f := &Fleet{Upstreams: make(map[string][]*Upstream), Addresses: make(map[string][]string), Ledger: NewLedger()}
	var listeners []net.Listener
	for _, service := range Services() {
		for range s.UpstreamsPerService {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				f.Close()
				return nil, err
			}
			listeners = append(listeners, listener)
			f.Addresses[service] = append(f.Addresses[service], listener.Addr().String())
		}
	}
	next := 0
	for _, service := range Services() {
		for i := range s.UpstreamsPerService {
			u := NewUpstream(UpstreamConfig{
				Service: service, Slots: Slots(service), MaxQueue: maxQueue * Slots(service),
				Routes: Routes(service), Ledger: f.Ledger, Caller: caller(f, service, i),
			})
			f.Upstreams[service] = append(f.Upstreams[service], u)
			f.serve(listeners[next], u)
			next++
		}
	}
	return f, nil
}

func (f *Fleet) serve(l net.Listener, u *Upstream) {
	server := &http.Server{Handler: u, ReadHeaderTimeout: 10 * time.Second}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(l) }() // returns ErrServerClosed after Close
}

// Close stops all upstreams at once.
func (f *Fleet) Close() {
	for _, s := range f.servers {
		_ = s.Close()
	}
}

// SetSlowness multiplies the service time of the deep service by factor.
func (f *Fleet) SetSlowness(factor float64) {
	for _, u := range f.Upstreams[deepService] {
		u.SetSlowness(factor)
	}
}

// Arrived returns the number of requests that reached the handlers of a service.
func (f *Fleet) Arrived(service string) int64 {
	n := int64(0)
	for _, u := range f.Upstreams[service] {
		n += u.Counters.Arrived.Load()
	}
	return n
}

// Amplification returns the number of calls that reached the deep service for each request
// that reached the first service. Each request causes one such call, so the value is 1
// without retries and rejections.
func (f *Fleet) Amplification() float64 {
	return float64(f.Arrived(deepService)) / float64(max(f.Arrived(Services()[0]), 1))
}

// Run runs the load of the scenario against a fleet. targets returns the base addresses at
// which the service of a call can be reached.
func (s Scenario) Run(ctx context.Context, f *Fleet, targets func(CallSpec) []string, progress func(string)) *Report {
	startPhase := func(name string, slowness float64) func() {
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
			{Name: "steady", Duration: s.Steady, Factor: 1, Start: startPhase("steady", 1)},
			{Name: "overload", Duration: s.Overload, Factor: s.Surge, Start: startPhase("overload", s.Slowness)},
			{Name: "calm", Duration: s.Calm, Factor: 1, Start: startPhase("calm", 1)},
		},
		Targets: targets, Customers: customerCount, Attempts: s.Attempts,
		RetryDelay: customerDelay, AttemptTimeout: attemptTimeout, Seed: s.Seed, Ledger: f.Ledger,
	})
}

// Parameters of each hop in the baseline without overload control.
const (
	directAttempts       = 3
	directAttemptTimeout = 500 * time.Millisecond
)

// RunDirect runs the scenario without daemons, with direct calls and retries at each hop.
// A maxQueue above 0 limits the queue of each upstream to maxQueue times its slots.
func (s Scenario) RunDirect(ctx context.Context, maxQueue int, progress func(string)) (*Report, *Fleet, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	caller := &DirectCaller{Client: client, Attempts: directAttempts, AttemptTimeout: directAttemptTimeout}
	fleet, err := s.StartFleet(maxQueue, func(f *Fleet, _ string, _ int) Caller {
		caller.Upstreams = baseURLs(f.Addresses)
		return caller
	})
	if err != nil {
		return nil, nil, err
	}
	defer fleet.Close()
	targets := func(c CallSpec) []string { return caller.Upstreams[c.Service] }
	return s.Run(ctx, fleet, targets, progress), fleet, nil
}

func baseURLs(addresses map[string][]string) map[string][]string {
	urls := make(map[string][]string, len(addresses))
	for service, list := range addresses {
		for _, a := range list {
			urls[service] = append(urls[service], "http://"+a)
		}
	}
	return urls
}
