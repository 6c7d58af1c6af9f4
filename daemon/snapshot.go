package daemon

import (
	"fmt"
	"net/http"
	"net/url"
	"reflect"
	"sync"

	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/retry"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// Snapshot is the configuration in force and the known upstreams. It is
// immutable once it has been given to SetSnapshot.
type Snapshot struct {
	Version   uint64
	Confirmed bool // confirmed by control or a majority of the relays since the start
	Services  map[string]declaration.Service
	Upstreams map[string][]balance.Upstream // by service
}

// SnapshotError is a snapshot that cannot be put in force.
type SnapshotError struct {
	Version uint64
	Message string
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("configuration version %d: %s", e.Version, e.Message)
}

// Default body limits for routes that declare none.
const (
	defaultMaxBody       = 1 << 20
	defaultMaxStreamBody = 1 << 30
)

// compiledSnapshot is a snapshot with its route tables.
type compiledSnapshot struct {
	source   *Snapshot
	services map[string]*service
}

// service is one declared service as of a snapshot.
type service struct {
	declared declaration.Service
	mux      *http.ServeMux
	routes   map[string]*route
	client   *serviceClient
}

// route is a declared route. It is an http.Handler only so that ServeMux can
// hold it.
type route struct {
	declaration.Route
	service string
	id      string // service.route
	maxBody int64
}

// ServeHTTP is never called.
func (r *route) ServeHTTP(http.ResponseWriter, *http.Request) {}

// serviceClient holds what outlives snapshots about calls to one service.
type serviceClient struct {
	service string

	balancer    *balance.Balancer // safe for concurrent use, as is the budget
	retryBudget *retry.TokenBudget

	transportMu    sync.Mutex
	transport      *http.Transport
	maxConnections int
}

// SetSnapshot puts a configuration in force for new requests. It may be called
// at any rate from one or more goroutines. A version below the one in force is
// refused, because a configuration in force must not revert.
func (d *Daemon) SetSnapshot(s *Snapshot) error {
	d.snapshotMu.Lock()
	defer d.snapshotMu.Unlock()
	old := d.snapshot.Load()
	if old != nil && s.Version < old.source.Version {
		return &SnapshotError{s.Version, fmt.Sprintf("version %d is in force", old.source.Version)}
	}
	next, err := d.compile(s, old)
	if err != nil {
		return err
	}
	d.updateBalancers(s, next)
	d.updateAdmissionQueue(next)
	d.snapshot.Store(next)
	d.updateState()
	return nil
}

func (d *Daemon) compile(s *Snapshot, old *compiledSnapshot) (*compiledSnapshot, error) {
	next := &compiledSnapshot{source: s, services: make(map[string]*service, len(s.Services))}
	for name, declared := range s.Services {
		if old != nil {
			if prior := old.services[name]; prior != nil && reflect.DeepEqual(prior.declared, declared) {
				next.services[name] = prior
				continue
			}
		}
		svc, err := compileService(declared)
		if err != nil {
			return nil, &SnapshotError{s.Version, err.Error()}
		}
		svc.client = d.clientFor(name)
		svc.client.setMaxConnections(d.cfg, declared.MaxConnections)
		next.services[name] = svc
	}
	return next, nil
}

// compileService builds the route table. ServeMux reports bad and conflicting
// patterns by a panic only.
func compileService(declared declaration.Service) (svc *service, err error) {
	defer func() {
		if p := recover(); p != nil {
			svc, err = nil, &ConfigError{"service " + declared.Name, fmt.Sprint(p)}
		}
	}()
	svc = &service{declared: declared, mux: http.NewServeMux(), routes: make(map[string]*route, len(declared.Routes))}
	for _, r := range declared.Routes {
		compiled := &route{Route: r, service: declared.Name, id: declared.Name + "." + r.Name, maxBody: r.MaxBody}
		if compiled.maxBody <= 0 {
			compiled.maxBody = defaultMaxBody
			if r.Body == declaration.BodyStream {
				compiled.maxBody = defaultMaxStreamBody
			}
		}
		svc.routes[r.Name] = compiled
		svc.mux.Handle(r.Method+" "+r.Path, compiled)
	}
	return svc, nil
}

// matchRoute finds the route of a method and path. Redirects that ServeMux offers
// for unclean paths are not followed.
func (s *service) matchRoute(method string, u *url.URL) *route {
	h, _ := s.mux.Handler(&http.Request{Method: method, URL: u})
	r, _ := h.(*route)
	return r
}

func (d *Daemon) clientFor(name string) *serviceClient {
	if t := d.serviceClients[name]; t != nil {
		return t
	}
	seed := d.cfg.Seed
	for _, c := range []byte(name) {
		seed = seed*31 + uint64(c)
	}
	t := &serviceClient{service: name, balancer: balance.New(balance.Config{
		Region: d.cfg.Region, AvailabilityZone: d.cfg.AvailabilityZone, LinkBudget: d.cfg.Links, Seed: seed,
	}), retryBudget: retry.NewTokenBudget(retry.TokenBudgetConfig{Seed: seed})}
	d.serviceClients[name] = t
	return t
}

// setMaxConnections replaces the connection pool when the declared cap has changed.
// Requests on the old pool finish there.
func (t *serviceClient) setMaxConnections(cfg Config, maxConnections int) {
	t.transportMu.Lock()
	defer t.transportMu.Unlock()
	if t.transport != nil && t.maxConnections == maxConnections {
		return
	}
	if t.transport != nil {
		t.transport.CloseIdleConnections()
	}
	t.transport = newTransport(cfg.ClientTLS, maxConnections)
	t.maxConnections = maxConnections
}

func (t *serviceClient) currentTransport() *http.Transport {
	t.transportMu.Lock()
	defer t.transportMu.Unlock()
	return t.transport
}

// updateBalancers gives each balancer its upstreams. The own upstream counts
// as draining as soon as this process drains.
func (d *Daemon) updateBalancers(s *Snapshot, next *compiledSnapshot) {
	now := d.cfg.Now()
	draining := d.draining.Load()
	for name, svc := range next.services {
		upstreams := s.Upstreams[name]
		if draining && name == d.cfg.Service {
			upstreams = markDraining(upstreams, d.cfg.ID)
		}
		svc.client.balancer.SetUpstreams(now, upstreams)
	}
}

func markDraining(upstreams []balance.Upstream, id string) []balance.Upstream {
	out := make([]balance.Upstream, len(upstreams))
	copy(out, upstreams)
	for i := range out {
		out[i].Draining = out[i].Draining || out[i].ID == id
	}
	return out
}

// confirmedSnapshot returns the configuration in force, or the refusal of a daemon
// that has none yet.
func (d *Daemon) confirmedSnapshot() (*compiledSnapshot, *chain.Failure) {
	c := d.snapshot.Load()
	if c == nil || !c.source.Confirmed {
		return nil, chain.NewFailure(chain.NotRun, chain.ReasonUnconfirmed, "this daemon has no confirmed configuration yet")
	}
	return c, nil
}
