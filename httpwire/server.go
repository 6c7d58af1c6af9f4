package httpwire

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
)

// maxPipelined is the maximum number of requests of one connection that are processed or queued.
// At the limit the connection is not read, which applies backpressure to the client.
const maxPipelined = 64

// maxIdleWorkers is the number of goroutines that wait for the next request. They keep the stacks that
// earlier requests have grown, which new goroutines would have to grow again.
const maxIdleWorkers = 64

// acceptRetryDelay is the wait after a failed accept, for example if file descriptors run out.
const acceptRetryDelay = 10 * time.Millisecond

// Server serves the requests of a listener.
type Server struct {
	// Handle processes one request in a separate goroutine. It must call Respond or Abort.
	Handle func(*ServerExchange)
	// Limits returns the limits for the next request.
	Limits func() RequestLimits
	// OnBadRequest is called for each request that could not be parsed; it may be nil.
	OnBadRequest func(remote net.Addr, err *ParseError)
	// Ledger accounts for what the clients of the server hold; nil for no limits. A connection that it does
	// not accept is closed without a response, so that its client knows that no request was read.
	Ledger *holding.Ledger
	// Source is who opens the connections.
	Source holding.Source

	mu        sync.Mutex
	conns     map[*serverConn]bool
	draining  bool
	closed    bool
	openConns sync.WaitGroup

	work        chan *ServerExchange // to the idle workers
	idleWorkers atomic.Int32
	stopWorkers chan struct{} // closed when Serve returns
}

// Serve accepts connections until the listener is closed. It may be called once.
func (s *Server) Serve(l net.Listener) error {
	s.work, s.stopWorkers = make(chan *ServerExchange), make(chan struct{})
	defer close(s.stopWorkers)
	for {
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if c := s.add(nc); c != nil {
			go c.serve()
		}
	}
}

// process processes a request in another goroutine: an idle worker, or a new one.
func (s *Server) process(x *ServerExchange) {
	select {
	case s.work <- x:
	default:
		go s.runWorker(x)
	}
}

// runWorker processes one request after the other.
func (s *Server) runWorker(x *ServerExchange) {
	for x != nil {
		s.Handle(x)
		x = s.awaitWork()
	}
}

// awaitWork returns the next request for an idle worker, nil if the worker is to end.
func (s *Server) awaitWork() *ServerExchange {
	defer s.idleWorkers.Add(-1)
	if s.idleWorkers.Add(1) > maxIdleWorkers {
		return nil
	}
	select {
	case x := <-s.work:
		return x
	case <-s.stopWorkers:
		return nil
	}
}

// add returns nil, and closes the connection, if there are too many or the server has been shut down.
func (s *Server) add(nc net.Conn) *serverConn {
	c := newServerConn(s, nc)
	if c == nil {
		_ = nc.Close() // nothing was read
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.holder.Close()
		_ = nc.Close() // as above
		return nil
	}
	if s.conns == nil {
		s.conns = map[*serverConn]bool{}
	}
	s.conns[c] = true
	s.openConns.Add(1)
	return c
}

func (s *Server) remove(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.openConns.Done()
}

// Drain closes each connection after its next response. Connections without a request in flight
// stay open, since a client may be sending one.
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

// InFlight returns the number of requests whose response has not been written.
func (s *Server) InFlight() int {
	n := 0
	for _, c := range s.connections() {
		n += c.inFlight()
	}
	return n
}

func (s *Server) connections() []*serverConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	return list
}

// Shutdown closes the connections without a request in flight and waits for the others until ctx
// ends. Then it aborts them without waiting for their handlers. The caller closes the listener.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.draining, s.closed = true, true
	s.mu.Unlock()
	for _, c := range s.connections() {
		c.closeIfIdle()
	}
	done := make(chan struct{})
	go func() {
		s.openConns.Wait()
		close(done)
	}()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	for _, c := range s.connections() {
		c.abort()
	}
}
