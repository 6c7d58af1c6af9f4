package httpwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	readBufferBytes = 4 << 10
	// lingerTime is how long a connection that ends is read on, so that the
	// client gets the last answer before a reset that unread bytes cause.
	lingerTime = 500 * time.Millisecond
	// writeStall bounds the time that a client takes to read an answer.
	writeStall = 30 * time.Second
)

// serverConn is one connection of a client. One goroutine reads requests; each
// request is handled in its own; answers are written in the order of requests.
type serverConn struct {
	server *Server
	nc     net.Conn
	source *meteredReader
	reader *bufio.Reader
	ctx    context.Context // ends when the client has left
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	last    *ServerExchange // newest
	open    int             // exchanges without a written answer
	waiting bool            // the reader waits for the first byte of a request
	idle    time.Duration
	ending  bool // no further request is taken
	slots   chan struct{}
	writers sync.WaitGroup
}

// ErrClientGone is the cause of the context of an exchange whose client closed
// the connection.
var ErrClientGone = errors.New("the client closed the connection")

var errCut = errors.New("the connection is cut because the process ends")

func newServerConn(s *Server, nc net.Conn) *serverConn {
	c := &serverConn{server: s, nc: nc, source: &meteredReader{src: nc}, slots: make(chan struct{}, maxPipelined)}
	c.reader = bufio.NewReaderSize(c.source, readBufferBytes)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

func (c *serverConn) serve() {
	defer c.server.remove(c)
	err := c.readRequests()
	if err != nil {
		c.cancel(ErrClientGone)
	}
	c.writers.Wait()
	c.cancel(ErrClientGone)
	c.finish()
}

// readRequests reads until the connection is to end. The error says that the
// client has left; a nil error lets the requests in flight be answered.
func (c *serverConn) readRequests() error {
	for {
		if err := c.awaitRequest(); err != nil {
			return c.endOfInput(err)
		}
		limits := c.server.Limits().WithDefaults()
		req, err := c.readHead(limits)
		if err != nil {
			return c.rejectHead(err)
		}
		c.slots <- struct{}{}
		x := c.begin(req, limits)
		if x == nil {
			<-c.slots
			return c.watch()
		}
		go x.handle()
		if !x.awaitBody() {
			return nil
		}
		if c.isEnding() {
			// The client is still watched, so that its leaving is noticed.
			return c.watch()
		}
	}
}

// awaitRequest waits for the first byte of a request. Only the time without a
// request in flight counts as idle.
func (c *serverConn) awaitRequest() error {
	idle := c.server.Limits().WithDefaults().IdleTimeout
	c.mu.Lock()
	c.waiting, c.idle = true, idle
	c.setIdleDeadline()
	c.mu.Unlock()
	c.source.unlimited()
	_, err := c.reader.Peek(1)
	c.mu.Lock()
	c.waiting = false
	_ = c.nc.SetReadDeadline(time.Time{}) // fails only on a closed connection, which the next read reports
	c.mu.Unlock()
	return err
}

// setIdleDeadline applies the idle timeout while the reader waits and nothing
// is in flight. The caller holds the mutex.
func (c *serverConn) setIdleDeadline() {
	if !c.waiting {
		return
	}
	deadline := time.Time{}
	if c.open == 0 {
		deadline = time.Now().Add(c.idle)
		if c.ending {
			deadline = longAgo
		}
	}
	_ = c.nc.SetReadDeadline(deadline) // fails only on a closed connection, which the read reports
}

// endOfInput types the end of waiting for a request.
func (c *serverConn) endOfInput(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil // idle for too long, or the server ends
	}
	return err
}

// watch reads until the client closes the connection or all is answered. Requests that
// still come are not taken; the client sends them again, on another connection.
func (c *serverConn) watch() error {
	for {
		if err := c.awaitRequest(); err != nil {
			return c.endOfInput(err)
		}
		_, _ = c.reader.Discard(c.reader.Buffered()) // takes what is there, which cannot fail
	}
}

func (c *serverConn) readHead(limits RequestLimits) (*http.Request, error) {
	c.source.limit(max(limits.HeaderBytes-c.reader.Buffered(), 0))
	_ = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)) // as above
	req, err := http.ReadRequest(c.reader)
	_ = c.nc.SetReadDeadline(time.Time{}) // as above
	c.source.unlimited()
	if c.source.exceeded {
		return nil, &ParseError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "the headers exceed the limit"}
	}
	if err != nil {
		return nil, headError(err)
	}
	if req.Host == "" && req.ProtoAtLeast(1, 1) {
		return nil, &ParseError{Status: http.StatusBadRequest, Reason: "the request names no host"}
	}
	return req, nil
}

