package httpwire

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// ClientRequest is a request to be sent.
type ClientRequest struct {
	Method string
	Target string // path and query as they came
	Host   string
	Header http.Header // end-to-end headers only
	Body   []byte
	// Stream replaces Body. Length is its size, -1 to send it in chunks.
	Stream io.Reader
	Length int64
	// AwaitContinue sends the body only after the server asked for it.
	AwaitContinue bool
	// MatchResponse reports whether an answer belongs to this request; nil accepts all.
	MatchResponse func(http.Header) bool
}

// ClientResponse is an answer whose head was read.
type ClientResponse struct {
	Status int
	Header http.Header // with hop-by-hop headers
	Length int64       // -1 if the end of the body is marked otherwise
	Body   io.Reader
	conn   *ClientConn
	resp   *http.Response
}

// The ways in which an exchange on a connection fails.
var (
	// ErrMismatch means that the answers on the connection belong to other
	// requests.
	ErrMismatch = errors.New("the answer belongs to another request")
	// ErrNoAnswer means that the connection ended before an answer began.
	ErrNoAnswer = errors.New("the connection ended without an answer")
)

const (
	// maxSkipped is the number of answers to other requests that are passed over.
	maxSkipped = 4
	// maxSkippedBody is the size up to which such an answer is read.
	maxSkippedBody = 1 << 20
	// inlineBody is the size up to which a body is sent before the answer is
	// awaited. It fits into the send buffer of a connection.
	inlineBody = 8 << 10
	// idleMargin is subtracted from the idle time that a server announces, for
	// the way of the next request.
	idleMargin = time.Second
	// defaultIdle is how long a connection is reused if the server announces no
	// idle time.
	defaultIdle = 5 * time.Second
)

// ClientConn is a connection to a server. It carries one exchange at a time.
type ClientConn struct {
	nc       net.Conn
	reader   *bufio.Reader
	written  atomic.Int64
	used     int
	broken   atomic.Bool
	idleTime time.Duration
	freeAt   time.Time // when it was last put back
	body     chan error
}

// NewClientConn takes over a connection.
func NewClientConn(nc net.Conn) *ClientConn {
	return &ClientConn{nc: nc, reader: bufio.NewReaderSize(nc, readBufferBytes), idleTime: defaultIdle}
}

// Written is the number of bytes of the present exchange that may have left
// this process. Zero proves that the server has not seen the request.
func (c *ClientConn) Written() int64 { return c.written.Load() }

// BodyAsked reports whether the server asked for a body that waited for that.
func (c *ClientConn) BodyAsked() bool { return c.body != nil }

// Reused reports whether the connection has carried an exchange before.
func (c *ClientConn) Reused() bool { return c.used > 1 }

// Close ends the connection.
func (c *ClientConn) Close() {
	c.broken.Store(true)
	_ = c.nc.Close() // nothing is left to send
}

// Do sends a request and reads the head of its answer. The end of ctx ends the
// exchange and the connection. After an error the connection must be closed.
func (c *ClientConn) Do(ctx context.Context, out *ClientRequest) (*ClientResponse, error) {
	c.used++
	c.written.Store(0)
	stop := context.AfterFunc(ctx, func() {
		c.broken.Store(true)
		_ = c.nc.SetDeadline(longAgo) // ends blocked reads and writes
	})
	answer, err := c.exchange(out)
	if err != nil {
		stop()
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		return nil, err
	}
	answer.Body = &answerBody{answer: answer, ctx: ctx, stop: stop}
	return answer, nil
}

func (c *ClientConn) exchange(out *ClientRequest) (*ClientResponse, error) {
	if err := c.send(out); err != nil {
		return c.afterSendFailure(out, err)
	}
	return c.receive(out)
}

// afterSendFailure looks for an answer that came before the request was sent
// whole, as from a server that refuses it and closes the connection.
func (c *ClientConn) afterSendFailure(out *ClientRequest, err error) (*ClientResponse, error) {
	if c.written.Load() == 0 || c.broken.Load() {
		return nil, err
	}
	c.broken.Store(true)
	if answer, readErr := c.receive(out); readErr == nil {
		return answer, nil
	}
	return nil, err
}

// send writes the request. A large body is sent beside the reading of the
// answer, because the server may answer before it has read all of it.
func (c *ClientConn) send(out *ClientRequest) error {
	buf := getBuffer()
	defer putBuffer(buf)
	length := out.length()
	appendRequestHead(buf, out, length)
	c.body = nil
	if out.Stream == nil && length <= inlineBody && !out.AwaitContinue {
		buf.Write(out.Body)
		return c.write(buf.Bytes())
	}
	if err := c.write(buf.Bytes()); err != nil {
		return err
	}
	if out.AwaitContinue {
		return nil // receive starts the body
	}
	c.startBody(out)
	return nil
}

