package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/api"
	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/declaration"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

const (
	testZone   = "south-1"
	testRegion = "south"
	// generous bounds a wait for an outcome; no test depends on its length.
	generous = 30 * time.Second
)

// node is a daemon with a local service.
type node struct {
	t        testing.TB
	d        *Daemon
	upstream *httptest.Server
	stop     context.CancelFunc
	ended    chan error
}

// nodeConfig is the configuration that tests start from.
func nodeConfig(id, service string) Config {
	return Config{
		ID: id, Incarnation: 1, Region: testRegion, AvailabilityZone: testZone, Service: service,
		IngressAddress: "127.0.0.1:0", EgressAddress: "127.0.0.1:0", PeerListenAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0",
		DrainDelay: time.Millisecond, Seed: 1,
	}
}

// startNode runs a daemon whose local service is handler, if there is one.
func startNode(t testing.TB, cfg Config, handler http.Handler) *node {
	t.Helper()
	n := &node{t: t, ended: make(chan error, 1)}
	if os.Getenv("BILBERRY_TEST_LOG") != "" {
		cfg.Logger = logging.New(os.Stderr)
	}
	d, err := New(cfg)
	require.NoError(t, err)
	n.d = d
	if handler != nil {
		n.upstream = httptest.NewServer(handler)
		t.Cleanup(n.upstream.Close)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { n.ended <- d.Run(ctx) }()
	t.Cleanup(func() {
		d.Kill()
		cancel()
	})
	if handler != nil {
		n.announce()
	}
	return n
}

func (n *node) announce() {
	body := `{"service":"` + n.d.cfg.Service + `","address":"` + n.upstream.URL + `"}`
	resp, err := http.Post("http://"+n.d.Addresses().Admin+"/announce", "application/json", strings.NewReader(body))
	require.NoError(n.t, err)
	defer resp.Body.Close()
	require.Equal(n.t, http.StatusNoContent, resp.StatusCode)
}

// waitEnded waits for the daemon's Run.
func (n *node) waitEnded() error { return waitFor(n.t, n.ended) }

// connect gives all nodes one snapshot with the given services.
func connect(t testing.TB, services []declaration.Service, nodes ...*node) *Snapshot {
	t.Helper()
	s := &Snapshot{
		Version: 1, Confirmed: true,
		Services:  make(map[string]declaration.Service),
		Upstreams: make(map[string][]balance.Upstream),
	}
	for _, svc := range services {
		s.Services[svc.Name] = svc
	}
	for _, n := range nodes {
		if n.d.cfg.Service == "" {
			continue
		}
		s.Upstreams[n.d.cfg.Service] = append(s.Upstreams[n.d.cfg.Service], balance.Upstream{
			ID: n.d.cfg.ID, Address: n.d.Addresses().Peer, Region: testRegion, AvailabilityZone: testZone, Slots: 8,
		})
	}
	for _, n := range nodes {
		require.NoError(t, n.d.SetSnapshot(s))
	}
	return s
}

// testService declares a service with the given routes.
func testService(name string, routes ...declaration.Route) declaration.Service {
	return declaration.Service{Name: name, Slots: 8, MaxConnections: 32, Routes: routes}
}

func testRoute(name, method, path string, idempotent bool) declaration.Route {
	return declaration.Route{
		Name: name, Method: method, Path: path, Class: chain.Default, Idempotent: idempotent,
		Timeout: generous, Retries: 2, MaxBody: 8 << 20,
	}
}

// Routes that most tests use.
var (
	routeX = testRoute("x", "GET", "/x", true)
	routeY = testRoute("y", "POST", "/y", false)
)

// startPair runs a service "b" of one upstream with its routes, and an edge
// whose configuration may be changed.
func startPair(t testing.TB, handler http.HandlerFunc, routes []declaration.Route, change ...func(*Config)) (edge, back *node) {
	t.Helper()
	back = startNode(t, nodeConfig("b-1", "b"), handler)
	cfg := nodeConfig("edge-1", "")
	for _, f := range change {
		f(&cfg)
	}
	edge = startNode(t, cfg, nil)
	connect(t, []declaration.Service{testService("b", routes...)}, back, edge)
	return edge, back
}

// chainHandler handles a request at the front of a chain of two services.
// Below makes the call to the second one and returns its status and body. It
// does not watch the context of the request, so that only the daemon can
// cancel the call.
type chainHandler func(w http.ResponseWriter, r *http.Request, below func() (int, string))

// startChain runs the services "front", with one route, and "deep", with
// routeX, and an edge.
func startChain(t testing.TB, route declaration.Route, front chainHandler, deep http.HandlerFunc) (edge, frontNode *node) {
	t.Helper()
	deepNode := startNode(t, nodeConfig("deep-1", "deep"), deep)
	frontNode = startNode(t, nodeConfig("front-1", "front"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		front(w, r, func() (int, string) {
			resp, err := callBelow(context.Background(), frontNode, r.Header.Get(headerChain), "GET", "/deep/x")
			if err != nil {
				return 0, err.Error()
			}
			defer resp.Body.Close()
			b, _ := io.ReadAll(resp.Body)
			return resp.StatusCode, string(b)
		})
	}))
	edge = startNode(t, nodeConfig("edge-1", ""), nil)
	connect(t, []declaration.Service{testService("front", route), testService("deep", routeX)}, deepNode, frontNode, edge)
	waitServing(t, deepNode, frontNode, edge)
	return edge, frontNode
}

