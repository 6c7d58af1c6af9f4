// Package emulator provides an emulated upstream service and a load generator for the
// demo, the load test and other tests. The upstream has slots, an internal queue, a cold
// start, a configurable slowdown, and health and load endpoints that always report a
// healthy, idle service.
package emulator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the emulated application. They are ordinary end-to-end headers that daemons
// forward without interpreting them.
const (
	workHeader = "X-Work-Id"  // unique for each attempt of a request
	keyHeader  = "X-Work-Key" // the same for all attempts of work that must execute at most once
)

// coldFactor is the factor on the service time right after the start of an upstream. It
// falls to 1 during the cold start.
const coldFactor = 3

// CallSpec is a call that a handler makes to another service.
type CallSpec struct {
	Method  string
	Service string
	Path    string
}

// RouteSpec is one emulated route. A request is served by the first route whose method and
// path prefix match.
type RouteSpec struct {
	Method        string
	Prefix        string
	ServiceTime   time.Duration // time of the handler without its calls, at normal speed
	Calls         []CallSpec    // made sequentially
	ResponseBytes int           // length of the filler in the response
}

// UpstreamConfig is the configuration of an emulated upstream.
type UpstreamConfig struct {
	Service   string
	Slots     int           // requests that execute concurrently
	MaxQueue  int           // requests beyond it are rejected with 503; 0 means no limit
	ColdStart time.Duration // time until full speed
	Routes    []RouteSpec
	Caller    Caller  // how handlers call other services
	Ledger    *Ledger // records executions; may be shared by upstreams
}

// Caller makes the calls of a handler to other services.
type Caller interface {
	Call(ctx context.Context, parent http.Header, call CallSpec) (*Response, error)
}

// Response is the body of every emulated response. Calls holds the responses of the calls
// to other services, so that a caller can detect an incomplete response.
type Response struct {
	Work    string      `json:"work"`
	Service string      `json:"service"`
	Calls   []*Response `json:"calls,omitempty"`
	Filler  string      `json:"filler,omitempty"`
}

// Depth returns the length of the longest call chain that contributed to a response.
func (a *Response) Depth() int {
	deepest := 0
	for _, c := range a.Calls {
		deepest = max(deepest, c.Depth())
	}
	return deepest + 1
}

// Counters counts the requests of an upstream.
type Counters struct {
	Arrived   atomic.Int64 // requests that reached the handler
	Started   atomic.Int64 // requests that got a slot
	Finished  atomic.Int64 // complete responses
	Rejected  atomic.Int64 // rejected because the queue was full
	Cancelled atomic.Int64 // cancelled by the caller
}

// Upstream is an emulated upstream service.
type Upstream struct {
	cfg      UpstreamConfig
	slots    chan struct{}
	queued   atomic.Int64
	slowness atomic.Int64 // factor on the service time in percent
	started  time.Time
	Counters Counters
}

// NewUpstream returns an upstream whose cold start begins now.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	u := &Upstream{cfg: cfg, slots: make(chan struct{}, cfg.Slots), started: time.Now()}
	u.slowness.Store(100)
	return u
}

// SetSlowness sets the factor on the service time of all routes.
func (u *Upstream) SetSlowness(factor float64) { u.slowness.Store(int64(factor * 100)) }

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.WriteHeader(http.StatusOK) // always healthy, also under overload
		return
	case "/load":
		_, _ = io.WriteString(w, `{"load":0}`)
		return
	}
	route := u.route(r)
	if route == nil {
		http.NotFound(w, r)
		return
	}
	u.Counters.Arrived.Add(1)
	if u.cfg.Ledger != nil {
		u.cfg.Ledger.record(u.cfg.Service, r)
	}
	u.serve(w, r, route)
}

func (u *Upstream) route(r *http.Request) *RouteSpec {
	for i := range u.cfg.Routes {
		rt := &u.cfg.Routes[i]
		if rt.Method == r.Method && strings.HasPrefix(r.URL.Path, rt.Prefix) {
			return rt
		}
	}
	return nil
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request, route *RouteSpec) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		u.Counters.Cancelled.Add(1)
		return
	}
	if !u.acquire(r.Context()) {
		http.Error(w, "queue full", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-u.slots }()
	u.Counters.Started.Add(1)
	response, err := u.execute(r, route)
	if err != nil {
		if r.Context().Err() != nil {
			u.Counters.Cancelled.Add(1)
		}
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	body, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err == nil {
		u.Counters.Finished.Add(1)
	}
}

// acquire waits for a slot. It returns false if the queue is full or the caller has
// cancelled the request.
func (u *Upstream) acquire(ctx context.Context) bool {
	select {
	case u.slots <- struct{}{}:
		return true
	default:
	}
	queued := u.queued.Add(1)
	defer u.queued.Add(-1)
	if u.cfg.MaxQueue > 0 && queued > int64(u.cfg.MaxQueue) {
		u.Counters.Rejected.Add(1)
		return false
	}
	select {
	case u.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		u.Counters.Cancelled.Add(1)
		return false
	}
}

// execute waits for the service time and makes the calls of the route. The slot is held
// during both, as in a service with one thread per request.
func (u *Upstream) execute(r *http.Request, route *RouteSpec) (*Response, error) {
	response := &Response{
		Work:    r.Header.Get(workHeader),
		Service: u.cfg.Service,
		Filler:  strings.Repeat("x", route.ResponseBytes),
	}
	if err := sleep(r.Context(), u.serviceTime(route)); err != nil {
		return nil, err
	}
	for _, call := range route.Calls {
		callResponse, err := u.cfg.Caller.Call(r.Context(), r.Header, call)
		if err != nil {
			return nil, err
		}
		response.Calls = append(response.Calls, callResponse)
	}
	return response, nil
}

func (u *Upstream) serviceTime(route *RouteSpec) time.Duration {
	t := route.ServiceTime * time.Duration(u.slowness.Load()) / 100
	age := time.Since(u.started)
	if age < u.cfg.ColdStart {
		remaining := float64(u.cfg.ColdStart-age) / float64(u.cfg.ColdStart)
		t += time.Duration(float64(t) * (coldFactor - 1) * remaining)
	}
	return t
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ledger records which work reached a handler. It is used to check requests that are
// reported as not-run and work that must execute at most once.
type Ledger struct {
	mu              sync.Mutex
	executed        map[string]bool
	executionsByKey map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{executed: make(map[string]bool), executionsByKey: make(map[string]int)}
}

func (l *Ledger) record(service string, r *http.Request) {
	workID, key := r.Header.Get(workHeader), r.Header.Get(keyHeader)
	l.mu.Lock()
	defer l.mu.Unlock()
	if workID != "" {
		l.executed[service+" "+workID] = true
	}
	if key != "" && r.Method == http.MethodPost {
		l.executionsByKey[service+" "+key]++
	}
}

// Executed reports whether the attempt with a work id reached a handler of the service.
func (l *Ledger) Executed(service, workID string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.executed[service+" "+workID]
}

// Duplicates returns the number of keys that reached a handler more than once.
func (l *Ledger) Duplicates() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, executions := range l.executionsByKey {
		if executions > 1 {
			n++
		}
	}
	return n
}
