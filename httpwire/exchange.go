package httpwire

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
)

// maxDiscardedBody is the size in bytes up to which the unread rest of a request body is read, so
// that the connection can be reused.
const maxDiscardedBody = 256 << 10

// ServerExchange is one request of a client and its response.
type ServerExchange struct {
	Request    *http.Request // with end-to-end headers only; the body is read through Body
	ReceivedAt time.Time
	Body       *Body // nil if the request has none

	conn            *serverConn
	previousWritten <-chan struct{} // closed when the previous response has been written
	written         chan struct{}
	once            sync.Once
	held            int64 // memory for the head
}

func newExchange(c *serverConn, req *http.Request, limits RequestLimits) *ServerExchange {
	x := &ServerExchange{Request: req, ReceivedAt: time.Now(), conn: c, written: make(chan struct{})}
	if req.Body != nil && req.Body != http.NoBody && req.ContentLength != 0 {
		x.Body = newBody(x, limits, req.Header.Get("Expect") != "")
		c.holder.BeginMessage(holding.Receiving)
	}
	removeHopByHopHeaders(req.Header)
	return x
}

// Holder returns the holder of the connection, to which what the exchange takes is charged.
func (x *ServerExchange) Holder() *holding.Holder { return x.conn.holder }

// Context returns a context that ends when the client disconnects. It is that of the connection, so
// what waits for its end must not outlast the exchange.
func (x *ServerExchange) Context() context.Context { return x.conn.ctx }

// ClientDisconnected reports whether the client has closed the connection.
func (x *ServerExchange) ClientDisconnected() bool {
	return x.conn.ctx.Err() != nil
}

// RemoteAddr returns the address of the client.
func (x *ServerExchange) RemoteAddr() string { return x.conn.nc.RemoteAddr().String() }

// awaitBodyRead waits until the body has been read. It reports whether the next request can be read
// from the connection.
func (x *ServerExchange) awaitBodyRead() bool {
	if x.Body == nil {
		return true
	}
	x.conn.receiving.Store(x.Body)
	if x.conn.evicted.Load() {
		x.Body.evict()
	}
	defer x.conn.receiving.Store(nil)
	select {
	case <-x.Body.ended:
	case <-x.conn.ctx.Done():
		return false
	}
	return x.Body.complete()
}

// ServerResponse is a response. Header contains only end-to-end headers; Content-Length,
// Transfer-Encoding and Connection are added.
type ServerResponse struct {
	Status int
	Header http.Header
	Set    []HeaderField // replaces or adds single headers
	Body   []byte
	// Stream replaces Body. Length is its size in bytes; with -1 it is sent in chunks.
	Stream io.Reader
	Length int64
	Close  bool // closes the connection after this response
}

// Respond writes the response after those to earlier requests. It must be called once. An error
// means that the client did not receive the whole response.
func (x *ServerExchange) Respond(r *ServerResponse) error {
	err := errors.New("the exchange already has a response")
	x.once.Do(func() { err = x.respondInOrder(r) })
	return err
}

// Abort closes the connection without a response.
func (x *ServerExchange) Abort() {
	x.once.Do(func() { x.finish(true) })
}

func (x *ServerExchange) respondInOrder(r *ServerResponse) error {
	if x.previousWritten != nil {
		select {
		case <-x.previousWritten:
		case <-x.conn.ctx.Done():
			x.finish(true)
			return ErrClientDisconnected
		}
	}
	discardable := x.Body == nil || x.Body.discardable()
	closing := x.conn.closesAfter(x, r.Close || !discardable || x.conn.server.isDraining() || wantsClose(x.Request))
	err := x.writeResponse(r, closing)
	if err == nil && x.Body != nil {
		x.Body.discard()
	}
	x.finish(err != nil)
	return err
}

// finish ends the exchange and allows the next response to be written.
func (x *ServerExchange) finish(failed bool) {
	if x.Body != nil {
		x.Body.abandon()
	}
	x.conn.exchangeEnded(x, failed)
	close(x.written)
}

func (x *ServerExchange) writeResponse(r *ServerResponse, closing bool) error {
	nc := x.conn.nc
	x.conn.holder.BeginMessage(holding.Sending)
	out := stallTimeoutWriter{nc, x.conn.holder}
	buf := getBuffer()
	defer putBuffer(buf)
	length := r.length()
	if r.Stream != nil && length < 0 && !x.Request.ProtoAtLeast(1, 1) {
		closing = true // without chunks, the end of the response is marked by the end of the connection
	}
	appendResponseHead(buf, x.Request, r, length, closing)
	if r.Stream == nil {
		body := r.Body
		if x.Request.Method == http.MethodHead {
			body = nil
		}
		if n := int64(len(body)); n <= maxPooledBuffer && x.conn.holder.Reserve(n) {
			defer x.conn.holder.Release(n)
			buf.Write(body)
			body = nil
		}
		_, err := out.Write(buf.Bytes())
		for err == nil && len(body) > 0 { // not copied, since a client that reads slowly would hold both
			part := body[:min(len(body), maxWrite)]
			_, err = out.Write(part)
			body = body[len(part):]
		}
		return err
	}
	if _, err := out.Write(buf.Bytes()); err != nil {
		return err
	}
	if x.Request.Method == http.MethodHead {
		return nil
	}
	chunked := x.Request.ProtoAtLeast(1, 1)
	err := copyBody(out, r.Stream, length, chunked, x.conn.holder)
	if err != nil && length < 0 && !chunked {
		x.conn.reset()
	}
	return err
}

