// Package routing holds the routing configuration of a fleet: which host and
// path prefix leads to which services, what may be repeated, how long callers
// wait. It performs no I/O.
package routing

import (
	"fmt"
	"strings"
	"time"
)

// RouteKind tells what may be repeated, and how a request is carried.
type RouteKind uint8

// The kinds of route.
const (
	Idempotent    RouteKind = iota // may run more than once
	NonIdempotent                  // runs at most once for each attempt of a client
	Upload                         // runs at most once and carries a large body
)

var kindNames = [...]string{"idempotent", "non-idempotent", "upload"}

// String returns the name used in logs.
func (k RouteKind) String() string { return kindNames[k] }

// IsIdempotent reports whether a request may run more than once.
func (k RouteKind) IsIdempotent() bool { return k == Idempotent }

// MaxTimeout is the longest timeout that a route may have; callers do not keep
// connections open longer.
const MaxTimeout = 10 * time.Minute

// Route sends the requests of a host below a path prefix to services.
type Route struct {
	Name             string
	Host             string // lower case, without a port
	Prefix           string // begins and ends with a slash
	Kind             RouteKind
	Timeout          time.Duration // longest time that a caller is kept waiting; 0 for none
	LatencyObjective time.Duration // time within which an answer is of full use; 0 if unknown
	Rank             int           // importance, 0 is the highest
	MaxAttempts      int           // upstreams that one request may be sent to; 0 for the default
	Targets          []Target      // at least one
}

// Target is a service and its weight among the targets of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is what the configuration says of a service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // of all callers together to one upstream; 0 if not limited
}

// RequestLimits bound what a client may send and how long it may take or stay idle. A
// zero field takes its default.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // from the first byte of a request head to its last
	IdleTimeout   time.Duration // between two requests of a connection
}

// Defaults of RequestLimits, which are also those of common HTTP servers.
const (
	defaultHeaderBytes   = 32 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// WithDefaults replaces the zero fields.
func (l RequestLimits) WithDefaults() RequestLimits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Table is one complete routing configuration.
type Table struct {
	Version  uint64 // chosen by the operator, grows from one table to the next
	Routes   []Route
	Services []Service
	Limits   RequestLimits
}

// Validate lists what makes a table unusable, one line each.
func (t *Table) Validate() []string {
	var out []string
	services := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		if s.Name == "" {
			out = append(out, "a service has no name")
		}
		if services[s.Name] {
			out = append(out, fmt.Sprintf("service %q is listed twice", s.Name))
		}
		services[s.Name] = true
	}
	places := make(map[string]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		place := r.Host + r.Prefix
		if other, taken := places[place]; taken {
			out = append(out, fmt.Sprintf("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix))
		}
		places[place] = r.Name
		out = append(out, r.problems(services)...)
	}
	return out
}

func (r *Route) problems(services map[string]bool) []string {
	var out []string
	report := func(format string, args ...any) {
		out = append(out, fmt.Sprintf("route %q: ", r.Name)+fmt.Sprintf(format, args...))
	}
	if r.Host == "" {
		report("the host is empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		report("the prefix %q must begin and end with a slash", r.Prefix)
	}
	if r.Timeout < 0 || r.Timeout > MaxTimeout {
		report("the timeout %s must be at most %s", r.Timeout, MaxTimeout)
	}
	total := 0
	for _, target := range r.Targets {
		if !services[target.Service] {
			report("service %q is not listed", target.Service)
		}
		if target.Weight < 0 {
			report("the weight of service %q is negative", target.Service)
		}
		total += target.Weight
	}
	if total <= 0 {
		report("no service has a weight above 0")
	}
	return out
}
