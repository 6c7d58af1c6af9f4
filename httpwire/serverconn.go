package httpwire

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
)

const (
	readBufferBytes = 4 << 10
	// lingerTime is how long a connection that is being closed is still read. Unread bytes would
	// cause a reset, and the client might lose the last response.
	lingerTime = 500 * time.Millisecond
	// writeStallTimeout limits the time that a client takes to read a part of a response.
	writeStallTimeout = 30 * time.Second
)

// serverConn is one connection of a client. One goroutine reads the requests, each request is
// processed in a separate goroutine, and responses are written in the order of the requests.
type serverConn struct {
	server        *Server
	nc            net.Conn
	limitedSource *limitedReader
	reader        *bufio.Reader
	ctx           context.Context // ends when the client has disconnected
	cancel        context.CancelCauseFunc
	holder        *holding.Holder
	evicted       atomic.Bool          // the client is asked to go because it holds up others
	receiving     atomic.Pointer[Body] // the body that is being read from the connection

	mu           sync.Mutex
	newest       *ServerExchange
	pending      int  // exchanges whose response has not been written
	awaitingHead bool // the reader waits for the first byte of a request
	inHead       bool // the reader waits for the rest of a head
	idleTimeout  time.Duration
	closing      bool // no further request is accepted
	slots        chan struct{}
	writers      sync.WaitGroup
}

// ErrClientDisconnected is the cause of the context of an exchange whose client closed the
// connection.
var ErrClientDisconnected = errors.New("the client closed the connection")

var errAborted = errors.New("the connection is aborted because the server shuts down")

// newServerConn returns nil if the ledger does not accept the connection.
func newServerConn(s *Server, nc net.Conn) *serverConn {
	c := &serverConn{server: s, nc: nc, slots: make(chan struct{}, maxPipelined)}
	if c.holder = s.Ledger.Accept(s.Source, c.evict); c.holder == nil {
		return nil
	}
	c.limitedSource = &limitedReader{src: nc}
	c.reader = bufio.NewReaderSize(c.limitedSource, readBufferBytes)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// evict ends what the client holds up. A request that is not complete is rejected, a response that is not
// read is cut off, and a connection without a request is closed.
func (c *serverConn) evict(d holding.Direction) {
	c.evicted.Store(true)
	if d == holding.Sending {
		c.reset()
		c.abort()
		return
	}
	if b := c.receiving.Load(); b != nil {
		b.evict()
	}
	c.closeIfIdle()
	c.interruptHead()
}

// reset makes the close of the connection a reset: a client of HTTP/1.0 would take an orderly end for that
// of the response, and what the kernel holds for the client is dropped.
func (c *serverConn) reset() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}

// interruptHead ends the reading of a head.
func (c *serverConn) interruptHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHead {
		_ = c.nc.SetReadDeadline(pastDeadline) // fails only on a closed connection, which the read reports
	}
}

func (c *serverConn) serve() {
	defer c.holder.Close()
	defer c.server.remove(c)
	err := c.readRequests()
	if err != nil {
		c.cancel(ErrClientDisconnected)
	}
	c.writers.Wait()
	c.cancel(ErrClientDisconnected)
	c.closeGracefully()
}

// readRequests reads requests until the connection is to be closed. An error means that the client
// has disconnected. If it is nil, the requests in flight are completed.
func (c *serverConn) readRequests() error {
	for {
		if err := c.awaitHead(); err != nil {
			return c.inputError(err)
		}
		limits := c.server.Limits().WithDefaults()
		req, err := c.readHead(limits)
		if err != nil {
			return c.rejectHead(err)
		}
		held := headBytes(req)
		if !c.holder.ReserveSmall(held) {
			return c.rejectHead(errNoRoomForHead)
		}
		c.slots <- struct{}{}
		x := c.startExchange(req, limits, held)
		if x == nil {
			c.holder.Release(held)
			<-c.slots
			return c.watchDisconnect()
		}
		c.server.process(x)
		if !x.awaitBodyRead() {
			return nil
		}
		if c.isClosing() {
			// Reading continues, so that a disconnect of the client is detected.
			return c.watchDisconnect()
		}
	}
}

