package httpwire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/holding"
)

// ClientRequest is a request to be sent to a server.
type ClientRequest struct {
	Method string
	Target string // path and query as received
	Host   string
	Header http.Header // end-to-end headers only
	// Set replaces or adds single headers, so that Header can be shared by several attempts.
	Set  []HeaderField
	Body []byte
	// Stream replaces Body. Length is its size in bytes; with -1 it is sent in chunks.
	Stream io.Reader
	Length int64
	// AwaitContinue sends the body only after the server has sent 100 Continue.
	AwaitContinue bool
	// ID identifies the request in its response. A connection carries no two requests with the same
	// ID, because a response to the first one that is sent again would be taken for the response to
	// the second one. It may be empty.
	ID string
	// MatchResponse reports whether a response belongs to this request; nil accepts every response.
	MatchResponse func(http.Header) bool
	// Withdraw, if it is set, withdraws the request when it ends. Unlike the end of the context of Do, it
	// does not end the exchange of a request that the server may be executing: the server responds
	// whether it was executed. The server must treat the end of its input as the end of the client.
	Withdraw context.Context
	// Holder is charged with the memory that sending the body takes; it may be nil.
	Holder *holding.Holder
}

// HeaderField is one header with a single value.
type HeaderField struct{ Name, Value string }

// ClientResponse is a response whose head has been read.
type ClientResponse struct {
	Status int
	Header http.Header // end-to-end headers only
	Length int64       // -1 if the response states no Content-Length
	Body   io.Reader

	conn        *ClientConn
	resp        *http.Response
	maxIdleTime time.Duration // for which the server keeps the connection open
}

// Errors of an exchange on a connection.
var (
	// ErrMismatch means that the responses on the connection belong to other requests.
	ErrMismatch = errors.New("the response belongs to another request")
	// ErrNoResponse means that the connection was closed before a response began.
	ErrNoResponse = errors.New("the connection was closed without a response")
	// ErrResponseHeadTooLarge means that the head of the response, or the interim responses before
	// it, exceed the limit of bytes or lines.
	ErrResponseHeadTooLarge = &ParseError{Status: http.StatusBadGateway, Reason: "the response head exceeds the limit"}
	// ErrResponseTooLarge means that the body of the response exceeds the limit.
	ErrResponseTooLarge = &ParseError{Status: http.StatusBadGateway, Reason: "the response body exceeds the limit"}
)

const (
	// maxResponseHead is the maximum size in bytes of the head of a response, with the interim
	// responses before it. It exceeds what an upstream needs for the headers of any request that
	// the usual request limits admit.
	maxResponseHead = 64 << 10
	// maxResponseHeadLines is the maximum number of lines of the head of a response. A head of short
	// lines takes some 20 times its size in memory.
	maxResponseHeadLines = 512
	// maxResponseBody is the maximum size in bytes of the body of a response. A larger one takes
	// longer on the link of a VM than its client waits.
	maxResponseBody = 256 << 20
	// maxExchanges is the number of exchanges of a connection, which bounds the memory for the ids
	// of its requests.
	maxExchanges = 2000
	// maxMismatched is the number of responses to other requests that are discarded.
	maxMismatched = 4
	// maxMismatchedBody is the maximum size in bytes of the body of a discarded response, as sent: the
	// sizes of its chunks count as well.
	maxMismatchedBody = 1 << 20
	// maxInlineBody is the size in bytes up to which a body is sent before the response is read. It
	// fits into the send buffer of a connection.
	maxInlineBody = 8 << 10
	// idleMargin is subtracted from the idle timeout that a server announces, to allow for the
	// transmission of the next request.
	idleMargin = time.Second
	// defaultMaxIdleTime is how long an idle connection is kept if the server announces no idle
	// timeout.
	defaultMaxIdleTime = 5 * time.Second
)

// ClientConn is a connection to a server. It carries one exchange at a time.
type ClientConn struct {
	nc            net.Conn
	guard         EndGuard
	limitedSource *limitedReader
	reader        *bufio.Reader
	written       atomic.Int64
	exchanges     int
	parserRequest http.Request        // tells the parser of responses the method of the request
	requestIDs    map[uint64]struct{} // hashes of the ids of the requests so far
	inExchange    atomic.Bool         // the response has not been read to its end
	unusable      atomic.Bool
	maxIdleTime   time.Duration
	idleSince     time.Time // when it was last returned to the pool

	withdrawal withdrawal
	bodyResult chan error // result of sending the body, nil before that begins; written under withdrawal.mu
}

// NewClientConn returns a ClientConn that owns the given connection.
func NewClientConn(nc net.Conn) *ClientConn {
	c := &ClientConn{nc: nc, maxIdleTime: defaultMaxIdleTime}
	c.limitedSource = &limitedReader{src: guardedInput{nc, &c.guard}, remaining: noLimit}
	c.reader = bufio.NewReaderSize(c.limitedSource, readBufferBytes)
	return c
}

