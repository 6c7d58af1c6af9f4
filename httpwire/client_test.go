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

// testServer is the server side of a client connection, scripted by the test.
type testServer struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

// connect returns a client connection and its server side.
func connect(t *testing.T) (*ClientConn, *testServer) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	server, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return NewClientConn(client), &testServer{server, t, bufio.NewReader(server)}
}

func (s *testServer) readRequest() *http.Request {
	req, err := http.ReadRequest(s.r)
	require.NoError(s.t, err)
	return req
}

func (s *testServer) send(text string) {
	_, err := io.WriteString(s.Conn, text)
	require.NoError(s.t, err)
}

func getRequest(id string) *ClientRequest {
	return &ClientRequest{Method: "GET", Target: "/", Host: "a", Header: http.Header{"Id": {id}}, MatchResponse: func(h http.Header) bool { return h.Get("Id") == id }}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func readBody(t *testing.T, resp *ClientResponse) string {
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(body)
}

const response1 = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none"
const response2 = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\ntwo"

// TestDuplicateResponseIsDiscarded checks that a second response to an earlier request is discarded
// when the next response is read.
func TestDuplicateResponseIsDiscarded(t *testing.T) {
	c, s := connect(t)
	go func() {
		s.readRequest()
		s.send(response1)
		s.readRequest()
		s.send(response1 + response2)
	}()
	resp, err := c.Do(testContext(t), getRequest("1"))
	require.NoError(t, err)
	require.Equal(t, "one", readBody(t, resp))
	resp, err = c.Do(testContext(t), getRequest("2"))
	require.NoError(t, err)
	require.Equal(t, "two", readBody(t, resp))
	require.False(t, c.unusable.Load())
}

// TestMismatchedResponseWithoutLength checks that the exchange fails after a response to another
// request without a length, since its end and the start of the next response cannot be found.
func TestMismatchedResponseWithoutLength(t *testing.T) {
	c, s := connect(t)
	go func() {
		s.readRequest()
		s.send("HTTP/1.1 200 OK\r\nId: 9\r\n\r\nbytes")
		_ = s.Close() // marks the end of the response
	}()
	_, err := c.Do(testContext(t), getRequest("1"))
	require.ErrorIs(t, err, ErrMismatch)
}

// TestUnexpectedBytesPreventReuse checks that a connection that received bytes that belong to no
// request is not reused.
func TestUnexpectedBytesPreventReuse(t *testing.T) {
	c, s := connect(t)
	pool := Pool{Dial: func(context.Context) (net.Conn, error) { return nil, io.ErrClosedPipe }}
	go func() {
		s.readRequest()
		s.send(response1)
	}()
	resp, err := c.Do(testContext(t), getRequest("1"))
	require.NoError(t, err)
	readBody(t, resp)
	pool.Put(c)
	again, err := pool.Get(testContext(t), Reuse{MaxIdle: time.Minute})
	require.NoError(t, err)
	require.Same(t, c, again)
	pool.Put(c)
	s.send(response1)
	require.Eventually(t, func() bool { return !c.hasNoInput() }, testTimeout, time.Millisecond)
	_, err = pool.Get(testContext(t), Reuse{MaxIdle: time.Minute})
	require.ErrorIs(t, err, io.ErrClosedPipe, "a new connection is opened")
}

// TestResponseWithoutLength checks that a response whose end is marked by the end of the connection
// is complete after a close but not after a reset.
func TestResponseWithoutLength(t *testing.T) {
	for _, whole := range []bool{true, false} {
		c, s := connect(t)
		go func() {
			s.readRequest()
			s.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it")
			if !whole {
				time.Sleep(20 * time.Millisecond) // the bytes arrive before the reset
				require.NoError(t, s.Conn.(*net.TCPConn).SetLinger(0))
			}
			_ = s.Close() // a reset if the linger time is 0
		}()
		resp, err := c.Do(testContext(t), getRequest("1"))
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		if whole {
			require.NoError(t, err)
			require.Equal(t, "all of it", string(body))
		} else {
			require.Error(t, err)
		}
		require.True(t, whole == false || c.unusable.Load(), "the connection is not reused")
	}
}

// TestEarlyResponsePreventsReuse checks that a connection is not reused after a response that
// arrived before a large request was sent. The server would read the rest of the body as the next
// request.
func TestEarlyResponsePreventsReuse(t *testing.T) {
	c, s := connect(t)
	go func() {
		s.readRequest()
		s.send(response1)
	}()
	request := getRequest("1")
	request.Method, request.Body = "POST", bytes.Repeat([]byte("x"), 32<<20) // exceeds the buffers of the connection
	resp, err := c.Do(testContext(t), request)
	require.NoError(t, err)
	require.Equal(t, "one", readBody(t, resp))
	require.True(t, c.unusable.Load())
}

// TestAwaitContinue checks that the body is sent only after 100 Continue, so that a rejection costs
// no transfer.
func TestAwaitContinue(t *testing.T) {
	c, s := connect(t)
	bodies := make(chan string, 1)
	go func() {
		req := s.readRequest()
		s.send("HTTP/1.1 100 Continue\r\n\r\n")
		body, err := io.ReadAll(req.Body)
		require.NoError(t, err)
		bodies <- string(body)
		s.send(response1)
		s.readRequest()
		s.send("HTTP/1.1 503 Service Unavailable\r\nId: 2\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
	}()
	request := getRequest("1")
	request.Method, request.Body, request.AwaitContinue = "POST", []byte("photo"), true
	resp, err := c.Do(testContext(t), request)
	require.NoError(t, err)
	readBody(t, resp)
	require.Equal(t, "photo", <-bodies)
	request = getRequest("2")
	request.Method, request.Body, request.AwaitContinue = "POST", []byte("photo"), true
	resp, err = c.Do(testContext(t), request)
	require.NoError(t, err)
	require.Equal(t, 503, resp.Status)
	readBody(t, resp)
	require.True(t, c.unusable.Load())
}

// TestWrittenCountsUnconfirmedBytes checks that Written counts the bytes of a failed write, so that a
// request counts as not executed only if none of it was sent.
func TestWrittenCountsUnconfirmedBytes(t *testing.T) {
	c, _ := connect(t)
	c.Close()
	_, err := c.Do(testContext(t), getRequest("1"))
	require.Error(t, err)
	require.NotZero(t, c.Written(), "a failed write may have sent some bytes")
	c, s := connect(t)
	go func() {
		s.readRequest()
		_ = s.Close() // without a response
	}()
	_, err = c.Do(testContext(t), getRequest("1"))
	require.ErrorIs(t, err, ErrNoResponse)
	require.NotZero(t, c.Written())
}

// TestCancelledExchangeEndsImmediately checks that an exchange with an unresponsive server ends when
// its context is cancelled.
func TestCancelledExchangeEndsImmediately(t *testing.T) {
	c, s := connect(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		s.readRequest()
		cancel()
	}()
	_, err := c.Do(ctx, getRequest("1"))
	require.ErrorIs(t, err, context.Canceled)
	require.True(t, c.unusable.Load())
}

// TestAnnouncedIdleTimeIsRespected checks that no request is sent on a connection that its server
// may be about to close because it was idle.
func TestAnnouncedIdleTimeIsRespected(t *testing.T) {
	require.Equal(t, 4*time.Second, parseMaxIdleTime(http.Header{"Keep-Alive": {"timeout=5, max=100"}}))
	require.Equal(t, defaultMaxIdleTime, parseMaxIdleTime(http.Header{}))
	c, _ := connect(t)
	dials := 0
	pool := Pool{Dial: func(context.Context) (net.Conn, error) { dials++; return nil, io.ErrClosedPipe }}
	c.maxIdleTime = 0
	pool.Put(c)
	_, err := pool.Get(testContext(t), Reuse{MaxIdle: time.Minute})
	require.Error(t, err)
	require.Equal(t, 1, dials)
}

// TestIdleConnectionRemainsForOtherExchanges checks that a connection that was idle for too long for
// one exchange remains in the pool for an exchange with a higher limit, which saves a new one.
func TestIdleConnectionRemainsForOtherExchanges(t *testing.T) {
	c, _ := connect(t)
	dials := 0
	pool := Pool{Dial: func(context.Context) (net.Conn, error) { dials++; return nil, io.ErrClosedPipe }}
	pool.Put(c)
	time.Sleep(2 * time.Millisecond)
	_, err := pool.Get(testContext(t), Reuse{MaxIdle: time.Millisecond})
	require.ErrorIs(t, err, io.ErrClosedPipe)
	again, err := pool.Get(testContext(t), Reuse{MaxIdle: time.Minute})
	require.NoError(t, err)
	require.Same(t, c, again)
	require.Equal(t, 1, dials)
}

// TestHopByHopHeadersAreRemoved checks that only end-to-end headers are left.
func TestHopByHopHeadersAreRemoved(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"}, "X-End": {"1"},
	}
	removeHopByHopHeaders(h)
	require.Equal(t, http.Header{"X-End": {"1"}}, h)
}

// TestConnectionWithUnreadResponseIsNotReused guards against a connection that returns to the pool
// before its response has been read to the end: the next exchange would read the rest, or be cut
// off when the first one closes the connection.
func TestConnectionWithUnreadResponseIsNotReused(t *testing.T) {
	for name, readPart := range map[string]func(*ClientResponse, *testServer){
		"abandoned": func(*ClientResponse, *testServer) {},
		"cut off": func(resp *ClientResponse, s *testServer) {
			_ = s.Close()
			_, err := io.ReadAll(resp.Body)
			require.Error(s.t, err)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, s := connect(t)
			pool := Pool{Dial: func(context.Context) (net.Conn, error) { return nil, io.ErrClosedPipe }}
			go func() {
				s.readRequest()
				s.send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 6\r\n\r\none")
			}()
			resp, err := c.Do(testContext(t), getRequest("1"))
			require.NoError(t, err)
			first := make([]byte, 3)
			_, err = io.ReadFull(resp.Body, first)
			require.NoError(t, err)
			readPart(resp, s)
			pool.Put(c)
			require.Empty(t, pool.idle)
		})
	}
}

// TestRecentlyUsedConnectionIsNotChecked checks that only a connection that was idle for longer than
// the caller allows is checked before it is used again.
func TestRecentlyUsedConnectionIsNotChecked(t *testing.T) {
	c, s := connect(t)
	pool := Pool{Dial: func(context.Context) (net.Conn, error) { return nil, io.ErrClosedPipe }}
	pool.Put(c)
	_ = s.Close()
	require.Eventually(t, func() bool { return !c.hasNoInput() }, testTimeout, time.Millisecond)
	again, err := pool.Get(testContext(t), Reuse{MaxIdle: time.Minute, Unchecked: time.Minute})
	require.NoError(t, err)
	require.Same(t, c, again)
	pool.Put(c)
	_, err = pool.Get(testContext(t), Reuse{MaxIdle: time.Minute})
	require.ErrorIs(t, err, io.ErrClosedPipe, "a new connection is opened")
}
