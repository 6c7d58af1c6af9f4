package declaration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/internal/jsonfile"
)

// RecommendedDepth is the number of calls, one below the other, up to which
// the system is designed. Longer chains give a warning; chains longer than
// chain.MaxDepth are an error, since daemons refuse their deepest calls.
const RecommendedDepth = 14

// Check validates a whole set of declarations that are valid one by one. The
// positions belong to the services of the same index; without them (nil), a
// problem names the service in place of the file. The result is sorted and
// depends only on the arguments.
func Check(set []Service, positions []Positions) Problems {
	return newChecker(set, positions).run()
}

// CheckPart is Check for a part of the services: a call to a service outside
// of the part is a warning, since only control knows all sets.
func CheckPart(set []Service, positions []Positions) Problems {
	c := newChecker(set, positions)
	c.partial = true
	return c.run()
}

func (c *checker) run() Problems {
	for i, s := range c.set {
		c.alone(i, s)
	}
	c.together()
	c.problems.Sort()
	return c.problems
}

// alone applies the rules that concern one service.
func (c *checker) alone(i int, s Service) {
	c.size(i, s)
	c.duplicateRoutes(i, s)
	c.conflictingPaths(i, s)
}

// together applies the rules that concern several services.
func (c *checker) together() {
	c.duplicateServices()
	for i, s := range c.set {
		for j, r := range s.Routes {
			c.calls(routeRef{i, j}, r)
		}
	}
	c.cycles()
	c.depths()
}

// routeRef is a route by the indexes of its service and of itself.
type routeRef struct{ service, route int }

type checker struct {
	set       []Service
	positions []Positions
	byID      map[RouteID]routeRef
	services  map[string]bool
	problems  Problems
	partial   bool // whether other services may be declared elsewhere
	cyclic    bool
}

func newChecker(set []Service, positions []Positions) *checker {
	c := &checker{set: set, positions: positions, byID: map[RouteID]routeRef{}, services: map[string]bool{}}
	for i, s := range set {
		c.services[s.Name] = true
		for j, r := range s.Routes {
			id := RouteID{s.Name, r.Name}
			if _, taken := c.byID[id]; !taken {
				c.byID[id] = routeRef{i, j}
			}
		}
	}
	return c
}

func (c *checker) report(service int, warning bool, field, format string, args ...any) {
	at := jsonfile.Position{File: c.set[service].Name}
	if c.positions != nil {
		at = jsonfile.Locate(c.positions[service].Fields, c.positions[service].File, field)
	}
	c.problems = append(c.problems, Problem{Position: at, Field: field, Message: fmt.Sprintf(format, args...), Warning: warning})
}

// place describes where another service is declared.
func (c *checker) place(service int, field string) string {
	if c.positions == nil {
		return ""
	}
	return " at " + jsonfile.Locate(c.positions[service].Fields, c.positions[service].File, field).String()
}

func (c *checker) route(ref routeRef) Route { return c.set[ref.service].Routes[ref.route] }

func (c *checker) id(ref routeRef) RouteID {
	return RouteID{c.set[ref.service].Name, c.route(ref).Name}
}

// size refuses a service whose canonical form the replicas could not read
// back: it writes out the defaults, so it can be longer than the file.
func (c *checker) size(i int, s Service) {
	if n := len(Encode(s)); n > jsonfile.MaxSize {
		c.report(i, false, "", "takes %d bytes in canonical form, at most %d are allowed", n, jsonfile.MaxSize)
	}
}

func (c *checker) duplicateServices() {
	first := map[string]int{}
	for i, s := range c.set {
		if earlier, taken := first[s.Name]; taken {
			c.report(i, false, "service", "%q is already declared%s", s.Name, c.place(earlier, "service"))
			continue
		}
		first[s.Name] = i
	}
}

func (c *checker) duplicateRoutes(i int, s Service) {
	first := map[string]int{}
	for j, r := range s.Routes {
		if earlier, taken := first[r.Name]; taken {
			c.report(i, false, fmt.Sprintf("routes[%d].name", j), "%q is already the name of routes[%d]", r.Name, earlier)
			continue
		}
		first[r.Name] = j
	}
}

// conflictingPaths first registers all patterns in one mux, which takes linear
// time, and looks for pairs only if that fails.
func (c *checker) conflictingPaths(i int, s Service) {
	if !anyConflict(s.Routes) {
		return
	}
	for j, r := range s.Routes {
		for k, earlier := range s.Routes[:j] {
			if conflicts(earlier, r) {
				c.report(i, false, fmt.Sprintf("routes[%d].path", j), "%s %s matches the same requests as routes[%d], %s %s",
					r.Method, r.Path, k, earlier.Method, earlier.Path)
			}
		}
	}
}

