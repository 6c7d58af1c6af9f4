package daemon

import (
	"context"
	"net/http"
	"strconv"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// upstreamResult is the result of a request to the local upstream.
type upstreamResult struct {
	response *response      // nil if there is none to forward
	failure  *chain.Failure // nil for a successful response
}

// callUpstream sends a request to the local upstream and reads the response. The body of a
// large response is left in its stream.
func (in *inboundAttempt) callUpstream(ctx context.Context, parent *parentRequest, handle string) upstreamResult {
	local := in.d.local.Load()
	in.upstreamURL.Scheme, in.upstreamURL.Host = "http", local.address
	out := &outgoingRequest{
		transport: local.transport,
		method:    in.request.method,
		url:       in.upstreamURL,
		host:      in.r.Host,
		header:    in.upstreamHeader(parent, handle),
		body:      in.body,
	}
	resp, use, failure := out.send(ctx)
	if failure != nil {
		return upstreamResult{failure: failure}
	}
	if id := resp.Header.Get(headerRequestID); id != "" && id != parent.metadata.RequestID {
		use.abandon()
		_ = resp.Body.Close() // the connection is closed already
		in.d.metrics.mismatchedResponses.Add(1)
		return upstreamResult{failure: chain.NewFailure(chain.Unknown, chain.ReasonCrossed, "the response of the upstream belongs to another request")}
	}
	outcome := classifyResponse(resp, parent)
	r, failure := in.readResponse(ctx, resp, use)
	if failure != nil {
		return upstreamResult{failure: failure}
	}
	if outcome != nil && outcome.Outcome == chain.NotRun {
		r.discard()
		return upstreamResult{failure: outcome}
	}
	return upstreamResult{response: r, failure: outcome}
}

// readResponse reads a small response completely. A response to HEAD has a length but no body.
func (in *inboundAttempt) readResponse(ctx context.Context, resp *http.Response, use *connUse) (*response, *chain.Failure) {
	if in.request.method != http.MethodHead {
		return newResponse(ctx, resp, use)
	}
	_ = resp.Body.Close() // the body is empty
	return &response{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, buffered: []byte{}}, nil
}

// classifyResponse returns the failure that a response of the local upstream states, nil if the
// status is below 500. An upstream that sheds load may state that it did not execute the request.
// This is ignored if the request issued calls, because the header may be copied from a response of
// a dependency.
func classifyResponse(resp *http.Response, parent *parentRequest) *chain.Failure {
	if resp.StatusCode < http.StatusInternalServerError {
		return nil
	}
	saysNotRun := resp.Header.Get(headerOutcome) == chain.NotRun.String()
	if resp.StatusCode == http.StatusServiceUnavailable && saysNotRun && !parent.madeCalls() {
		return chain.NewFailure(chain.NotRun, chain.ReasonOverload, "the upstream rejected the request")
	}
	f := chain.NewFailure(chain.Failed, chain.ReasonHandlerError, "the handler failed")
	f.FromDependency = parent.failedInDependency()
	return f
}

// upstreamHeader returns the headers of a request to the local upstream.
func (in *inboundAttempt) upstreamHeader(parent *parentRequest, handle string) http.Header {
	h := make(http.Header, len(in.r.Header))
	copyEndToEndHeaders(h, in.r.Header)
	h[headerChain] = []string{handle}
	h[headerRequestID] = []string{parent.metadata.RequestID}
	h[headerClass] = []string{parent.metadata.Priority.Class().String()}
	h[headerDeadline] = []string{formatRemaining(parent.metadata.Remaining(in.d.cfg.Now()))}
	if parent.metadata.IdempotencyKey != "" {
		h[uncanonicalIdempotencyKey] = []string{parent.metadata.IdempotencyKey}
	}
	return h
}

// uncanonicalIdempotencyKey is Idempotency-Key in a form that net/http sends but does not recognize.
// net/http resends requests with the canonical form.
const uncanonicalIdempotencyKey = "idempotency-key"

// localUpstream is the upstream on the same VM as this daemon.
type localUpstream struct {
	address   string // host:port
	transport *http.Transport
}

// dependencyLevel returns the highest admission level of the routes that r calls.
func (d *Daemon) dependencyLevel(r *route) chain.Priority {
	var highest chain.Priority
	now := d.cfg.Now()
	for _, id := range r.Calls {
		highest = max(highest, d.admissionLevels.Level(now, id.String()))
	}
	return highest
}

// loadReport returns the load report to send with a response.
func (in *inboundAttempt) loadReport() string {
	report := in.admissionQueue.LoadReport()
	report.DependencyLevel = in.d.dependencyLevel(in.route)
	return report.String()
}

func formatInt(n int) string { return strconv.Itoa(n) }
