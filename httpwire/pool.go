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

// Get returns a connection that was idle for at most maxIdle, or a new one. With a maxIdle of 0 it
// always opens a new one.
func (p *Pool) Get(ctx context.Context, maxIdle time.Duration) (*ClientConn, error) {
	for c := p.takeIdle(maxIdle); c != nil; c = p.takeIdle(maxIdle) {
		if c.hasNoInput() {
			return c, nil
		}
		c.Close()
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

// Put returns a connection to the pool after an exchange. An unusable connection is closed.
func (p *Pool) Put(c *ClientConn) {
	if c.unusable.Load() || c.maxIdleTime <= 0 {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	p.idle = append(p.idle, c)
	expired := p.removeExpired(c.idleSince)
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
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
		return true
	})
	return err == nil && empty
}
