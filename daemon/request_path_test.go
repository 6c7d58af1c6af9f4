package daemon

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// TestRequestPath checks the complete path of a request: ingress listener, peer listener, admission
// queue, handler, egress listener, next daemon and its handler, and the path of the responses.
func TestRequestPath(t *testing.T) {
	route := testRoute("order", "POST", "/orders/{id}", false)
	edge, front := startChain(t, route, func(w http.ResponseWriter, r *http.Request, callDependency func() (int, string)) {
		require.Empty(t, r.Header.Get(headerPeerContext))
		body, _ := io.ReadAll(r.Body)
		status, text := callDependency()
		require.Equal(t, 200, status)
		w.Header().Set("X-Front", "yes")
		w.WriteHeader(201)
		_, _ = io.WriteString(w, r.RequestURI+" "+string(body)+" "+text)
	}, respondWith("back"))
	resp := edge.request("POST", "/front/orders/a%2Fb?x=1&y", strings.NewReader("two posters"), headerRequestID, "req-1")
	require.Equal(t, "/orders/a%2Fb?x=1&y two posters back", readAll(t, resp))
	require.Equal(t, 201, resp.StatusCode)
	require.Equal(t, "yes", resp.Header.Get("X-Front"))
	require.Equal(t, "ok", resp.Header.Get(headerOutcome))
	require.Equal(t, "req-1", resp.Header.Get(headerRequestID))
	require.Empty(t, resp.Header.Get(headerPeerLoadReport), "internal headers must not be sent to clients")
	require.EqualValues(t, 1, front.d.metrics.egressRequests.Value())
}

// TestIngressRejections checks the errors of requests that are rejected before any attempt.
func TestIngressRejections(t *testing.T) {
	n := startNode(t, nodeConfig("a-1", "a"), http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		t.Error("a rejected request reached the handler")
	}))
	requireErrorResponse(t, n.request("GET", "/a/x", nil), 503, chain.NotRun, chain.ReasonUnconfirmed)
	route := testRoute("x", "POST", "/x", false)
	route.MaxBody = 4
	applySnapshot(t, []declaration.Service{testService("a", route)}, n)
	for _, tc := range []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		reason                   chain.Reason
	}{
		{"unknown service", "POST", "/b/x", "", nil, 404, chain.ReasonUnknownRoute},
		{"unknown path", "POST", "/a/y", "", nil, 404, chain.ReasonUnknownRoute},
		{"unknown method", "GET", "/a/x", "", nil, 404, chain.ReasonUnknownRoute},
		{"service without path", "POST", "/a", "", nil, 404, chain.ReasonUnknownRoute},
		{"unclean path", "POST", "/a//x", "", nil, 404, chain.ReasonUnknownRoute},
		{"forged chain", "POST", "/a/x", "", []string{headerChain, strings.Repeat("ab", handleBytes)}, 400, chain.ReasonForgedChain},
		{"deadline too large", "POST", "/a/x", "", []string{headerDeadline, "600001"}, 400, chain.ReasonBadRequest},
		{"deadline of 0", "POST", "/a/x", "", []string{headerDeadline, "0"}, 400, chain.ReasonBadRequest},
		{"bad class", "POST", "/a/x", "", []string{headerClass, "royal"}, 400, chain.ReasonBadRequest},
		{"bad id", "POST", "/a/x", "", []string{headerRequestID, "a b"}, 400, chain.ReasonBadRequest},
		{"key of version 4", "POST", "/a/x", "", []string{headerIdempotencyKey, "b2f7e5f0-0f8c-4c51-9d0e-0d9b5d3c1a11"}, 400, chain.ReasonBadRequest},
		{"large body", "POST", "/a/x", "12345", nil, 413, chain.ReasonTooLarge},
		{"oversized query", "POST", "/a/x?q=" + strings.Repeat("x", maxHeaderBytes), "", nil, 400, chain.ReasonBadRequest},
		{"oversized headers", "POST", "/a/x", "", []string{"X-Large", strings.Repeat("x", maxHeaderBytes)}, 400, chain.ReasonBadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			resp := n.request(tc.method, tc.path, strings.NewReader(tc.body), tc.headers...)
			requireErrorResponse(t, resp, tc.status, chain.NotRun, tc.reason)
		})
	}
}

// TestForgedChainHandle guards against calls that use the deadline, priority or retry allowance of
// a request that did not issue them.
func TestForgedChainHandle(t *testing.T) {
	var n *testNode
	handle := make(chan string, 1)
	n = startNode(t, nodeConfig("a-1", "a"), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		handle <- r.Header.Get(headerChain)
	}))
	applySnapshot(t, []declaration.Service{testService("a", routeX)}, n)
	require.Equal(t, 200, n.request("GET", "/a/x", nil).StatusCode)
	for _, tc := range []struct {
		handle string
		status int
		reason chain.Reason
	}{
		{"guess", 400, chain.ReasonForgedChain},
		{strings.Repeat("00", handleBytes), 503, chain.ReasonParentEnded},
		{<-handle, 503, chain.ReasonParentEnded},
	} {
		resp, err := callEgress(t.Context(), n, tc.handle, "GET", "/a/x")
		require.NoError(t, err)
		requireErrorResponse(t, resp, tc.status, chain.NotRun, tc.reason)
	}
}
