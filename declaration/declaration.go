// Package declaration defines the files that operators write beside each
// service's code: its routes, which requests matter most, which are
// idempotent, and how long callers wait.
package declaration

import (
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// Service is the declaration of one service.
type Service struct {
	Name           string  // lower-case letters, digits and hyphens
	Slots          int     // requests that one upstream runs at the same time
	MaxConnections int     // connections that one upstream accepts
	Routes         []Route // at least one
}

// BodyKind says how the body of a request is handled.
type BodyKind uint8

// The kinds of body.
const (
	BodyNormal BodyKind = iota // a small body
	BodyStream                 // an upload: limited to a part of a gate's slots
)

// Route is one kind of request to a service.
type Route struct {
	Name       string // unique within the service
	Method     string // an HTTP method
	Path       string // a net/http ServeMux path pattern without a host
	Class      chain.Class
	Idempotent bool
	Timeout    time.Duration // how long a caller waits
	Retries    int           // retry allowance of a request that enters here
	Body       BodyKind
	MaxBody    int64     // bytes
	Calls      []RouteID // routes of other services that the handler calls
}

// RouteID names a route across services, written "service.route" in files.
type RouteID struct {
	Service string
	Route   string
}

// String writes the name as in declaration files.
func (id RouteID) String() string { return id.Service + "." + id.Route }
