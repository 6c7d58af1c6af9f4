// Package emulator holds an emulated upstream service and a load generator,
// used by the demo, the measurements and the tests. The upstream has slots, an
// internal queue, a cold start, a slowdown that can be switched on, and health
// and load endpoints that always look good.
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

// Headers of the emulated application. They are ordinary end-to-end headers
// that the daemons pass on unread.
const (
	workHeader = "X-Work-Id"  // unique for each try of a request
	keyHeader  = "X-Work-Key" // the same for all tries of work that must run at most once
)

// coldFactor is how much slower an upstream is right after its start.
const coldFactor = 3

// CallSpec is a call that a handler makes to another service.
type CallSpec struct {
	Method  string
	Service string
	Path    string
}

// RouteSpec is one emulated route. The first one whose method and path prefix
// match serves a request.
type RouteSpec struct {
	Method      string
	Prefix      string
	ServiceTime time.Duration // the handler's own time at normal speed
	Calls       []CallSpec    // made one after the other
	AnswerBytes int           // filler in the answer
}

// UpstreamConfig describes an emulated upstream.
type UpstreamConfig struct {
	Service   string
	Slots     int           // requests that run at the same time
	MaxQueue  int           // requests above it are refused with 503; 0 means no limit
	ColdStart time.Duration // time until full speed
	Routes    []RouteSpec
	Caller    Caller  // how handlers call other services
	Ledger    *Ledger // records what ran; may be shared
}

// Caller makes a handler's calls to other services.
type Caller interface {
	Call(ctx context.Context, parent http.Header, call CallSpec) (*Answer, error)
}

// Answer is the body of every emulated answer. Calls holds the answers of the
// calls below, so that a caller can tell a whole answer from a part of one.
type Answer struct {
	Work    string    `json:"work"`
	Service string    `json:"service"`
	Calls   []*Answer `json:"calls,omitempty"`
	Filler  string    `json:"filler,omitempty"`
}

// Depth is the number of services that took part in an answer.
func (a *Answer) Depth() int {
	deepest := 0
	for _, c := range a.Calls {
		deepest = max(deepest, c.Depth())
	}
	return deepest + 1
}

// Counters tell what an upstream did.
type Counters struct {
	Arrived   atomic.Int64 // requests that reached the handler
	Started   atomic.Int64 // requests that got a slot
	Finished  atomic.Int64 // whole answers
	Refused   atomic.Int64 // refused because the queue was full
	Cancelled atomic.Int64 // given up by the caller
}

// Upstream is an emulated upstream service.
type Upstream struct {
	cfg      UpstreamConfig
	slots    chan struct{}
	queued   atomic.Int64
	slowness atomic.Int64 // service time factor in percent
	started  time.Time
	Counters Counters
}

// NewUpstream returns an upstream that starts now.
func NewUpstream(cfg UpstreamConfig) *Upstream {
	u := &Upstream{cfg: cfg, slots: make(chan struct{}, cfg.Slots), started: time.Now()}
	u.slowness.Store(100)
	return u
}

// SetSlowness multiplies the service time of all routes.
func (u *Upstream) SetSlowness(factor float64) { u.slowness.Store(int64(factor * 100)) }

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		w.WriteHeader(http.StatusOK) // misleading: healthy whatever happens
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
	answer, err := u.work(r, route)
	if err != nil {
		if r.Context().Err() != nil {
			u.Counters.Cancelled.Add(1)
		}
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err == nil {
		u.Counters.Finished.Add(1)
	}
}

// acquire waits for a slot. It returns false when the queue is full or the
// caller has left.
func (u *Upstream) acquire(ctx context.Context) bool {
	select {
	case u.slots <- struct{}{}:
		return true
	default:
	}
	queued := u.queued.Add(1)
	defer u.queued.Add(-1)
	if u.cfg.MaxQueue > 0 && queued > int64(u.cfg.MaxQueue) {
		u.Counters.Refused.Add(1)
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

// work spends the service time and makes the calls below, holding the slot all
// the while, as a service with one thread per request does.
func (u *Upstream) work(r *http.Request, route *RouteSpec) (*Answer, error) {
	answer := &Answer{
		Work:    r.Header.Get(workHeader),
		Service: u.cfg.Service,
		Filler:  strings.Repeat("x", route.AnswerBytes),
	}
	if err := sleep(r.Context(), u.serviceTime(route)); err != nil {
		return nil, err
	}
	for _, call := range route.Calls {
		below, err := u.cfg.Caller.Call(r.Context(), r.Header, call)
		if err != nil {
			return nil, err
		}
		answer.Calls = append(answer.Calls, below)
	}
	return answer, nil
}

func (u *Upstream) serviceTime(route *RouteSpec) time.Duration {
	t := route.ServiceTime * time.Duration(u.slowness.Load()) / 100
	age := time.Since(u.started)
	if age < u.cfg.ColdStart {
		left := float64(u.cfg.ColdStart-age) / float64(u.cfg.ColdStart)
		t += time.Duration(float64(t) * (coldFactor - 1) * left)
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

// Ledger records which work reached a handler, to check refusals that say "not
// run" and work that must run at most once.
type Ledger struct {
	mu   sync.Mutex
	work map[string]bool
	keys map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{work: make(map[string]bool), keys: make(map[string]int)}
}

func (l *Ledger) record(service string, r *http.Request) {
	work, key := r.Header.Get(workHeader), r.Header.Get(keyHeader)
	l.mu.Lock()
	defer l.mu.Unlock()
	if work != "" {
		l.work[service+" "+work] = true
	}
	if key != "" && r.Method == http.MethodPost {
		l.keys[service+" "+key]++
	}
}

// Ran reports whether a try reached a handler of the service.
func (l *Ledger) Ran(service, work string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.work[service+" "+work]
}

// Repeated counts the keys that reached a handler more than once.
func (l *Ledger) Repeated() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, runs := range l.keys {
		if runs > 1 {
			n++
		}
	}
	return n
}