// calls checks what the calls of one route need to know of the routes below.
func (c *checker) calls(ref routeRef, r Route) {
	for k, id := range r.Calls {
		field := fmt.Sprintf("routes[%d].calls[%d]", ref.route, k)
		if id.Service == c.set[ref.service].Name {
			// The caller holds one slot while it waits for another of the same
			// upstreams; under load all slots would wait for each other.
			c.report(ref.service, false, field, "%s is a route of the service itself", id)
			continue
		}
		below, known := c.byID[id]
		if !known && c.partial && !c.services[id.Service] {
			c.report(ref.service, true, field, "%s is not declared here; control checks it against the other sets", id)
			continue
		}
		if !known {
			c.report(ref.service, false, field, "%s is not declared%s", id, c.suggest(id))
			continue
		}
		target := c.route(below)
		if r.Idempotent && !target.Idempotent {
			c.report(ref.service, false, field, "an idempotent route must not call %s, which is not idempotent: a retry would repeat its work", id)
		}
		if r.Timeout < target.Timeout {
			c.report(ref.service, true, field, "waits %s, less than the %s of %s",
				jsonfile.FormatDuration(r.Timeout), jsonfile.FormatDuration(target.Timeout), id)
		}
	}
}

// suggest names the known route nearest to an unknown one.
func (c *checker) suggest(id RouteID) string {
	known := make([]string, 0, len(c.byID))
	for k := range c.byID {
		known = append(known, k.String())
	}
	slices.Sort(known) // the answer must not depend on the order of the map
	if near := jsonfile.Nearest(id.String(), known); near != "" {
		return fmt.Sprintf("; did you mean %q?", near)
	}
	return ""
}

// below lists the declared routes that a route calls.
func (c *checker) below(ref routeRef) []routeRef {
	var refs []routeRef
	for _, id := range c.route(ref).Calls {
		if b, known := c.byID[id]; known {
			refs = append(refs, b)
		}
	}
	return refs
}

// ordered lists all routes by service name and index, so that the result does
// not depend on the order in which files were found.
func (c *checker) ordered() []routeRef {
	var refs []routeRef
	for i, s := range c.set {
		for j := range s.Routes {
			refs = append(refs, routeRef{i, j})
		}
	}
	slices.SortStableFunc(refs, func(a, b routeRef) int {
		return strings.Compare(c.set[a.service].Name, c.set[b.service].Name)
	})
	return refs
}

// cycles reports each call that closes a cycle once.
func (c *checker) cycles() {
	state := map[routeRef]int{} // 0 not seen, 1 on the path, 2 done
	var path []routeRef
	var visit func(ref routeRef)
	visit = func(ref routeRef) {
		state[ref] = 1
		path = append(path, ref)
		for k, id := range c.route(ref).Calls {
			b, known := c.byID[id]
			switch {
			case !known || state[b] == 2:
			case state[b] == 1:
				c.cyclic = true
				c.report(ref.service, false, fmt.Sprintf("routes[%d].calls[%d]", ref.route, k), "closes the cycle %s", c.cycle(path, b))
			default:
				visit(b)
			}
		}
		path = path[:len(path)-1]
		state[ref] = 2
	}
	for _, ref := range c.ordered() {
		if state[ref] == 0 {
			visit(ref)
		}
	}
}

func (c *checker) cycle(path []routeRef, back routeRef) string {
	text := ""
	for _, ref := range path[slices.Index(path, back):] {
		text += c.id(ref).String() + " -> "
	}
	return text + c.id(back).String()
}

// depths reports chains that are too deep, at the routes that nothing calls.
func (c *checker) depths() {
	if c.cyclic {
		return // a cycle has no depth, and is reported itself
	}
	called := map[routeRef]bool{}
	memo := map[routeRef]int{}
	refs := c.ordered()
	for _, ref := range refs {
		for _, b := range c.below(ref) {
			called[b] = true
		}
	}
	for _, ref := range refs {
		depth := c.depth(ref, memo)
		if called[ref] || depth <= RecommendedDepth {
			continue
		}
		field := fmt.Sprintf("routes[%d]", ref.route)
		if depth > chain.MaxDepth {
			c.report(ref.service, false, field, "starts a chain of %d calls, at most %d are possible", depth, chain.MaxDepth)
			continue
		}
		c.report(ref.service, true, field, "starts a chain of %d calls, the system is designed for up to %d", depth, RecommendedDepth)
	}
}

// depth is the number of calls in the longest chain from a route downwards,
// the call of the route itself included.
func (c *checker) depth(ref routeRef, memo map[routeRef]int) int {
	if d, known := memo[ref]; known {
		return d
	}
	deepest := 0
	for _, b := range c.below(ref) {
		deepest = max(deepest, c.depth(b, memo))
	}
	memo[ref] = deepest + 1
	return deepest + 1
}