var idSeed = maphash.MakeSeed()

// recordID remembers the id of a request.
func (c *ClientConn) recordID(id string) {
	if id == "" {
		return
	}
	if c.requestIDs == nil {
		c.requestIDs = map[uint64]struct{}{}
	}
	c.requestIDs[maphash.String(idSeed, id)] = struct{}{}
}

// hasCarried reports whether the connection may have carried a request with the given id before.
func (c *ClientConn) hasCarried(id string) bool {
	_, found := c.requestIDs[maphash.String(idSeed, id)]
	return found && id != ""
}

// Written returns the number of bytes of the current exchange that may have been sent. Zero
// proves that the server has not received any of the request.
func (c *ClientConn) Written() int64 { return c.written.Load() }

// ContinueReceived reports whether the server has sent 100 Continue for a request with
// AwaitContinue.
func (c *ClientConn) ContinueReceived() bool { return c.bodyResult != nil }

// Reused reports whether the connection has carried an exchange before.
func (c *ClientConn) Reused() bool { return c.exchanges > 1 }

// Close closes the connection.
func (c *ClientConn) Close() {
	c.unusable.Store(true)
	_ = c.nc.Close() // no data is pending
}

// Do sends a request and reads the head of its response. If ctx ends, the exchange fails and the
// connection is unusable. After an error the connection must be closed.
func (c *ClientConn) Do(ctx context.Context, req *ClientRequest) (*ClientResponse, error) {
	c.exchanges++
	c.recordID(req.ID)
	c.inExchange.Store(true)
	c.written.Store(0)
	stop := context.AfterFunc(ctx, func() {
		c.unusable.Store(true)
		_ = c.nc.SetDeadline(pastDeadline) // interrupts blocked reads and writes
	})
	resp, err := c.roundTrip(req)
	if err != nil {
		stop()
		switch {
		case c.isWithdrawn():
			return nil, ErrWithdrawn
		case ctx.Err() != nil:
			return nil, context.Cause(ctx)
		}
		return nil, err
	}
	resp.Body = &responseBody{response: resp, ctx: ctx, stop: stop}
	return resp, nil
}

func (c *ClientConn) roundTrip(req *ClientRequest) (*ClientResponse, error) {
	if req.Withdraw != nil && req.Withdraw.Err() != nil {
		return nil, ErrWithdrawn
	}
	c.bodyResult = nil
	stop := c.allowWithdrawal(req)
	defer stop()
	if err := c.send(req); err != nil {
		return c.readEarlyResponse(req, err)
	}
	return c.readResponse(req)
}

// readEarlyResponse reads a response that was sent before the whole request was, for example by a
// server that rejects the request and closes the connection.
func (c *ClientConn) readEarlyResponse(req *ClientRequest, err error) (*ClientResponse, error) {
	if c.written.Load() == 0 || c.unusable.Load() {
		return nil, err
	}
	c.unusable.Store(true)
	if resp, readErr := c.readResponse(req); readErr == nil {
		return resp, nil
	}
	return nil, err
}

// send writes the request. A large body is sent concurrently with reading the response, because
// the server may respond before it has read the whole body.
func (c *ClientConn) send(req *ClientRequest) error {
	buf := getBuffer()
	defer putBuffer(buf)
	length := req.length()
	appendRequestHead(buf, req, length)
	if req.Stream == nil && length <= maxInlineBody && !req.AwaitContinue {
		buf.Write(req.Body)
		if err := c.write(buf.Bytes()); err != nil {
			return err
		}
		c.requestSent()
		return nil
	}
	if err := c.write(buf.Bytes()); err != nil {
		return err
	}
	if req.AwaitContinue {
		return nil // readResponse sends the body after 100 Continue
	}
	return c.startBody(req)
}

// sendBody sends the body in another goroutine. The caller holds withdrawal.mu.
func (c *ClientConn) sendBody(req *ClientRequest) {
	result := make(chan error, 1)
	c.bodyResult = result
	go func() {
		body := req.Stream
		if body == nil {
			body = bytes.NewReader(req.Body)
		}
		err := copyBody(countingWriter{c}, body, req.length(), true, req.Holder)
		if err != nil {
			c.unusable.Store(true)
			if errors.Is(err, errBodyTooShort) || req.Stream != nil {
				_ = c.nc.SetReadDeadline(pastDeadline) // the response to an incomplete request is useless
			}
		}
		result <- err
	}()
}

type countingWriter struct{ c *ClientConn }

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) { return len(p), w.c.write(p) }

// write writes p and counts its bytes even if the write fails, because it is unknown how many of
// them were sent.
func (c *ClientConn) write(p []byte) error {
	c.written.Add(int64(len(p)))
	_, err := c.guard.Write(c.nc, p)
	return err
}

func (req *ClientRequest) length() int64 {
	if req.Stream == nil {
		return int64(len(req.Body))
	}
	return req.Length
}

