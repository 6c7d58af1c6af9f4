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

// Pool keeps idle connections to one server, most recently used first.
type Pool struct {
	// Dial opens a connection.
	Dial func(ctx context.Context) (net.Conn, error)

	mu   sync.Mutex
	idle []*ClientConn
}

// Get returns a connection that was idle for at most maxIdle, or a new one. A
// maxIdle of 0 always opens a new one.
func (p *Pool) Get(ctx context.Context, maxIdle time.Duration) (*ClientConn, error) {
	for c := p.take(maxIdle); c != nil; c = p.take(maxIdle) {
		if c.quiet() {
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

// take removes the connection that was used last, unless that was too long ago;
// then it stays for an exchange that is less particular.
func (p *Pool) take(maxIdle time.Duration) *ClientConn {
	now := time.Now()
	p.mu.Lock()
	expired := p.expire(now)
	var c *ClientConn
	if n := len(p.idle); n > 0 && now.Sub(p.idle[n-1].freeAt) <= maxIdle {
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
	}
	p.mu.Unlock()
	closeAll(expired)
	return c
}

// Put returns a connection after an exchange. One that cannot carry another
// exchange is closed.
func (p *Pool) Put(c *ClientConn) {
	if c.broken.Load() || c.idleTime <= 0 {
		c.Close()
		return
	}
	c.freeAt = time.Now()
	p.mu.Lock()
	p.idle = append(p.idle, c)
	expired := p.expire(c.freeAt)
	p.mu.Unlock()
	closeAll(expired)
}

func closeAll(conns []*ClientConn) {
	for _, c := range conns {
		c.Close()
	}
}

// expire removes the connections that were idle for longer than their server
// allows. The caller holds the mutex.
func (p *Pool) expire(now time.Time) []*ClientConn {
	var expired []*ClientConn
	p.idle = slices.DeleteFunc(p.idle, func(c *ClientConn) bool {
		over := now.Sub(c.freeAt) > c.idleTime
		if over {
			expired = append(expired, c)
		}
		return over
	})
	return expired
}

// Clear closes all idle connections.
func (p *Pool) Clear() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	closeAll(idle)
}

// quiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *ClientConn) quiet() bool {
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
	silent := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN
		return true
	})
	return err == nil && silent
}
