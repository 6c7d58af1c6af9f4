package declaration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/internal/jsonfile"
)

// RecommendedDepth is the length of the call chains, in calls, up to which the
// system is designed. Longer chains are a warning; chains longer than
// chain.MaxDepth are an error, since daemons reject their deepest calls.
const RecommendedDepth = 14

// Check validates a whole set of declarations, each of which is valid on its own.
// positions[i] belongs to set[i]; with nil positions, a problem names the service
// instead of the file. The result is sorted and depends only on the arguments.
func Check(set []Service, positions []Positions) Problems {
	return newChecker(set, positions).run()
}

// CheckPart is Check for a subset of all services. A call to a service outside of
// the subset is a warning, since only control has all sets.
func CheckPart(set []Service, positions []Positions) Problems {
	c := newChecker(set, positions)
	c.partial = true
	return c.run()
}

// run applies all rules and returns the sorted problems.
func (c *checker) run() Problems {
	for i, s := range c.set {
		c.checkService(i, s)
	}
	c.checkSet()
	c.problems.Sort()
	return c.problems
}

// checkService applies the rules for a single service.
func (c *checker) checkService(i int, s Service) {
	c.checkSize(i, s)
	c.checkDuplicateRoutes(i, s)
	c.checkPathConflicts(i, s)
}

// checkSet applies the rules that span several services.
func (c *checker) checkSet() {
	c.checkDuplicateServices()
	for i, s := range c.set {
		for j, r := range s.Routes {
			c.checkCalls(routeRef{i, j}, r)
		}
	}
	c.checkCycles()
	c.checkDepths()
}

// routeRef refers to a route by the index of its service in the set and its index in
// the service.
type routeRef struct{ service, route int }

// checker validates a set of declarations and collects the problems.
type checker struct {
	set       []Service
	positions []Positions
	byID      map[RouteID]routeRef
	services  map[string]bool
	problems  Problems
	partial   bool // the set is a subset; other services may be declared elsewhere
	hasCycle  bool
}

func newChecker(set []Service, positions []Positions) *checker {
	c := &checker{set: set, positions: positions, byID: map[RouteID]routeRef{}, services: map[string]bool{}}
	for i, s := range set {
		c.services[s.Name] = true
		for j, r := range s.Routes {
			id := RouteID{s.Name, r.Name}
			if _, exists := c.byID[id]; !exists {
				c.byID[id] = routeRef{i, j}
			}
		}
	}
	return c
}

// report records a problem of a field of the service with the given index.
func (c *checker) report(service int, warning bool, field, format string, args ...any) {
	at := jsonfile.Position{File: c.set[service].Name}
	if c.positions != nil {
		at = jsonfile.Locate(c.positions[service].Fields, c.positions[service].File, field)
	}
	c.problems = append(c.problems, Problem{Position: at, Field: field, Message: fmt.Sprintf(format, args...), Warning: warning})
}

// locationSuffix returns the position of a field of another service as a suffix of a
// message, or an empty string without positions.
func (c *checker) locationSuffix(service int, field string) string {
	if c.positions == nil {
		return ""
	}
	return " at " + jsonfile.Locate(c.positions[service].Fields, c.positions[service].File, field).String()
}

func (c *checker) route(ref routeRef) Route { return c.set[ref.service].Routes[ref.route] }

func (c *checker) id(ref routeRef) RouteID {
	return RouteID{c.set[ref.service].Name, c.route(ref).Name}
}

// checkSize reports a service whose canonical form is too large for the replicas to
// parse. The canonical form includes the defaults, so it can be longer than the file.
func (c *checker) checkSize(i int, s Service) {
	if n := len(Encode(s)); n > jsonfile.MaxSize {
		c.report(i, false, "", "takes %d bytes in canonical form, at most %d are allowed", n, jsonfile.MaxSize)
	}
}

func (c *checker) checkDuplicateServices() {
	first := map[string]int{}
	for i, s := range c.set {
		if earlier, exists := first[s.Name]; exists {
			c.report(i, false, "service", "%q is already declared%s", s.Name, c.locationSuffix(earlier, "service"))
			continue
		}
		first[s.Name] = i
	}
}

func (c *checker) checkDuplicateRoutes(i int, s Service) {
	first := map[string]int{}
	for j, r := range s.Routes {
		if earlier, exists := first[r.Name]; exists {
			c.report(i, false, fmt.Sprintf("routes[%d].name", j), "%q is already the name of routes[%d]", r.Name, earlier)
			continue
		}
		first[r.Name] = j
	}
}

