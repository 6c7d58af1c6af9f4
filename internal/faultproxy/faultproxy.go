// Package faultproxy injects faults into TCP connections between processes under
// test: delays, resets and partitions in one or both directions.
package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections to one address. While a direction is partitioned, its
// bytes are dropped, but all connections, existing and new ones, stay open, as in a
// network partition that no endpoint is notified of.
type Proxy struct {
	listener net.Listener
	target   string
	ctx      context.Context // ends with Close
	stop     context.CancelFunc

	mu             sync.Mutex
	changed        *sync.Cond
	dropToTarget   bool // bytes to the target are dropped
	dropFromTarget bool // bytes from the target are dropped
	delay          time.Duration
	closed         bool
	connections    map[net.Conn]bool
	goroutines     sync.WaitGroup
}

// New starts a proxy for the target address on a free port of the loopback interface.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, connections: make(map[net.Conn]bool)}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.changed = sync.NewCond(&p.mu)
	p.goroutines.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetPartition sets for each direction whether bytes are dropped. When a direction
// heals, the open connections are reset: over a real network, TCP would retransmit the
// lost bytes, which this proxy cannot do.
func (p *Proxy) SetPartition(toTarget, fromTarget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	heals := (p.dropToTarget && !toTarget) || (p.dropFromTarget && !fromTarget)
	p.dropToTarget, p.dropFromTarget = toTarget, fromTarget
	if heals {
		p.resetAll()
	}
	p.changed.Broadcast()
}

// SetDelay delays each chunk of data by d.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Reset resets all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *Proxy) resetAll() {
	for c := range p.connections {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close with RST instead of FIN
		}
		_ = c.Close()
	}
	clear(p.connections)
}

// Close stops the proxy, resets its connections and waits for its goroutines.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.stop()
	p.mu.Lock()
	p.closed = true
	p.resetAll()
	p.changed.Broadcast()
	p.mu.Unlock()
	p.goroutines.Wait()
}

func (p *Proxy) accept() {
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Go(func() { p.forward(connection) })
	}
}

// track registers a connection. After Close it closes the connection and returns false.
func (p *Proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return false
	}
	p.connections[c] = true
	return true
}

// forward connects to the target even during a partition, as if the handshake had
// finished before it: the client has an open connection but gets no responses.
func (p *Proxy) forward(in net.Conn) {
	if !p.track(in) {
		return
	}
	out, err := new(net.Dialer).DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		p.closeConnection(in)
		return
	}
	if !p.track(out) {
		p.closeConnection(in)
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(out, in, func() bool { return p.dropToTarget }) })
	copies.Go(func() { p.copy(in, out, func() bool { return p.dropFromTarget }) })
	copies.Wait()
}

// copy copies bytes from src to dst until one of them closes. While the direction is
// partitioned, the end of the connection is not passed on.
func (p *Proxy) copy(dst, src net.Conn, partitioned func() bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		p.mu.Lock()
		dropped, delay := partitioned(), p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !dropped {
			if _, err := dst.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF || !dropped {
				break
			}
			p.waitWhilePartitioned(partitioned)
			break
		}
	}
	p.closeConnection(src)
	p.closeConnection(dst)
}

func (p *Proxy) waitWhilePartitioned(partitioned func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for partitioned() && !p.closed {
		p.changed.Wait()
	}
}

func (p *Proxy) closeConnection(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.Close()
	delete(p.connections, c)
}
