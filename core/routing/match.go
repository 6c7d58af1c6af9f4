package routing

import "strings"

// Matcher finds the route of a request. It is immutable and safe for concurrent use.
type Matcher struct {
	hosts    map[string]map[string]*Route // by host and prefix
	services map[string]*Service
}

// NewMatcher returns a Matcher for a table, which must not change afterwards.
func NewMatcher(t *Table) *Matcher {
	m := &Matcher{hosts: map[string]map[string]*Route{}, services: map[string]*Service{}}
	for i := range t.Routes {
		r := &t.Routes[i]
		if m.hosts[r.Host] == nil {
			m.hosts[r.Host] = map[string]*Route{}
		}
		m.hosts[r.Host][r.Prefix] = r
	}
	for i := range t.Services {
		m.services[t.Services[i].Name] = &t.Services[i]
	}
	return m
}

// Match returns the route of the host whose prefix is the longest that matches the path, or
// nil if there is none. The path is as on the wire, with or without a query.
func (m *Matcher) Match(host, path string) *Route {
	prefixes := m.hosts[CanonicalHost(host)]
	if prefixes == nil {
		return nil
	}
	path, _, _ = strings.Cut(path, "?")
	for i := strings.LastIndexByte(path, '/'); i >= 0; i = strings.LastIndexByte(path[:i], '/') {
		if r := prefixes[path[:i+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns the configuration of a service, or nil if the table does not list it.
func (m *Matcher) Service(name string) *Service { return m.services[name] }

// CanonicalHost returns a host in lower case and without its port.
func CanonicalHost(host string) string {
	host = strings.ToLower(host)
	if strings.HasPrefix(host, "[") { // an IPv6 literal
		if end := strings.IndexByte(host, ']'); end >= 0 {
			return host[:end+1]
		}
		return host
	}
	host, _, _ = strings.Cut(host, ":")
	return host
}