// checkPathConflicts registers all patterns in one mux, which takes linear time, and
// compares the routes pairwise only if that fails.
func (c *checker) checkPathConflicts(i int, s Service) {
	if !hasConflict(s.Routes) {
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

// checkCalls compares one route with the routes that it calls.
func (c *checker) checkCalls(ref routeRef, r Route) {
	for k, id := range r.Calls {
		field := fmt.Sprintf("routes[%d].calls[%d]", ref.route, k)
		if id.Service == c.set[ref.service].Name {
			// The caller occupies one slot while it waits for another slot of the
			// same service; under load, all slots would wait for each other.
			c.report(ref.service, false, field, "%s is a route of the service itself", id)
			continue
		}
		callee, declared := c.byID[id]
		if !declared && c.partial && !c.services[id.Service] {
			c.report(ref.service, true, field, "%s is not declared here; control checks it against the other sets", id)
			continue
		}
		if !declared {
			c.report(ref.service, false, field, "%s is not declared%s", id, c.suggest(id))
			continue
		}
		target := c.route(callee)
		if r.Idempotent && !target.Idempotent {
			c.report(ref.service, false, field, "an idempotent route must not call %s, which is not idempotent: a retry would repeat its work", id)
		}
		if r.Timeout < target.Timeout {
			c.report(ref.service, true, field, "waits %s, less than the %s of %s",
				jsonfile.FormatDuration(r.Timeout), jsonfile.FormatDuration(target.Timeout), id)
		}
	}
}

// suggest returns a hint with the declared route whose ID is closest to an unknown
// one, or an empty string if none is similar.
func (c *checker) suggest(id RouteID) string {
	known := make([]string, 0, len(c.byID))
	for k := range c.byID {
		known = append(known, k.String())
	}
	slices.Sort(known) // the result must not depend on the iteration order of the map
	if near := jsonfile.Nearest(id.String(), known); near != "" {
		return fmt.Sprintf("; did you mean %q?", near)
	}
	return ""
}

// callees returns the declared routes that a route calls.
func (c *checker) callees(ref routeRef) []routeRef {
	var refs []routeRef
	for _, id := range c.route(ref).Calls {
		if callee, declared := c.byID[id]; declared {
			refs = append(refs, callee)
		}
	}
	return refs
}

// sortedRoutes returns all routes sorted by service name and route index, so that the
// result does not depend on the order in which files were found.
func (c *checker) sortedRoutes() []routeRef {
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

// checkCycles reports each call that closes a cycle once. It is a depth-first search.
func (c *checker) checkCycles() {
	state := map[routeRef]int{} // 0 unvisited, 1 on the current path, 2 done
	var path []routeRef
	var visit func(ref routeRef)
	visit = func(ref routeRef) {
		state[ref] = 1
		path = append(path, ref)
		for k, id := range c.route(ref).Calls {
			callee, declared := c.byID[id]
			switch {
			case !declared || state[callee] == 2:
			case state[callee] == 1:
				c.hasCycle = true
				c.report(ref.service, false, fmt.Sprintf("routes[%d].calls[%d]", ref.route, k), "closes the cycle %s", c.formatCycle(path, callee))
			default:
				visit(callee)
			}
		}
		path = path[:len(path)-1]
		state[ref] = 2
	}
	for _, ref := range c.sortedRoutes() {
		if state[ref] == 0 {
			visit(ref)
		}
	}
}

// formatCycle formats the cycle from start along the rest of path back to start.
func (c *checker) formatCycle(path []routeRef, start routeRef) string {
	text := ""
	for _, ref := range path[slices.Index(path, start):] {
		text += c.id(ref).String() + " -> "
	}
	return text + c.id(start).String()
}

// checkDepths reports call chains that are too long, at the routes that start them:
// those that no other route calls.
func (c *checker) checkDepths() {
	if c.hasCycle {
		return // the depth of a cycle is undefined; checkCycles reports it
	}
	called := map[routeRef]bool{}
	memo := map[routeRef]int{}
	refs := c.sortedRoutes()
	for _, ref := range refs {
		for _, callee := range c.callees(ref) {
			called[callee] = true
		}
	}
	for _, ref := range refs {
		depth := c.chainDepth(ref, memo)
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

// chainDepth returns the number of calls in the longest chain that starts with a call
// of the given route, which counts as one.
func (c *checker) chainDepth(ref routeRef, memo map[routeRef]int) int {
	if d, known := memo[ref]; known {
		return d
	}
	deepest := 0
	for _, callee := range c.callees(ref) {
		deepest = max(deepest, c.chainDepth(callee, memo))
	}
	memo[ref] = deepest + 1
	return deepest + 1
}
