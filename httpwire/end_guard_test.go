package httpwire

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endedConn is a connection whose input has ended.
type endedConn struct {
	net.Conn
	writeErr error
}

func (c *endedConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c *endedConn) Write(p []byte) (int, error)      { return 0, c.writeErr }
func (c *endedConn) SetWriteDeadline(time.Time) error { return nil }

// TestEndAfterFailedWrite checks that the end of the input counts as a reset once a write has failed, but not
// after a write that was only interrupted.
func TestEndAfterFailedWrite(t *testing.T) {
	for writeErr, want := range map[error]error{nil: io.EOF, os.ErrDeadlineExceeded: io.EOF, syscall.ECONNRESET: ErrReset, syscall.EPIPE: ErrReset} {
		var guard EndGuard
		c := &endedConn{writeErr: writeErr}
		_, err := guard.Write(c, []byte("a"))
		require.ErrorIs(t, err, writeErr)
		_, err = guard.Read(c, make([]byte, 1))
		require.Equal(t, want, err, "%v", writeErr)
	}
}

// TestEarlyResponseThatEnds checks that a response without a length is complete if the server closes its
// side of the connection while the request is still being written: the write in progress ends.
func TestEarlyResponseThatEnds(t *testing.T) {
	c, s := connect(t)
	go func() {
		s.readRequest()
		s.send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole")
		_ = s.Conn.(*net.TCPConn).CloseWrite() // the client sees an end either way
	}()
	req := getRequest("1")
	req.Method, req.Body = "POST", make([]byte, 64<<20)
	resp, err := c.Do(testContext(t), req)
	require.NoError(t, err)
	require.Equal(t, "whole", readBody(t, resp))
	require.True(t, c.unusable.Load())
}
