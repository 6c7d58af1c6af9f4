package forward

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// TestMalformedHeadIsNoResponse guards against an upstream in trouble whose response head cannot be trusted:
// it must not reach the client, neither with the malformed line nor with a body that is not the upstream's,
// and the outcome of the request is unknown.
func TestMalformedHeadIsNoResponse(t *testing.T) {
	var head string
	faulty := newFakeUpstream(t, "i-1", func(req *http.Request, c net.Conn) {
		_, _ = fmt.Fprintf(c, head+"\r\nabcdef", req.Header.Get("X-Id")) // the test checks what the client gets
		_ = c.Close()                                                    // as above
	})
	f := newTestFleet(t, ordersTable(), faulty, newFakeUpstream(t, "i-2", nil))
	f.publishUpstreams([]*fakeUpstream{faulty})
	for name, text := range map[string]string{
		"blank before the colon":    "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: a\r\nContent-Length : 3\r\n",
		"blank in a name":           "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX Sign: a\r\nContent-Length: 6\r\n",
		"blank before a name":       "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: a\r\n Content-Length: 3\r\n",
		"control byte in a name":    "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX\x02Sign: a\r\nContent-Length: 6\r\n",
		"blank in a rejection":      "HTTP/1.1 503 Full\r\nX-Id: %s\r\nX-Not-Run: 1\r\nX Y: 1\r\nContent-Length: 6\r\n",
		"status 000":                "HTTP/1.1 000 OK\r\nX-Id: %s\r\nContent-Length: 6\r\n",
		"status 000 of a rejection": "HTTP/1.1 000 OK\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 6\r\n",
		"status 700":                "HTTP/1.1 700 OK\r\nX-Id: %s\r\nContent-Length: 6\r\n",
		"response in a 000":         "HTTP/1.1 000 OK\r\nX-Id: a\r\nContent-Length: 99\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 6\r\n",
	} {
		head = text
		for daemon, path := range []string{"local", "peer"} {
			resp, body := f.send(daemon, testRequest{kind: routing.NonIdempotent, body: "x"})
			require.Equal(t, http.StatusBadGateway, resp.StatusCode, "%s, %s: %q", name, path, body)
			require.True(t, strings.HasPrefix(body, "unknown ("), "%s, %s: %q", name, path, body)
		}
	}
}
