package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"math/big"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// TestDeadlineShrinks guards against a hop that grants more time than the
// caller has, and checks the typed end of a request that runs out of time.
func TestDeadlineShrinks(t *testing.T) {
	seen := make(chan int, 2)
	report := func(r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get(headerDeadline))
		seen <- ms
	}
	edge, _ := startChain(t, routeX, func(w http.ResponseWriter, r *http.Request, below func() (int, string)) {
		report(r)
		below()
		w.WriteHeader(500)
	}, func(_ http.ResponseWriter, r *http.Request) {
		report(r)
		<-r.Context().Done()
	})
	resp := edge.ask("GET", "/front/x", nil, headerDeadline, "600")
	first, second := waitFor(t, seen), waitFor(t, seen)
	require.LessOrEqual(t, first, 600)
	require.LessOrEqual(t, second, first)
	require.Contains(t, []int{500, 504}, resp.StatusCode) // the hops run out of time at the same moment
	require.NotEqual(t, chain.OK.String(), resp.Header.Get(headerOutcome))
	_ = resp.Body.Close()
}

// TestEarlyRefusal guards against requests that travel to a saturated service
// only to be refused there, and checks the order of classes.
func TestEarlyRefusal(t *testing.T) {
	var runs atomic.Int32
	order := testRoute("order", "POST", "/orders", false)
	order.Class = chain.Critical
	edge, _ := startPair(t, func(http.ResponseWriter, *http.Request) { runs.Add(1) },
		[]declaration.Route{order, testRoute("look", "GET", "/orders", true)})
	level := chain.Priority(chain.Critical) << 7
	for _, id := range []string{"b.order", "b.look"} {
		// A report from the future does not age while the test runs.
		edge.d.levels.Record(time.Now().Add(generous), id, "b-1", admission.LoadReport{DependencyLevel: level})
	}
	resp := edge.ask("GET", "/b/orders", nil)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	requireRefusal(t, resp, 503, chain.NotRun, chain.ReasonDownstream)
	requireRefusal(t, edge.ask("POST", "/b/orders", nil, headerClass, "sheddable"), 503, chain.NotRun, chain.ReasonDownstream)
	requireRefusal(t, edge.ask("GET", "/b/orders", nil, headerClass, "critical"), 503, chain.NotRun, chain.ReasonDownstream)
	require.EqualValues(t, 1, edge.d.metrics.raisedClass.Value())
	require.Equal(t, 200, edge.ask("POST", "/b/orders", nil).StatusCode)
	require.EqualValues(t, 1, runs.Load())
}

// TestHeldOffCaller guards against a caller that goes on after refusals
// without a pause. The clock stands still, so that no time refills its bucket.
func TestHeldOffCaller(t *testing.T) {
	now := time.Now()
	cfg := nodeConfig("edge-1", "")
	cfg.Now = func() time.Time { return now }
	edge := startNode(t, cfg, nil)
	connect(t, []declaration.Service{testService("b", testRoute("look", "GET", "/x", true))}, edge)
	edge.d.levels.Record(now, "b.look", "b-1", admission.LoadReport{Level: chain.MaxPriority})
	requireRefusal(t, edge.ask("GET", "/b/x", nil), 503, chain.NotRun, chain.ReasonDownstream)
	for range 1000 {
		resp := edge.ask("GET", "/b/x", nil)
		_ = resp.Body.Close()
		if resp.Header.Get(headerReason) == string(chain.ReasonHeldOff) {
			require.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			return
		}
	}
	require.Fail(t, "the caller was never held off")
}

