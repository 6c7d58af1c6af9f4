package httpwire

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
)

// ErrReset means that a connection was reset, although its input seems to have ended.
var ErrReset = errors.New("the connection was reset while a request was sent")

// EndGuard tells the end of a connection's input from a reset. The kernel reports a reset once, to a read
// or to a write. After a write has got it, a read reports the end of the input, as if the other side had
// closed the connection: a response without a length would seem complete. All reads and writes of the
// connection must pass the guard.
type EndGuard struct {
	mu     sync.Mutex // held during each write
	failed bool       // a write has failed
}

// Write writes to the connection.
func (g *EndGuard) Write(nc net.Conn, p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, err := nc.Write(p)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		g.failed = true
	}
	return n, err
}

// Read reads from the connection. At the end of the input it fails if a write has failed, and ends a
// write in progress, which is the only way to learn whether it will.
func (g *EndGuard) Read(nc net.Conn, p []byte) (int, error) {
	n, err := nc.Read(p)
	if err != io.EOF {
		return n, err
	}
	_ = nc.SetWriteDeadline(pastDeadline) // fails only on a closed connection
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failed {
		err = ErrReset
	}
	return n, err
}

// guardedInput is the input of a guarded connection.
type guardedInput struct {
	nc    net.Conn
	guard *EndGuard
}

// Read implements io.Reader.
func (r guardedInput) Read(p []byte) (int, error) { return r.guard.Read(r.nc, p) }