// headError types the failure of reading a head. A connection that ended within
// it is no request at all.
func headError(err error) error {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return &ParseError{Status: http.StatusRequestTimeout, Reason: "the head took too long", Cause: err}
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), errors.As(err, &timeout):
		return err
	}
	return &ParseError{Status: http.StatusBadRequest, Reason: "the request cannot be read", Cause: err}
}

// rejectHead answers a head that cannot be read, after the requests before it.
func (c *serverConn) rejectHead(err error) error {
	var parse *ParseError
	if !errors.As(err, &parse) {
		return err
	}
	if c.server.OnBadRequest != nil {
		c.server.OnBadRequest(c.nc.RemoteAddr(), parse)
	}
	c.slots <- struct{}{}
	c.mu.Lock()
	c.ending = true
	x := c.register(&http.Request{ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}}, RequestLimits{})
	c.mu.Unlock()
	_ = x.Respond(&ServerResponse{Status: parse.Status, Header: http.Header{}}) // the connection ends either way
	return nil
}

// begin takes a request, and returns nil if the connection ends with an answer before
// it: the client then takes the request as not read and sends it again. While the server
// drains, nothing is taken behind a request in flight, whose answer may come too late.
func (c *serverConn) begin(req *http.Request, limits RequestLimits) *ServerExchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.isDraining() && c.open > 0 {
		c.ending = true
	}
	if c.ending {
		return nil
	}
	return c.register(req, limits)
}

// register puts a request behind those before it. The caller holds the mutex.
func (c *serverConn) register(req *http.Request, limits RequestLimits) *ServerExchange {
	x := newExchange(c, req, limits)
	if c.last != nil {
		x.previous = c.last.written
	}
	c.last = x
	c.open++
	c.writers.Add(1)
	return x
}

// ended records that the answer of an exchange was written, or given up.
func (c *serverConn) ended(x *ServerExchange, failed bool) {
	c.mu.Lock()
	c.open--
	if c.last == x {
		c.last = nil
	}
	if failed {
		c.ending = true
		c.cancel(ErrClientGone)
		_ = c.nc.Close() // an incomplete answer must not look complete
	}
	c.setIdleDeadline()
	c.mu.Unlock()
	<-c.slots
	c.writers.Done()
}

// endsWith reports whether the connection ends with the answer of an exchange:
// if that is wanted and no request behind it was taken.
func (c *serverConn) endsWith(x *ServerExchange, wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !wanted && !c.ending || c.last != x {
		return false
	}
	c.ending = true
	return true
}

func (c *serverConn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

func (c *serverConn) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// closeIfIdle ends a connection on which no request has begun to arrive.
func (c *serverConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	c.setIdleDeadline()
}

func (c *serverConn) cut() {
	c.cancel(errCut)
	_ = c.nc.Close() // the process ends
}

// finish closes the connection. The write side goes first, and what the client
// still sends is read for a moment.
func (c *serverConn) finish() {
	if tcp, ok := c.nc.(*net.TCPConn); ok && c.reader.Buffered() == 0 {
		if tcp.CloseWrite() == nil {
			_ = tcp.SetReadDeadline(time.Now().Add(lingerTime)) // as above
			_, _ = io.Copy(io.Discard, tcp)                     // nothing is expected
		}
	}
	_ = c.nc.Close() // nothing is left to send
}

// meteredReader limits how much of a connection is read for one head.
type meteredReader struct {
	src      io.Reader
	left     int  // -1 for no limit
	exceeded bool // more than the limit was asked for
}

func (m *meteredReader) limit(n int) { m.left, m.exceeded = n, false }
func (m *meteredReader) unlimited()  { m.left = -1 }

// Read implements io.Reader.
func (m *meteredReader) Read(p []byte) (int, error) {
	if m.left == 0 {
		m.exceeded = true
		return 0, io.EOF
	}
	if m.left > 0 && len(p) > m.left {
		p = p[:m.left]
	}
	n, err := m.src.Read(p)
	if m.left > 0 {
		m.left -= n
	}
	return n, err
}
