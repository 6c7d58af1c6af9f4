package daemon

import (
	"fmt"
	"net/http"
	"net/url"
	"reflect"
	"sync"

	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/core/retry"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// Snapshot is the active configuration with the known upstreams. It must not be modified after it
// has been passed to SetSnapshot.
type Snapshot struct {
	Version   uint64
	Confirmed bool // control or a majority of the relays has confirmed the version since the daemon started
	Services  map[string]declaration.Service
	Upstreams map[string][]balance.Upstream // by service
}

// SnapshotError reports a snapshot that cannot be activated.
type SnapshotError struct {
	Version uint64
	Message string
}

// Error implements error.
func (e *SnapshotError) Error() string {
	return fmt.Sprintf("configuration version %d: %s", e.Version, e.Message)
}

// Default maximum sizes of request bodies in bytes, for routes that declare none.
const (
	defaultMaxBody       = 1 << 20
	defaultMaxStreamBody = 1 << 30
)

// compiledSnapshot is a snapshot with the route tables of its services.
type compiledSnapshot struct {
	source   *Snapshot
	services map[string]*service
}

// service is a service as declared in a snapshot.
type service struct {
	declared declaration.Service
	mux      *http.ServeMux
	routes   map[string]*route
	client   *serviceClient
}

// route is a declared route. It implements http.Handler only to be registered with ServeMux.
type route struct {
	declaration.Route
	service string
	id      string // SERVICE.ROUTE
	maxBody int64
}

// ServeHTTP implements http.Handler. It is never called.
func (r *route) ServeHTTP(http.ResponseWriter, *http.Request) {}

// serviceClient is the state of the calls to one service that is kept across snapshots.
type serviceClient struct {
	service string

	balancer    *balance.Balancer // safe for concurrent use, like the retry budget
	retryBudget *retry.TokenBudget

	transportMu    sync.Mutex
	transport      *http.Transport
	maxConnections int
}

// SetSnapshot activates a configuration for new requests. It is safe for concurrent use. A version
// lower than the active one is rejected, because an active configuration must not be reverted.
func (d *Daemon) SetSnapshot(s *Snapshot) error {
	d.snapshotMu.Lock()
	defer d.snapshotMu.Unlock()
	old := d.snapshot.Load()
	if old != nil && s.Version < old.source.Version {
		return &SnapshotError{s.Version, fmt.Sprintf("version %d is already active", old.source.Version)}
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

// compile builds the route tables of a snapshot. It reuses the services of old that are unchanged.
func (d *Daemon) compile(s *Snapshot, old *compiledSnapshot) (*compiledSnapshot, error) {
	next := &compiledSnapshot{source: s, services: make(map[string]*service, len(s.Services))}
	for name, declared := range s.Services {
		if old != nil {
			if previous := old.services[name]; previous != nil && reflect.DeepEqual(previous.declared, declared) {
				next.services[name] = previous
				continue
			}
		}
		svc, err := compileService(declared)
		if err != nil {
			return nil, &SnapshotError{s.Version, err.Error()}
		}
		svc.client = d.clientFor(name)
		svc.client.setMaxConnections(d.cfg, d.ledger, declared.MaxConnections)
		next.services[name] = svc
	}
	return next, nil
}

// compileService builds the route table of a service. It recovers panics, by which ServeMux reports
// invalid and conflicting patterns.
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

// matchRoute returns the route for a method and path, nil if none matches. The redirects of
// ServeMux for unclean paths are not followed.
func (s *service) matchRoute(method string, u *url.URL) *route {
	h, _ := s.mux.Handler(&http.Request{Method: method, URL: u})
	r, _ := h.(*route)
	return r
}

// clientFor returns the client of a service and creates it if necessary.
func (d *Daemon) clientFor(name string) *serviceClient {
	if client := d.serviceClients[name]; client != nil {
		return client
	}
	seed := d.cfg.Seed
	for _, c := range []byte(name) {
		seed = seed*31 + uint64(c)
	}
	client := &serviceClient{service: name, balancer: balance.New(balance.Config{
		Region: d.cfg.Region, AvailabilityZone: d.cfg.AvailabilityZone, LinkBudget: d.cfg.LinkBudget, Seed: seed,
	}), retryBudget: retry.NewTokenBudget(retry.TokenBudgetConfig{Seed: seed})}
	d.serviceClients[name] = client
	return client
}

// setMaxConnections replaces the connection pool if the declared maximum has changed. Requests in
// flight keep their connections of the old pool.
func (c *serviceClient) setMaxConnections(cfg Config, ledger *holding.Ledger, maxConnections int) {
	c.transportMu.Lock()
	defer c.transportMu.Unlock()
	if c.transport != nil && c.maxConnections == maxConnections {
		return
	}
	if c.transport != nil {
		c.transport.CloseIdleConnections()
	}
	c.transport = holdConnections(newTransport(cfg.ClientTLS, maxConnections), ledger)
	c.maxConnections = maxConnections
}

// currentTransport returns the current connection pool.
func (c *serviceClient) currentTransport() *http.Transport {
	c.transportMu.Lock()
	defer c.transportMu.Unlock()
	return c.transport
}

// updateBalancers passes the upstreams of a snapshot to the balancers. The local upstream is marked
// as draining if this daemon drains.
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

// confirmedSnapshot returns the active configuration, or a failure if there is no confirmed one
// yet.
func (d *Daemon) confirmedSnapshot() (*compiledSnapshot, *chain.Failure) {
	active := d.snapshot.Load()
	if active == nil || !active.source.Confirmed {
		return nil, chain.NewFailure(chain.NotRun, chain.ReasonUnconfirmed, "this daemon has no confirmed configuration yet")
	}
	return active, nil
}
