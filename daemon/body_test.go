package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// rawRequest writes bytes to the ingress listener of a node and reads one response.
func rawRequest(t *testing.T, n *testNode, content string, halfClose bool) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", n.d.ListenAddresses().Ingress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, content)
	require.NoError(t, err)
	if halfClose {
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	}
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	return resp
}

func postHeader(length int) string {
	return fmt.Sprintf("POST /b/y HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)
}

// TestBodyFaults checks the error for request bodies that are too short, stall or exceed the size
// limit. The outcome must be not-run only if nothing was forwarded.
func TestBodyFaults(t *testing.T) {
	var completeBodies atomic.Int32
	route := routeY
	route.MaxBody = 1 << 20
	edge, _ := startPair(t, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			completeBodies.Add(1)
		}
	}, []declaration.Route{route}, func(c *Config) { c.BodyProgressTimeout = 200 * time.Millisecond })
	large := strings.Repeat("x", 100_000)
	t.Run("short small body", func(t *testing.T) {
		requireErrorResponse(t, rawRequest(t, edge, postHeader(10)+"12345", true), 400, chain.NotRun, chain.ReasonBodyLength)
	})
	t.Run("short large body", func(t *testing.T) {
		resp := rawRequest(t, edge, postHeader(200_000)+large, true)
		require.Equal(t, chain.Unknown.String(), resp.Header.Get(headerOutcome))
	})
	t.Run("small body that stalls", func(t *testing.T) {
		requireErrorResponse(t, rawRequest(t, edge, postHeader(10)+"12345", false), 408, chain.NotRun, chain.ReasonSlowBody)
	})
	t.Run("large body that stalls", func(t *testing.T) {
		requireErrorResponse(t, rawRequest(t, edge, postHeader(200_000)+large, false), 408, chain.Unknown, chain.ReasonSlowBody)
	})
	t.Run("unknown length above the limit", func(t *testing.T) {
		resp := edge.request("POST", "/b/y", io.MultiReader(strings.NewReader(strings.Repeat("x", 2<<20))))
		requireErrorResponse(t, resp, 413, chain.Unknown, chain.ReasonTooLarge)
	})
	require.Zero(t, completeBodies.Load(), "the handler treated a truncated body as complete")
	t.Run("longer than the content length", func(t *testing.T) {
		resp := rawRequest(t, edge, postHeader(4)+"1234surplus", false)
		require.Equal(t, 200, resp.StatusCode, resp.Header)
		require.EqualValues(t, 1, completeBodies.Load())
	})
}

// TestReusedConnectionIsNotReplayed guards against net/http resending a request when a pooled
// connection fails after the request was written, on the hop to the peer and on the hop to the
// upstream.
func TestReusedConnectionIsNotReplayed(t *testing.T) {
	var received atomic.Int32
	handler := startRawServer(t, func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/break" {
				received.Add(1)
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	cfg := nodeConfig("b-1", "b")
	cfg.Upstream = "http://" + handler
	cfg.Claims = newFakeClaims()
	back := startNode(t, cfg, nil)
	edge := startNode(t, nodeConfig("edge-1", ""), nil)
	get := testRoute("list", "GET", "/break", true)
	get.Retries = 0
	applySnapshot(t, []declaration.Service{testService("b", testRoute("ok", "GET", "/ok", true), get,
		testRoute("order", "POST", "/break", false))}, back, edge)
	waitServing(t, back)
	for _, method := range []string{"GET", "POST"} {
		for range 2 {
			require.Equal(t, "ok", readAll(t, edge.request("GET", "/b/ok", nil)))
		}
		received.Store(0)
		resp := edge.request(method, "/b/break", nil, headerIdempotencyKey, newKey(t), "X-Idempotency-Key", "k")
		requireErrorResponse(t, resp, 502, chain.Unknown, chain.ReasonUpstreamError)
		require.EqualValues(t, 1, received.Load(), method)
	}
}

// TestAbandonedConnection checks the byte count that proves the outcome not-run: a failed write
// does not count, and no write succeeds after the attempt has ended.
func TestAbandonedConnection(t *testing.T) {
	c, peer := net.Pipe()
	require.NoError(t, peer.Close())
	conn := &countingConn{Conn: c}
	n, err := conn.Write([]byte("x"))
	require.Error(t, err)
	require.Zero(t, n)
	require.Zero(t, conn.Abandon())
	_, err = conn.Write([]byte("x"))
	require.ErrorIs(t, err, errConnAbandoned)
}

// TestHeadAndEmptyResponses checks responses that have a length but no body, and responses that
// have neither.
func TestHeadAndEmptyResponses(t *testing.T) {
	edge, _ := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/none" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(w, "12345")
	}, []declaration.Route{routeX, testRoute("none", "GET", "/none", true)})
	resp := edge.request("HEAD", "/b/x", nil)
	require.Equal(t, 200, resp.StatusCode)
	require.EqualValues(t, 5, resp.ContentLength)
	require.Empty(t, readAll(t, resp))
	resp = edge.request("GET", "/b/none", nil)
	require.Equal(t, 204, resp.StatusCode)
	require.Empty(t, readAll(t, resp))
}

// TestStreamedBodies checks that bodies larger than the copy buffer arrive complete and in order in
// both directions, with and without a content length.
func TestStreamedBodies(t *testing.T) {
	edge, _ := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		if r.ContentLength > 0 {
			w.Header().Set("Content-Length", fmt.Sprint(r.ContentLength))
		}
		_, _ = io.Copy(w, r.Body)
	}, []declaration.Route{routeY})
	var sb strings.Builder
	for i := range 200_000 {
		fmt.Fprintf(&sb, "%d,", i)
	}
	content := sb.String()
	require.True(t, content == readAll(t, edge.request("POST", "/b/y", strings.NewReader(content))))
	require.True(t, content == readAll(t, edge.request("POST", "/b/y", io.MultiReader(strings.NewReader(content)))))
	require.Equal(t, int64(0), edge.d.metrics.truncatedResponses.Value())
}

// TestUnencryptedHTTP2 checks unencrypted HTTP/2 at the ingress, including the abort of a truncated
// response.
func TestUnencryptedHTTP2(t *testing.T) {
	edge, _ := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cut" {
			truncateResponse(w, 1<<20)
		}
		_, _ = io.WriteString(w, "complete")
	}, []declaration.Route{routeX, testRoute("cut", "GET", "/cut", true)})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + edge.d.ListenAddresses().Ingress + "/b/x")
	require.NoError(t, err)
	require.Equal(t, 2, resp.ProtoMajor)
	require.Equal(t, "complete", readAll(t, resp))
	resp, err = client.Get("http://" + edge.d.ListenAddresses().Ingress + "/b/cut")
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	require.Error(t, err)
}
