package httphold

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
)

const testTimeout = 20 * time.Second

// serve starts a server that reads the bodies of its requests and reports their lengths.
func serve(t *testing.T, limits holding.Limits) (*holding.Ledger, string) {
	t.Helper()
	ledger := holding.NewLedger(limits, time.Now)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := BeginRequest(ledger, w)
		defer request.End()
		text, err := request.ReadAll(r.Body)
		switch {
		case errors.Is(err, ErrNoMemory), errors.Is(err, ErrEvicted):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err == nil:
			_, _ = w.Write(text) // the client checks it
		}
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limited := Limit(server, l, ledger, holding.Clients)
	go func() { _ = server.Serve(limited) }() // returns after Close
	t.Cleanup(func() { _ = server.Close() })
	return ledger, l.Addr().String()
}

func send(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return c
}

func post(t *testing.T, address, body string) (int, string) {
	t.Helper()
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+address+"/", "text/plain", strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(text)
}

// TestUnfinishedBodiesLeaveRoom guards against clients whose bodies stop: what does not fit is rejected, and
// bodies that arrive get the room of those that do not.
func TestUnfinishedBodiesLeaveRoom(t *testing.T) {
	ledger, address := serve(t, holding.Limits{Bytes: 1 << 20})
	unfinished := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 150000\r\n\r\n" + strings.Repeat("a", 149_999)
	var crowd []net.Conn
	for range 8 {
		crowd = append(crowd, send(t, address, unfinished))
	}
	require.Eventually(t, func() bool { return ledger.Usage().Refused > 0 }, testTimeout, time.Millisecond)
	require.LessOrEqual(t, ledger.Usage().Bytes, int64(1<<20))
	body := strings.Repeat("b", 200_000)
	require.Eventually(t, func() bool {
		status, text := post(t, address, body)
		return status == http.StatusOK && text == body
	}, testTimeout, 50*time.Millisecond)
	require.Positive(t, ledger.Usage().Evicted)
	rejected := 0
	for _, c := range crowd {
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // the others wait for their bodies
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			rejected++
		}
		_ = c.Close()
	}
	require.Positive(t, rejected, "those that were asked to go got a response")
	require.Eventually(t, func() bool { return ledger.Usage().Bytes == 0 }, testTimeout, time.Millisecond)
}

// TestIdleConnectionsMakeRoom guards against clients that connect and send nothing, or no whole head.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	for name, text := range map[string]string{"silent": "", "unfinished head": "POST / HTTP/1.1\r\nHo", "kept after a request": "GET / HTTP/1.1\r\nHost: a\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			ledger, address := serve(t, holding.Limits{Connections: 20})
			for range 40 {
				send(t, address, text)
			}
			require.Eventually(t, func() bool { return ledger.Usage().Refused > 0 }, testTimeout, time.Millisecond)
			require.LessOrEqual(t, ledger.Usage().Clients, int64(20))
			require.Eventually(t, func() bool {
				status, _ := post(t, address, "x")
				return status == http.StatusOK
			}, testTimeout, 50*time.Millisecond)
		})
	}
}

// TestEvictionEndsWithRequest guards the next request on a connection against the eviction of an earlier
// one.
func TestEvictionEndsWithRequest(t *testing.T) {
	ledger := holding.NewLedger(holding.Limits{}, time.Now)
	evicted := make(chan *Request, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := BeginRequest(ledger, w)
		_, _ = request.ReadAll(r.Body) // the next request is what the test checks
		request.End()
		select {
		case evicted <- request:
		default:
		}
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(l) }() // returns after Close
	t.Cleanup(func() { _ = server.Close() })
	c := send(t, l.Addr().String(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	reader := bufio.NewReader(c)
	_, err = http.ReadResponse(reader, nil)
	require.NoError(t, err)
	(<-evicted).evict(holding.Receiving)
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}
