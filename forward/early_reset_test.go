package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// TestEarlyResponseThatIsReset guards against an upstream that responds to a long upload at once, without a
// length, sends a part of the body and resets the connection while the upload is still being written: the
// kernel reports the reset to the writer, the reader sees the end of the connection, and the client got
// the part as a complete response.
func TestEarlyResponseThatIsReset(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	faulty := &fakeUpstream{id: "i-1", address: l.Addr().String()}
	var part atomic.Pointer[string] // of the body that is sent
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tcp := c.(*net.TCPConn)
			_ = tcp.SetReadBuffer(4 << 10) // so that the upload does not fit into the buffers
			req, err := http.ReadRequest(bufio.NewReader(c))
			switch {
			case err != nil: // a connection without a request
			case req.URL.Path == healthPath:
				faulty.respond(c, req, http.StatusOK, "", "X-Instance: i-1")
			default:
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: a\r\n\r\n%s", req.Header.Get("X-Id"), *part.Load()) // the test checks what arrives
				_, _ = io.CopyN(io.Discard, req.Body, 64<<10)                                                                     // as above
				_ = tcp.SetLinger(0)                                                                                              // closing resets the connection
			}
			_ = c.Close()
		}
	}()
	f := newTestFleet(t, ordersTable(), faulty, newFakeUpstream(t, "i-2", nil))
	f.publishUpstreams([]*fakeUpstream{faulty})
	for _, beginning := range []string{"half of", strings.Repeat("a", 2*maxBufferedBody)} { // buffered, and forwarded while it is read
		part.Store(&beginning)
		for name, size := range map[string]int{"buffered": maxBufferedBody - 1, "streamed": 4 * maxBufferedBody} {
			for daemon, path := range []string{"local", "peer"} {
				for n := range 4 {
					resp, body, err := f.trySend(t.Context(), daemon, testRequest{kind: routing.Upload, body: strings.Repeat("a", size)})
					if err != nil {
						continue // the connection to the client was closed
					}
					require.NotEqual(t, http.StatusOK, resp.StatusCode, "%s upload %d, %s: %d bytes", name, n, path, len(body))
				}
			}
		}
	}
}
