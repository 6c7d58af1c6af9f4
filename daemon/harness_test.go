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
	// testTimeout limits the wait for an expected event. No test depends on its length.
	testTimeout = 30 * time.Second
)

// testNode is a daemon and its local upstream, if it has one.
type testNode struct {
	t         testing.TB
	d         *Daemon
	upstream  *httptest.Server
	stop      context.CancelFunc
	runResult chan error
}

// nodeConfig returns the default configuration of tests. service is empty for a daemon without an
// upstream.
func nodeConfig(id, service string) Config {
	return Config{
		ID: id, Incarnation: 1, Region: testRegion, AvailabilityZone: testZone, Service: service,
		IngressAddress: "127.0.0.1:0", EgressAddress: "127.0.0.1:0", PeerListenAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0",
		DrainDelay: time.Millisecond, Seed: 1,
	}
}

// startNode runs a daemon. If handler is not nil, it is the local upstream and announces itself.
func startNode(t testing.TB, cfg Config, handler http.Handler) *testNode {
	t.Helper()
	n := &testNode{t: t, runResult: make(chan error, 1)}
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
	go func() { n.runResult <- d.Run(ctx) }()
	t.Cleanup(func() {
		d.Kill()
		cancel()
	})
	if handler != nil {
		n.announce()
	}
	return n
}

// announce announces the local upstream to the daemon.
func (n *testNode) announce() {
	body := `{"service":"` + n.d.cfg.Service + `","address":"` + n.upstream.URL + `"}`
	resp, err := http.Post("http://"+n.d.ListenAddresses().Admin+"/announce", "application/json", strings.NewReader(body))
	require.NoError(n.t, err)
	defer resp.Body.Close()
	require.Equal(n.t, http.StatusNoContent, resp.StatusCode)
}

// waitStopped waits until the daemon's Run returns, and returns its error.
func (n *testNode) waitStopped() error { return receive(n.t, n.runResult) }

// applySnapshot sets one snapshot on all nodes, with the given services and the nodes as upstreams.
func applySnapshot(t testing.TB, services []declaration.Service, nodes ...*testNode) *Snapshot {
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
			ID: n.d.cfg.ID, Address: n.d.ListenAddresses().Peer, Region: testRegion, AvailabilityZone: testZone, Slots: 8,
		})
	}
	for _, n := range nodes {
		require.NoError(t, n.d.SetSnapshot(s))
	}
	return s
}

// testService returns the declaration of a service with the given routes.
func testService(name string, routes ...declaration.Route) declaration.Service {
	return declaration.Service{Name: name, Slots: 8, MaxConnections: 32, Routes: routes}
}

func testRoute(name, method, path string, idempotent bool) declaration.Route {
	return declaration.Route{
		Name: name, Method: method, Path: path, Class: chain.Default, Idempotent: idempotent,
		Timeout: testTimeout, Retries: 2, MaxBody: 8 << 20,
	}
}

// Routes that most tests use: idempotent and not idempotent.
var (
	routeX = testRoute("x", "GET", "/x", true)
	routeY = testRoute("y", "POST", "/y", false)
)

// startPair runs one upstream of a service "b" with the given routes, and an edge: a daemon without
// an upstream, whose configuration change may modify.
func startPair(t testing.TB, handler http.HandlerFunc, routes []declaration.Route, change ...func(*Config)) (edge, back *testNode) {
	t.Helper()
	back = startNode(t, nodeConfig("b-1", "b"), handler)
	cfg := nodeConfig("edge-1", "")
	for _, f := range change {
		f(&cfg)
	}
	edge = startNode(t, cfg, nil)
	applySnapshot(t, []declaration.Service{testService("b", routes...)}, back, edge)
	return edge, back
}

// frontHandler handles a request at the first of two services in a call chain. callDependency calls
// the second service and returns the status and body of the response. It ignores the context of the
// request, so that only the daemon can cancel the call.
type frontHandler func(w http.ResponseWriter, r *http.Request, callDependency func() (int, string))

// startChain runs the services "front", with one route, and "back", with routeX, and an edge.
func startChain(t testing.TB, route declaration.Route, front frontHandler, back http.HandlerFunc) (edge, frontNode *testNode) {
	t.Helper()
	backNode := startNode(t, nodeConfig("back-1", "back"), back)
	frontNode = startNode(t, nodeConfig("front-1", "front"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		front(w, r, func() (int, string) {
			resp, err := callEgress(context.Background(), frontNode, r.Header.Get(headerChain), "GET", "/back/x")
			if err != nil {
				return 0, err.Error()
			}
			defer resp.Body.Close()
			b, _ := io.ReadAll(resp.Body)
			return resp.StatusCode, string(b)
		})
	}))
	edge = startNode(t, nodeConfig("edge-1", ""), nil)
	applySnapshot(t, []declaration.Service{testService("front", route), testService("back", routeX)}, backNode, frontNode, edge)
	waitServing(t, backNode, frontNode, edge)
	return edge, frontNode
}

// request sends a request to the ingress listener of a node.
func (n *testNode) request(method, path string, body io.Reader, headers ...string) *http.Response {
	n.t.Helper()
	resp, err := n.tryRequest(method, path, body, headers...)
	require.NoError(n.t, err)
	return resp
}

func (n *testNode) tryRequest(method, path string, body io.Reader, headers ...string) (*http.Response, error) {
	r, err := http.NewRequest(method, "http://"+n.d.ListenAddresses().Ingress+path, body)
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

// requireErrorResponse checks the status, outcome and reason of a response that a daemon generated.
func requireErrorResponse(t testing.TB, resp *http.Response, status int, outcome chain.Outcome, reason chain.Reason) {
	t.Helper()
	body := readAll(t, resp)
	require.Equal(t, string(reason), resp.Header.Get(headerReason), body)
	require.Equal(t, outcome.String(), resp.Header.Get(headerOutcome), body)
	require.Equal(t, status, resp.StatusCode, body)
	require.Contains(t, body, `"reason":"`+string(reason)+`"`)
}

// callEgress makes a call with a chain handle through the egress listener of n, as a handler does.
func callEgress(ctx context.Context, n *testNode, handle, method, path string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.d.ListenAddresses().Egress+path, nil)
	if err != nil {
		return nil, err
	}
	r.Header.Set(headerChain, handle)
	return http.DefaultClient.Do(r)
}

func waitServing(t testing.TB, nodes ...*testNode) {
	t.Helper()
	for _, n := range nodes {
		require.Eventually(t, func() bool {
			return n.d.State() == api.UpstreamState_UPSTREAM_STATE_SERVING
		}, testTimeout, time.Millisecond)
	}
}

// startEdge runs an edge whose snapshot lists upstreams of service "b" with the given addresses.
func startEdge(t testing.TB, addresses ...string) *testNode {
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

// respondWith returns a handler with a fixed response.
func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) }
}

// receive receives from a channel. It fails the test after testTimeout.
func receive[T any](t testing.TB, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		require.FailNow(t, "nothing was received")
	}
	return v
}

// isClosed reports whether an address refuses connections.
func isClosed(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return err != nil
}
