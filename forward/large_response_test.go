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
