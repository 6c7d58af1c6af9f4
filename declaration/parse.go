package declaration

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/internal/jsonfile"
)

// FileName is the name of the declaration file beside a service's code.
const FileName = "bilberrydeck.json"

// DefaultRetries is the retry allowance of a route that declares none.
const DefaultRetries = 2

// Default limits of request bodies, for routes that declare none.
const (
	DefaultMaxBody       = 64 << 10 // bytes
	DefaultMaxStreamBody = 64 << 20 // bytes
)

// The ranges of the fields, each with the reason for its limits.
var (
	slotsRange = jsonfile.Range[int]{Min: 1, Max: 10_000,
		Reason: "a gate counts them one by one"}
	connectionsRange = jsonfile.Range[int]{Min: 1, Max: 60_000,
		Reason: "one address has fewer than 64 Ki ports"}
	timeoutRange = jsonfile.Range[time.Duration]{Min: time.Millisecond, Max: 10 * time.Minute,
		Reason: "the range of Bilberry-Deadline-Ms"}
	retriesRange = jsonfile.Range[int]{Min: 0, Max: 5,
		Reason: "retries of a whole chain must stay bounded"}
	bodyRange = jsonfile.Range[int64]{Min: 0, Max: 1 << 20,
		Reason: `larger bodies need "body": "stream"`}
	streamRange = jsonfile.Range[int64]{Min: 1, Max: 4 << 30,
		Reason: "an upload has to end within its timeout"}
)

// Limits of the number of items in one declaration. The whole-set checks and
// the path matcher take time in proportion to them in every control replica.
const (
	maxRoutes = 256
	maxCalls  = 64
)

// methods are the HTTP methods that a route may declare. CONNECT and TRACE
// carry no request for a service.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

var bodyNames = []string{BodyNormal: "normal", BodyStream: "stream"}

// String returns the name that declaration files use.
func (k BodyKind) String() string {
	if int(k) < len(bodyNames) {
		return bodyNames[k]
	}
	return fmt.Sprintf("body(%d)", uint8(k))
}

// namePattern is the form of service and route names. They appear in paths,
// headers and log lines, and a dot separates them in "service.route".
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Problem is one fault of a declaration or of a set of declarations.
type Problem = jsonfile.Problem

// Problems is a list of faults.
type Problems = jsonfile.Problems

// Positions holds the places of the fields of one declaration.
type Positions struct {
	File   string
	Fields map[string]jsonfile.Position // by path, such as "routes[0].calls[1]"
}

// Parse reads one declaration. It reports all problems at once. The service is
// complete only if none of them is an error.
func Parse(file string, src []byte) (Service, Positions, Problems) {
	f, top := jsonfile.Open(file, src)
	var s Service
	if top != nil {
		s = readService(top)
	}
	return s, Positions{File: file, Fields: f.Positions()}, f.Problems()
}

func readService(o *jsonfile.Object) Service {
	s := Service{
		Name:           readName(o, "service"),
		Slots:          o.Int("slots", slotsRange),
		MaxConnections: o.Int("max_connections", connectionsRange),
	}
	if s.MaxConnections > 0 && s.MaxConnections < s.Slots {
		o.Report("max_connections", "%d is less than the %d slots (a connection carries one request at a time)", s.MaxConnections, s.Slots)
	}
	routes := o.Objects("routes")
	switch {
	case !o.Has("routes"):
		o.Report("routes", "is missing")
	case len(routes) == 0:
		o.Report("routes", "must hold at least one route")
	case len(routes) > maxRoutes:
		o.Report("routes", "holds %d routes, at most %d are allowed", len(routes), maxRoutes)
	}
	for _, r := range routes {
		s.Routes = append(s.Routes, readRoute(r))
	}
	o.Close()
	return s
}

func readRoute(o *jsonfile.Object) Route {
	r := Route{
		Name:       readName(o, "name"),
		Method:     o.Choice("method", "", methods),
		Path:       readPath(o),
		Class:      readClass(o),
		Idempotent: o.Bool("idempotent"),
		Timeout:    o.Duration("timeout", timeoutRange),
		Retries:    o.OptionalInt("retries", DefaultRetries, retriesRange),
	}
	r.Body, r.MaxBody = readBody(o)
	r.Calls = readCalls(o)
	o.Close()
	return r
}

func readName(o *jsonfile.Object, field string) string {
	name := o.Text(field)
	if name != "" && !namePattern.MatchString(name) {
		o.Report(field, "%q must start with a lower-case letter and hold only lower-case letters, digits and hyphens, 63 at most", name)
	}
	return name
}

func readPath(o *jsonfile.Object) string {
	path := o.Text("path")
	if path == "" {
		return ""
	}
	if detail := checkPattern(path); detail != "" {
		o.Report("path", "%q is not a path pattern: %s", path, detail)
	}
	return path
}

func readClass(o *jsonfile.Object) chain.Class {
	class, _ := chain.ParseClass(o.Choice("class", chain.Default.String(), chain.ClassNames()))
	return class
}

func readBody(o *jsonfile.Object) (BodyKind, int64) {
	if o.Choice("body", BodyNormal.String(), bodyNames) == BodyStream.String() {
		return BodyStream, o.OptionalSize("max_body", "", DefaultMaxStreamBody, streamRange)
	}
	return BodyNormal, o.OptionalSize("max_body", "", DefaultMaxBody, bodyRange)
}

func readCalls(o *jsonfile.Object) []RouteID {
	texts := o.Texts("calls")
	if len(texts) > maxCalls {
		o.Report("calls", "holds %d calls, at most %d are allowed", len(texts), maxCalls)
	}
	var calls []RouteID
	seen := map[RouteID]bool{}
	for i, text := range texts {
		field := fmt.Sprintf("calls[%d]", i)
		service, route, found := strings.Cut(text, ".")
		id := RouteID{Service: service, Route: route}
		calls = append(calls, id)
		switch {
		case text == "": // reported by the reader
		case !found || !namePattern.MatchString(service) || !namePattern.MatchString(route):
			o.Report(field, `%q must have the form "service.route"`, text)
		case seen[id]:
			o.Report(field, "%q is given twice", text)
		}
		seen[id] = true
	}
	return calls
}
