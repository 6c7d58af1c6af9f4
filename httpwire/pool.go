package httpwire

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Pool holds idle connections to one server. The most recently used one is reused first.
type Pool struct {
	// Dial opens a connection.
	Dial func(ctx context.Context) (net.Conn, error)

	mu   sync.Mutex
	idle []*ClientConn
}

// Reuse tells which idle connections a request may use.
type Reuse struct {
	// MaxIdle is how long a connection may have been idle; 0 opens a new one.
	MaxIdle time.Duration
	// Unchecked is how long a connection may have been idle to be used without a check for its end
	// and for input, which costs a system call. If the connection has ended, the request may have been
	// executed as far as the client knows, so it must be repeatable.
	Unchecked time.Duration
	// RequestID is the id of the request, which may be empty. A connection that has carried it before
	// is not used.
	RequestID string
}

// Get returns an idle connection, or a new one.
func (p *Pool) Get(ctx context.Context, reuse Reuse) (*ClientConn, error) {
	for c := p.takeIdle(reuse.MaxIdle); c != nil; c = p.takeIdle(reuse.MaxIdle) {
		if time.Since(c.idleSince) > reuse.Unchecked && !c.hasNoInput() {
			c.Close()
			continue
		}
		if !c.hasCarried(reuse.RequestID) {
			return c, nil
		}
		p.add(c)
		break // an id that occurs twice is rare, so the other idle connections are not searched
	}
	nc, err := p.Dial(ctx)
	if err != nil {
		return nil, err
	}
	return NewClientConn(nc), nil
}

// takeIdle removes and returns the most recently used connection. If that was idle for longer than
// maxIdle, it stays in the pool for exchanges with a higher maxIdle.
func (p *Pool) takeIdle(maxIdle time.Duration) *ClientConn {
	now := time.Now()
	p.mu.Lock()
	expired := p.removeExpired(now)
	var c *ClientConn
	if n := len(p.idle); n > 0 && now.Sub(p.idle[n-1].idleSince) <= maxIdle {
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
	}
	p.mu.Unlock()
	closeAll(expired)
	return c
}

// Put returns a connection to the pool after an exchange. An unusable connection, and one whose
// response has not been read to its end, is closed.
func (p *Pool) Put(c *ClientConn) {
	if c.unusable.Load() || c.inExchange.Load() || c.maxIdleTime <= 0 {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	p.add(c)
}

func (p *Pool) add(c *ClientConn) {
	p.mu.Lock()
	p.idle = append(p.idle, c)
	expired := p.removeExpired(time.Now())
	p.mu.Unlock()
	closeAll(expired)
}

func closeAll(conns []*ClientConn) {
	for _, c := range conns {
		c.Close()
	}
}

// removeExpired removes the connections that were idle for longer than their server allows. The
// caller holds the mutex.
func (p *Pool) removeExpired(now time.Time) []*ClientConn {
	var expired []*ClientConn
	p.idle = slices.DeleteFunc(p.idle, func(c *ClientConn) bool {
		isExpired := now.Sub(c.idleSince) > c.maxIdleTime
		if isExpired {
			expired = append(expired, c)
		}
		return isExpired
	})
	return expired
}

// CloseIdleConnections closes all idle connections.
func (p *Pool) CloseIdleConnections() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(idle)
}

// hasNoInput reports whether an idle connection has received neither its end nor bytes that belong
// to no request.
func (c *ClientConn) hasNoInput() bool {
	n, err := c.peekInput()
	return n == 0 && err == unix.EAGAIN
}

// HasExcessInput reports whether bytes have arrived after the end of the response. They belong to
// no request. The end of the connection does not count.
func (c *ClientConn) HasExcessInput() bool {
	n, _ := c.peekInput() // a failed connection has no input
	return n > 0
}

// peekInput returns the number of bytes that can be read at once, at most one from the socket. Its
// error is EAGAIN if there are none and the connection is open, nil at the end of the connection.
func (c *ClientConn) peekInput() (int, error) {
	if n := c.reader.Buffered(); n > 0 {
		return n, nil
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return 0, unix.EAGAIN // only sockets can be peeked at
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var peekErr error
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, peekErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return 0, err
	}
	return max(n, 0), peekErr
}
