// Package routemap keeps records by route, as many as a bound allows. Configurations may
// name any number of routes, and routes come and go.
package routemap

// Map holds a record of each route. Routes above the bound share one. The zero value is
// ready for use; it is not safe for concurrent use.
type Map[T any] struct{ records map[string]*T }

// maxRoutes is several times the routes of the largest configuration that is expected.
const maxRoutes = 1024

// GetOrCreate returns the record of a route, a zero one at first.
func (t *Map[T]) GetOrCreate(route string) *T {
	if r := t.records[route]; r != nil {
		return r
	}
	if len(t.records) >= maxRoutes {
		route = ""
		if r := t.records[route]; r != nil {
			return r
		}
	}
	if t.records == nil {
		t.records = map[string]*T{}
	}
	r := new(T)
	t.records[route] = r
	return r
}

// Range calls f for each record.
func (t *Map[T]) Range(f func(*T)) {
	for _, r := range t.records {
		f(r)
	}
}
