package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// truncateResponse aborts a response after a part of its body. length is the content length, -1 for
// a chunked response.
func truncateResponse(w http.ResponseWriter, length int) {
	if length >= 0 {
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	_, _ = io.WriteString(w, strings.Repeat("x", max(length, 8)/2))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// TestTruncatedResponseIsNotCompleted guards against a truncated response that the client receives
// as a complete one.
func TestTruncatedResponseIsNotCompleted(t *testing.T) {
	for name, length := range map[string]int{"large": 1 << 20, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			edge, back := startPair(t, func(w http.ResponseWriter, _ *http.Request) {
				truncateResponse(w, length)
			}, []declaration.Route{routeX})
			resp, err := edge.tryRequest("GET", "/b/x", nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			require.Error(t, err)
			require.Eventually(t, func() bool { return edge.d.metrics.truncatedResponses.Value() == 1 }, testTimeout, time.Millisecond)
			require.EqualValues(t, 1, back.d.metrics.abortedResponses.Value())
		})
	}
}

// TestTruncatedBufferedResponse guards against forwarding a part of a small response, and checks
// that only idempotent requests are retried.
func TestTruncatedBufferedResponse(t *testing.T) {
	var executions atomic.Int32
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if executions.Add(1) == 1 {
			truncateResponse(w, 1000)
		}
		_, _ = io.WriteString(w, "complete")
	})
	one, two := startNode(t, nodeConfig("b-1", "b"), h), startNode(t, nodeConfig("b-2", "b"), h)
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	applySnapshot(t, []declaration.Service{testService("b",
		routeX, routeY)}, one, two, edge)
	require.Equal(t, "complete", readAll(t, edge.request("GET", "/b/x", nil)))
	require.EqualValues(t, 2, executions.Load())
	executions.Store(0)
	requireErrorResponse(t, edge.request("POST", "/b/y", nil), 502, chain.Unknown, chain.ReasonTruncated)
	require.EqualValues(t, 1, executions.Load())
}

// TestMismatchedPeerResponses guards against forwarding the response to another request or attempt.
func TestMismatchedPeerResponses(t *testing.T) {
	for name, alter := range map[string]func(h http.Header){
		"request": func(h http.Header) { h.Set(headerRequestID, "other") },
		"attempt": func(h http.Header) { h.Set(headerPeerAttempt, "9") },
		"absent":  func(h http.Header) { h.Del(headerPeerAttempt) },
	} {
		t.Run(name, func(t *testing.T) {
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
				w.Header().Set(headerPeerAttempt, r.Header.Get(headerPeerAttempt))
				w.Header().Set(headerOutcome, "ok")
				alter(w.Header())
				_, _ = io.WriteString(w, "the response for another customer")
			}))
			t.Cleanup(peer.Close)
			edge := startEdge(t, peer.Listener.Addr().String())
			requireErrorResponse(t, edge.request("POST", "/b/y", nil), 502, chain.Unknown, chain.ReasonCrossed)
			require.EqualValues(t, 1, edge.d.metrics.mismatchedResponses.Value())
		})
	}
}

// TestMismatchedUpstreamResponses guards against forwarding a response of an upstream that swaps the
// responses to two requests, which the request id in a response shows.
func TestMismatchedUpstreamResponses(t *testing.T) {
	back := startNode(t, nodeConfig("b-1", "b"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerRequestID, strings.TrimPrefix(r.Header.Get(headerRequestID), "swapped-"))
		_, _ = io.WriteString(w, "response")
	}))
	applySnapshot(t, []declaration.Service{testService("b", routeY)}, back)
	require.Equal(t, "response", readAll(t, back.request("POST", "/b/y", nil, headerRequestID, "one")))
	resp := back.request("POST", "/b/y", nil, headerRequestID, "swapped-two")
	requireErrorResponse(t, resp, 502, chain.Unknown, chain.ReasonCrossed)
}

