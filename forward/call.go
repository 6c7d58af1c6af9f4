package forward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
	"github.com/bilberrydeck/bilberrydeck/httpwire"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// call is a request on its way to an upstream, as the entrance or a peer hands
// it to the gate.
type call struct {
	id       string // request id, for logs and to match answers; may be empty
	route    string
	kind     routing.RouteKind
	service  string
	upstream string // id of the upstream that is to run it
	priority chain.Priority
	// later tells that the request which made the call has made others before.
	later   bool
	attempt int // from 1
	// spare tells that another upstream could take the call.
	spare bool
	// repeat is the probability that the call repeats work: 1 for a repeated
	// request, between 0 and 1 for a call of an upstream that runs some.
	repeat   float64
	deadline time.Time

	method, target, host string
	header               http.Header // end-to-end headers for the upstream
	body                 []byte
	stream               io.Reader // replaces body
	length               int64     // of the stream, -1 if unknown
	awaited              bool      // the sender of the stream waits to be asked for it
}

// atGates is the priority of a call at gates: later calls of a request go before first ones
// of their class, since a request that has begun has used room.
func (c *call) atGates() chain.Priority {
	if c.later {
		return c.priority.UpperBand()
	}
	return c.priority.LowerBand()
}

// remaining is the time left, logging.NoDeadline before the deadline is known.
func (c *call) remaining(now time.Time) time.Duration {
	if c.deadline.IsZero() {
		return logging.NoDeadline
	}
	return c.deadline.Sub(now)
}

// bodyLength is the length of the body, -1 if it is not known.
func (c *call) bodyLength() int64 {
	if c.stream != nil {
		return c.length
	}
	return int64(len(c.body))
}

// out is the request as it is written to a connection.
func (c *call) out(header http.Header) *httpwire.ClientRequest {
	return &httpwire.ClientRequest{
		Method: c.method, Target: c.target, Host: c.host, Header: header, Body: c.body, Stream: c.stream, Length: c.length,
	}
}

// result is what became of a call at one upstream.
type result struct {
	// failure is nil if the upstream's answer is to be passed on. An answer with
	// a 5xx status has both.
	failure *chain.Failure
	answer  *answer
	// arrived tells that the request reached the upstream, whether or not it ran.
	arrived    bool
	retryAfter time.Duration
	report     *admission.LoadReport
}

// answer is the answer of an upstream. A small one is held whole.
type answer struct {
	status  int
	header  http.Header // end-to-end headers
	body    []byte
	stream  io.Reader // replaces body
	length  int64     // of the stream, -1 if unknown
	release func()    // ends the use of the stream's connection; nil if whole
}

// close ends the use of the connection behind an answer.
func (a *answer) close() {
	if a != nil && a.release != nil {
		a.release()
	}
}

func (a *answer) size() int64 {
	if a == nil {
		return 0
	}
	return int64(len(a.body)) + max(a.length, 0)
}

func refused(reason chain.Reason, message string) *result {
	return &result{failure: chain.NewFailure(chain.NotRun, reason, message)}
}

// readAnswer takes an answer from a connection, whole if it is small. Release
// is called once the connection is no longer needed.
func readAnswer(ctx context.Context, from *httpwire.ClientResponse, release func()) (*answer, *chain.Failure) {
	a := &answer{status: from.Status, header: httpwire.EndToEnd(from.Header)}
	body, err := io.ReadAll(io.LimitReader(from.Body, wholeBody))
	if err != nil {
		release()
		if ctx.Err() != nil {
			return nil, chain.FailureFromContext(ctx, chain.Unknown, "the answer was not complete in time")
		}
		return nil, chain.WrapFailure(chain.Unknown, chain.ReasonTruncated, "the answer ended early", err)
	}
	if int64(len(body)) == from.Length {
		_, _ = from.Body.Read(make([]byte, 1)) // reaches the end, which frees the connection
	}
	if len(body) < wholeBody {
		a.body = body
		release()
		return a, nil
	}
	a.stream, a.length, a.release = io.MultiReader(bytes.NewReader(body), from.Body), from.Length, release
	return a, nil
}