// awaitHead waits for the first byte of a request. The idle timeout applies only while no request
// is in flight.
func (c *serverConn) awaitHead() error {
	idle := c.server.Limits().WithDefaults().IdleTimeout
	c.mu.Lock()
	c.awaitingHead, c.idleTimeout = true, idle
	c.setIdleDeadline()
	c.holder.SetIdle(c.pending == 0)
	c.mu.Unlock()
	c.limitedSource.clearLimit()
	_, err := c.reader.Peek(1)
	c.mu.Lock()
	c.awaitingHead = false
	c.holder.SetIdle(false)
	_ = c.nc.SetReadDeadline(time.Time{}) // fails only on a closed connection, which the next read reports
	c.mu.Unlock()
	return err
}

// setIdleDeadline applies the idle timeout while the reader waits and no request is in flight. The
// caller holds the mutex.
func (c *serverConn) setIdleDeadline() {
	if !c.awaitingHead {
		return
	}
	deadline := time.Time{}
	if c.pending == 0 {
		deadline = time.Now().Add(c.idleTimeout)
		if c.closing {
			deadline = pastDeadline
		}
	}
	_ = c.nc.SetReadDeadline(deadline) // fails only on a closed connection, which the read reports
}

// inputError classifies an error while waiting for a request. It is nil after a timeout.
func (c *serverConn) inputError(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil // idle timeout, or the server shuts down
	}
	return err
}

// watchDisconnect reads until the client closes the connection or all responses are written.
// Further requests are not accepted; the client sends them again on another connection.
func (c *serverConn) watchDisconnect() error {
	for {
		if err := c.awaitHead(); err != nil {
			return c.inputError(err)
		}
		_, _ = c.reader.Discard(c.reader.Buffered()) // cannot fail on buffered bytes
	}
}

func (c *serverConn) readHead(limits RequestLimits) (*http.Request, error) {
	c.limitedSource.setLimit(limits.HeaderBytes, c.reader.Buffered())
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail on buffered bytes
	if !c.limitedSource.holdHead(c.holder, buffered) {
		return nil, errNoRoomForHead
	}
	defer c.limitedSource.releaseHead()
	c.holder.BeginMessage(holding.Receiving)
	c.setHeadDeadline(time.Now().Add(limits.HeaderTimeout))
	start := c.consumed()
	req, err := http.ReadRequest(c.reader)
	c.setHeadDeadline(time.Time{})
	c.limitedSource.clearLimit()
	if c.limitedSource.refused || err != nil && c.evicted.Load() {
		return nil, errNoRoomForHead
	}
	// A head that was buffered as a whole is parsed without a read at the limit.
	if c.limitedSource.exceeded || c.consumed()-start > int64(limits.HeaderBytes) {
		return nil, &ParseError{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "the headers exceed the limit"}
	}
	if err != nil {
		return nil, headError(err)
	}
	if !validNames(req.Header) {
		return nil, &ParseError{Status: http.StatusBadRequest, Reason: "a header name of the request has a character that no name has"}
	}
	if req.Host == "" && req.ProtoAtLeast(1, 1) {
		return nil, &ParseError{Status: http.StatusBadRequest, Reason: "the request has no Host header"}
	}
	return req, nil
}

// setHeadDeadline sets the deadline of a head, zero at its end. That of a client that is asked to go has
// passed.
func (c *serverConn) setHeadDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHead = !deadline.IsZero()
	if c.inHead && c.evicted.Load() {
		deadline = pastDeadline
	}
	_ = c.nc.SetReadDeadline(deadline) // fails only on a closed connection, which the next read reports
}

// consumed returns the number of bytes that the client sent and that are no longer buffered.
func (c *serverConn) consumed() int64 { return c.limitedSource.total - int64(c.reader.Buffered()) }

