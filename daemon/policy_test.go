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

// TestDeadlineShrinks guards against a hop that allows more time than its caller has left, and
// checks the response to a request whose deadline passes.
func TestDeadlineShrinks(t *testing.T) {
	deadlines := make(chan int, 2)
	recordDeadline := func(r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get(headerDeadline))
		deadlines <- ms
	}
	edge, _ := startChain(t, routeX, func(w http.ResponseWriter, r *http.Request, callDependency func() (int, string)) {
		recordDeadline(r)
		callDependency()
		w.WriteHeader(500)
	}, func(_ http.ResponseWriter, r *http.Request) {
		recordDeadline(r)
		<-r.Context().Done()
	})
	resp := edge.request("GET", "/front/x", nil, headerDeadline, "600")
	first, second := receive(t, deadlines), receive(t, deadlines)
	require.LessOrEqual(t, first, 600)
	require.LessOrEqual(t, second, first)
	require.Contains(t, []int{500, 504}, resp.StatusCode) // the deadline passes at all hops at the same time
	require.NotEqual(t, chain.OK.String(), resp.Header.Get(headerOutcome))
	_ = resp.Body.Close()
}

// TestEarlyRejection checks that the ingress rejects requests to an overloaded service, so that
// they are not sent there to be rejected, and that it admits higher classes.
func TestEarlyRejection(t *testing.T) {
	var executions atomic.Int32
	order := testRoute("order", "POST", "/orders", false)
	order.Class = chain.Critical
	edge, _ := startPair(t, func(http.ResponseWriter, *http.Request) { executions.Add(1) },
		[]declaration.Route{order, testRoute("list", "GET", "/orders", true)})
	level := chain.Priority(chain.Critical) << 7
	for _, id := range []string{"b.order", "b.list"} {
		// A load report with a time in the future does not expire during the test.
		edge.d.admissionLevels.Record(time.Now().Add(testTimeout), id, "b-1", admission.LoadReport{DependencyLevel: level})
	}
	resp := edge.request("GET", "/b/orders", nil)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	requireErrorResponse(t, resp, 503, chain.NotRun, chain.ReasonDownstream)
	requireErrorResponse(t, edge.request("POST", "/b/orders", nil, headerClass, "sheddable"), 503, chain.NotRun, chain.ReasonDownstream)
	requireErrorResponse(t, edge.request("GET", "/b/orders", nil, headerClass, "critical"), 503, chain.NotRun, chain.ReasonDownstream)
	require.EqualValues(t, 1, edge.d.metrics.raisedClasses.Value())
	require.Equal(t, 200, edge.request("POST", "/b/orders", nil).StatusCode)
	require.EqualValues(t, 1, executions.Load())
}

// TestRejectionLimiter checks that a client that ignores Retry-After is rejected by the rejection
// limiter. The clock does not advance, so that the token bucket of the client is not refilled.
func TestRejectionLimiter(t *testing.T) {
	now := time.Now()
	cfg := nodeConfig("edge-1", "")
	cfg.Now = func() time.Time { return now }
	edge := startNode(t, cfg, nil)
	applySnapshot(t, []declaration.Service{testService("b", testRoute("list", "GET", "/x", true))}, edge)
	edge.d.admissionLevels.Record(now, "b.list", "b-1", admission.LoadReport{Level: chain.NumPriorities})
	requireErrorResponse(t, edge.request("GET", "/b/x", nil), 503, chain.NotRun, chain.ReasonDownstream)
	for range 1000 {
		resp := edge.request("GET", "/b/x", nil)
		_ = resp.Body.Close()
		if resp.Header.Get(headerReason) == string(chain.ReasonHeldOff) {
			require.Equal(t, http.StatusTooManyRequests, resp.StatusCode)
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
			return
		}
	}
	require.Fail(t, "the rejection limiter never rejected the client")
}

