package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// maxRedials bounds how often one attempt is moved to another connection
// because the pooled one had been closed by the peer before a byte was
// written. Nothing was sent, so such a move is not a retry.
const maxRedials = 3

// outgoingRequest is one request to another process.
type outgoingRequest struct {
	transport      *http.Transport
	method         string
	url            *url.URL
	host           string
	header         http.Header
	body           *requestBody
	expectContinue bool // wait for "100 Continue" before a streamed body is sent
}

// connUse tracks the connection of one attempt.
type connUse struct {
	conn          *countingConn
	writtenBefore int64
	reused        bool
}

func (s *connUse) gotConn(info httptrace.GotConnInfo) {
	s.conn, _ = info.Conn.(*countingConn)
	s.reused = info.Reused
	if s.conn != nil {
		s.writtenBefore = s.conn.Written()
	}
}

// abandon closes the connection and returns the bytes that this attempt wrote.
func (s *connUse) abandon() int64 {
	if s.conn == nil {
		return 0
	}
	return s.conn.Abandon() - s.writtenBefore
}

// send runs one attempt up to the headers of the answer.
func (o *outgoingRequest) send(ctx context.Context) (*http.Response, *connUse, *chain.Failure) {
	for redial := 0; ; redial++ {
		s := &connUse{}
		resp, err := o.transport.RoundTrip(o.httpRequest(ctx, s))
		if err == nil {
			return resp, s, nil
		}
		written := s.abandon()
		again := written == 0 && s.reused && redial < maxRedials && ctx.Err() == nil && o.body.resendable()
		if !again {
			return nil, s, o.classifyError(ctx, written, err)
		}
	}
}

// httpRequest builds a request that net/http cannot send again by itself once a
// byte was written: it resends only what has a replayable method or an
// idempotency key header, and either no body or a GetBody.
func (o *outgoingRequest) httpRequest(ctx context.Context, s *connUse) *http.Request {
	r := &http.Request{
		Method:        o.method,
		URL:           o.url,
		Host:          o.host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        o.header,
		Body:          o.body.reader(replayedByTransport(o.method)),
		ContentLength: o.body.length,
	}
	if o.expectContinue && o.body.stream != nil {
		r.Header["Expect"] = []string{"100-continue"}
	}
	return r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn}))
}

// replayedByTransport lists the methods that net/http would send again.
func replayedByTransport(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// classifyError types the error of an attempt. Not-run needs a count of zero bytes.
func (o *outgoingRequest) classifyError(ctx context.Context, written int64, err error) *chain.Failure {
	outcome := chain.Unknown
	if written == 0 {
		outcome = chain.NotRun
	}
	if f := o.body.failure(); f != nil {
		f.Outcome = outcome
		return f
	}
	if ctx.Err() != nil {
		return chain.FailureFromContext(ctx, outcome, "no answer in time")
	}
	if written == 0 {
		return chain.WrapFailure(outcome, chain.ReasonConnect, "no connection", err)
	}
	return chain.WrapFailure(outcome, chain.ReasonUpstreamError, "the connection broke before the answer", err)
}

// response is the answer of another process. A small one is held whole, a large
// one or one of unknown length is still to be copied.
type response struct {
	status       int
	header       http.Header
	length       int64 // of the body, -1 if unknown
	buffered     []byte
	pooledBuffer *[]byte
	stream       *http.Response // nil when the body is held whole
	connUse      *connUse
}

// newResponse reads a small answer whole. A truncated one is reported before
// any of it has been passed on.
func newResponse(ctx context.Context, resp *http.Response, s *connUse) (*response, *chain.Failure) {
	a := &response{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, stream: resp, connUse: s}
	if a.length < 0 || a.length > maxBufferedBody {
		return a, nil
	}
	a.pooledBuffer = copyBuffers.Get().(*[]byte)
	a.buffered = (*a.pooledBuffer)[:a.length]
	_, err := io.ReadFull(resp.Body, a.buffered)
	if err != nil {
		failure := truncationFailure(ctx, err)
		a.discard()
		return nil, failure
	}
	_ = resp.Body.Close() // the body was read to its announced end
	a.stream = nil
	return a, nil
}

// truncationFailure types the error of reading an answer.
func truncationFailure(ctx context.Context, err error) *chain.Failure {
	if ctx.Err() != nil {
		return chain.FailureFromContext(ctx, chain.Unknown, "the answer was not complete in time")
	}
	return chain.WrapFailure(chain.Unknown, chain.ReasonTruncated, "the answer ended early", err)
}

// discard gives up an answer. A connection with an unread rest is closed.
func (a *response) discard() {
	if a.stream != nil {
		a.connUse.abandon()
		_ = a.stream.Body.Close() // the connection is closed already
		a.stream = nil
	}
	a.release()
}

// release returns the buffer of a small answer.
func (a *response) release() {
	if a.pooledBuffer != nil {
		copyBuffers.Put(a.pooledBuffer)
		a.pooledBuffer, a.buffered = nil, nil
	}
}

// trailer returns a trailer, or the header of that name for an answer that was
// held whole.
func (a *response) trailer(name string) string {
	if a.stream != nil {
		if v := a.stream.Trailer.Get(name); v != "" {
			return v
		}
	}
	return a.header.Get(name)
}
