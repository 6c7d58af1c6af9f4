package httpwire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// maxPipelined is the number of requests of one connection that run or wait for
// their turn at the same time. Above it the connection is not read on, which
// pushes back on the client.
const maxPipelined = 64

// acceptPause is the wait after a failed accept, as when descriptors run out.
const acceptPause = 10 * time.Millisecond

// Server serves the requests of a listener.
type Server struct {
	// Handle answers one request. It runs in a goroutine of its own and must
	// call Respond or Abort.
	Handle func(*ServerExchange)
	// Limits returns the limits for the next request.
	Limits func() RequestLimits
	// OnBadRequest is told of a request that could not be read, nil for nobody.
	OnBadRequest func(remote net.Addr, err *ParseError)

	mu       sync.Mutex
	conns    map[*serverConn]bool
	draining bool
	closed   bool
	open     sync.WaitGroup
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(acceptPause)
			continue
		}
		if c := s.add(nc); c != nil {
			go c.serve()
		}
	}
}

func (s *Server) add(nc net.Conn) *serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = nc.Close() // the server has ended
		return nil
	}
	if s.conns == nil {
		s.conns = map[*serverConn]bool{}
	}
	c := newServerConn(s, nc)
	s.conns[c] = true
	s.open.Add(1)
	return c
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.open.Done()
}

// Drain makes each connection end with its next answer. Connections without a
// request stay open, since a client may be sending one.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// InFlight is the number of requests that are not answered yet.
func (s *Server) InFlight() int {
	n := 0
	for _, c := range s.snapshot() {
		n += c.inFlight()
	}
	return n
}

func (s *Server) snapshot() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// Finish closes the connections that have no request, and waits for the others
// until ctx ends. Then they are cut, and their handlers are left behind.
func (s *Server) Finish(ctx context.Context) {
	s.mu.Lock()
	s.draining, s.closed = true, true
	s.mu.Unlock()
	for _, c := range s.snapshot() {
		c.closeIfIdle()
	}
	ended := make(chan struct{})
	go func() {
		s.open.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return
	case <-ctx.Done():
	}
	for _, c := range s.snapshot() {
		c.cut()
	}
}
