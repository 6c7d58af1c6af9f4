package httpwire

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// peer is the far end of a client connection, played by the test.
type peer struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

// pair returns a client connection and its far end.
func pair(t *testing.T) (*ClientConn, *peer) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	near, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	far, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return NewClientConn(near), &peer{far, t, bufio.NewReader(far)}
}

func (p *peer) request() *http.Request {
	req, err := http.ReadRequest(p.r)
	require.NoError(p.t, err)
	return req
}

func (p *peer) send(s string) {
	_, err := io.WriteString(p.Conn, s)
	require.NoError(p.t, err)
}

func get(id string) *ClientRequest {
	return &ClientRequest{Method: "GET", Target: "/", Host: "a", Header: http.Header{"Id": {id}}, MatchResponse: func(h http.Header) bool { return h.Get("Id") == id }}
}

func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	return ctx
}

func read(t *testing.T, a *ClientResponse) string {
	body, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	return string(body)
}

const answer1 = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none"
const answer2 = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\ntwo"

// TestLateExtraAnswerIsPassedOver guards against a second answer to an earlier
// request that arrives where the next answer is due.
func TestLateExtraAnswerIsPassedOver(t *testing.T) {
	c, p := pair(t)
	go func() {
		p.request()
		p.send(answer1)
		p.request()
		p.send(answer1 + answer2)
	}()
	a, err := c.Do(within(t), get("1"))
	require.NoError(t, err)
	require.Equal(t, "one", read(t, a))
	a, err = c.Do(within(t), get("2"))
	require.NoError(t, err)
	require.Equal(t, "two", read(t, a))
	require.False(t, c.broken.Load())
}

// TestForeignAnswerWithoutEnd guards against a wrong answer whose end cannot be
// found, and with it that of the right one.
func TestForeignAnswerWithoutEnd(t *testing.T) {
	c, p := pair(t)
	go func() {
		p.request()
		p.send("HTTP/1.1 200 OK\r\nId: 9\r\n\r\nbytes")
		_ = p.Close() // the end of the answer
	}()
	_, err := c.Do(within(t), get("1"))
	require.ErrorIs(t, err, ErrMismatch)
}

// TestExtraBytesEndTheReuse guards against bytes that belong to no request.
func TestExtraBytesEndTheReuse(t *testing.T) {
	c, p := pair(t)
	pool := Pool{Dial: func(context.Context) (net.Conn, error) { return nil, io.ErrClosedPipe }}
	go func() {
		p.request()
		p.send(answer1)
	}()
	a, err := c.Do(within(t), get("1"))
	require.NoError(t, err)
	read(t, a)
	pool.Put(c)
	again, err := pool.Get(within(t), time.Minute)
	require.NoError(t, err)
	require.Same(t, c, again)
	pool.Put(c)
	p.send(answer1)
	require.Eventually(t, func() bool { return !c.quiet() }, patience, time.Millisecond)
	_, err = pool.Get(within(t), time.Minute)
	require.ErrorIs(t, err, io.ErrClosedPipe, "a new connection was wanted")
}

// TestAnswerWithoutLength guards the end of answers that end with their
// connection: a reset is no end.
func TestAnswerWithoutLength(t *testing.T) {
	for _, whole := range []bool{true, false} {
		c, p := pair(t)
		go func() {
			p.request()
			p.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it")
			if !whole {
				time.Sleep(20 * time.Millisecond) // the bytes arrive before the reset
				require.NoError(t, p.Conn.(*net.TCPConn).SetLinger(0))
			}
			_ = p.Close() // a reset if the linger time is 0
		}()
		a, err := c.Do(within(t), get("1"))
		require.NoError(t, err)
		body, err := io.ReadAll(a.Body)
		if whole {
			require.NoError(t, err)
			require.Equal(t, "all of it", string(body))
		} else {
			require.Error(t, err)
		}
		require.True(t, whole == false || c.broken.Load(), "such a connection carries no other request")
	}
}

