package httpwire

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scriptedConn is a connection whose other side has sent all its bytes and accepts everything.
type scriptedConn struct {
	net.Conn
	input  bytes.Reader
	output bytes.Buffer
}

func newScriptedConn(input []byte) *scriptedConn {
	c := &scriptedConn{}
	c.input.Reset(input)
	return c
}

func (c *scriptedConn) Read(p []byte) (int, error)       { return c.input.Read(p) }
func (c *scriptedConn) Write(p []byte) (int, error)      { return c.output.Write(p) }
func (c *scriptedConn) Close() error                     { return nil }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// FuzzResponses checks what a client accepts from a server that sends arbitrary bytes on a kept
// connection: each response has the id of the request that it is taken for, its body is complete by
// its own length, and only a connection without bytes left over is used again.
func FuzzResponses(f *testing.F) {
	for _, seed := range []string{
		response1 + response2,
		response1 + response1 + response2,
		"HTTP/1.1 100 Continue\r\n\r\n" + response1 + "HTTP/1.1 102 P\r\n\r\n" + response2,
		"HTTP/1.1 503 No\r\nId: 1\r\nContent-Length: 5\r\n\r\nHTTP/" + response2,
		"HTTP/1.1 503 No\r\nId: 1\r\nContent-Length: 50\r\n\r\n" + response2,
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\none\r\n0\r\nX: y\r\n\r\n" + response2,
		"HTTP/1.1 200 OK\r\nId: 9\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" + response1,
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\none",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9223372036854775807\r\n\r\na",
		"HTTP/1.0 200 OK\r\nId: 1\r\nConnection: keep-alive\r\n\r\none",
		"HTTP/1.1 204 None\r\nId: 1\r\n\r\n" + response2,
		"HTTP/1.1 421 No\r\nId: 1\r\nContent-Length: 0\r\n\r\n" + response1 + response2,
		"nonsense\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		c := NewClientConn(newScriptedConn(sent))
		for _, id := range []string{"1", "2"} {
			resp, err := c.Do(context.Background(), getRequest(id))
			if err != nil {
				return
			}
			require.Equal(t, id, resp.Header.Get("Id"))
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				return
			}
			require.LessOrEqual(t, len(body), len(sent))
			if resp.Length >= 0 && resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
				require.EqualValues(t, resp.Length, len(body))
			}
			if c.unusable.Load() || c.inExchange.Load() {
				return
			}
			require.Zero(t, c.reader.Buffered(), "bytes after a response must not be read as the next one")
		}
	})
}

// FuzzRequests checks what a server accepts from a client that sends arbitrary bytes: no handler gets
// a body beyond the limit, and each request gets at most one response.
func FuzzRequests(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbodyGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4;x\r\nbody\r\n0\r\nT: v\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2000\r\n\r\n",
		"GET / HTTP/1.0\r\n\r\n", "GET  / HTTP/1.1\r\n\r\n", "\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n" + "X: y\r\n",
	} {
		f.Add([]byte(seed))
	}
	limits := RequestLimits{HeaderBytes: 4 << 10, BodyBytes: 1 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	f.Fuzz(func(t *testing.T, sent []byte) {
		s := &Server{Limits: func() RequestLimits { return limits }, Handle: func(x *ServerExchange) {
			if x.Body != nil {
				body, _ := io.ReadAll(x.Body)
				if int64(len(body)) > limits.BodyBytes+readBufferBytes {
					t.Errorf("a body of %d bytes was accepted", len(body))
				}
			}
			_ = x.Respond(&ServerResponse{Status: http.StatusOK, Header: http.Header{}})
		}}
		conn := newScriptedConn(sent)
		c := s.add(conn)
		c.serve()
		require.LessOrEqual(t, bytes.Count(conn.output.Bytes(), []byte("HTTP/1.1 200")), bytes.Count(sent, []byte("HTTP/")))
	})
}
