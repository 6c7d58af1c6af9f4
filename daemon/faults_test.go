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

// cutAnswer announces length bytes (-1 for chunked) and breaks off after some.
func cutAnswer(w http.ResponseWriter, length int) {
	if length >= 0 {
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	_, _ = io.WriteString(w, strings.Repeat("x", max(length, 8)/2))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// TestTruncatedAnswerIsNeverWhole guards against an answer that ends early and
// reaches the caller as a complete one.
func TestTruncatedAnswerIsNeverWhole(t *testing.T) {
	for name, length := range map[string]int{"large": 1 << 20, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			back := startNode(t, nodeConfig("b-1", "b"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				cutAnswer(w, length)
			}))
			edge := startNode(t, nodeConfig("edge-1", ""), nil)
			connect(t, []declaration.Service{testService("b", testRoute("x", "GET", "/x", true))}, back, edge)
			resp, err := edge.tryAsk("GET", "/b/x", nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			require.Error(t, err)
			require.Eventually(t, func() bool { return edge.d.metrics.truncated.Value() == 1 }, generous, time.Millisecond)
			require.EqualValues(t, 1, back.d.metrics.cutAnswers.Value())
		})
	}
}

// TestSmallTruncatedAnswer guards against passing on a part of a small answer,
// and checks that only idempotent work is repeated.
func TestSmallTruncatedAnswer(t *testing.T) {
	var runs atomic.Int32
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if runs.Add(1) == 1 {
			cutAnswer(w, 1000)
		}
		_, _ = io.WriteString(w, "whole")
	})
	one, two := startNode(t, nodeConfig("b-1", "b"), h), startNode(t, nodeConfig("b-2", "b"), h)
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	connect(t, []declaration.Service{testService("b",
		testRoute("x", "GET", "/x", true), testRoute("y", "POST", "/y", false))}, one, two, edge)
	require.Equal(t, "whole", readAll(t, edge.ask("GET", "/b/x", nil)))
	require.EqualValues(t, 2, runs.Load())
	runs.Store(0)
	requireRefusal(t, edge.ask("POST", "/b/y", nil), 502, chain.Unknown, chain.ReasonTruncated)
	require.EqualValues(t, 1, runs.Load())
}

// TestCrossedAnswers guards against an answer of another request or attempt
// that is passed on.
func TestCrossedAnswers(t *testing.T) {
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
				_, _ = io.WriteString(w, "the answer of another customer")
			}))
			t.Cleanup(peer.Close)
			edge := startNode(t, nodeConfig("edge-1", ""), nil)
			snapshot := connect(t, []declaration.Service{testService("b", testRoute("y", "POST", "/y", false))}, edge)
			setUpstream(t, edge, snapshot, "b", peer.Listener.Addr().String())
			requireRefusal(t, edge.ask("POST", "/b/y", nil), 502, chain.Unknown, chain.ReasonCrossed)
			require.EqualValues(t, 1, edge.d.metrics.crossed.Value())
		})
	}
}

// TestCrossedHandlerAnswers guards against an upstream that swaps the answers
// of two requests, which it shows by the request id that it returns.
func TestCrossedHandlerAnswers(t *testing.T) {
	back := startNode(t, nodeConfig("b-1", "b"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerRequestID, strings.TrimPrefix(r.Header.Get(headerRequestID), "swapped-"))
		_, _ = io.WriteString(w, "answer")
	}))
	connect(t, []declaration.Service{testService("b", testRoute("y", "POST", "/y", false))}, back)
	require.Equal(t, "answer", readAll(t, back.ask("POST", "/b/y", nil, headerRequestID, "one")))
	resp := back.ask("POST", "/b/y", nil, headerRequestID, "swapped-two")
	requireRefusal(t, resp, 502, chain.Unknown, chain.ReasonCrossed)
}

// TestBrokenConnectionIsUnknown guards against a refusal that says not-run
// although the request was written, and against resending such work.
func TestBrokenConnectionIsUnknown(t *testing.T) {
	var received atomic.Int32
	listener := rawServer(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			received.Add(1)
		}
		_ = conn.Close()
	})
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	snapshot := connect(t, []declaration.Service{testService("b", testRoute("y", "POST", "/y", false))}, edge)
	setUpstream(t, edge, snapshot, "b", listener)
	for _, body := range []string{"", "some work"} {
		received.Store(0)
		requireRefusal(t, edge.ask("POST", "/b/y", strings.NewReader(body)), 502, chain.Unknown, chain.ReasonUpstreamError)
		require.EqualValues(t, 1, received.Load())
	}
}

