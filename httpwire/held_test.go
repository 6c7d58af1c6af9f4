package httpwire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
)

// heldServer is a server with a ledger. Its handler reads the body of a request, or responds with as many
// bytes as the path says.
func heldServer(t *testing.T, limits holding.Limits) (*holding.Ledger, string) {
	t.Helper()
	ledger := holding.NewLedger(limits, time.Now)
	s := &Server{Ledger: ledger, Limits: func() RequestLimits { return RequestLimits{} }, Handle: func(x *ServerExchange) {
		resp := &ServerResponse{Status: http.StatusOK, Header: http.Header{}}
		var size int
		if _, err := fmt.Sscanf(x.Request.URL.Path, "/answer/%d", &size); err == nil {
			resp.Body = make([]byte, size)
			if !x.Request.ProtoAtLeast(1, 1) {
				resp.Stream, resp.Length, resp.Body = bytes.NewReader(resp.Body), -1, nil // without a length
			}
			x.Holder().Force(int64(size))
			defer x.Holder().Release(int64(size))
		}
		if x.Body != nil {
			x.Holder().Force(x.Body.Length)
			_, err := io.Copy(io.Discard, x.Body)
			x.Holder().Release(x.Body.Length)
			if err == ErrEvicted {
				resp.Status = ErrEvicted.Status
			}
		}
		_ = x.Respond(resp) // the client checks it
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }() // returns once the listener is closed
	t.Cleanup(func() { _ = l.Close() })
	return ledger, l.Addr().String()
}

func dialAndSend(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

// TestStalledBodyIsRejected guards against clients that stop in their bodies: while memory is short, the
// request is rejected as not executed, and others are served.
func TestStalledBodyIsRejected(t *testing.T) {
	ledger, address := heldServer(t, holding.Limits{Bytes: 4 << 20})
	stalled := dialAndSend(t, address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3000000\r\n\r\nabc")
	require.Eventually(t, func() bool { return ledger.Usage().Bytes > 3_000_000 }, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool {
		c := dialAndSend(t, address, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		require.Equal(t, http.StatusOK, readStatus(t, c), "a small request is served meanwhile")
		return ledger.Usage().Evicted > 0
	}, testTimeout, 50*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, readStatus(t, stalled))
	require.Eventually(t, func() bool { return ledger.Usage().Bytes == 0 }, testTimeout, time.Millisecond)
}

// TestUnreadResponseIsCutOff guards against clients that do not read their responses, and against responses
// that look complete although they were cut off, also to a client that sees only the end of the connection.
func TestUnreadResponseIsCutOff(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		t.Run(version, func(t *testing.T) { cutOffUnreadResponse(t, version) })
	}
}

func cutOffUnreadResponse(t *testing.T, version string) {
	const size = 32 << 20 // more than the buffers of a connection
	ledger, address := heldServer(t, holding.Limits{Bytes: size})
	unread := dialAndSend(t, address, fmt.Sprintf("GET /answer/%d HTTP/%s\r\nHost: a\r\n\r\n", size, version))
	require.Eventually(t, func() bool {
		c := dialAndSend(t, address, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		_, _ = io.Copy(io.Discard, c) // refused while there is no room at all
		return ledger.Usage().Evicted > 0
	}, testTimeout, 50*time.Millisecond)
	require.Eventually(t, func() bool { return ledger.Usage().Bytes == 0 }, testTimeout, time.Millisecond)
	n, err := io.Copy(io.Discard, unread)
	require.Error(t, err, "a response that was cut off must not look complete")
	require.Less(t, n, int64(size))
}

// TestHeadWithoutRoomIsRejected guards against heads whose lines take more memory than there is, complete
// or not: they are rejected as not executed, with the time to come back.
func TestHeadWithoutRoomIsRejected(t *testing.T) {
	lines := strings.Repeat("a:\r\n", 2000)
	for name, text := range map[string]string{"complete": lines + "\r\n", "incomplete": lines} {
		t.Run(name, func(t *testing.T) {
			ledger, address := heldServer(t, holding.Limits{Bytes: 100_000})
			c := dialAndSend(t, address, "GET / HTTP/1.1\r\nHost: a\r\n"+text)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Equal(t, "1.000", resp.Header.Get("Retry-After"))
			require.True(t, resp.Close)
			require.Eventually(t, func() bool { return ledger.Usage().Bytes == 0 }, testTimeout, time.Millisecond)
		})
	}
}

// TestConnectionsBeyondLimitAreClosed guards against clients that open more connections than the process
// has descriptors: the new ones are closed without a response, and idle ones make room.
func TestConnectionsBeyondLimitAreClosed(t *testing.T) {
	limits := holding.DescriptorLimits(100)
	ledger, address := heldServer(t, limits)
	most := limits.Accepted[holding.Clients]
	for range 2 * most {
		dialAndSend(t, address, "")
	}
	require.Eventually(t, func() bool { return ledger.Usage().Refused > 0 }, testTimeout, time.Millisecond)
	require.LessOrEqual(t, ledger.Usage().Clients, int64(most))
	require.Eventually(t, func() bool {
		c := dialAndSend(t, address, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		return err == nil && resp.StatusCode == http.StatusOK
	}, testTimeout, 50*time.Millisecond)
}

// TestRequestInProgressIsNotEvicted guards against clients that lose a request because the process, and not
// they, takes its time.
func TestRequestInProgressIsNotEvicted(t *testing.T) {
	release := make(chan struct{})
	ledger := holding.NewLedger(holding.Limits{Bytes: 1 << 20}, time.Now)
	s := &Server{Ledger: ledger, Limits: func() RequestLimits { return RequestLimits{} }, Handle: func(x *ServerExchange) {
		<-release
		_ = x.Respond(&ServerResponse{Status: http.StatusOK, Header: http.Header{}}) // the client checks it
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }() // returns once the listener is closed
	defer func() { _ = l.Close() }()
	waiting := dialAndSend(t, l.Addr().String(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Eventually(t, func() bool { return ledger.Usage().Clients == 1 && ledger.Usage().Bytes > 20_000 }, testTimeout, time.Millisecond)
	other := ledger.Accept(holding.Clients, func(holding.Direction) {})
	require.True(t, other.ReserveSmall(900_000))
	time.Sleep(1100 * time.Millisecond) // longer than the patience with a client
	other.Force(1)
	require.Zero(t, ledger.Usage().Evicted)
	close(release)
	require.Equal(t, http.StatusOK, readStatus(t, waiting))
}
