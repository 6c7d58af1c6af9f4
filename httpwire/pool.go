package httpwire

import (
	"context"
	"net"
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
	now := time.Now()
	for {
		c := p.take()
		if c == nil {
			break
		}
		if now.Sub(c.freeAt) <= min(maxIdle, c.idleTime) && c.quiet() {
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

func (p *Pool) take() *ClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
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
	for _, c := range expired {
		c.Close()
	}
}

// expire removes the connections that were idle for too long, the least
// recently used of which are first. The caller holds the mutex.
func (p *Pool) expire(now time.Time) []*ClientConn {
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].freeAt) > p.idle[n].idleTime {
		n++
	}
	expired := append([]*ClientConn(nil), p.idle[:n]...)
	p.idle = p.idle[n:]
	return expired
}

// Clear closes all idle connections.
func (p *Pool) Clear() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
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
