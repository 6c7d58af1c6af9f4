// Package faultproxy injects faults into TCP connections between processes under
// test: it delays them, resets them and makes them fall silent one way or both.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Proxy forwards TCP connections to one address. A silent cut of a direction makes
// its bytes vanish while all connections, existing and new ones, stay open, as in a
// network partition that nobody is told of.
type Proxy struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	changed  *sync.Cond
	cutTo    bool // bytes towards the target vanish
	cutFrom  bool // bytes from the target vanish
	delay    time.Duration
	closed   bool
	open     map[net.Conn]bool
	finished sync.WaitGroup
}

// New starts a proxy on a free port of loopback.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, open: make(map[net.Conn]bool)}
	p.changed = sync.NewCond(&p.mu)
	p.finished.Go(p.accept)
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetPartition sets the state of both directions. Connections over which bytes have
// vanished are broken when the direction heals, since TCP would resend bytes
// that a real network lost, and this proxy cannot.
func (p *Proxy) SetPartition(to, from bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	heals := (p.cutTo && !to) || (p.cutFrom && !from)
	p.cutTo, p.cutFrom = to, from
	if heals {
		p.breakAll()
	}
	p.changed.Broadcast()
}

// SetDelay holds back each piece of data by a time.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Reset breaks all open connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breakAll()
}

func (p *Proxy) breakAll() {
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset rather than an orderly end
		}
		_ = c.Close()
	}
	clear(p.open)
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.breakAll()
	p.changed.Broadcast()
	p.mu.Unlock()
	p.finished.Wait()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.finished.Go(func() { p.forward(c) })
	}
}

// keep registers a connection; it returns false after close.
func (p *Proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return false
	}
	p.open[c] = true
	return true
}

// forward connects to the target even while the proxy is cut, like a SYN that
// passed before the cut: the caller sees an open connection without answers.
func (p *Proxy) forward(in net.Conn) {
	if !p.keep(in) {
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		p.drop(in)
		return
	}
	if !p.keep(out) {
		p.drop(in)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(out, in, func() bool { return p.cutTo }) })
	both.Go(func() { p.copy(in, out, func() bool { return p.cutFrom }) })
	both.Wait()
}

// copy moves bytes until an end closes. The end of a connection is not passed
// on while its direction is cut.
func (p *Proxy) copy(dst, src net.Conn, isCut func() bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		p.mu.Lock()
		vanish, delay := isCut(), p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 0 && !vanish {
			if _, err := dst.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF || !vanish {
				break
			}
			p.waitWhile(isCut)
			break
		}
	}
	p.drop(src)
	p.drop(dst)
}

func (p *Proxy) waitWhile(isCut func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for isCut() && !p.closed {
		p.changed.Wait()
	}
}

func (p *Proxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.Close()
	delete(p.open, c)
}
