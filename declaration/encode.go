package declaration

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/bilberrydeck/bilberrydeck/internal/jsonfile"
)

// serviceJSON is the canonical JSON form of a Service. Every field is written, in
// this order, so that equal declarations have equal bytes.
type serviceJSON struct {
	Service        string      `json:"service"`
	Slots          int         `json:"slots"`
	MaxConnections int         `json:"max_connections"`
	Routes         []routeJSON `json:"routes"`
}

// routeJSON is the canonical JSON form of a Route.
type routeJSON struct {
	Name       string   `json:"name"`
	Method     string   `json:"method"`
	Path       string   `json:"path"`
	Class      string   `json:"class"`
	Idempotent bool     `json:"idempotent"`
	Timeout    string   `json:"timeout"`
	Retries    int      `json:"retries"`
	Body       string   `json:"body"`
	MaxBody    string   `json:"max_body"`
	Calls      []string `json:"calls"`
}

// Encode returns the canonical JSON of a service. It keeps the order of routes and
// calls, and encoding a decoded canonical document gives the same bytes.
func Encode(s Service) []byte {
	doc := serviceJSON{Service: s.Name, Slots: s.Slots, MaxConnections: s.MaxConnections, Routes: []routeJSON{}}
	for _, r := range s.Routes {
		doc.Routes = append(doc.Routes, encodeRoute(r))
	}
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(doc); err != nil {
		panic(fmt.Sprintf("declaration: encoding strings and numbers failed: %v", err))
	}
	return bytes.TrimSuffix(out.Bytes(), []byte("\n"))
}

func encodeRoute(route Route) routeJSON {
	doc := routeJSON{
		Name:       route.Name,
		Method:     route.Method,
		Path:       route.Path,
		Class:      route.Class.String(),
		Idempotent: route.Idempotent,
		Timeout:    jsonfile.FormatDuration(route.Timeout),
		Retries:    route.Retries,
		Body:       route.Body.String(),
		MaxBody:    jsonfile.FormatSize(route.MaxBody),
		Calls:      []string{},
	}
	for _, id := range route.Calls {
		doc.Calls = append(doc.Calls, id.String())
	}
	return doc
}

// Decode parses a declaration in JSON, canonical or not. The error is of type
// Problems and lists all errors; warnings are dropped.
func Decode(src []byte) (Service, error) {
	s, _, problems := Parse("", src)
	if errs := problems.Errors(); len(errs) > 0 {
		return Service{}, errs
	}
	return s, nil
}