// TestEarlyAnswerEndsTheReuse guards against the rest of a long body that would
// be read as the next request.
func TestEarlyAnswerEndsTheReuse(t *testing.T) {
	c, p := pair(t)
	go func() {
		p.request()
		p.send(answer1)
	}()
	out := get("1")
	out.Method, out.Body = "POST", bytes.Repeat([]byte("x"), 32<<20) // more than the buffers between the ends hold
	a, err := c.Do(within(t), out)
	require.NoError(t, err)
	require.Equal(t, "one", read(t, a))
	require.True(t, c.broken.Load())
}

// TestAwaitContinue guards transfers that cost: the body is sent only once it is
// asked for.
func TestAwaitContinue(t *testing.T) {
	c, p := pair(t)
	got := make(chan string, 1)
	go func() {
		req := p.request()
		p.send("HTTP/1.1 100 Continue\r\n\r\n")
		body, err := io.ReadAll(req.Body)
		require.NoError(t, err)
		got <- string(body)
		p.send(answer1)
		p.request()
		p.send("HTTP/1.1 503 Service Unavailable\r\nId: 2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	}()
	out := get("1")
	out.Method, out.Body, out.AwaitContinue = "POST", []byte("photo"), true
	a, err := c.Do(within(t), out)
	require.NoError(t, err)
	read(t, a)
	require.Equal(t, "photo", <-got)
	out = get("2")
	out.Method, out.Body, out.AwaitContinue = "POST", []byte("photo"), true
	a, err = c.Do(within(t), out)
	require.NoError(t, err)
	require.Equal(t, 503, a.Status)
	read(t, a)
	require.True(t, c.broken.Load())
}

// TestNothingWrittenIsProven guards truthful refusals: after a failure without a
// written byte the request cannot have run.
func TestNothingWrittenIsProven(t *testing.T) {
	c, _ := pair(t)
	c.Close()
	_, err := c.Do(within(t), get("1"))
	require.Error(t, err)
	require.NotZero(t, c.Written(), "a write that failed may have sent something")
	c, p := pair(t)
	go func() {
		p.request()
		_ = p.Close() // without an answer
	}()
	_, err = c.Do(within(t), get("1"))
	require.ErrorIs(t, err, ErrNoAnswer)
	require.NotZero(t, c.Written())
}

// TestCancelledExchangeEndsAtOnce guards the caller against a silent server.
func TestCancelledExchangeEndsAtOnce(t *testing.T) {
	c, p := pair(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		p.request()
		cancel()
	}()
	_, err := c.Do(ctx, get("1"))
	require.ErrorIs(t, err, context.Canceled)
	require.True(t, c.broken.Load())
}

// TestAnnouncedIdleTimeIsKept guards requests against a connection that its
// server is about to close.
func TestAnnouncedIdleTimeIsKept(t *testing.T) {
	require.Equal(t, 4*time.Second, idleTime(http.Header{"Keep-Alive": {"timeout=5, max=100"}}))
	require.Equal(t, defaultIdle, idleTime(http.Header{}))
	c, _ := pair(t)
	dials := 0
	pool := Pool{Dial: func(context.Context) (net.Conn, error) { dials++; return nil, io.ErrClosedPipe }}
	c.idleTime = 0
	pool.Put(c)
	_, err := pool.Get(within(t), time.Minute)
	require.Error(t, err)
	require.Equal(t, 1, dials)
}

// TestIdleConnectionStaysForOthers guards against new connections that cost: one
// that was idle too long for a particular exchange serves the next other one.
func TestIdleConnectionStaysForOthers(t *testing.T) {
	c, _ := pair(t)
	dials := 0
	pool := Pool{Dial: func(context.Context) (net.Conn, error) { dials++; return nil, io.ErrClosedPipe }}
	pool.Put(c)
	time.Sleep(2 * time.Millisecond)
	_, err := pool.Get(within(t), time.Millisecond)
	require.ErrorIs(t, err, io.ErrClosedPipe)
	again, err := pool.Get(within(t), time.Minute)
	require.NoError(t, err)
	require.Same(t, c, again)
	require.Equal(t, 1, dials)
}

// TestEndToEnd guards headers that concern one connection only.
func TestEndToEnd(t *testing.T) {
	h := EndToEnd(http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"}, "X-End": {"1"},
	})
	require.Equal(t, http.Header{"X-End": {"1"}}, h)
}
