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
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/core/routing"
)

// testTimeout limits every wait of a test.
const testTimeout = 20 * time.Second

// serve starts a server and returns it with its address.
func serve(t *testing.T, handle func(*ServerExchange)) (*Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &Server{Handle: handle, Limits: func() RequestLimits {
		return routing.RequestLimits{HeaderBytes: 2048, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	}}
	go func() { _ = s.Serve(l) }() // returns once the listener is closed
	t.Cleanup(func() {
		_ = l.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.Shutdown(ctx)
	})
	return s, l.Addr().String()
}

// rawClient is a connection on which a test writes arbitrary bytes.
type rawClient struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func dialRaw(t *testing.T, address string) *rawClient {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = c.Close() })
	return &rawClient{c, t, bufio.NewReader(c)}
}

func (r *rawClient) send(format string, args ...any) {
	_, err := fmt.Fprintf(r.Conn, format, args...)
	require.NoError(r.t, err)
}

func (r *rawClient) readResponse() (*http.Response, string) {
	resp, err := http.ReadResponse(r.r, nil)
	require.NoError(r.t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(r.t, err)
	return resp, string(body)
}

// requireClosed checks that the server closes the connection without further bytes.
func (r *rawClient) requireClosed() {
	_, err := r.r.ReadByte()
	require.ErrorIs(r.t, err, io.EOF)
}

func respond(x *ServerExchange, status int, body string) {
	_ = x.Respond(&ServerResponse{Status: status, Header: http.Header{}, Body: []byte(body)}) // the test checks what the client receives
}

// TestPipelinedRequestsExecuteConcurrently checks that a slow request does not delay the start of the
// next one on the connection, and that the responses are in order.
func TestPipelinedRequestsExecuteConcurrently(t *testing.T) {
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
		_, body := c.readResponse()
		require.Equal(t, want, body)
	}
}

// TestClientDisconnectEndsContext checks that the context of a request ends when its client
// disconnects.
func TestClientDisconnectEndsContext(t *testing.T) {
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
		require.ErrorIs(t, err, ErrClientDisconnected)
	case <-time.After(testTimeout):
		t.Fatal("the context did not end")
	}
}

// TestUnreadBodyIsNotParsedAsRequest checks that a request hidden in the body of a request that was
// rejected before its body was read is not executed (request smuggling).
func TestUnreadBodyIsNotParsedAsRequest(t *testing.T) {
	for name, head := range map[string]string{
		"long":    "Content-Length: 400000\r\n",
		"chunked": "Transfer-Encoding: chunked\r\n",
		"expect":  "Content-Length: 47\r\nExpect: 100-continue\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan string, 10)
			_, address := serve(t, func(x *ServerExchange) {
				received <- x.Request.URL.Path
				respond(x, 503, "")
			})
			c := dialRaw(t, address)
			c.send("POST /outer HTTP/1.1\r\nHost: a\r\n%s\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n", head)
			resp, _ := c.readResponse()
			require.Equal(t, 503, resp.StatusCode)
			require.True(t, resp.Close)
			c.requireClosed()
			require.Equal(t, "/outer", <-received)
			require.Empty(t, received)
		})
	}
}

// TestShortUnreadBodyKeepsConnection checks that a rejection of a request with a short body does not
// close the connection, so that clients need not reconnect after each rejection.
func TestShortUnreadBodyKeepsConnection(t *testing.T) {
	_, address := serve(t, func(x *ServerExchange) { respond(x, 503, x.Request.URL.Path) })
	c := dialRaw(t, address)
	for i := range 3 {
		c.send("POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello", i)
		resp, body := c.readResponse()
		require.False(t, resp.Close)
		require.Equal(t, fmt.Sprint("/", i), body)
	}
}

// TestLimits checks the limits of requests.
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
		resp, _ := c.readResponse()
		require.Equal(t, want, resp.StatusCode)
		require.True(t, resp.Close)
	}
}

// TestHeadLimitOfSmallHeads guards against a limit that depends on how a head arrives: one over the limit
// passed if all of it was in the read buffer, alone or behind the body of an earlier request.
func TestHeadLimitOfSmallHeads(t *testing.T) {
	_, address := serve(t, func(x *ServerExchange) {
		if x.Body != nil {
			_, err := io.ReadAll(x.Body)
			require.NoError(t, err)
		}
		respond(x, 200, "")
	})
	const prefix, suffix = "GET / HTTP/1.1\r\nHost: a\r\nX: ", "\r\n\r\n"
	for size, want := range map[int]int{2047: 200, 2048: 200, 2049: 431, 3000: 431} {
		head := prefix + strings.Repeat("x", size-len(prefix)-len(suffix)) + suffix
		for before, request := range map[string]string{
			"alone":           "",
			"behind a body":   "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
			"behind a header": "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		} {
			for _, first := range []int{1, 1000, size} {
				t.Run(fmt.Sprintf("%d bytes/%s/%d first", size, before, first), func(t *testing.T) {
					c := dialRaw(t, address)
					c.send("%s", request+head[:first])
					c.send("%s", head[first:])
					if request != "" {
						resp, _ := c.readResponse()
						require.Equal(t, 200, resp.StatusCode)
					}
					resp, _ := c.readResponse()
					require.Equal(t, want, resp.StatusCode)
				})
			}
		}
	}
}

