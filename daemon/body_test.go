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

// rawRequest writes bytes to the entrance and reads one answer.
func rawRequest(t *testing.T, n *node, content string, halfClose bool) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", n.d.Addresses().Ingress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, content)
	require.NoError(t, err)
	if halfClose {
		require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	}
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(generous)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	return resp
}

func postHead(length int) string {
	return fmt.Sprintf("POST /b/y HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)
}

// TestBodyFaults guards against bodies that end early, never come or grow
// beyond their limit: each has a typed error, and not-run only if nothing was
// passed on.
func TestBodyFaults(t *testing.T) {
	var whole atomic.Int32
	route := routeY
	route.MaxBody = 1 << 20
	edge, _ := startPair(t, func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			whole.Add(1)
		}
	}, []declaration.Route{route}, func(c *Config) { c.BodyProgressTimeout = 200 * time.Millisecond })
	large := strings.Repeat("x", 100_000)
	t.Run("short small body", func(t *testing.T) {
		requireRefusal(t, rawRequest(t, edge, postHead(10)+"12345", true), 400, chain.NotRun, chain.ReasonBodyLength)
	})
	t.Run("short large body", func(t *testing.T) {
		resp := rawRequest(t, edge, postHead(200_000)+large, true)
		require.Equal(t, chain.Unknown.String(), resp.Header.Get(headerOutcome))
	})
	t.Run("small body that never comes", func(t *testing.T) {
		requireRefusal(t, rawRequest(t, edge, postHead(10)+"12345", false), 408, chain.NotRun, chain.ReasonSlowBody)
	})
	t.Run("large body that stops", func(t *testing.T) {
		requireRefusal(t, rawRequest(t, edge, postHead(200_000)+large, false), 408, chain.Unknown, chain.ReasonSlowBody)
	})
	t.Run("unannounced length above the limit", func(t *testing.T) {
		resp := edge.ask("POST", "/b/y", io.MultiReader(strings.NewReader(strings.Repeat("x", 2<<20))))
		requireRefusal(t, resp, 413, chain.Unknown, chain.ReasonTooLarge)
	})
	require.Zero(t, whole.Load(), "the handler took a part of a body for the whole")
	t.Run("longer than announced", func(t *testing.T) {
		resp := rawRequest(t, edge, postHead(4)+"1234surplus", false)
		require.Equal(t, 200, resp.StatusCode, resp.Header)
		require.EqualValues(t, 1, whole.Load())
	})
}

// TestReusedConnectionIsNotReplayed guards against net/http sending a request
// again by itself when a pooled connection breaks after the request was
// written: on the hop to the peer, and on the hop to the handler.
func TestReusedConnectionIsNotReplayed(t *testing.T) {
	var broken atomic.Int32
	handler := rawServer(t, func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			if r.URL.Path == "/break" {
				broken.Add(1)
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
	look := testRoute("look", "GET", "/break", true)
	look.Retries = 0
	connect(t, []declaration.Service{testService("b", testRoute("ok", "GET", "/ok", true), look,
		testRoute("order", "POST", "/break", false))}, back, edge)
	waitServing(t, back)
	for _, method := range []string{"GET", "POST"} {
		for range 2 {
			require.Equal(t, "ok", readAll(t, edge.ask("GET", "/b/ok", nil)))
		}
		broken.Store(0)
		resp := edge.ask(method, "/b/break", nil, headerKey, newKey(t), "X-Idempotency-Key", "k")
		requireRefusal(t, resp, 502, chain.Unknown, chain.ReasonUpstreamError)
		require.EqualValues(t, 1, broken.Load(), method)
	}
}

// TestAbandonedConnection guards the count of bytes behind not-run: a write that
// failed does not count, and none follows once the attempt has ended.
func TestAbandonedConnection(t *testing.T) {
	c, peer := net.Pipe()
	require.NoError(t, peer.Close())
	stale := &countingConn{Conn: c}
	n, err := stale.Write([]byte("x"))
	require.Error(t, err)
	require.Zero(t, n)
	require.Zero(t, stale.Abandon())
	_, err = stale.Write([]byte("x"))
	require.ErrorIs(t, err, errAbandoned)
}

// TestHeadAndEmptyAnswers guards the answers that have a length but no body,
// or neither.
func TestHeadAndEmptyAnswers(t *testing.T) {
	edge, _ := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/none" {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set("Content-Length", "5")
		_, _ = io.WriteString(w, "12345")
	}, []declaration.Route{routeX, testRoute("none", "GET", "/none", true)})
	resp := edge.ask("HEAD", "/b/x", nil)
	require.Equal(t, 200, resp.StatusCode)
	require.EqualValues(t, 5, resp.ContentLength)
	require.Empty(t, readAll(t, resp))
	resp = edge.ask("GET", "/b/none", nil)
	require.Equal(t, 204, resp.StatusCode)
	require.Empty(t, readAll(t, resp))
}

// TestStreamedBodies guards the order and completeness of bodies larger than
// the copy buffer in both directions, with and without an announced length.
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
	require.True(t, content == readAll(t, edge.ask("POST", "/b/y", strings.NewReader(content))))
	require.True(t, content == readAll(t, edge.ask("POST", "/b/y", io.MultiReader(strings.NewReader(content)))))
	require.Equal(t, int64(0), edge.d.metrics.truncated.Value())
}

// TestUnencryptedHTTP2 guards the second protocol of callers, including the
// cut of a truncated answer.
func TestUnencryptedHTTP2(t *testing.T) {
	edge, _ := startPair(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cut" {
			cutAnswer(w, 1<<20)
		}
		_, _ = io.WriteString(w, "whole")
	}, []declaration.Route{routeX, testRoute("cut", "GET", "/cut", true)})
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + edge.d.Addresses().Ingress + "/b/x")
	require.NoError(t, err)
	require.Equal(t, 2, resp.ProtoMajor)
	require.Equal(t, "whole", readAll(t, resp))
	resp, err = client.Get("http://" + edge.d.Addresses().Ingress + "/b/cut")
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	require.Error(t, err)
}
