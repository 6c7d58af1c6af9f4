package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// startUpload sends a request to the ingress of a daemon whose body of the given length lacks its last byte.
func (f *testFleet) startUpload(daemon, length int) net.Conn {
	f.t.Helper()
	ingress, _ := f.daemons[daemon].ListenAddresses()
	c, err := net.Dial("tcp", ingress)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	go func() {
		_, _ = fmt.Fprintf(c, "POST /upload/7 HTTP/1.1\r\nHost: shop.example\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", // the daemon may reject it
			nextID(), length, strings.Repeat("a", length-1))
	}()
	return c
}

// longTable is ordersTable with routes that time out after the test.
func longTable() *routing.Table {
	table := ordersTable()
	for i := range table.Routes {
		table.Routes[i].Timeout = 2 * testTimeout
	}
	return table
}

// TestUnfinishedBodiesLeaveRoom guards against clients whose bodies stop just short of their end: what does
// not fit is rejected as not executed, those that stay give way to others, and nothing of them reaches an
// upstream.
func TestUnfinishedBodiesLeaveRoom(t *testing.T) {
	u := newFakeUpstream(t, "i-1", nil)
	f := newLimitedFleet(t, holding.Limits{Bytes: 4 << 20}, longTable(), u)
	d := f.daemons[0]
	var conns []net.Conn
	for range 12 {
		conns = append(conns, f.startUpload(0, 900_000))
	}
	require.Eventually(t, func() bool { return d.Held().Refused > 0 }, testTimeout, time.Millisecond)
	require.LessOrEqual(t, d.Held().Bytes, int64(4<<20))
	resp, _ := f.send(0, testRequest{})
	require.Equal(t, http.StatusOK, resp.StatusCode, "a small request is served meanwhile")
	require.Eventually(t, func() bool {
		resp, body := f.send(0, testRequest{kind: routing.Upload, body: strings.Repeat("a", 500_000)})
		if resp.StatusCode != http.StatusOK {
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, body)
			require.Equal(t, "1.000", resp.Header.Get("Retry-After"))
			require.Contains(t, body, "not-run (no-memory)")
		}
		return resp.StatusCode == http.StatusOK
	}, testTimeout, 100*time.Millisecond, "a body that arrives is served")
	for _, c := range conns {
		_ = c.Close() // the crowd leaves
	}
	require.Eventually(t, func() bool { return d.Held().Bytes == 0 }, testTimeout, time.Millisecond, "%+v", d.Held())
	for _, req := range u.requests() {
		require.NotEqual(t, int64(900_000), req.ContentLength)
	}
}

// TestBodyAtPeerWithoutRoom guards the daemon of the upstream: a body for which it has no room is rejected
// as not executed, also after it was admitted.
func TestBodyAtPeerWithoutRoom(t *testing.T) {
	u := newFakeUpstream(t, "i-2", nil)
	f := newTestFleet(t, longTable(), newFakeUpstream(t, "i-1", nil), u)
	f.held = holding.Limits{Bytes: 200_000}
	f.restartDaemon(1, u)
	f.daemons[1].HandleHeartbeat(readyHeartbeat(u.id, 1, testSlots))
	f.publishUpstreams([]*fakeUpstream{u})
	resp, body := f.send(0, testRequest{kind: routing.Upload, body: strings.Repeat("a", 500_000)})
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, body)
	require.Contains(t, body, "not-run (no-memory)")
	require.Empty(t, u.requests())
	resp, _ = f.send(0, testRequest{kind: routing.Upload, body: strings.Repeat("a", 50_000)})
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Eventually(t, func() bool { return f.daemons[1].admissionLoad().InFlight == 0 }, testTimeout, time.Millisecond)
}

// TestNoConnectionLeft guards against requests that open more connections than the daemon has: they are
// rejected as not executed, and the upstream does not count as unreachable.
func TestNoConnectionLeft(t *testing.T) {
	u := newFakeUpstream(t, "i-1", nil)
	f := newLimitedFleet(t, holding.DescriptorLimits(20), ordersTable(), u)
	d := f.daemons[0]
	ingress, _ := d.ListenAddresses()
	c, err := net.Dial("tcp", ingress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.Eventually(t, func() bool { return d.Held().Clients == 1 }, testTimeout, time.Millisecond)
	taken := 0
	require.Eventually(t, func() bool { // a health check may have one of the connections for a moment
		for d.ledger.Connect() {
			taken++
		}
		return d.Held().Outgoing == int64(taken)
	}, testTimeout, time.Millisecond)
	reader := bufio.NewReader(c)
	send := func() (*http.Response, string) {
		_, err := io.WriteString(c, "GET /idempotent/7 HTTP/1.1\r\nHost: shop.example\r\nX-Id: "+nextID()+"\r\n\r\n")
		require.NoError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp, string(body)
	}
	resp, body := send()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Contains(t, body, "not-run (no-memory)")
	require.False(t, d.local.isUnreachable())
	for ; taken > 0; taken-- {
		d.ledger.Disconnect()
	}
	resp, body = send()
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
}

// TestLongUploadsLeaveSlots guards against long bodies whose senders stop: they are passed on as they arrive
// and occupy slots, so that they may not take all of them.
func TestLongUploadsLeaveSlots(t *testing.T) {
	u := newFakeUpstream(t, "i-1", nil)
	f := newTestFleet(t, longTable(), u)
	f.daemons[0].HandleHeartbeat(readyHeartbeat(u.id, 2, 2*testSlots))
	var conns []net.Conn
	for range 4 * testSlots {
		conns = append(conns, f.startUpload(0, 2*maxBufferedBody))
	}
	require.Eventually(t, func() bool { return f.daemons[0].admissionLoad().Queued > 0 }, testTimeout, time.Millisecond)
	resp, _ := f.send(0, testRequest{})
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.LessOrEqual(t, f.daemons[0].admissionLoad().InFlight, testSlots)
	for _, c := range conns {
		_ = c.Close() // the crowd leaves
	}
}

// TestSlowReadersLeaveRoom guards against clients that do not read long responses: others get theirs whole.
func TestSlowReadersLeaveRoom(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", maxBufferedBody/4)
	var u *fakeUpstream
	u = newFakeUpstream(t, "i-2", func(req *http.Request, c net.Conn) { u.respond(c, req, http.StatusOK, body) })
	f := newLimitedFleet(t, holding.Limits{Bytes: 2 << 20}, longTable(), newFakeUpstream(t, "i-1", nil), u)
	f.publishUpstreams([]*fakeUpstream{u})
	f.daemons[1].HandleHeartbeat(readyHeartbeat(u.id, 2, 16*testSlots))
	ingress, _ := f.daemons[0].ListenAddresses()
	for range 8 * testSlots {
		c, err := net.Dial("tcp", ingress)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, "GET /idempotent/7 HTTP/1.1\r\nHost: shop.example\r\nX-Id: "+nextID()+"\r\n\r\n")
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		resp, received, err := f.trySend(t.Context(), 0, testRequest{})
		return err == nil && resp.StatusCode == http.StatusOK && received == body
	}, testTimeout, 50*time.Millisecond)
}
