package declaration

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

const bookingsDeclaration = `// Bookings of repairs.
{
	"service": "bookings",
	"slots": 35,
	"max_connections": 300,
	"routes": [
		{
			"name": "create",
			"method": "POST",
			"path": "/bookings",
			"class": "critical",
			"timeout": "2s",
			"calls": ["customers.history"],
		},
		{"name": "photo", "method": "PUT", "path": "/photos/{id}", "timeout": "1m30s", "body": "stream", "max_body": "8MiB", "retries": 0},
	],
}`

// TestParse guards against an ignored field, a wrong default or a wrong position.
func TestParse(t *testing.T) {
	s, positions, problems := Parse("bilberrydeck.json", []byte(bookingsDeclaration))
	require.Empty(t, problems)
	require.Equal(t, Service{Name: "bookings", Slots: 35, MaxConnections: 300, Routes: []Route{
		{Name: "create", Method: "POST", Path: "/bookings", Class: chain.Critical, Timeout: 2 * time.Second, Retries: 2,
			MaxBody: DefaultMaxBody, Calls: []RouteID{{"customers", "history"}}},
		{Name: "photo", Method: "PUT", Path: "/photos/{id}", Class: chain.Default, Timeout: 90 * time.Second,
			Body: BodyStream, MaxBody: 8 << 20},
	}}, s)
	require.Equal(t, "bilberrydeck.json:13:14", positions.Fields["routes[0].calls[0]"].String())
}

// TestParseReportsAllProblems guards against a parser that stops at the first
// problem or gives a wrong position.
func TestParseReportsAllProblems(t *testing.T) {
	_, _, problems := Parse("f", []byte(`{
  "service": "Bookings", "slots": 0, "slots": 3, "max_connection": 3,
  "routes": [
    {"name": "a", "method": "get", "path": "a", "class": "critica", "idempotent": 1, "timeout": "2", "retries": 6},
    {"name": "b", "method": "GET", "path": "/{x", "timeout": 250, "max_body": "64KB", "calls": ["x", "y.z", "y.z", 3]},
    {"name": "c", "method": "GET", "path": "/a b", "timeout": "0s", "max_body": "2MiB", "body": "stream", "timout": "1.5ms"},
    7,
  ],
}`))
	require.Equal(t, []string{
		`f:1:1: max_connections: is missing`,
		`f:2:14: service: "Bookings" must start with a lower-case letter and hold only lower-case letters, digits and hyphens, 63 at most`,
		`f:2:35: slots: 0 is outside of 1 to 10000 (a gate counts them one by one)`,
		`f:2:38: slots: is given twice`,
		`f:2:50: max_connection: unknown field; did you mean "max_connections"?`,
		`f:4:29: routes[0].method: "get" is not one of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS; did you mean "GET"?`,
		`f:4:44: routes[0].path: "a" is not a path pattern: it must start with a slash`,
		`f:4:58: routes[0].class: "critica" is not one of sheddable, default, critical; did you mean "critical"?`,
		`f:4:83: routes[0].idempotent: must be true or false, is a number`,
		`f:4:97: routes[0].timeout: must be a duration with a unit, such as "250ms" or "2s", is "2"`,
		`f:4:113: routes[0].retries: 6 is outside of 0 to 5 (retries of a whole chain must stay bounded)`,
		`f:5:44: routes[1].path: "/{x" is not a path pattern: bad wildcard segment (must end with '}')`,
		`f:5:62: routes[1].timeout: must be a duration with a unit, such as "250ms" or "2s", is a number`,
		`f:5:79: routes[1].max_body: must be a size in B, KiB, MiB or GiB, such as "64KiB", is "64KB"`,
		`f:5:97: routes[1].calls[0]: "x" must have the form "service.route"`,
		`f:5:109: routes[1].calls[2]: "y.z" is given twice`,
		`f:5:116: routes[1].calls[3]: must be a string, is a number`,
		`f:6:44: routes[2].path: "/a b" is not a path pattern: it contains white space`,
		`f:6:63: routes[2].timeout: 0s is outside of 1ms to 10m (the range of Bilberry-Deadline-Ms)`,
		`f:6:107: routes[2].timout: unknown field; did you mean "timeout"?`,
		`f:7:5: routes[3]: must be an object, is a number`,
	}, strings.Split(problems.Error(), "\n"))
}

