package forward

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// TestRepeatedRejection guards against a rejection that an upstream writes once more on a kept
// connection, in front of the response to a later request with the same id. The upstream executes
// that request, so the client must not be told that it was not executed, and it must not reach
// another upstream.
func TestRepeatedRejection(t *testing.T) {
	var faulty *fakeUpstream
	var executed atomic.Int32
	rejectedOn := sync.Map{}
	faulty = newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) {
		if executed.Load() == 0 && req.URL.Query().Get("full") == "" {
			if _, found := rejectedOn.LoadOrStore("first", c); !found {
				faulty.respond(c, req, 503, "", "X-Not-Run: 1")
				return
			}
		}
		if first, _ := rejectedOn.Load("first"); first == c {
			faulty.respond(c, req, 503, "", "X-Not-Run: 1")
		}
		executed.Add(1)
		faulty.respond(c, req, 200, "i-1")
	})
	for _, kind := range []routing.RouteKind{routing.Idempotent, routing.NonIdempotent, routing.Upload} {
		t.Run(kind.String(), func(t *testing.T) {
			executed.Store(0)
			rejectedOn.Clear()
			f := newTestFleet(t, ordersTable(), faulty)
			resp, _ := f.send(0, testRequest{kind: kind, id: "repeated"})
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			resp, body := f.send(0, testRequest{kind: kind, id: "repeated"})
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, "i-1", body)
			require.EqualValues(t, 1, executed.Load())
		})
	}
}

// TestContradictoryRejection checks that a rejection which the upstream follows with further bytes,
// such as a second response to the same request, does not prove that a request was not executed:
// a non-idempotent one gets status 502 and reaches no other upstream.
func TestContradictoryRejection(t *testing.T) {
	for name, status := range map[string]int{"rejected": http.StatusServiceUnavailable, "misdirected": http.StatusMisdirectedRequest} {
		t.Run(name, func(t *testing.T) {
			var faulty *fakeUpstream
			faulty = newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) {
				text := &strings.Builder{}
				faulty.respondTo(text, req, status, "", "X-Not-Run: 1")
				faulty.respondTo(text, req, 200, "i-1")
				_, _ = io.WriteString(c, text.String()) // the daemon may have closed the connection
			})
			other := newFakeUpstream(t, "i-2", nil)
			f := newTestFleet(t, ordersTable(), faulty, other)
			for _, kind := range []routing.RouteKind{routing.NonIdempotent, routing.Upload} {
				resp, _ := f.send(0, testRequest{kind: kind, body: "x"})
				require.Equal(t, http.StatusBadGateway, resp.StatusCode, kind)
				require.Empty(t, other.requests())
			}
		})
	}
}

// TestRejectionOnClosedConnection checks that a rejection is still a proof if the upstream closes the
// connection after it.
func TestRejectionOnClosedConnection(t *testing.T) {
	var leaving *fakeUpstream
	leaving = newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) {
		leaving.respond(c, req, 503, "", "X-Not-Run: 1", "Connection: close")
		_ = c.Close()
	})
	f := newTestFleet(t, ordersTable(), leaving, newFakeUpstream(t, "i-2", nil))
	for range 5 { // the retry budget allows more retries
		resp, body := f.send(0, testRequest{kind: routing.NonIdempotent, body: "x"})
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "i-2", body)
	}
}

// TestEndlessResponsesStayWithinMemory checks that 64 connections to an upstream that sends heads or
// bodies without end occupy little memory, and that no client is told that a request was not executed
// which the upstream has received.
func TestEndlessResponsesStayWithinMemory(t *testing.T) {
	const connections = 64
	for name, c := range map[string]struct {
		prefix  string
		maxHeap uint64
	}{
		// Each connection may hold one head and its read buffers.
		"head": {"HTTP/1.1 200 OK\r\nX: ", 32 << 20},
		// Each connection may buffer maxBufferedBody, at most doubled while its buffer grows.
		"body": {"HTTP/1.1 200 OK\r\nX-Other: ", 192 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			block := []byte(strings.Repeat("a", 64<<10))
			u := newFakeUpstream(t, "i-1", func(req *http.Request, conn net.Conn) {
				_, err := io.WriteString(conn, c.prefix)
				if name == "body" {
					_, err = io.WriteString(conn, "x\r\nX-Id: "+req.Header.Get("X-Id")+"\r\n\r\n")
				}
				for err == nil {
					_, err = conn.Write(block)
				}
			})
			f := newTestFleet(t, ordersTable(), u)
			f.daemons[0].HandleHeartbeat(readyHeartbeat(u.id, 2, 2*connections))
			runtime.GC()
			var before, now runtime.MemStats
			runtime.ReadMemStats(&before)
			var running sync.WaitGroup
			var rejected sync.Map // ids of the requests that the daemon says were not executed
			for range connections {
				running.Go(func() {
					q := testRequest{kind: routing.NonIdempotent, clientTimeout: 700 * time.Millisecond, id: nextID()}
					resp, err := f.open(t.Context(), 0, q)
					if err != nil {
						return
					}
					if resp.StatusCode == http.StatusServiceUnavailable {
						rejected.Store(q.id, true)
					}
					_, _ = io.Copy(io.Discard, resp.Body) // cut off at the deadline
					_ = resp.Body.Close()                 // as above
				})
			}
			done := make(chan struct{})
			go func() { running.Wait(); close(done) }()
			peak := uint64(0)
			for open := true; open; {
				runtime.ReadMemStats(&now)
				peak = max(peak, now.HeapAlloc)
				select {
				case <-done:
					open = false
				case <-time.After(5 * time.Millisecond):
				}
			}
			for _, req := range u.requests() {
				_, found := rejected.Load(req.Header.Get("X-Id"))
				require.False(t, found, "the upstream has received a request that the daemon says was not executed")
			}
			t.Logf("heap grew by %d KiB", (max(peak, before.HeapAlloc)-before.HeapAlloc)>>10)
			require.Less(t, max(peak, before.HeapAlloc)-before.HeapAlloc, c.maxHeap)
		})
	}
}