func (r *ServerResponse) length() int64 {
	if r.Stream == nil {
		return int64(len(r.Body))
	}
	return r.Length
}

func wantsClose(req *http.Request) bool {
	return req.Close || !req.ProtoAtLeast(1, 1)
}

// Body is the body of a request.
type Body struct {
	Length   int64 // -1 if it is sent in chunks
	exchange *ServerExchange
	limit    int64
	// expectsContinue is set if the client waits for 100 Continue.
	expectsContinue bool

	mu           sync.Mutex
	received     int64
	err          error // returned by all further reads; io.EOF after the whole body
	continueSent bool  // 100 Continue was sent
	ended        chan struct{}
	done         bool

	interrupted atomic.Bool
	evicted     atomic.Bool
}

// ErrBodyTooLarge is returned for a body that exceeds the limit.
var ErrBodyTooLarge = &ParseError{Status: http.StatusRequestEntityTooLarge, Reason: "the request body exceeds the limit"}

func newBody(x *ServerExchange, limits RequestLimits, expectsContinue bool) *Body {
	return &Body{Length: x.Request.ContentLength, exchange: x, limit: limits.BodyBytes, expectsContinue: expectsContinue, ended: make(chan struct{})}
}

// bodyStallTimeout is the time within which a client must send the next part of its body.
const bodyStallTimeout = 15 * time.Second

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if b.Length > b.limit {
		b.finish(ErrBodyTooLarge)
		return 0, b.err
	}
	b.sendContinue()
	nc := b.exchange.conn.nc
	_ = nc.SetReadDeadline(time.Now().Add(bodyStallTimeout)) // fails only on a closed connection, which the read reports
	if cause := b.interruption(); cause != nil {
		b.finish(cause)
		return 0, b.err
	}
	b.exchange.conn.holder.Wait(holding.Receiving)
	n, err := b.exchange.Request.Body.Read(p)
	b.exchange.conn.holder.Progress(holding.Receiving, n)
	_ = nc.SetReadDeadline(time.Time{}) // fails only on a closed connection, which the next read reports
	b.received += int64(n)
	switch cause := b.interruption(); {
	case b.received > b.limit:
		err = ErrBodyTooLarge
	case err != nil && err != io.EOF && cause != nil:
		err = cause
	}
	if err != nil {
		b.finish(err)
	}
	return n, err
}

// ErrBodyInterrupted is returned for a body whose reading was interrupted.
var ErrBodyInterrupted = errors.New("the reading of the request body was interrupted")

// Interrupt ends a read in progress and all later ones. It has no effect on a body that has been read
// to its end.
func (b *Body) Interrupt() {
	b.interrupted.Store(true)                            // before the deadline, which a read that begins now would replace
	_ = b.exchange.conn.nc.SetReadDeadline(pastDeadline) // fails only on a closed connection, which the read reports
}

// evict ends the reading because the client makes too little progress.
func (b *Body) evict() {
	b.evicted.Store(true)
	b.Interrupt()
}

// interruption returns why the reading of the body was interrupted, nil if it was not.
func (b *Body) interruption() error {
	switch {
	case b.evicted.Load():
		return ErrEvicted
	case b.interrupted.Load():
		return ErrBodyInterrupted
	}
	return nil
}

// sendContinue sends 100 Continue to a client that waits for it.
func (b *Body) sendContinue() {
	if b.continueSent || !b.expectsContinue {
		return
	}
	b.continueSent = true
	_, _ = b.exchange.conn.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // the read that follows reports a closed connection
}

func (b *Body) finish(err error) {
	if b.done {
		return
	}
	b.done, b.err = true, err
	close(b.ended)
}

// complete reports whether the whole body has been read.
func (b *Body) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err == io.EOF
}

// discardable reports whether the unread rest of the body is small enough to be read so that the
// connection can be reused.
func (b *Body) discardable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.err == io.EOF:
		return true
	case b.err != nil, b.Length < 0, !b.continueSent && b.expectsContinue:
		return false
	}
	return b.Length-b.received <= maxDiscardedBody
}

// discard reads the rest of a body.
func (b *Body) discard() {
	if !b.complete() && b.discardable() {
		_, _ = io.Copy(io.Discard, b) // on an error the connection is closed
	}
}

// abandon ends reading; further reads fail.
func (b *Body) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finish(errBodyAbandoned)
}

var errBodyAbandoned = errors.New("the body was not read to its end")
