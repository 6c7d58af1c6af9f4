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
		ID: id, Boot: 1, Region: testRegion, AvailabilityZone: testZone, Service: service,
		Entrance: "127.0.0.1:0", Exit: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0",
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
func (n *node) waitEnded() error {
	select {
	case err := <-n.ended:
		return err
	case <-time.After(generous):
		require.FailNow(n.t, "the daemon did not end")
		return nil
	}
}

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

// ask sends a request to the entrance of a node.
func (n *node) ask(method, path string, body io.Reader, headers ...string) *http.Response {
	n.t.Helper()
	resp, err := n.tryAsk(method, path, body, headers...)
	require.NoError(n.t, err)
	return resp
}

func (n *node) tryAsk(method, path string, body io.Reader, headers ...string) (*http.Response, error) {
	r, err := http.NewRequest(method, "http://"+n.d.Addresses().Entrance+path, body)
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
	r, err := http.NewRequestWithContext(ctx, method, "http://"+n.d.Addresses().Exit+path, nil)
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

// upstreamsOf lists upstreams by address only.
func upstreamsOf(service string, addresses ...string) map[string][]balance.Upstream {
	out := make(map[string][]balance.Upstream)
	for _, address := range addresses {
		out[service] = append(out[service], balance.Upstream{
			ID: service + "@" + address, Address: address, Region: testRegion, AvailabilityZone: testZone, Slots: 8,
		})
	}
	return out
}

// waitFor receives from a channel with a generous limit.
func waitFor[T any](t testing.TB, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(generous):
		require.FailNow(t, "nothing came")
		panic("not reached")
	}
}

func contextOf(t testing.TB) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return ctx, cancel
}

// closedFor reports whether an address refuses connections.
func closedFor(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

func newServerForTest(t testing.TB, h http.Handler) (url string) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return server.URL
}
