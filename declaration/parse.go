package declaration

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/internal/jsonfile"
)

// FileName is the name of the declaration file in the directory of a service.
const FileName = "bilberrydeck.json"

// DefaultRetries is the number of retries of a route that declares none.
const DefaultRetries = 2

// Default limits of the request body for routes that declare none.
const (
	DefaultMaxBody       = 64 << 10 // bytes
	DefaultMaxStreamBody = 64 << 20 // bytes
)

// Valid ranges of the fields. Problems quote the reason.
var (
	slotsRange = jsonfile.Range[int]{Min: 1, Max: 10_000,
		Reason: "a gate counts them one by one"}
	connectionsRange = jsonfile.Range[int]{Min: 1, Max: 60_000,
		Reason: "one address has fewer than 64 Ki ports"}
	timeoutRange = jsonfile.Range[time.Duration]{Min: time.Millisecond, Max: 10 * time.Minute,
		Reason: "the range of Bilberry-Deadline-Ms"}
	retriesRange = jsonfile.Range[int]{Min: 0, Max: 5,
		Reason: "retries of a whole chain must stay bounded"}
	maxBodyRange = jsonfile.Range[int64]{Min: 0, Max: 1 << 20,
		Reason: `larger bodies need "body": "stream"`}
	maxStreamBodyRange = jsonfile.Range[int64]{Min: 1, Max: 4 << 30,
		Reason: "an upload has to end within its timeout"}
)

// Limits of the number of items in one declaration. In every control replica, the
// time of the whole-set checks and of path matching is proportional to them.
const (
	maxRoutes = 256
	maxCalls  = 64
)

// methods are the HTTP methods that a route may declare. CONNECT and TRACE are
// left out, since they carry no request for a service.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

var bodyKindNames = []string{BodyNormal: "normal", BodyStream: "stream"}

// String returns the name of the body kind in declaration files.
func (k BodyKind) String() string {
	if int(k) < len(bodyKindNames) {
		return bodyKindNames[k]
	}
	return fmt.Sprintf("body(%d)", uint8(k))
}

// namePattern is the syntax of service and route names. Names are part of paths,
// headers and log lines, and a dot separates them in "service.route".
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Problem is one error or warning about a declaration or a set of declarations.
type Problem = jsonfile.Problem

// Problems is a list of errors and warnings.
type Problems = jsonfile.Problems

// Positions holds the file positions of the fields of one declaration.
type Positions struct {
	File   string
	Fields map[string]jsonfile.Position // by field path, such as "routes[0].calls[1]"
}

// Parse parses one declaration and returns all of its problems. The service is
// complete only if none of them is an error.
func Parse(file string, src []byte) (Service, Positions, Problems) {
	parsed, object := jsonfile.Open(file, src)
	var service Service
	if object != nil {
		service = readService(object)
	}
	return service, Positions{File: file, Fields: parsed.Positions()}, parsed.Problems()
}

func readService(object *jsonfile.Object) Service {
	service := Service{
		Name:           readName(object, "service"),
		Slots:          object.Int("slots", slotsRange),
		MaxConnections: object.Int("max_connections", connectionsRange),
	}
	if service.MaxConnections > 0 && service.MaxConnections < service.Slots {
		object.Report("max_connections", "%d is less than the %d slots (a connection carries one request at a time)", service.MaxConnections, service.Slots)
	}
	routes := object.Objects("routes")
	switch {
	case !object.Has("routes"):
		object.Report("routes", "is missing")
	case len(routes) == 0:
		object.Report("routes", "must hold at least one route")
	case len(routes) > maxRoutes:
		object.Report("routes", "holds %d routes, at most %d are allowed", len(routes), maxRoutes)
	}
	for _, route := range routes {
		service.Routes = append(service.Routes, readRoute(route))
	}
	object.Close()
	return service
}

func readRoute(object *jsonfile.Object) Route {
	route := Route{
		Name:       readName(object, "name"),
		Method:     object.Choice("method", "", methods),
		Path:       readPath(object),
		Class:      readClass(object),
		Idempotent: object.Bool("idempotent"),
		Timeout:    object.Duration("timeout", timeoutRange),
		Retries:    object.OptionalInt("retries", DefaultRetries, retriesRange),
	}
	route.Body, route.MaxBody = readBody(object)
	route.Calls = readCalls(object)
	object.Close()
	return route
}

func readName(object *jsonfile.Object, field string) string {
	name := object.Text(field)
	if name != "" && !namePattern.MatchString(name) {
		object.Report(field, "%q must start with a lower-case letter and hold only lower-case letters, digits and hyphens, 63 at most", name)
	}
	return name
}

func readPath(object *jsonfile.Object) string {
	path := object.Text("path")
	if path == "" {
		return ""
	}
	if problem := checkPattern(path); problem != "" {
		object.Report("path", "%q is not a path pattern: %s", path, problem)
	}
	return path
}

func readClass(object *jsonfile.Object) chain.Class {
	class, _ := chain.ParseClass(object.Choice("class", chain.Default.String(), chain.ClassNames()))
	return class
}

func readBody(object *jsonfile.Object) (BodyKind, int64) {
	if object.Choice("body", BodyNormal.String(), bodyKindNames) == BodyStream.String() {
		return BodyStream, object.OptionalSize("max_body", "", DefaultMaxStreamBody, maxStreamBodyRange)
	}
	return BodyNormal, object.OptionalSize("max_body", "", DefaultMaxBody, maxBodyRange)
}

func readCalls(object *jsonfile.Object) []RouteID {
	texts := object.Texts("calls")
	if len(texts) > maxCalls {
		object.Report("calls", "holds %d calls, at most %d are allowed", len(texts), maxCalls)
	}
	var calls []RouteID
	seen := map[RouteID]bool{}
	for i, text := range texts {
		field := fmt.Sprintf("calls[%d]", i)
		service, route, found := strings.Cut(text, ".")
		id := RouteID{Service: service, Route: route}
		calls = append(calls, id)
		switch {
		case text == "": // Texts has reported it
		case !found || !namePattern.MatchString(service) || !namePattern.MatchString(route):
			object.Report(field, `%q must have the form "service.route"`, text)
		case seen[id]:
			object.Report(field, "%q is given twice", text)
		}
		seen[id] = true
	}
	return calls
}