// TestUpstreamReportsNotRun checks that the outcome not-run in a response of an upstream that sheds
// load is accepted, but is ignored if the request made calls.
func TestUpstreamReportsNotRun(t *testing.T) {
	var overloadedExecutions, executions atomic.Int32
	overloaded := startNode(t, nodeConfig("b-1", "b"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		overloadedExecutions.Add(1)
		w.Header().Set(headerOutcome, "not-run")
		w.WriteHeader(503)
	}))
	services := []declaration.Service{testService("b", routeY), testService("c", routeY)}
	var caller *testNode
	caller = startNode(t, nodeConfig("c-1", "c"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		executions.Add(1)
		resp, err := callEgress(r.Context(), caller, r.Header.Get(headerChain), "POST", "/b/y")
		if err == nil {
			_ = resp.Body.Close()
			w.Header().Set(headerOutcome, resp.Header.Get(headerOutcome))
		}
		w.WriteHeader(503)
	}))
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	applySnapshot(t, services, overloaded, caller, edge)
	requireErrorResponse(t, edge.request("POST", "/b/y", nil), 503, chain.NotRun, chain.ReasonOverload)
	resp := edge.request("POST", "/c/y", nil)
	require.Equal(t, chain.Failed.String(), resp.Header.Get(headerOutcome))
	require.Empty(t, readAll(t, resp))
	require.EqualValues(t, 1, executions.Load())
	require.Positive(t, overloadedExecutions.Load())
}

// TestEgressWithoutParent checks calls of a service without a parent request, and the maximum depth
// of a call chain in which a service calls itself.
func TestEgressWithoutParent(t *testing.T) {
	var n *testNode
	var depth atomic.Int32
	n = startNode(t, nodeConfig("a-1", "a"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		depth.Add(1)
		resp, err := callEgress(r.Context(), n, r.Header.Get(headerChain), "GET", "/a/loop")
		if err != nil {
			w.WriteHeader(500)
			return
		}
		defer resp.Body.Close()
		w.Header().Set("X-Reason", resp.Header.Get(headerReason)+resp.Header.Get("X-Reason"))
	}))
	svc := testService("a", testRoute("loop", "GET", "/loop", true))
	svc.Slots, svc.MaxConnections = 2*chain.MaxDepth, 2*chain.MaxDepth
	applySnapshot(t, []declaration.Service{svc}, n)
	resp, err := http.Get("http://" + n.d.ListenAddresses().Egress + "/a/loop")
	require.NoError(t, err)
	require.Equal(t, string(chain.ReasonTooDeep), resp.Header.Get("X-Reason"), readAll(t, resp))
	require.EqualValues(t, chain.MaxDepth+1, depth.Load())
	require.EqualValues(t, 1, n.d.metrics.egressWithoutChain.Value())
}

// TestMutualTLS checks the hop between daemons with TLS: bodies in both directions over connections
// that count bytes, and the rejection of a client without a certificate.
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
	applySnapshot(t, []declaration.Service{testService("b", routeY)}, back, edge)
	for _, size := range []int{0, 10, 200_000} {
		content := strings.Repeat("x", size)
		require.True(t, content == readAll(t, edge.request("POST", "/b/y", strings.NewReader(content))))
	}
	clientWithoutCertificate := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: client.RootCAs}}}
	_, err := clientWithoutCertificate.Get("https://" + back.d.ListenAddresses().Peer + "/")
	require.Error(t, err)
}

// testCertificates returns TLS configurations with one self-signed certificate.
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
	x509Certificate, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(x509Certificate)
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	server = &tls.Config{Certificates: []tls.Certificate{certificate}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	client = &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: pool}
	return server, client
}

// TestAdmissionPriority guards against critical calls that are shed after the handler of their
// parent request has started, and against other calls whose priority rises along the call chain.
func TestAdmissionPriority(t *testing.T) {
	for _, class := range []chain.Class{chain.Sheddable, chain.Default, chain.Critical} {
		for _, depth := range []int{0, 1} {
			priority := chain.NewPriority(class, "id")
			in := &inboundAttempt{request: peerRequest{metadata: chain.Metadata{Priority: priority, Depth: depth}}}
			want := priority
			if class == chain.Critical && depth > 0 {
				want = chain.NumPriorities - 1
			}
			require.Equal(t, want, in.admissionPriority(), "%s at depth %d", class, depth)
		}
	}
}