// TestParseSyntax guards against syntax errors without a position and against a
// deeply nested document that exhausts the stack of the recursive parser.
func TestParseSyntax(t *testing.T) {
	for src, want := range map[string]string{
		"{\n  \"service\": }":      "f:2:14: syntax: ",
		"[]":                       "f:1:1: must hold an object, holds a list",
		strings.Repeat("[", 1<<20): "f: is larger than 256 KiB",
		"":                         "f:1:1: syntax: ",
	} {
		_, _, problems := Parse("f", []byte(src))
		require.Len(t, problems, 1)
		require.Contains(t, problems[0].String(), want)
	}
}

func newService(name string, routes ...Route) Service {
	return Service{Name: name, Slots: 1, MaxConnections: 1, Routes: routes}
}

func newRoute(name string, idempotent bool, timeout time.Duration, calls ...string) Route {
	r := Route{Name: name, Method: "GET", Path: "/" + name, Idempotent: idempotent, Timeout: timeout}
	for _, c := range calls {
		s, n, _ := strings.Cut(c, ".")
		r.Calls = append(r.Calls, RouteID{s, n})
	}
	return r
}

// TestCheckSet checks each rule of whole-set validation, by its message.
func TestCheckSet(t *testing.T) {
	overlapping := newService("a", newRoute("x", true, 1), newRoute("y", true, 1))
	overlapping.Routes[0].Path = "/{id}/photos"
	overlapping.Routes[1].Path = "/jobs/{id}"
	for name, c := range map[string]struct {
		set  []Service
		want string
	}{
		"valid":             {[]Service{newService("a", newRoute("x", true, 2, "b.y")), newService("b", newRoute("y", true, 1))}, ""},
		"duplicate service": {[]Service{newService("a", newRoute("x", true, 1)), newService("a", newRoute("y", true, 1))}, `a: service: "a" is already declared`},
		"duplicate route":   {[]Service{newService("a", newRoute("x", true, 1), Route{Name: "x", Method: "GET", Path: "/z"})}, `a: routes[1].name: "x" is already the name of routes[0]`},
		"unknown call":      {[]Service{newService("a", newRoute("x", true, 1, "b.yy")), newService("b", newRoute("y", true, 1))}, `a: routes[0].calls[0]: b.yy is not declared; did you mean "b.y"?`},
		"same service":      {[]Service{newService("a", newRoute("x", true, 1, "a.y"), newRoute("y", true, 1))}, `a: routes[0].calls[0]: a.y is a route of the service itself`},
		"not idempotent":    {[]Service{newService("a", newRoute("x", true, 1, "b.y")), newService("b", newRoute("y", false, 1))}, `a: routes[0].calls[0]: an idempotent route must not call b.y, which is not idempotent: a retry would repeat its work`},
		"shorter timeout":   {[]Service{newService("a", newRoute("x", true, time.Second, "b.y")), newService("b", newRoute("y", true, time.Minute))}, `a: routes[0].calls[0]: warning: waits 1s, less than the 1m of b.y`},
		"same path":         {[]Service{newService("a", newRoute("x", true, 1), Route{Name: "y", Method: "GET", Path: "/x"})}, `a: routes[1].path: GET /x matches the same requests as routes[0], GET /x`},
		"overlapping paths": {[]Service{overlapping}, `a: routes[1].path: GET /jobs/{id} matches the same requests as routes[0], GET /{id}/photos`},
		"cycle":             {[]Service{newService("b", newRoute("y", true, 1, "c.z")), newService("a", newRoute("x", true, 1, "b.y")), newService("c", newRoute("z", true, 1, "a.x"))}, `c: routes[0].calls[0]: closes the cycle a.x -> b.y -> c.z -> a.x`},
		"above design":      {newCallChain(15), `s00: routes[0]: warning: starts a chain of 15 calls, the system is designed for up to 14`},
		"too deep":          {newCallChain(33), `s00: routes[0]: starts a chain of 33 calls, at most 32 are possible`},
		"at design depth":   {newCallChain(14), ""},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, Check(c.set, nil).Error())
		})
	}
}

func newCallChain(n int) []Service {
	var set []Service
	for i := range n {
		r := newRoute("r", true, time.Second)
		if i+1 < n {
			r.Calls = []RouteID{{fmt.Sprintf("s%02d", i+1), "r"}}
		}
		set = append(set, newService(fmt.Sprintf("s%02d", i), r))
	}
	return set
}

// TestCheckPositions guards against whole-set problems without a file position.
func TestCheckPositions(t *testing.T) {
	a, at, problems := Parse("a.json", []byte(bookingsDeclaration))
	require.Empty(t, problems)
	require.Equal(t, "a.json:13:14: routes[0].calls[0]: customers.history is not declared",
		Check([]Service{a}, []Positions{at}).Error())
}

