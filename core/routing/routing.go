// Package routing holds the routing configuration of a fleet: the services for each host and
// path prefix, which requests may be retried, and their timeouts. It performs no I/O.
package routing

import (
	"fmt"
	"strings"
	"time"
)

// RouteKind tells whether the requests of a route may be retried and how they are forwarded.
type RouteKind uint8

// The kinds of route.
const (
	Idempotent    RouteKind = iota // may be executed more than once
	NonIdempotent                  // is executed at most once for each attempt of the client
	Upload                         // is executed at most once and has a large body
)

var kindNames = [...]string{"idempotent", "non-idempotent", "upload"}

// String returns the name used in logs.
func (k RouteKind) String() string { return kindNames[k] }

// IsIdempotent reports whether a request may be executed more than once.
func (k RouteKind) IsIdempotent() bool { return k == Idempotent }

// MaxTimeout is the longest timeout of a route. Callers do not keep connections open longer.
const MaxTimeout = 10 * time.Minute

// Route routes the requests for a host and path prefix to services.
type Route struct {
	Name             string
	Host             string // lower case, without a port
	Prefix           string // begins and ends with a slash
	Kind             RouteKind
	Timeout          time.Duration // time until the deadline of a request; 0 for none
	LatencyObjective time.Duration // desired latency of a response; 0 if unknown
	Rank             int           // importance, 0 is the highest
	MaxAttempts      int           // largest number of upstreams that one request is sent to; 0 for the default
	Targets          []Target      // at least one
}

// Target is a service and its weight among the targets of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is the configuration of a service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // connections of all callers to one upstream; 0 for no limit
}

// RequestLimits holds the size limits of requests and the timeouts of client connections. A
// zero field takes its default.
type RequestLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // from the first to the last byte of a request header
	IdleTimeout   time.Duration // between two requests on a connection
}

// Defaults of RequestLimits, which are common in HTTP servers.
const (
	defaultHeaderBytes   = 32 << 10
	defaultBodyBytes     = 64 << 20
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// WithDefaults returns the limits with each zero field replaced by its default.
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

// Table is a complete routing configuration.
type Table struct {
	Version  uint64 // set by the operator, increases from one table to the next
	Routes   []Route
	Services []Service
	Limits   RequestLimits
}

// Validate returns the errors of a table, one line each; none if the table is valid.
func (t *Table) Validate() []string {
	var problems []string
	services := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		if s.Name == "" {
			problems = append(problems, "a service has no name")
		}
		if services[s.Name] {
			problems = append(problems, fmt.Sprintf("service %q is listed twice", s.Name))
		}
		services[s.Name] = true
	}
	routeNames := make(map[string]string, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		matchKey := r.Host + r.Prefix
		if other, exists := routeNames[matchKey]; exists {
			problems = append(problems, fmt.Sprintf("routes %q and %q share host %q and prefix %q", other, r.Name, r.Host, r.Prefix))
		}
		routeNames[matchKey] = r.Name
		problems = append(problems, r.validate(services)...)
	}
	return problems
}

// validate returns the errors of a route. services holds the names of the listed services.
func (r *Route) validate(services map[string]bool) []string {
	var problems []string
	addProblem := func(format string, args ...any) {
		problems = append(problems, fmt.Sprintf("route %q: ", r.Name)+fmt.Sprintf(format, args...))
	}
	if r.Host == "" {
		addProblem("the host is empty")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		addProblem("the prefix %q must begin and end with a slash", r.Prefix)
	}
	if r.Timeout < 0 || r.Timeout > MaxTimeout {
		addProblem("the timeout %s must be at most %s", r.Timeout, MaxTimeout)
	}
	hasWeight := false
	for _, target := range r.Targets {
		if !services[target.Service] {
			addProblem("service %q is not listed", target.Service)
		}
		if target.Weight < 0 {
			addProblem("the weight of service %q is negative", target.Service)
		}
		hasWeight = hasWeight || target.Weight > 0
	}
	if !hasWeight {
		addProblem("no service has a weight above 0")
	}
	return problems
}
