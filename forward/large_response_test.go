package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// TestLargeResponseIsComplete guards against a response beyond maxBufferedBody that is cut off:
// it is streamed after the execution has returned, so the end of the execution must not end
// the exchange with the upstream.
func TestLargeResponseIsComplete(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 4*maxBufferedBody/16)
	var u *fakeUpstream
	u = newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) { u.respond(c, req, 200, large) })
	f := newTestFleet(t, ordersTable(), u, newFakeUpstream(t, "i-2", nil))
	f.daemons[1].DeregisterUpstream("i-2")
	for _, kind := range []routing.RouteKind{routing.Idempotent, routing.NonIdempotent, routing.Upload} {
		for daemon, path := range []string{"local upstream", "through a peer"} {
			t.Run(fmt.Sprint(kind, ", ", path), func(t *testing.T) {
				resp, body, err := f.trySend(t.Context(), daemon, testRequest{kind: kind, body: "x"})
				require.NoError(t, err)
				require.Equal(t, 200, resp.StatusCode)
				require.True(t, body == large, "%d of %d bytes", len(body), len(large))
			})
		}
	}
}

// TestBodiesBeyondBufferBudget checks responses for whose buffers a daemon has no memory left: they are
// whole, one that breaks off is not taken for whole, and the memory is returned after each response.
func TestBodiesBeyondBufferBudget(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", maxBufferedBody/2/16)
	for name, budget := range map[string]int64{"no room": 0, "room for a part": maxBufferedBody / 4, "room for all": 4 * maxBufferedBody} {
		t.Run(name, func(t *testing.T) {
			var u *fakeUpstream
			u = newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) {
				if !strings.HasPrefix(req.URL.Path, "/upload/") {
					u.respond(c, req, http.StatusOK, body)
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("X-Id"), len(body)+1, body) // the client fails the test
				_ = c.Close()                                                                                                                   // as above
			})
			f := newTestFleet(t, ordersTable(), u, newFakeUpstream(t, "i-2", nil))
			f.publishUpstreams([]*fakeUpstream{u})
			for _, d := range f.daemons {
				d.buffers.available.Store(budget)
			}
			for daemon := range f.daemons {
				for _, kind := range []routing.RouteKind{routing.Idempotent, routing.NonIdempotent} {
					resp, received := f.send(daemon, testRequest{kind: kind})
					require.Equal(t, http.StatusOK, resp.StatusCode)
					require.True(t, body == received)
				}
				resp, _, err := f.trySend(t.Context(), daemon, testRequest{kind: routing.Upload})
				require.True(t, err != nil || resp.StatusCode == http.StatusBadGateway, "a response that ends early must not look complete")
			}
			for _, d := range f.daemons {
				require.Eventually(t, func() bool { return d.buffers.available.Load() == budget }, testTimeout, time.Millisecond)
			}
		})
	}
}