func (c *ClientConn) startBody(out *ClientRequest) {
	sent := make(chan error, 1)
	c.body = sent
	go func() {
		body := out.Stream
		if body == nil {
			body = bytes.NewReader(out.Body)
		}
		err := copyBody(countingWriter{c}, body, out.length(), true)
		if err != nil {
			c.broken.Store(true)
			if errors.Is(err, errShort) || out.Stream != nil {
				_ = c.nc.SetReadDeadline(longAgo) // the answer to a torn request is of no use
			}
		}
		sent <- err
	}()
}

type countingWriter struct{ c *ClientConn }

// Write implements io.Writer.
func (w countingWriter) Write(p []byte) (int, error) { return len(p), w.c.write(p) }

// write counts the bytes before they are written: what a failed write has sent
// is not known.
func (c *ClientConn) write(p []byte) error {
	c.written.Add(int64(len(p)))
	_, err := c.nc.Write(p)
	return err
}

func (out *ClientRequest) length() int64 {
	if out.Stream == nil {
		return int64(len(out.Body))
	}
	return out.Length
}

func appendRequestHead(buf *bytes.Buffer, out *ClientRequest, length int64) {
	buf.WriteString(out.Method)
	buf.WriteByte(' ')
	buf.WriteString(out.Target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(out.Host)
	buf.WriteString("\r\n")
	appendHeaders(buf, out.Header)
	if length != 0 || mayHaveBody(out.Method) {
		appendLength(buf, length)
	}
	if out.AwaitContinue {
		buf.WriteString("Expect: 100-continue\r\n")
	}
	buf.WriteString("\r\n")
}

// mayHaveBody reports whether servers expect a length even of an empty body.
func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// receive reads heads until one belongs to the request.
func (c *ClientConn) receive(out *ClientRequest) (*ClientResponse, error) {
	for skipped := 0; skipped <= maxSkipped; {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: out.Method})
		if err != nil {
			return nil, responseError(err)
		}
		switch {
		case resp.StatusCode == http.StatusContinue:
			if out.AwaitContinue && c.body == nil {
				c.startBody(out)
			}
		case resp.StatusCode < 200:
		case out.MatchResponse != nil && !out.MatchResponse(resp.Header):
			if err := c.skip(resp); err != nil {
				return nil, err
			}
			skipped++
		default:
			return &ClientResponse{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, conn: c, resp: resp}, nil
		}
	}
	return nil, ErrMismatch
}

// skip reads an answer to another request to its end.
func (c *ClientConn) skip(resp *http.Response) error {
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 || resp.ContentLength > maxSkippedBody {
		return ErrMismatch // its end, and so the next answer, cannot be found
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBody+1)); err != nil {
		return ErrMismatch
	}
	return nil
}

func responseError(err error) error {
	var network net.Error
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return ErrNoAnswer
	case errors.As(err, &network):
		return err
	}
	return &ParseError{Status: http.StatusBadGateway, Reason: "the answer cannot be read", Cause: err}
}

// answerBody reads the body of an answer and settles the connection at its end.
type answerBody struct {
	answer *ClientResponse
	ctx    context.Context
	stop   func() bool
	err    error
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.answer.resp.Body.Read(p)
	if err == nil {
		return n, nil
	}
	b.err = err
	ended := b.stop()
	switch {
	case err != io.EOF && b.ctx.Err() != nil:
		b.err = context.Cause(b.ctx)
	case err == io.EOF && ended:
		b.answer.conn.settle(b.answer.resp)
	}
	return n, b.err
}

// settle decides whether the connection can carry another exchange.
func (c *ClientConn) settle(resp *http.Response) {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if !framed || resp.Close || c.reader.Buffered() > 0 || !c.bodySent() {
		c.broken.Store(true)
	}
	c.idleTime = idleTime(resp.Header)
}

// bodySent reports whether the whole request was sent: otherwise its rest would
// be read as the next request.
func (c *ClientConn) bodySent() bool {
	if c.body == nil {
		return true
	}
	select {
	case err := <-c.body:
		return err == nil
	default:
		return false
	}
}

// idleTime is how long a connection may stay unused, as the server announces.
func idleTime(h http.Header) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds >= 0 {
				return time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	return defaultIdle
}