// TestBrokenConnectionIsUnknown guards against the outcome not-run after the request was written,
// and against resending such a request.
func TestBrokenConnectionIsUnknown(t *testing.T) {
	var received atomic.Int32
	listener := startRawServer(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			received.Add(1)
		}
		_ = conn.Close()
	})
	edge := startEdge(t, listener)
	for _, body := range []string{"", "some body"} {
		received.Store(0)
		requireErrorResponse(t, edge.request("POST", "/b/y", strings.NewReader(body)), 502, chain.Unknown, chain.ReasonUpstreamError)
		require.EqualValues(t, 1, received.Load())
	}
}

// TestRefusedConnectionIsNotRun checks that a refused connection, on which no byte was written, has
// the outcome not-run: even a request that is not idempotent is retried.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	const closed = "127.0.0.1:1" // outside the range of ephemeral ports, so no listener of a test has it
	requireErrorResponse(t, startEdge(t, closed).request("POST", "/b/y", nil), 503, chain.NotRun, chain.ReasonConnect)

	_, back := startPair(t, respondWith("done"), []declaration.Route{routeY})
	edge := startEdge(t, closed, back.d.ListenAddresses().Peer)
	for range 2 { // the retry budget allows two retries at the start
		require.Equal(t, "done", readAll(t, edge.request("POST", "/b/y", nil)))
	}
}

// TestDependencyFailureIsNotRetriedByCallers guards against retries at every hop of a call chain
// for one failure at its end.
func TestDependencyFailureIsNotRetriedByCallers(t *testing.T) {
	var executions atomic.Int32
	edge, _ := startChain(t, routeX, func(w http.ResponseWriter, _ *http.Request, callDependency func() (int, string)) {
		executions.Add(1)
		callDependency()
		w.WriteHeader(500)
		_, _ = io.WriteString(w, "front failed")
	}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) })
	resp := edge.request("GET", "/front/x", nil)
	require.Equal(t, "front failed", readAll(t, resp), "the response of the handler must be forwarded")
	require.Equal(t, 500, resp.StatusCode)
	require.Equal(t, chain.Failed.String(), resp.Header.Get(headerOutcome))
	require.EqualValues(t, 1, executions.Load())
}

// TestRetryAllowanceBoundsCallChain checks that the retries of a call chain of four services
// together stay within the allowance of the ingress, although each hop gets failures that it may
// retry.
func TestRetryAllowanceBoundsCallChain(t *testing.T) {
	const depth, requests = 4, 20
	var executions [depth]atomic.Int32
	var nodes []*testNode
	var services []declaration.Service
	for i := range depth {
		name := "s" + strconv.Itoa(i)
		services = append(services, testService(name, routeX))
		for j := range 2 {
			var n *testNode
			n = startNode(t, nodeConfig(name+"-"+strconv.Itoa(j), name), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				executions[i].Add(1)
				if i+1 < depth {
					resp, err := callEgress(r.Context(), n, r.Header.Get(headerChain), "GET", "/s"+strconv.Itoa(i+1)+"/x")
					if err == nil {
						_ = resp.Body.Close()
					}
				}
				panic(http.ErrAbortHandler) // the previous hop gets a failed connection, which it may retry
			}))
			nodes = append(nodes, n)
		}
	}
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	nodes = append(nodes, edge)
	applySnapshot(t, services, nodes...)
	for range requests {
		requireErrorResponse(t, edge.request("GET", "/s0/x", nil), 502, chain.Unknown, chain.ReasonUpstreamError)
	}
	var retries int64
	for _, n := range nodes {
		retries += n.d.metrics.retriesSent.Value()
	}
	require.Positive(t, retries, "the test must cause retries")
	require.LessOrEqual(t, retries, int64(2*requests))
	require.LessOrEqual(t, executions[depth-1].Load(), int32(3*requests))
}

// startRawServer accepts connections and calls serve for each in a new goroutine.
func startRawServer(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
	})
	go func() {
		for ctx.Err() == nil {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}
