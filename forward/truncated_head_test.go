package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// TestTruncatedHeadIsNoResponse guards against an upstream that stops in the middle of the head of a
// response and closes the connection: what it sent must not reach the client as a success with a short
// body, nor count as a rejection, whether the upstream is local or behind another daemon.
func TestTruncatedHeadIsNoResponse(t *testing.T) {
	heads := map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: a\r\nContent-Length: 12\r\n\r\n",
		"chunks":    "HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\nX-Sign: a\r\n\r\n",
		"no length": "HTTP/1.1 200 OK\r\nX-Id: %s\r\nConnection: close\r\nX-Sign: a\r\n\r\n",
		"no body":   "HTTP/1.1 204 No Content\r\nX-Id: %s\r\nX-Sign: a\r\n\r\n",
		"interim":   "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 12\r\n\r\n",
		"line feed": "HTTP/1.1 200 OK\nX-Id: %s\nContent-Length: 12\n\n",
		"rejection": "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			var length atomic.Int64
			faulty := newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) {
				text := fmt.Sprintf(head, req.Header.Get("X-Id"))
				_, _ = c.Write([]byte(text[:length.Load()])) // the test checks what the client gets
				_ = c.Close()                                // as above
			})
			f := newTestFleet(t, ordersTable(), faulty, newFakeUpstream(t, "i-2", nil))
			f.publishUpstreams([]*fakeUpstream{faulty})
			const id = "0123456789abcdef"
			for n := range len(fmt.Sprintf(head, id)) {
				length.Store(int64(n))
				for daemon, path := range []string{"local", "peer"} {
					resp, body := f.send(daemon, testRequest{kind: routing.NonIdempotent, id: id, body: "x"})
					require.Equal(t, http.StatusBadGateway, resp.StatusCode, "%s, %d bytes of the head: %q", path, n, body)
					require.True(t, strings.HasPrefix(body, "unknown ("), body)
				}
			}
		})
	}
}
