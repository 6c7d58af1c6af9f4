// Package integration tests the system as real processes behind a small
// fault-injecting TCP proxy.
package integration

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// faultProxy forwards TCP connections to one address. A silent cut of a
// direction makes its bytes vanish while all connections, existing and new
// ones, stay open, as in a network partition that nobody is told of.
type faultProxy struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	changed  *sync.Cond
	cutTo    bool // bytes towards the target vanish
	cutFrom  bool // bytes from the target vanish
	closed   bool
	open     map[net.Conn]bool
	finished sync.WaitGroup
}

func newProxy(t testing.TB, target string) *faultProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &faultProxy{listener: l, target: target, open: make(map[net.Conn]bool)}
	p.changed = sync.NewCond(&p.mu)
	p.finished.Go(p.accept)
	t.Cleanup(p.close)
	return p
}

func (p *faultProxy) address() string { return p.listener.Addr().String() }

// cut sets the state of both directions. Connections over which bytes have
// vanished are broken when the direction heals, since TCP would resend bytes
// that a real network lost, and this proxy cannot.
func (p *faultProxy) cut(to, from bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	heals := (p.cutTo && !to) || (p.cutFrom && !from)
	p.cutTo, p.cutFrom = to, from
	if heals {
		p.breakAll()
	}
	p.changed.Broadcast()
}

func (p *faultProxy) breakAll() {
	for c := range p.open {
		_ = c.Close()
	}
	clear(p.open)
}

func (p *faultProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.breakAll()
	p.changed.Broadcast()
	p.mu.Unlock()
	p.finished.Wait()
}

func (p *faultProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.finished.Go(func() { p.forward(c) })
	}
}

// keep registers a connection; it returns false after close.
func (p *faultProxy) keep(c net.Conn) bool {
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
func (p *faultProxy) forward(in net.Conn) {
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
func (p *faultProxy) copy(dst, src net.Conn, isCut func() bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		p.mu.Lock()
		vanish := isCut()
		p.mu.Unlock()
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

func (p *faultProxy) waitWhile(isCut func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for isCut() && !p.closed {
		p.changed.Wait()
	}
}

func (p *faultProxy) drop(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.Close()
	delete(p.open, c)
}
