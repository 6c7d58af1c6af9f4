package daemon

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// maxRedials limits how often an attempt changes to another connection because the peer had closed
// the pooled one before a byte was written. Nothing was sent, so this does not count as a retry.
const maxRedials = 3

// outgoingRequest is a request to another daemon or to the local upstream.
type outgoingRequest struct {
	transport      *http.Transport
	method         string
	url            *url.URL
	host           string
	header         http.Header
	body           *requestBody
	expectContinue bool // wait for "100 Continue" before a streamed body is sent
}

// connUse is the use of a connection by one attempt.
type connUse struct {
	conn          *countingConn
	writtenBefore int64
	reused        bool
}

// gotConn records the connection that the transport selected.
func (u *connUse) gotConn(info httptrace.GotConnInfo) {
	u.conn, _ = info.Conn.(*countingConn)
	u.reused = info.Reused
	if u.conn != nil {
		u.writtenBefore = u.conn.Written()
		u.conn.head.begin()
	}
}

// abandon closes the connection and returns the number of bytes that this attempt wrote.
func (u *connUse) abandon() int64 {
	if u.conn == nil {
		return 0
	}
	return u.conn.Abandon() - u.writtenBefore
}

// send sends the request and reads the headers of the response.
func (o *outgoingRequest) send(ctx context.Context) (*http.Response, *connUse, *chain.Failure) {
	for redial := 0; ; redial++ {
		use := &connUse{}
		resp, err := o.transport.RoundTrip(o.httpRequest(ctx, use))
		if err == nil {
			return resp, use, nil
		}
		written := use.abandon()
		redialAllowed := written == 0 && use.reused && redial < maxRedials && ctx.Err() == nil && o.body.resendable()
		if !redialAllowed {
			return nil, use, o.classifyError(ctx, written, err)
		}
	}
}

// httpRequest returns a request that net/http does not resend after a byte was written. net/http
// resends a request only if it has a replayable method or an idempotency key header, and either no
// body or a GetBody function.
func (o *outgoingRequest) httpRequest(ctx context.Context, use *connUse) *http.Request {
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
	return r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: use.gotConn}))
}

// replayedByTransport reports whether net/http resends requests with this method.
func replayedByTransport(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// classifyError returns the failure for the error of an attempt. The outcome is not-run only if no
// byte was written.
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
		return chain.FailureFromContext(ctx, outcome, "no response before the deadline or the cancellation")
	}
	if written == 0 {
		return chain.WrapFailure(outcome, chain.ReasonConnect, "the connection failed before the request was sent", err)
	}
	return chain.WrapFailure(outcome, chain.ReasonUpstreamError, "the connection failed before the response", err)
}

// response is a response of another daemon or of the local upstream. A small body is buffered; a
// large one or one of unknown length is still to be copied from stream.
type response struct {
	status       int
	header       http.Header
	length       int64 // Content-Length, -1 if unknown
	buffered     []byte
	pooledBuffer *[]byte
	stream       *http.Response // nil if the body is buffered
	connUse      *connUse
}

// newResponse buffers the body of a small response, so that a truncated one becomes a failure
// before any of it has been forwarded.
func newResponse(ctx context.Context, resp *http.Response, use *connUse) (*response, *chain.Failure) {
	r := &response{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, stream: resp, connUse: use}
	if r.length < 0 || r.length > maxBufferedBody {
		return r, nil
	}
	r.pooledBuffer = copyBuffers.Get().(*[]byte)
	r.buffered = (*r.pooledBuffer)[:r.length]
	_, err := io.ReadFull(resp.Body, r.buffered)
	if err != nil {
		failure := truncationFailure(ctx, err)
		r.discard()
		return nil, failure
	}
	_ = resp.Body.Close() // the body has been read to its end
	r.stream = nil
	return r, nil
}

// truncationFailure returns the failure for an error while reading the body of a response.
func truncationFailure(ctx context.Context, err error) *chain.Failure {
	if ctx.Err() != nil {
		return chain.FailureFromContext(ctx, chain.Unknown, "the response was not complete before the deadline or the cancellation")
	}
	return chain.WrapFailure(chain.Unknown, chain.ReasonTruncated, "the response ended early", err)
}

// discard drops a response. If the body has not been read completely, the connection is closed.
func (r *response) discard() {
	if r.stream != nil {
		r.connUse.abandon()
		_ = r.stream.Body.Close() // the connection is closed already
		r.stream = nil
	}
	r.release()
}

// release returns the buffer of the body to the pool.
func (r *response) release() {
	if r.pooledBuffer != nil {
		copyBuffers.Put(r.pooledBuffer)
		r.pooledBuffer, r.buffered = nil, nil
	}
}

// trailer returns a trailer, or the header with that name if there is no such trailer. A buffered
// response has the values in its headers.
func (r *response) trailer(name string) string {
	if r.stream != nil {
		if v := r.stream.Trailer.Get(name); v != "" {
			return v
		}
	}
	return r.header.Get(name)
}