// TestRefusedConnectionIsNotRun guards the proof by a count of zero bytes: the
// work is resent although it is not idempotent.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	const closed = "127.0.0.1:1" // outside the range of ports that listeners are given
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	snapshot := connect(t, []declaration.Service{testService("b", testRoute("y", "POST", "/y", false))}, edge)
	setUpstream(t, edge, snapshot, "b", closed)
	requireRefusal(t, edge.ask("POST", "/b/y", nil), 503, chain.NotRun, chain.ReasonConnect)

	back := startNode(t, nodeConfig("b-2", "b"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "done")
	}))
	edge = startNode(t, nodeConfig("edge-2", ""), nil)
	snapshot = connect(t, []declaration.Service{testService("b", testRoute("y", "POST", "/y", false))}, back, edge)
	setUpstream(t, edge, snapshot, "b", closed, back.d.Addresses().Peer)
	for range 2 { // the retry budget starts with two
		require.Equal(t, "done", readAll(t, edge.ask("POST", "/b/y", nil)))
	}
}

// TestHandlerFailureBelowIsNotRetriedAbove guards against a retry at each hop
// of a chain for one failure at its end.
func TestHandlerFailureBelowIsNotRetriedAbove(t *testing.T) {
	var runs atomic.Int32
	deep := startNode(t, nodeConfig("deep-1", "deep"), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(500)
	}))
	var front *node
	front = startNode(t, nodeConfig("front-1", "front"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		resp, err := callBelow(r.Context(), front, r.Header.Get(headerChain), "GET", "/deep/x")
		if err == nil {
			_ = resp.Body.Close()
		}
		w.WriteHeader(500)
		_, _ = io.WriteString(w, "front failed")
	}))
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	connect(t, []declaration.Service{
		testService("front", testRoute("x", "GET", "/x", true)),
		testService("deep", testRoute("x", "GET", "/x", true)),
	}, deep, front, edge)
	resp := edge.ask("GET", "/front/x", nil)
	require.Equal(t, "front failed", readAll(t, resp), "a handler's own answer is passed on")
	require.Equal(t, 500, resp.StatusCode)
	require.Equal(t, chain.Failed.String(), resp.Header.Get(headerOutcome))
	require.EqualValues(t, 1, runs.Load())
}

// TestAllowanceBoundsChain guards P1: all the retries of a chain of four
// services stay within the allowance of the entrance, although each hop sees
// failures that it may retry.
func TestAllowanceBoundsChain(t *testing.T) {
	const depth, requests = 4, 20
	var runs [depth]atomic.Int32
	var nodes []*node
	var services []declaration.Service
	for i := range depth {
		name := "s" + strconv.Itoa(i)
		services = append(services, testService(name, testRoute("x", "GET", "/x", true)))
		for j := range 2 {
			var n *node
			n = startNode(t, nodeConfig(name+"-"+strconv.Itoa(j), name), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				runs[i].Add(1)
				if i+1 < depth {
					resp, err := callBelow(r.Context(), n, r.Header.Get(headerChain), "GET", "/s"+strconv.Itoa(i+1)+"/x")
					if err == nil {
						_ = resp.Body.Close()
					}
				}
				panic(http.ErrAbortHandler) // the hop above sees a broken connection, which it may retry
			}))
			nodes = append(nodes, n)
		}
	}
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	nodes = append(nodes, edge)
	connect(t, services, nodes...)
	for range requests {
		requireRefusal(t, edge.ask("GET", "/s0/x", nil), 502, chain.Unknown, chain.ReasonUpstreamError)
	}
	var retries int64
	for _, n := range nodes {
		retries += n.d.metrics.retries.Value()
	}
	require.Positive(t, retries, "the test must provoke retries")
	require.LessOrEqual(t, retries, int64(2*requests))
	require.LessOrEqual(t, runs[depth-1].Load(), int32(3*requests))
}

// setUpstream replaces the upstreams of one service at one node.
func setUpstream(t *testing.T, n *node, base *Snapshot, service string, addresses ...string) {
	t.Helper()
	next := *base
	next.Version++
	next.Upstreams = upstreamsOf(service, addresses...)
	require.NoError(t, n.d.SetSnapshot(&next))
}

// rawServer accepts connections and hands them to serve.
func rawServer(t *testing.T, serve func(net.Conn)) (address string) {
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
