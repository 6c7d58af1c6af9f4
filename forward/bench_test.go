package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkRequest measures one request at a time through the entrance and the gate to
// the local upstream, on a kept connection, with the decision log written to a file.
func BenchmarkRequest(b *testing.B) {
	f := newFleet(b, ordersTable(), newUpstream(b, "i-1", nil))
	entrance, _ := f.daemons[0].ListenAddresses()
	c, err := net.Dial("tcp", entrance)
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