func appendRequestHead(buf *bytes.Buffer, req *ClientRequest, length int64) {
	buf.WriteString(req.Method)
	buf.WriteByte(' ')
	buf.WriteString(req.Target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(req.Host)
	buf.WriteString("\r\n")
	appendHeaders(buf, req.Header, req.Set)
	if length != 0 || expectsLength(req.Method) {
		appendLength(buf, length)
	}
	if req.AwaitContinue {
		buf.WriteString("Expect: 100-continue\r\n")
	}
	buf.WriteString("\r\n")
}

// expectsLength reports whether servers expect a length even for an empty body.
func expectsLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// readResponse reads response heads until one belongs to the request. The limit applies to all
// heads together, so that interim responses without end are detected as well.
func (c *ClientConn) readResponse(req *ClientRequest) (*ClientResponse, error) {
	c.limitedSource.setLimit(maxResponseHead, c.reader.Buffered())
	defer c.limitedSource.clearLimit()
	c.parserRequest.Method = req.Method
	for mismatched := 0; mismatched <= maxMismatched; {
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail on buffered bytes
		c.limitedSource.scanHead(maxResponseHeadLines, buffered)
		resp, err := http.ReadResponse(c.reader, &c.parserRequest)
		switch head := &c.limitedSource.head; {
		case c.limitedSource.exceeded, head.exceedsLines():
			return nil, ErrResponseHeadTooLarge
		case head.Err() != nil:
			return nil, head.Err()
		case err != nil:
			return nil, responseError(err)
		case resp.StatusCode == http.StatusContinue:
			if req.AwaitContinue && c.bodyResult == nil {
				if err := c.startBody(req); err != nil {
					return nil, err
				}
			}
		case resp.StatusCode < 200:
		case req.MatchResponse != nil && !req.MatchResponse(resp.Header):
			c.limitedSource.setLimit(maxMismatchedBody, c.reader.Buffered())
			if err := c.discardResponse(resp); err != nil {
				return nil, err
			}
			c.limitedSource.setLimit(maxResponseHead, c.reader.Buffered())
			mismatched++
		case resp.ContentLength > maxResponseBody:
			return nil, ErrResponseTooLarge
		default:
			r := &ClientResponse{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, conn: c, resp: resp, maxIdleTime: parseMaxIdleTime(resp.Header)}
			removeHopByHopHeaders(r.Header)
			return r, nil
		}
	}
	return nil, ErrMismatch
}

// discardResponse reads a response to another request to its end. If it is cut off before its end,
// the rest of its body must not be read as the next response.
func (c *ClientConn) discardResponse(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 || resp.ContentLength > maxMismatchedBody {
		return ErrMismatch // the end of the response, and so the next response, cannot be found
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return ErrMismatch
	}
	return nil
}

func responseError(err error) error {
	var network net.Error
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return ErrNoResponse
	case errors.As(err, &network), errors.Is(err, ErrReset):
		return err
	}
	return &ParseError{Status: http.StatusBadGateway, Reason: "the response cannot be parsed", Cause: err}
}

// responseBody reads the body of a response and checks at its end whether the connection can be
// reused.
type responseBody struct {
	response *ClientResponse
	ctx      context.Context
	stop     func() bool
	received int64
	err      error
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.response.resp.Body.Read(p)
	b.received += int64(n)
	if b.received > maxResponseBody {
		err = ErrResponseTooLarge
	}
	if err == io.EOF && !validNames(b.response.resp.Trailer) {
		err = errMalformedTrailer
	}
	if err == nil {
		return n, nil
	}
	b.err = err
	ended := b.stop()
	switch {
	case err != io.EOF && b.ctx.Err() != nil:
		b.err = context.Cause(b.ctx)
	case err == io.EOF && ended:
		b.response.conn.checkReuse(b.response)
	}
	return n, b.err
}

// checkReuse determines whether the connection can carry another exchange.
func (c *ClientConn) checkReuse(r *ClientResponse) {
	hasLength := r.resp.ContentLength >= 0 || len(r.resp.TransferEncoding) > 0
	if !hasLength || r.resp.Close || c.reader.Buffered() > 0 || !c.bodySent() || c.exchanges >= maxExchanges {
		c.unusable.Store(true)
	}
	c.maxIdleTime = r.maxIdleTime
	c.inExchange.Store(false)
}

// bodySent reports whether the whole request has been sent. Otherwise its rest would be read as the
// next request.
func (c *ClientConn) bodySent() bool {
	if c.bodyResult == nil {
		return true
	}
	select {
	case err := <-c.bodyResult:
		return err == nil
	default:
		return false
	}
}

// parseMaxIdleTime returns how long a connection may be idle according to the server's Keep-Alive
// header.
func parseMaxIdleTime(h http.Header) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds >= 0 {
				return time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	return defaultMaxIdleTime
}