// headError classifies an error while reading a head. If the connection was closed within the head,
// there is no request to respond to.
func headError(err error) error {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return &ParseError{Status: http.StatusRequestTimeout, Reason: "the request head was not received in time", Cause: err}
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), errors.As(err, &timeout):
		return err
	}
	return &ParseError{Status: http.StatusBadRequest, Reason: "the request cannot be parsed", Cause: err}
}

// rejectHead responds to a head that cannot be parsed, after the responses to earlier requests.
func (c *serverConn) rejectHead(err error) error {
	var parse *ParseError
	if !errors.As(err, &parse) {
		return err
	}
	if c.server.OnBadRequest != nil && parse.Status != http.StatusServiceUnavailable { // without room, the request is not at fault
		c.server.OnBadRequest(c.nc.RemoteAddr(), parse)
	}
	c.slots <- struct{}{}
	c.mu.Lock()
	c.closing = true
	x := c.enqueue(&http.Request{ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}}, RequestLimits{}, 0)
	c.mu.Unlock()
	resp := &ServerResponse{Status: parse.Status, Header: http.Header{}}
	if parse.RetryAfter > 0 {
		resp.Header["Retry-After"] = []string{strconv.FormatFloat(parse.RetryAfter.Seconds(), 'f', 3, 64)}
	}
	_ = x.Respond(resp) // the connection is closed in any case
	return nil
}

// startExchange accepts a request. It returns nil if the connection is closed after an earlier
// response: the client then assumes that the request was not read and sends it again. While the
// server drains, no request is accepted on a connection with a request in flight: its response
// would have to wait for the earlier one, possibly beyond the end of the process.
func (c *serverConn) startExchange(req *http.Request, limits RequestLimits, held int64) *ServerExchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.isDraining() && c.pending > 0 {
		c.closing = true
	}
	if c.closing {
		return nil
	}
	return c.enqueue(req, limits, held)
}

// enqueue adds a request, which holds memory for its head, after the earlier ones. The caller holds the mutex.
func (c *serverConn) enqueue(req *http.Request, limits RequestLimits, held int64) *ServerExchange {
	x := newExchange(c, req, limits)
	x.held = held
	if c.newest != nil {
		x.previousWritten = c.newest.written
	}
	c.newest = x
	c.pending++
	c.writers.Add(1)
	return x
}

// exchangeEnded records that the response of an exchange was written, or that it failed.
func (c *serverConn) exchangeEnded(x *ServerExchange, failed bool) {
	c.holder.Release(x.held)
	c.mu.Lock()
	c.pending--
	if c.awaitingHead && c.pending == 0 {
		c.holder.SetIdle(true)
	}
	if c.newest == x {
		c.newest = nil
	}
	if failed {
		c.closing = true
		c.cancel(ErrClientDisconnected)
		_ = c.nc.Close() // an incomplete response must not appear complete
	}
	c.setIdleDeadline()
	c.mu.Unlock()
	<-c.slots
	c.writers.Done()
}

// closesAfter decides whether the connection is closed after the response of an exchange: only if
// no later request was accepted and the connection is closing or closeWanted is set.
func (c *serverConn) closesAfter(x *ServerExchange, closeWanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !closeWanted && !c.closing || c.newest != x {
		return false
	}
	c.closing = true
	return true
}

func (c *serverConn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

func (c *serverConn) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// closeIfIdle closes a connection on which no request has begun to arrive.
func (c *serverConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.setIdleDeadline()
}

func (c *serverConn) abort() {
	c.cancel(errAborted)
	_ = c.nc.Close() // the connection is abandoned
}

// closeGracefully closes the write side, reads the connection for up to lingerTime and closes it.
func (c *serverConn) closeGracefully() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		if tcp.CloseWrite() == nil {
			_ = tcp.SetReadDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection, which the read reports
			_, _ = io.Copy(io.Discard, tcp)                     // no further data is expected
		}
	}
	_ = c.nc.Close() // no data is pending
}