// ask sends a request to the entrance of a node.
func (n *node) ask(method, path string, body io.Reader, headers ...string) *http.Response {
	n.t.Helper()
	resp, err := n.tryAsk(method, path, body, headers...)
	require.NoError(n.t, err)
	return resp
}

func (n *node) tryAsk(method, path string, body io.Reader, headers ...string) (*http.Response, error) {
	r, err := http.NewRequest(method, "http://"+n.d.Addresses().Ingress+path, body)
	require.NoError(n.t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(r)
}

func readAll(t testing.TB, resp *http.Response) string {
	t.Helper()
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(b)
}

// requireRefusal checks status, outcome and reason of a refusal.
func requireRefusal(t testing.TB, resp *http.Response, status int, outcome chain.Outcome, reason chain.Reason) {
	t.Helper()
	body := readAll(t, resp)
	require.Equal(t, string(reason), resp.Header.Get(headerReason), body)
	require.Equal(t, outcome.String(), resp.Header.Get(headerOutcome), body)
	require.Equal(t, status, resp.StatusCode, body)
	require.Contains(t, body, `"reason":"`+string(reason)+`"`)
}

// callBelow makes a call from a handler through the exit listener of n.
func callBelow(ctx context.Context, n *node, handle, method, path string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.d.Addresses().Egress+path, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set(headerChain, handle)
	return http.DefaultClient.Do(r)
}

func waitServing(t testing.TB, nodes ...*node) {
	t.Helper()
	for _, n := range nodes {
		require.Eventually(t, func() bool {
			return n.d.State() == api.UpstreamState_UPSTREAM_STATE_SERVING
		}, generous, time.Millisecond)
	}
}

// startEdge runs an edge that knows the upstreams of service "b" by address.
func startEdge(t testing.TB, addresses ...string) *node {
	t.Helper()
	n := startNode(t, nodeConfig("edge-1", ""), nil)
	s := &Snapshot{Confirmed: true, Services: map[string]declaration.Service{"b": testService("b", routeY)}}
	s.Upstreams = make(map[string][]balance.Upstream)
	for _, address := range addresses {
		s.Upstreams["b"] = append(s.Upstreams["b"], balance.Upstream{
			ID: address, Address: address, Region: testRegion, AvailabilityZone: testZone, Slots: 8,
		})
	}
	require.NoError(t, n.d.SetSnapshot(s))
	return n
}

// respond is a handler with a fixed answer.
func respond(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// waitFor receives from a channel with a generous limit.
func waitFor[T any](t testing.TB, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(generous):
		require.FailNow(t, "nothing came")
	}
	return v
}

// closedFor reports whether an address refuses connections.
func closedFor(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return err != nil
}
