// Package routemap keeps one record per route, for a bounded number of routes: configurations may
// name any number of routes, and add and remove them at any time.
package routemap

// Map holds one record per route. Routes above the bound share a record. The zero value is ready
// for use. A Map is not safe for concurrent use.
type Map[T any] struct{ records map[string]*T }

// maxRoutes is several times the number of routes of the largest expected configuration.
const maxRoutes = 1024

// GetOrCreate returns the record of a route, creating a zero one if necessary.
func (m *Map[T]) GetOrCreate(route string) *T {
	if r := m.records[route]; r != nil {
		return r
	}
	if len(m.records) >= maxRoutes {
		route = ""
		if r := m.records[route]; r != nil {
			return r
		}
	}
	if m.records == nil {
		m.records = map[string]*T{}
	}
	r := new(T)
	m.records[route] = r
	return r
}

// Range calls f for each record.
func (m *Map[T]) Range(f func(*T)) {
	for _, r := range m.records {
		f(r)
	}
}
