package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkRequest measures one request at a time through the ingress listener and the
// admission controller to the local upstream, on a persistent connection, with the decision
// log written to a file.
func BenchmarkRequest(b *testing.B) {
	f := newTestFleet(b, ordersTable(), newFakeUpstream(b, "i-1", nil))
	ingress, _ := f.daemons[0].ListenAddresses()
	c, err := net.Dial("tcp", ingress)
	require.NoError(b, err)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := 0; b.Loop(); i++ {
		_, err := fmt.Fprintf(c, "GET /idempotent/7 HTTP/1.1\r\nHost: shop.example\r\nX-Id: id-%d\r\n\r\n", i)
		require.NoError(b, err)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, resp.StatusCode)
		_ = resp.Body.Close()
	}
}
