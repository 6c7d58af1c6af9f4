package declaration

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/bilberrydeck/bilberrydeck/internal/jsonfile"
)

// serviceJSON is the canonical form: every field is written, in this order,
// so that equal declarations have equal bytes.
type serviceJSON struct {
	Service        string      `json:"service"`
	Slots          int         `json:"slots"`
	MaxConnections int         `json:"max_connections"`
	Routes         []routeJSON `json:"routes"`
}

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

// Encode writes a service in canonical JSON. The order of routes and calls is
// kept. Encode of a decoded document gives the same bytes.
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

func encodeRoute(r Route) routeJSON {
	doc := routeJSON{
		Name:       r.Name,
		Method:     r.Method,
		Path:       r.Path,
		Class:      r.Class.String(),
		Idempotent: r.Idempotent,
		Timeout:    jsonfile.FormatDuration(r.Timeout),
		Retries:    r.Retries,
		Body:       r.Body.String(),
		MaxBody:    jsonfile.FormatSize(r.MaxBody),
		Calls:      []string{},
	}
	for _, id := range r.Calls {
		doc.Calls = append(doc.Calls, id.String())
	}
	return doc
}

// Decode reads a declaration in JSON, canonical or not. The error is of type
// Problems and lists all faults.
func Decode(src []byte) (Service, error) {
	s, _, problems := Parse("", src)
	if errs := problems.Errors(); len(errs) > 0 {
		return Service{}, errs
	}
	return s, nil
}