// TestDrainClosesConnectionAfterLastResponse checks that during a graceful shutdown pipelined
// requests that were read are completed, and that only the last response closes the connection.
func TestDrainClosesConnectionAfterLastResponse(t *testing.T) {
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
	first, _ := c.readResponse()
	require.False(t, first.Close)
	second, body := c.readResponse()
	require.Equal(t, "/2", body)
	require.True(t, second.Close)
	c.requireClosed()
}

// TestDrainAcceptsNoPipelinedRequest checks that while the server drains, no request is accepted on a
// connection with a request in flight: its response might wait for that of the earlier request until
// the process ends. The client detects by the close of the connection that it was not accepted.
func TestDrainAcceptsNoPipelinedRequest(t *testing.T) {
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
	resp, body := c.readResponse()
	require.Equal(t, "/1", body)
	require.True(t, resp.Close)
	c.requireClosed()
	require.Empty(t, started)
}

// TestNoRequestExecutedAfterClosingResponse checks that a request that arrives after a response that
// closes the connection is not executed. Its client sends it again, so it would be executed twice.
func TestNoRequestExecutedAfterClosingResponse(t *testing.T) {
	release, started := make(chan struct{}), make(chan string, 2)
	_, address := serve(t, func(x *ServerExchange) {
		started <- x.Request.URL.Path
		<-release
		_ = x.Respond(&ServerResponse{Status: 200, Header: http.Header{}, Close: true}) // the test checks what the client receives
	})
	c := dialRaw(t, address)
	c.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	require.Equal(t, "/1", <-started)
	c.send("POST /2 HTTP/1.1\r\nHost: a\r\n") // the server reads the rest of this head after the response
	time.Sleep(50 * time.Millisecond)
	close(release)
	resp, _ := c.readResponse()
	require.True(t, resp.Close)
	c.send("Content-Length: 0\r\n\r\n")
	c.requireClosed()
	require.Never(t, func() bool { return len(started) > 0 }, 100*time.Millisecond, time.Millisecond)
}

// TestShutdownClosesIdleConnections checks that Shutdown closes idle connections without waiting for
// its deadline.
func TestShutdownClosesIdleConnections(t *testing.T) {
	s, address := serve(t, func(x *ServerExchange) { respond(x, 200, "") })
	c := dialRaw(t, address)
	c.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	c.readResponse()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s.Shutdown(ctx)
	require.NoError(t, ctx.Err())
	c.requireClosed()
}

// TestIdleConnectionIsClosed checks that idle connections are closed, so that clients do not exhaust
// the file descriptors.
func TestIdleConnectionIsClosed(t *testing.T) {
	_, address := serve(t, func(x *ServerExchange) { respond(x, 200, "") })
	c := dialRaw(t, address)
	c.requireClosed()
}

// TestFailedResponseIsIncomplete checks that a response whose stream fails is not complete for the
// client.
func TestFailedResponseIsIncomplete(t *testing.T) {
	for name, length := range map[string]int64{"length": 100, "chunks": -1} {
		t.Run(name, func(t *testing.T) {
			_, address := serve(t, func(x *ServerExchange) {
				stream := io.MultiReader(strings.NewReader("half"), &failingReader{})
				_ = x.Respond(&ServerResponse{Status: 200, Header: http.Header{}, Stream: stream, Length: length}) // returns the error of the stream
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

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrClosedPipe }

// TestUnreadBodyDoesNotResetConnection guards against a connection that is reset while its client still
// sends a body that the server has rejected: a client that notices the reset before it reads the response
// does not learn that its request was rejected.
func TestUnreadBodyDoesNotResetConnection(t *testing.T) {
	_, address := serve(t, func(x *ServerExchange) {
		_ = x.Respond(&ServerResponse{Status: http.StatusServiceUnavailable}) // checked at the client
	})
	c := dialRaw(t, address)
	block := strings.Repeat("a", 2*readBufferBytes)
	c.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n%s", block)
	resp, _ := c.readResponse()
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	for range 10 {
		c.send("%s", block)
		time.Sleep(lingerTime / 50)
	}
}

// TestMalformedHeaderNameIsRejected guards against a request whose header the parser takes for another one:
// without its length, the body would be read as the next request.
func TestMalformedHeaderNameIsRejected(t *testing.T) {
	for _, header := range []string{"Content-Length : 55", "Transfer-Encoding : chunked", "X Y: 1"} {
		received := make(chan string, 2)
		_, address := serve(t, func(x *ServerExchange) {
			received <- x.Request.RequestURI
			_ = x.Respond(&ServerResponse{Status: http.StatusOK}) // checked at the client
		})
		c := dialRaw(t, address)
		c.send("POST /first HTTP/1.1\r\nHost: a\r\n%s\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", header)
		resp, _ := c.readResponse()
		require.Equal(t, http.StatusBadRequest, resp.StatusCode, header)
		require.Empty(t, received, header)
	}
}

// TestTruncatedBodyWithoutLength guards against a body that breaks off and looks complete to a client of
// HTTP/1.0, for which the end of the connection is the end of the body.
func TestTruncatedBodyWithoutLength(t *testing.T) {
	for name, failure := range map[string]error{"truncated": io.ErrUnexpectedEOF, "complete": io.EOF} {
		_, address := serve(t, func(x *ServerExchange) {
			body := io.MultiReader(strings.NewReader("half of"), iotest.ErrReader(failure))
			_ = x.Respond(&ServerResponse{Status: http.StatusOK, Stream: body, Length: -1}) // checked at the client
		})
		c := dialRaw(t, address)
		c.send("GET / HTTP/1.0\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(c.r, nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		require.Equal(t, failure == io.EOF, err == nil, "%s: %v", name, err)
	}
}
