package httpwire

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// patience bounds every wait; a test that needs it all has failed.
const patience = 20 * time.Second

// serve starts a server and returns it with its address.
func serve(t *testing.T, handle func(*ServerExchange)) (*Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Handle: handle, Limits: func() RequestLimits {
		return routing.RequestLimits{HeaderBytes: 2048, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	}}
	go func() { _ = s.Serve(l) }() // ends with the listener
	t.Cleanup(func() {
		_ = l.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.Finish(ctx)
	})
	return s, l.Addr().String()
}

// raw is a connection on which a test writes bytes as it likes.
type raw struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func dialRaw(t *testing.T, address string) *raw {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	t.Cleanup(func() { _ = c.Close() })
	return &raw{c, t, bufio.NewReader(c)}
}

func (r *raw) send(format string, args ...any) {
	_, err := fmt.Fprintf(r.Conn, format, args...)
	require.NoError(r.t, err)
}

func (r *raw) answer() (*http.Response, string) {
	resp, err := http.ReadResponse(r.r, nil)
	require.NoError(r.t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(r.t, err)
	return resp, string(body)
}

// requireClosed checks that the server ends the connection without more bytes.
func (r *raw) requireClosed() {
	_, err := r.r.ReadByte()
	require.ErrorIs(r.t, err, io.EOF)
}

func respond(x *ServerExchange, status int, body string) {
	_ = x.Respond(&ServerResponse{Status: status, Header: http.Header{}, Body: []byte(body)}) // the client's view is what counts
}

// TestPipelinedRequestsRunTogether guards clients that send on before they were
// answered: a slow request does not hold up the start of the next one, and the
// answers keep the order.
func TestPipelinedRequestsRunTogether(t *testing.T) {
	second := make(chan struct{})
	_, address := serve(t, func(x *ServerExchange) {
		if x.Request.URL.Path == "/first" {
			<-second
		} else {
			close(second)
		}
		respond(x, 200, x.Request.URL.Path)
	})
	c := dialRaw(t, address)
	c.send("GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n")
	for _, want := range []string{"/first", "/second"} {
		_, body := c.answer()
		require.Equal(t, want, body)
	}
}

// TestLeavingClientIsNoticed guards against work for a client that has left.
func TestLeavingClientIsNoticed(t *testing.T) {
	ended := make(chan error, 1)
	_, address := serve(t, func(x *ServerExchange) {
		<-x.Context().Done()
		ended <- context.Cause(x.Context())
		x.Abort()
	})
	c := dialRaw(t, address)
	c.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, c.Close())
	select {
	case err := <-ended:
		require.ErrorIs(t, err, ErrClientGone)
	case <-time.After(patience):
		t.Fatal("the handler was not told")
	}
}

// TestUnreadBodyIsNoRequest guards against a request that is hidden in the body
// of another one which was refused before it was read.
func TestUnreadBodyIsNoRequest(t *testing.T) {
	for name, head := range map[string]string{
		"long":    "Content-Length: 400000\r\n",
		"chunked": "Transfer-Encoding: chunked\r\n",
		"expect":  "Content-Length: 47\r\nExpect: 100-continue\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			seen := make(chan string, 10)
			_, address := serve(t, func(x *ServerExchange) {
				seen <- x.Request.URL.Path
				respond(x, 503, "")
			})
			c := dialRaw(t, address)
			c.send("POST /outer HTTP/1.1\r\nHost: a\r\n%s\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n", head)
			resp, _ := c.answer()
			require.Equal(t, 503, resp.StatusCode)
			require.True(t, resp.Close)
			c.requireClosed()
			require.Equal(t, "/outer", <-seen)
			require.Empty(t, seen)
		})
	}
}

// TestShortUnreadBodyKeepsTheConnection guards clients that are refused often:
// they need no new connection each time.
func TestShortUnreadBodyKeepsTheConnection(t *testing.T) {
	_, address := serve(t, func(x *ServerExchange) { respond(x, 503, x.Request.URL.Path) })
	c := dialRaw(t, address)
	for i := range 3 {
		c.send("POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello", i)
		resp, body := c.answer()
		require.False(t, resp.Close)
		require.Equal(t, fmt.Sprint("/", i), body)
	}
}

