package daemon

import (
	"context"
	"net/http"
	"strconv"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// handlerResult is what the local upstream made of a request.
type handlerResult struct {
	response *response      // nil if there is none to pass on
	failure  *chain.Failure // nil for an answer that is ok
}

// callHandler sends a request to the local upstream.
func (in *inboundAttempt) callHandler(ctx context.Context, e *parentRequest, handle string) handlerResult {
	local := in.d.local.Load()
	in.upstreamURL.Scheme, in.upstreamURL.Host = "http", local.address
	out := &outgoingRequest{
		transport: local.transport,
		method:    in.request.method,
		url:       in.upstreamURL,
		host:      in.r.Host,
		header:    in.handlerHeader(e, handle),
		body:      in.body,
	}
	resp, s, failure := out.send(ctx)
	if failure != nil {
		return handlerResult{failure: failure}
	}
	if id := resp.Header.Get(headerRequestID); id != "" && id != e.metadata.RequestID {
		s.abandon()
		_ = resp.Body.Close() // the connection is closed already
		in.d.metrics.mismatchedResponses.Add(1)
		return handlerResult{failure: chain.NewFailure(chain.Unknown, chain.ReasonCrossed, "the upstream answered another request")}
	}
	outcome := classifyResponse(resp, e)
	a, failure := in.readResponse(ctx, resp, s)
	if failure != nil {
		return handlerResult{failure: failure}
	}
	if outcome != nil && outcome.Outcome == chain.NotRun {
		a.discard()
		return handlerResult{failure: outcome}
	}
	return handlerResult{response: a, failure: outcome}
}

// readResponse reads a small answer whole. An answer to HEAD has a length but no
// body.
func (in *inboundAttempt) readResponse(ctx context.Context, resp *http.Response, s *connUse) (*response, *chain.Failure) {
	if in.request.method != http.MethodHead {
		return newResponse(ctx, resp, s)
	}
	_ = resp.Body.Close() // has no bytes
	return &response{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, buffered: []byte{}}, nil
}

// classifyResponse types the status of a handler's answer. A handler that sheds
// load may say itself that it did not run, unless it made calls: it could then
// have copied the words from an answer below.
func classifyResponse(resp *http.Response, e *parentRequest) *chain.Failure {
	if resp.StatusCode < http.StatusInternalServerError {
		return nil
	}
	said := resp.Header.Get(headerOutcome) == chain.NotRun.String()
	if resp.StatusCode == http.StatusServiceUnavailable && said && !e.madeCalls() {
		return chain.NewFailure(chain.NotRun, chain.ReasonOverload, "the upstream refused the request")
	}
	f := chain.NewFailure(chain.Failed, chain.ReasonHandlerError, "the handler failed")
	f.FromDependency = e.failedInDependency()
	return f
}

// handlerHeader builds the headers that the local upstream sees.
func (in *inboundAttempt) handlerHeader(e *parentRequest, handle string) http.Header {
	h := make(http.Header, len(in.r.Header))
	copyEndToEndHeaders(h, in.r.Header)
	h[headerChain] = []string{handle}
	h[headerRequestID] = []string{e.metadata.RequestID}
	h[headerClass] = []string{e.metadata.Priority.Class().String()}
	h[headerDeadline] = []string{formatRemaining(e.metadata.Remaining(in.d.cfg.Now()))}
	if e.metadata.IdempotencyKey != "" {
		h[uncanonicalKeyHeader] = []string{e.metadata.IdempotencyKey}
	}
	return h
}

// uncanonicalKeyHeader is Idempotency-Key in a form that net/http writes but does not
// recognise, as it resends requests that carry the canonical form.
const uncanonicalKeyHeader = "idempotency-key"

// localUpstream is the upstream beside this daemon.
type localUpstream struct {
	address   string // host:port
	transport *http.Transport
}

// dependencyLevel is the highest level of the services that a route calls.
func (d *Daemon) dependencyLevel(r *route) chain.Priority {
	var highest chain.Priority
	now := d.cfg.Now()
	for _, id := range r.Calls {
		highest = max(highest, d.admissionLevels.Level(now, id.String()))
	}
	return highest
}

func (in *inboundAttempt) loadReport() string {
	report := in.admissionQueue.LoadReport()
	report.DependencyLevel = in.d.dependencyLevel(in.route)
	return report.String()
}

func formatInt(n int) string { return strconv.Itoa(n) }
