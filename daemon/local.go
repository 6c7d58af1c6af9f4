package daemon

import (
	"context"
	"net/http"
	"strconv"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// handlerResult is what the local upstream made of a request.
type handlerResult struct {
	answer  *answer        // nil if there is none to pass on
	failure *chain.Failure // nil for an answer that is ok
}

// callHandler sends a request to the local upstream.
func (in *inbound) callHandler(ctx context.Context, e *entry, handle string) handlerResult {
	local := in.d.local.Load()
	in.target.Scheme, in.target.Host = "http", local.address
	out := &outgoing{
		transport: local.transport,
		method:    in.peer.method,
		url:       in.target,
		host:      in.r.Host,
		header:    in.handlerHeader(e, handle),
		body:      in.body,
	}
	resp, s, failure := out.send(ctx)
	if failure != nil {
		return handlerResult{failure: failure}
	}
	if id := resp.Header.Get(headerRequestID); id != "" && id != e.ctx.RequestID {
		s.abandon()
		_ = resp.Body.Close() // the connection is closed already
		in.d.metrics.crossed.Add(1)
		return handlerResult{failure: chain.NewFailure(chain.Unknown, chain.ReasonCrossed, "the upstream answered another request")}
	}
	outcome := handlerOutcome(resp, e)
	a, failure := in.readAnswer(ctx, resp, s)
	if failure != nil {
		return handlerResult{failure: failure}
	}
	if outcome != nil && outcome.Outcome == chain.NotRun {
		a.discard()
		return handlerResult{failure: outcome}
	}
	return handlerResult{answer: a, failure: outcome}
}

// readAnswer reads a small answer whole. An answer to HEAD has a length but no
// body.
func (in *inbound) readAnswer(ctx context.Context, resp *http.Response, s *sent) (*answer, *chain.Failure) {
	if in.peer.method != http.MethodHead {
		return newAnswer(ctx, resp, s)
	}
	_ = resp.Body.Close() // has no bytes
	return &answer{status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, whole: []byte{}}, nil
}

// handlerOutcome types the status of a handler's answer. A handler that sheds
// load may say itself that it did not run, unless it made calls: it could then
// have copied the words from an answer below.
func handlerOutcome(resp *http.Response, e *entry) *chain.Failure {
	if resp.StatusCode < http.StatusInternalServerError {
		return nil
	}
	said := resp.Header.Get(headerOutcome) == chain.NotRun.String()
	if resp.StatusCode == http.StatusServiceUnavailable && said && !e.madeCalls() {
		return chain.NewFailure(chain.NotRun, chain.ReasonOverload, "the upstream refused the request")
	}
	f := chain.NewFailure(chain.Failed, chain.ReasonHandlerError, "the handler failed")
	f.FromDependency = e.belowFailed()
	return f
}

// handlerHeader builds the headers that the local upstream sees.
func (in *inbound) handlerHeader(e *entry, handle string) http.Header {
	h := make(http.Header, len(in.r.Header))
	passHeaders(h, in.r.Header)
	h[headerChain] = []string{handle}
	h[headerRequestID] = []string{e.ctx.RequestID}
	h[headerClass] = []string{e.ctx.Priority.Class().String()}
	h[headerDeadline] = []string{remainingMs(e.ctx.Remaining(in.d.cfg.Now()))}
	if e.ctx.IdempotencyKey != "" {
		h[handlerKey] = []string{e.ctx.IdempotencyKey}
	}
	return h
}

// handlerKey is Idempotency-Key in a form that net/http writes but does not
// recognise, as it resends requests that carry the canonical form.
const handlerKey = "idempotency-key"

// localService is the upstream beside this daemon.
type localService struct {
	address   string // host:port
	transport *http.Transport
}

// below is the highest level of the services that a route calls.
func (d *Daemon) below(r *route) chain.Priority {
	var highest chain.Priority
	now := d.cfg.Now()
	for _, id := range r.Calls {
		highest = max(highest, d.levels.Level(now, id.String()))
	}
	return highest
}

func (in *inbound) report() string {
	report := in.gate.LoadReport()
	report.DependencyLevel = in.d.below(in.route)
	return report.String()
}

func unusedText(n int) string { return strconv.Itoa(n) }