// TestCheckPart guards against rejecting a subset of the services because it calls
// services of another set, while an unknown route of a service in the subset must
// remain an error.
func TestCheckPart(t *testing.T) {
	set := []Service{newService("a", newRoute("x", true, 1, "b.y", "c.z")), newService("b", newRoute("q", true, 1))}
	require.Equal(t, `a: routes[0].calls[0]: b.y is not declared; did you mean "b.q"?`, CheckPart(set, nil).Errors().Error())
	require.Len(t, CheckPart(set, nil), 2)
}

// TestCheckDocumentsIgnoresOrder guards against replicas that compute different
// results for the same change, because the result depends on the order of documents
// or on cached documents.
func TestCheckDocumentsIgnoresOrder(t *testing.T) {
	set := newCallChain(33)
	set[3].Routes[0].Calls = append(set[3].Routes[0].Calls, RouteID{"s05", "q"}, RouteID{"s4", "r"})
	docs := Documents(set)
	want := CheckDocuments(docs)
	require.Len(t, want, 3)
	cached := NewDocumentChecker()
	for range 20 {
		require.Equal(t, want, cached.Check(docs))
		docs = append(docs[7:], docs[:7]...)
		slices.Reverse(docs)
		require.Equal(t, want, CheckDocuments(docs))
	}
	invalid := []*api.ServiceDocument{{Service: "x", Json: Encode(set[32])}, {Service: "y", Json: []byte("{")}, nil}
	require.Equal(t, []string{
		":1:1: syntax: parsing value: unexpected EOF",
		`x: service: the document of "x" declares "s32"`,
		"y:1:2: syntax: parsing value: unexpected EOF",
	}, CheckDocuments(invalid))
}

// TestDocumentCheckerDetectsChanges guards against a cached result for an earlier
// version of a document.
func TestDocumentCheckerDetectsChanges(t *testing.T) {
	c := NewDocumentChecker()
	set := []Service{newService("a", newRoute("x", true, 1e9, "b.y")), newService("b", newRoute("y", true, 1e9))}
	require.Empty(t, c.Check(Documents(set)))
	set[1].Routes[0].Idempotent = false
	require.Len(t, c.Check(Documents(set)), 1)
	require.Equal(t, []string{"a: routes[0].calls[0]: b.y is not declared"}, c.Check(Documents(set[:1])))
	set[1] = newService("b", newRoute("y", true, 1e9), newRoute("y", true, 1e9))
	want := CheckDocuments(Documents(set))
	require.Len(t, want, 2, "a duplicate name and a duplicate path")
	require.Equal(t, want, c.Check(Documents(set)))
	require.Equal(t, want, c.Check(Documents(set)))
}

// FuzzParse guards against panics of the parser and against a canonical form that
// does not decode to the same service.
func FuzzParse(f *testing.F) {
	f.Add([]byte(bookingsDeclaration))
	f.Add([]byte(`{"service":"a","slots":1,"max_connections":1,"routes":[{"name":"a","method":"GET","path":"/{a}/{b...}","timeout":"1h"}]}`))
	f.Add([]byte(`{"service":"a","routes":[{"calls":[null,[],"a."]},{}],"slots":1e3}`))
	f.Add([]byte(`{"":{},"routes":{"a":1}}/**/`))
	f.Fuzz(func(t *testing.T, src []byte) {
		s, positions, problems := Parse("f", src)
		if len(problems.Errors()) > 0 {
			return
		}
		again, err := Decode(Encode(s))
		require.NoError(t, err)
		require.Equal(t, s, again)
		require.Equal(t, Encode(s), Encode(again))
		require.Equal(t, len(Check([]Service{s}, []Positions{positions})), len(Check([]Service{s}, nil)))
	})
}

// BenchmarkCheckDocuments measures the check that each control replica runs for each
// change, with 240 services, the number that the system is designed for.
func BenchmarkCheckDocuments(b *testing.B) {
	var set []Service
	for i := range 240 {
		s := newService(fmt.Sprintf("service-%03d", i))
		for j := range 10 {
			r := newRoute(fmt.Sprintf("route-%d", j), true, time.Second)
			if i%12 < 11 && i+1 < 240 {
				r.Calls = []RouteID{{fmt.Sprintf("service-%03d", i+1), r.Name}}
			}
			s.Routes = append(s.Routes, r)
		}
		set = append(set, s)
	}
	docs := Documents(set)
	checkers := map[string]func() *DocumentChecker{"fresh": NewDocumentChecker}
	cached := NewDocumentChecker()
	checkers["cached"] = func() *DocumentChecker { return cached }
	for name, checker := range checkers {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if lines := checker().Check(docs); len(lines) > 0 {
					b.Fatal(lines[0])
				}
			}
		})
	}
}
