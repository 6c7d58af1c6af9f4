package daemon

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/declaration"
)

// rawResponder returns a handler that takes over the connection to the daemon, with the request body unread.
func rawResponder(respond func(r *http.Request, c *net.TCPConn)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		respond(r, c.(*net.TCPConn))
		_ = c.Close() // the test checks what the client gets
	}
}

// TestEarlyResponseThatIsReset guards against an upstream that responds to a long upload at once, without a
// length, sends a part of the body and resets the connection while the upload is still being written: the
// client got the part as a complete response.
func TestEarlyResponseThatIsReset(t *testing.T) {
	edge, _ := startPair(t, rawResponder(func(r *http.Request, c *net.TCPConn) {
		_ = c.SetReadBuffer(4 << 10)                                       // so that the upload does not fit into the buffers
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX: 1\r\n\r\nhalf of") // the test checks what the client gets
		_, _ = io.CopyN(io.Discard, c, 64<<10)                             // as above
		_ = c.SetLinger(0)                                                 // closing resets the connection
	}), []declaration.Route{routeY})
	waitServing(t, edge)
	upload := strings.Repeat("a", 6<<20)
	for n := range 25 {
		resp, err := edge.tryRequest("POST", "/b/y", strings.NewReader(upload))
		if err != nil {
			continue // the connection to the client was closed
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			require.NotEqual(t, http.StatusOK, resp.StatusCode, "upload %d: %q", n, body)
		}
	}
}