// TestLimits guards the process against clients that send too much.
func TestLimits(t *testing.T) {
	_, address := serve(t, func(x *ServerExchange) {
		_, err := io.ReadAll(x.Body)
		require.ErrorIs(t, err, ErrBodyTooLarge)
		respond(x, 413, "")
	})
	for want, request := range map[int]string{
		431: "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 8192) + "\r\n\r\n",
		400: "GET / HTTP/1.1\r\nHost: a\r\nno colon here\r\n\r\n",
		413: "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n",
	} {
		c := dialRaw(t, address)
		c.send("%s", request)
		resp, _ := c.answer()
		require.Equal(t, want, resp.StatusCode)
		require.True(t, resp.Close)
	}
}

// TestDrainEndsConnectionsWithTheirLastAnswer guards a planned stop: requests
// that were read are answered, also those behind others, and only the last
// answer says that the connection ends.
func TestDrainEndsConnectionsWithTheirLastAnswer(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{}, 2)
	s, address := serve(t, func(x *ServerExchange) {
		started <- struct{}{}
		<-release
		respond(x, 200, x.Request.URL.Path)
	})
	c := dialRaw(t, address)
	c.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	<-started
	<-started
	s.Drain()
	close(release)
	first, _ := c.answer()
	require.False(t, first.Close)
	second, body := c.answer()
	require.Equal(t, "/2", body)
	require.True(t, second.Close)
	c.requireClosed()
}

// TestDrainTakesNothingBehindARequest guards a planned stop against an answer that is
// ready and has to wait for a longer one until the process ends: what comes behind a
// request in flight is not taken, and its client is told so by the end of the connection.
func TestDrainTakesNothingBehindARequest(t *testing.T) {
	release, started := make(chan struct{}), make(chan string, 2)
	s, address := serve(t, func(x *ServerExchange) {
		started <- x.Request.URL.Path
		<-release
		respond(x, 200, x.Request.URL.Path)
	})
	c := dialRaw(t, address)
	c.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Equal(t, "/1", <-started)
	s.Drain()
	c.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Never(t, func() bool { return len(started) > 0 }, 100*time.Millisecond, time.Millisecond)
	close(release)
	answer, body := c.answer()
	require.Equal(t, "/1", body)
	require.True(t, answer.Close)
	c.requireClosed()
	require.Empty(t, started)
}

// TestNothingRunsBehindAClosingAnswer guards against a request that runs twice: its
// client has seen an answer before it that ends the connection, and sends it again.
func TestNothingRunsBehindAClosingAnswer(t *testing.T) {
	release, started := make(chan struct{}), make(chan string, 2)
	_, address := serve(t, func(x *ServerExchange) {
		started <- x.Request.URL.Path
		<-release
		_ = x.Respond(&ServerResponse{Status: 200, Header: http.Header{}, Close: true}) // the test reads it
	})
	c := dialRaw(t, address)
	c.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Equal(t, "/1", <-started)
	c.send("POST /2 HTTP/1.1\r\nHost: a\r\n") // the server reads the rest of this head after the answer
	time.Sleep(50 * time.Millisecond)
	close(release)
	answer, _ := c.answer()
	require.True(t, answer.Close)
	c.send("Content-Length: 0\r\n\r\n")
	c.requireClosed()
	require.Never(t, func() bool { return len(started) > 0 }, 100*time.Millisecond, time.Millisecond)
}

// TestFinishClosesIdleConnections guards the end of a planned stop.
func TestFinishClosesIdleConnections(t *testing.T) {
	s, address := serve(t, func(x *ServerExchange) { respond(x, 200, "") })
	c := dialRaw(t, address)
	c.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	c.answer()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	s.Finish(ctx)
	require.NoError(t, ctx.Err())
	c.requireClosed()
}

// TestIdleConnectionIsClosed guards descriptors against clients that stay.
func TestIdleConnectionIsClosed(t *testing.T) {
	_, address := serve(t, func(x *ServerExchange) { respond(x, 200, "") })
	c := dialRaw(t, address)
	c.requireClosed()
}

// TestBrokenAnswerDoesNotLookWhole guards clients against half an answer.
func TestBrokenAnswerDoesNotLookWhole(t *testing.T) {
	for name, length := range map[string]int64{"length": 100, "chunks": -1} {
		t.Run(name, func(t *testing.T) {
			_, address := serve(t, func(x *ServerExchange) {
				broken := io.MultiReader(strings.NewReader("half"), &failing{})
				_ = x.Respond(&ServerResponse{Status: 200, Header: http.Header{}, Stream: broken, Length: length}) // fails as intended
			})
			c := dialRaw(t, address)
			c.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			resp, err := http.ReadResponse(c.r, nil)
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.Error(t, err)
		})
	}
}

type failing struct{}

func (*failing) Read([]byte) (int, error) { return 0, io.ErrClosedPipe }