// TestHandlerSaysNotRun guards the refusals of upstreams that shed load
// themselves: the work is sent elsewhere. One that made calls is not believed.
func TestHandlerSaysNotRun(t *testing.T) {
	var busyRuns, runs atomic.Int32
	busy := startNode(t, nodeConfig("b-1", "b"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		busyRuns.Add(1)
		w.Header().Set(headerOutcome, "not-run")
		w.WriteHeader(503)
	}))
	services := []declaration.Service{testService("b", routeY), testService("c", routeY)}
	var relay *node
	relay = startNode(t, nodeConfig("c-1", "c"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		resp, err := callBelow(r.Context(), relay, r.Header.Get(headerChain), "POST", "/b/y")
		if err == nil {
			_ = resp.Body.Close()
			w.Header().Set(headerOutcome, resp.Header.Get(headerOutcome))
		}
		w.WriteHeader(503)
	}))
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	connect(t, services, busy, relay, edge)
	requireRefusal(t, edge.ask("POST", "/b/y", nil), 503, chain.NotRun, chain.ReasonOverload)
	resp := edge.ask("POST", "/c/y", nil)
	require.Equal(t, chain.Failed.String(), resp.Header.Get(headerOutcome))
	require.Empty(t, readAll(t, resp))
	require.EqualValues(t, 1, runs.Load())
	require.Positive(t, busyRuns.Load())
}

// TestExitWithoutParent guards background work of a service, and the bound on
// the depth of a chain that calls itself.
func TestExitWithoutParent(t *testing.T) {
	var n *node
	var depth atomic.Int32
	n = startNode(t, nodeConfig("a-1", "a"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		depth.Add(1)
		resp, err := callBelow(r.Context(), n, r.Header.Get(headerChain), "GET", "/a/loop")
		if err != nil {
			w.WriteHeader(500)
			return
		}
		defer resp.Body.Close()
		w.Header().Set("X-Reason", resp.Header.Get(headerReason)+resp.Header.Get("X-Reason"))
	}))
	svc := testService("a", testRoute("loop", "GET", "/loop", true))
	svc.Slots, svc.MaxConnections = 2*chain.MaxDepth, 2*chain.MaxDepth
	connect(t, []declaration.Service{svc}, n)
	resp, err := http.Get("http://" + n.d.Addresses().Egress + "/a/loop")
	require.NoError(t, err)
	require.Equal(t, string(chain.ReasonTooDeep), resp.Header.Get("X-Reason"), readAll(t, resp))
	require.EqualValues(t, chain.MaxDepth+1, depth.Load())
	require.EqualValues(t, 1, n.d.metrics.exitWithoutChain.Value())
}

// TestMutualTLS guards the hop between daemons under TLS: counted connections,
// bodies in both directions, and a caller without a certificate.
func TestMutualTLS(t *testing.T) {
	server, client := testCertificates(t)
	cfg := nodeConfig("b-1", "b")
	cfg.ServerTLS, cfg.ClientTLS = server, client
	back := startNode(t, cfg, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	}))
	cfg = nodeConfig("edge-1", "")
	cfg.ServerTLS, cfg.ClientTLS = server, client
	edge := startNode(t, cfg, nil)
	connect(t, []declaration.Service{testService("b", routeY)}, back, edge)
	for _, size := range []int{0, 10, 200_000} {
		content := strings.Repeat("x", size)
		require.True(t, content == readAll(t, edge.ask("POST", "/b/y", strings.NewReader(content))))
	}
	stranger := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: client.RootCAs}}}
	_, err := stranger.Get("https://" + back.d.Addresses().Peer + "/")
	require.Error(t, err)
}

// testCertificates makes one certificate that is its own authority.
func testCertificates(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "daemon"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	parsed, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	server = &tls.Config{Certificates: []tls.Certificate{certificate}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	client = &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: pool}
	return server, client
}

// TestGatePriority guards against critical calls that are shed below a handler
// that has run, and against other calls that gain priority on their way down.
func TestGatePriority(t *testing.T) {
	for _, class := range []chain.Class{chain.Sheddable, chain.Default, chain.Critical} {
		for _, depth := range []int{0, 1} {
			priority := chain.NewPriority(class, "id")
			in := &inbound{peer: peerRequest{context: chain.Metadata{Priority: priority, Depth: depth}}}
			want := priority
			if class == chain.Critical && depth > 0 {
				want = chain.MaxPriority - 1
			}
			require.Equal(t, want, in.gatePriority(), "%s at depth %d", class, depth)
		}
	}
}
