package daemon

import (
	"fmt"
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

// TestMalformedHeadIsNoResponse guards against an upstream in trouble whose response head cannot be trusted:
// it must not reach the client, neither with the malformed line nor with a body of another length.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"blank before the colon":     "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n",
		"blank in a name":            "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 3\r\n",
		"blank before a name":        "HTTP/1.1 200 OK\r\nX: 1\r\n Content-Length: 3\r\n",
		"control byte in a name":     "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nContent-Length: 3\r\n",
		"blank in an interim head":   "HTTP/1.1 102 Processing\r\nX : 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
		"status 000":                 "HTTP/1.1 000 OK\r\nContent-Length: 3\r\n",
		"status 099":                 "HTTP/1.1 099 OK\r\nContent-Length: 3\r\n",
		"status 600":                 "HTTP/1.1 600 OK\r\nContent-Length: 3\r\n",
		"status with a sign":         "HTTP/1.1 +20 OK\r\nContent-Length: 3\r\n",
		"switching protocols":        "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 3\r\n",
		"another version":            "HTTP/2.0 200 OK\r\nContent-Length: 3\r\n",
		"chunks in an older version": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			edge, _ := startPair(t, rawResponder(func(_ *http.Request, c *net.TCPConn) {
				_, _ = fmt.Fprintf(c, "%s\r\nabcdef", head) // as above
			}), []declaration.Route{routeY})
			waitServing(t, edge)
			resp, err := edge.tryRequest("POST", "/b/y", strings.NewReader("x"))
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "%q", body)
		})
	}
}

// TestTruncatedBodyWithoutLength guards against a body that breaks off and looks complete to a client of
// HTTP/1.0, for which the end of the connection is the end of the body.
func TestTruncatedBodyWithoutLength(t *testing.T) {
	edge, _ := startPair(t, rawResponder(func(_ *http.Request, c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nhalf of\r\n") // as above
	}), []declaration.Route{routeY})
	waitServing(t, edge)
	c, err := net.Dial("tcp", edge.d.ListenAddresses().Ingress)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST /b/y HTTP/1.0\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	received, err := io.ReadAll(c)
	require.Error(t, err, "%q", received)
}
