package httpwire

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// discardLimit is the size up to which the unread rest of a request body is
// read, so that its connection can be used again.
const discardLimit = 256 << 10

// ServerExchange is one request of a client and its answer.
type ServerExchange struct {
	Request *http.Request // its body is read through Body
	Arrived time.Time
	Body    *Body // nil if the request has none

	conn     *serverConn
	ctx      context.Context
	cancel   context.CancelFunc
	previous <-chan struct{} // the answer before this one was written
	written  chan struct{}
	once     sync.Once
}

func newExchange(c *serverConn, req *http.Request, limits RequestLimits) *ServerExchange {
	x := &ServerExchange{Request: req, Arrived: time.Now(), conn: c, written: make(chan struct{})}
	x.ctx, x.cancel = context.WithCancel(c.ctx)
	if req.Body != nil && req.Body != http.NoBody && req.ContentLength != 0 {
		x.Body = newBody(x, limits)
	}
	return x
}

// Context ends when the client has left or the answer was written.
func (x *ServerExchange) Context() context.Context { return x.ctx }

// ClientGone reports whether the client closed the connection.
func (x *ServerExchange) ClientGone() bool {
	return x.conn.ctx.Err() != nil
}

// Remote is the address of the client.
func (x *ServerExchange) Remote() string { return x.conn.nc.RemoteAddr().String() }

func (x *ServerExchange) handle() { x.conn.server.Handle(x) }

// awaitBody waits until the body was read, so that the next request can be. It
// reports whether that is possible.
func (x *ServerExchange) awaitBody() bool {
	if x.Body == nil {
		return true
	}
	select {
	case <-x.Body.ended:
	case <-x.conn.ctx.Done():
		return false
	}
	return x.Body.complete()
}

// ServerResponse is an answer. Header holds end-to-end headers only; the length and
// the state of the connection are added.
type ServerResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream replaces Body. Length is its size, -1 to send it in chunks.
	Stream io.Reader
	Length int64
	Close  bool // the connection ends with this answer
}

// Respond writes the answer after those of earlier requests. It must be called
// once. The error says that the client did not get it whole.
func (x *ServerExchange) Respond(r *ServerResponse) error {
	err := errors.New("the exchange was answered before")
	x.once.Do(func() { err = x.respond(r) })
	return err
}

// Abort ends the exchange without an answer: the connection is closed.
func (x *ServerExchange) Abort() {
	x.once.Do(func() { x.end(true) })
}

func (x *ServerExchange) respond(r *ServerResponse) error {
	if x.previous != nil {
		select {
		case <-x.previous:
		case <-x.conn.ctx.Done():
			x.end(true)
			return ErrClientGone
		}
	}
	discardable := x.Body == nil || x.Body.discardable()
	closing := x.conn.endsWith(x, r.Close || !discardable || x.conn.server.isDraining() || wantsClose(x.Request))
	err := x.write(r, closing)
	if err == nil && x.Body != nil {
		x.Body.discard()
	}
	x.end(err != nil)
	return err
}

// end lets the next answer be written.
func (x *ServerExchange) end(failed bool) {
	if x.Body != nil {
		x.Body.abandon()
	}
	x.conn.ended(x, failed)
	close(x.written)
	x.cancel()
}

func (x *ServerExchange) write(r *ServerResponse, closing bool) error {
	nc := x.conn.nc
	_ = nc.SetWriteDeadline(time.Now().Add(writeStall)) // fails only on a closed connection, which the write reports
	buf := getBuffer()
	defer putBuffer(buf)
	length := r.length()
	if r.Stream != nil && length < 0 && !x.Request.ProtoAtLeast(1, 1) {
		closing = true // without chunks, the end of the connection ends the answer
	}
	appendResponseHead(buf, x.Request, r, length, closing)
	if r.Stream == nil {
		if x.Request.Method != http.MethodHead {
			buf.Write(r.Body)
		}
		_, err := nc.Write(buf.Bytes())
		return err
	}
	if _, err := nc.Write(buf.Bytes()); err != nil {
		return err
	}
	if x.Request.Method == http.MethodHead {
		return nil
	}
	return copyBody(stallWriter{nc}, r.Stream, length, x.Request.ProtoAtLeast(1, 1))
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
	Length int64 // -1 if it comes in chunks
	x      *ServerExchange
	limit  int64

	mu    sync.Mutex
	read  int64
	err   error // sticky; io.EOF after the whole body
	asked bool  // the client was told to go on
	ended chan struct{}
	done  bool
}

// ErrBodyTooLarge is returned for a body above the limit.
var ErrBodyTooLarge = &ParseError{Status: http.StatusRequestEntityTooLarge, Reason: "the body exceeds the limit"}

func newBody(x *ServerExchange, limits RequestLimits) *Body {
	return &Body{Length: x.Request.ContentLength, x: x, limit: limits.BodyBytes, ended: make(chan struct{})}
}

// bodyStall is the time within which a client must send some of its body.
const bodyStall = 15 * time.Second

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err != nil {
		return 0, b.err
	}
	if b.Length > b.limit {
		b.end(ErrBodyTooLarge)
		return 0, b.err
	}
	b.sendContinue()
	nc := b.x.conn.nc
	_ = nc.SetReadDeadline(time.Now().Add(bodyStall)) // fails only on a closed connection, which the read reports
	n, err := b.x.Request.Body.Read(p)
	_ = nc.SetReadDeadline(time.Time{}) // as above
	b.read += int64(n)
	if b.read > b.limit {
		err = ErrBodyTooLarge
	}
	if err != nil {
		b.end(err)
	}
	return n, err
}

// sendContinue tells a client that waits for it to send the body.
func (b *Body) sendContinue() {
	if b.asked || b.x.Request.Header.Get("Expect") == "" {
		return
	}
	b.asked = true
	_, _ = b.x.conn.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // the read that follows reports a closed connection
}

func (b *Body) end(err error) {
	if b.done {
		return
	}
	b.done, b.err = true, err
	close(b.ended)
}

// complete reports whether the whole body was read.
func (b *Body) complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err == io.EOF
}

// discardable reports whether what is left of the body is small enough to be
// read for the sake of the connection.
func (b *Body) discardable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.err == io.EOF:
		return true
	case b.err != nil, b.Length < 0, !b.asked && b.x.Request.Header.Get("Expect") != "":
		return false
	}
	return b.Length-b.read <= discardLimit
}

// discard reads the rest of a body.
func (b *Body) discard() {
	if !b.complete() && b.discardable() {
		_, _ = io.Copy(io.Discard, b) // a failure ends the connection
	}
}

// abandon gives up the rest of a body.
func (b *Body) abandon() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.end(errAbandoned)
}

var errAbandoned = errors.New("the body was not read to its end")
