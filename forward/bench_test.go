package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/logging"
)

// BenchmarkRequest measures one request at a time through the ingress listener and the
// admission controller to an upstream, on persistent connections, with the decision log written to
// nowhere: to the local upstream, or through the daemon of another one.
func BenchmarkRequest(b *testing.B) {
	for _, path := range []string{"local", "peer"} {
		b.Run(path, func(b *testing.B) {
			f := &testFleet{t: b, table: ordersTable(), logger: logging.New(io.Discard)}
			upstreams := []*fakeUpstream{newFakeUpstream(b, "i-1", nil), newFakeUpstream(b, "i-2", nil)}
			for i, u := range upstreams {
				f.startDaemon(i, u)
			}
			f.publishUpstreams(upstreams)
			if path == "local" {
				f.daemons[1].DeregisterUpstream("i-2")
				f.publishUpstreams(upstreams[:1])
			} else {
				f.publishUpstreams(upstreams[1:])
			}
			benchmarkRequests(b, f)
		})
	}
}

func benchmarkRequests(b *testing.B, f *testFleet) {
	ingress, _ := f.daemons[0].ListenAddresses()
	c, err := net.Dial("tcp", ingress)
	require.NoError(b, err)
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := 0; b.Loop(); i++ {
		_, err := fmt.Fprintf(c, "GET /idempotent/7 HTTP/1.1\r\nHost: shop.example\r\nX-Id: id-%d\r\nX-Wait: 5000\r\nAccept: */*\r\nUser-Agent: tablet\r\n\r\n", i)
		require.NoError(b, err)
		resp, err := http.ReadResponse(r, nil)
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, resp.StatusCode)
		_ = resp.Body.Close()
	}
}
