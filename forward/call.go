package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/holding"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
	"github.com/bilberrydeck/bilberrydeck/httpwire"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// call is a request for an upstream, as the ingress listener or a peer passes it to the
// admission controller.
type call struct {
	id       string // request id, for logs and to match responses; may be empty
	route    string
	kind     routing.RouteKind
	service  string
	upstream string // id of the upstream that is to execute the call
	priority chain.Priority
	// subsequent is set if the parent request has issued other calls before.
	subsequent bool
	attempt    int // from 1
	// hasAlternative is set if another upstream could execute the call.
	hasAlternative bool
	// retryProbability is the probability that the call repeats work: 1 for a retry,
	// between 0 and 1 for a call of an upstream that executes some retries.
	retryProbability float64
	deadline         time.Time

	method, target, host string
	header               http.Header // end-to-end headers for the upstream
	body                 []byte
	stream               io.Reader       // replaces body
	length               int64           // of the stream, -1 if unknown
	unread               *httpwire.Body  // the stream of a call whose sender waits for a 100 Continue
	buffer               *bodyBuffer     // holds body, or the beginning of the stream; nil without one
	holder               *holding.Holder // is charged with what the call takes
}

// admissionPriority returns the priority of a call at admission controllers. Subsequent
// calls of a request precede the first calls of their class, because their parent request
// has already used capacity.
func (c *call) admissionPriority() chain.Priority {
	if c.subsequent {
		return c.priority.UpperBand()
	}
	return c.priority.LowerBand()
}

// remaining returns the time until the deadline, logging.NoDeadline if the deadline is
// not known yet.
func (c *call) remaining(now time.Time) time.Duration {
	if c.deadline.IsZero() {
		return logging.NoDeadline
	}
	return c.deadline.Sub(now)
}

// bodyLength returns the length of the body in bytes, -1 if it is not known.
func (c *call) bodyLength() int64 {
	if c.stream != nil {
		return c.length
	}
	return int64(len(c.body))
}

// sendsLongBody reports whether the body is passed on while its sender sends it.
func (c *call) sendsLongBody() bool {
	return c.stream != nil && (c.length < 0 || c.length >= maxBufferedBody)
}

// connectionReuse returns which idle connections may carry the call.
func (c *call) connectionReuse(maxIdle time.Duration) httpwire.Reuse {
	r := httpwire.Reuse{MaxIdle: maxIdle, RequestID: c.id}
	if c.kind.IsIdempotent() {
		r.Unchecked = uncheckedIdleTime
	}
	return r
}

// clientRequest returns the call as an HTTP request with additional headers.
func (c *call) clientRequest(set ...httpwire.HeaderField) *httpwire.ClientRequest {
	return &httpwire.ClientRequest{
		Method: c.method, Target: c.target, Host: c.host, ID: c.id, Header: c.header, Set: set, Body: c.body, Stream: c.stream, Length: c.length, Holder: c.holder,
	}
}

// result is the outcome of a call at one upstream.
type result struct {
	// failure is nil if the upstream's response is forwarded to the client. A response
	// with a 5xx status has both a failure and a response.
	failure  *chain.Failure
	response *response
	// delivered is set if the request reached the upstream, whether or not it was executed.
	delivered  bool
	retryAfter time.Duration
	loadReport *admission.LoadReport
}

// response is the response of an upstream. A small body is buffered whole.
type response struct {
	status  int
	header  http.Header // end-to-end headers
	body    []byte
	stream  io.Reader   // replaces body
	length  int64       // of the stream, -1 if unknown
	release func()      // releases the stream's connection; nil if the body is buffered
	buffer  *bodyBuffer // holds the body, or the beginning of the stream
}

// onRelease calls f once the response needs its connection no longer: at once if the body is
// buffered or there is no response.
func (r *response) onRelease(f func()) {
	if r == nil || r.release == nil {
		f()
		return
	}
	release := r.release
	r.release = func() {
		release()
		f()
	}
}

// close releases the buffer of a response, and the connection of a streamed one. It may be called on
// nil.
func (r *response) close() {
	if r == nil {
		return
	}
	r.buffer.release()
	if r.release != nil {
		r.release()
	}
}

func (r *response) bodySize() int64 {
	if r == nil {
		return 0
	}
	return int64(len(r.body)) + max(r.length, 0)
}

func rejected(reason chain.Reason, message string) *result {
	return &result{failure: chain.NewFailure(chain.NotRun, reason, message)}
}

// readResponse reads a response from a connection and buffers its body if it is small and the budget
// and the holder have room. release is called once the connection is no longer needed, also after a failure. The
// response must be closed.
func readResponse(ctx context.Context, from *httpwire.ClientResponse, budget *bufferBudget, holder *holding.Holder, release func()) (*response, *chain.Failure) {
	buffer, err := readBuffered(from.Body, from.Length, budget, holder)
	if err != nil {
		buffer.release()
		release()
		if ctx.Err() != nil {
			return nil, chain.FailureFromContext(ctx, chain.Unknown, "cancelled or expired before the response was complete")
		}
		return nil, chain.WrapFailure(chain.Unknown, chain.ReasonTruncated, "the response ended early", err)
	}
	r := &response{status: from.Status, header: from.Header, buffer: buffer}
	if buffer.complete {
		r.body = buffer.bytes
		release()
		return r, nil
	}
	r.stream, r.length, r.release = io.MultiReader(buffer, from.Body), from.Length, release
	return r, nil
}
