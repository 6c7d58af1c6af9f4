// Package declaration defines the declaration file that operators keep with the
// code of each service: its routes with their class, idempotence, client timeout
// and calls of other services.
package declaration

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// Service is the parsed declaration of one service.
type Service struct {
	Name           string  // lower-case letters, digits and hyphens
	Slots          int     // requests that one upstream executes concurrently
	MaxConnections int     // concurrent connections that one upstream accepts
	Routes         []Route // at least one
}

// BodyKind selects how the body of a request is limited.
type BodyKind uint8

// The kinds of body.
const (
	BodyNormal BodyKind = iota // a small body, limited by default to DefaultMaxBody
	BodyStream                 // an upload, for which the admission controller grants only a share of its slots
)

// Route is one route of a service: a method and a path with their handling.
type Route struct {
	Name       string // unique within the service
	Method     string // an HTTP method
	Path       string // a net/http ServeMux path pattern without a host
	Class      chain.Class
	Idempotent bool
	Timeout    time.Duration // client timeout
	Retries    int           // retries allowed to the call chain of a request that enters the system at this route
	Body       BodyKind
	MaxBody    int64     // bytes
	Calls      []RouteID // routes of other services that the handler may call
}

// RouteID identifies a route among all services, written "service.route" in files.
type RouteID struct {
	Service string
	Route   string
}

// String returns the ID as written in declaration files.
func (id RouteID) String() string { return id.Service + "." + id.Route }
