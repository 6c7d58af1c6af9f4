package daemon

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/bilberrydeck/bilberrydeck/admissionqueue"
	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/declaration"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// inboundAttempt is one attempt that another daemon sent here.
type inboundAttempt struct {
	d              *Daemon
	w              http.ResponseWriter
	r              *http.Request
	arrivedAt      time.Time
	request        peerRequest
	upstreamURL    *url.URL // path and query at the local upstream
	route          *route
	admissionQueue *admissionqueue.Queue
	body           *requestBody
}

// servePeer handles an attempt of another daemon.
func (d *Daemon) servePeer(w http.ResponseWriter, r *http.Request) {
	d.metrics.peerAttempts.Add(1)
	in := &inboundAttempt{d: d, w: w, r: r, arrivedAt: d.cfg.Now()}
	h := w.Header()
	h[headerRequestID] = r.Header[headerRequestID]
	if d.draining.Load() {
		h["Connection"] = []string{"close"}
	}
	failure := in.accept()
	h[headerPeerAttempt] = []string{strconv.FormatUint(uint64(in.request.metadata.Attempt), 10)}
	if failure != nil {
		in.respondError(failure, 0, in.request.allowance)
		return
	}
	defer in.body.close()
	ctx, cancel := context.WithTimeout(r.Context(), in.request.remaining)
	defer cancel()
	if in.request.metadata.IdempotencyKey != "" && !in.route.Idempotent {
		in.serveKeyed(ctx)
		return
	}
	ticket, after, failure := in.admit(ctx)
	if failure != nil {
		in.respondError(failure, after, in.request.allowance)
		return
	}
	in.execute(ctx, ticket, nil)
}

// accept checks an attempt up to the point where it may queue.
func (in *inboundAttempt) accept() *chain.Failure {
	var failure *chain.Failure
	if in.request, failure = parsePeerRequest(in.r.Header); failure != nil {
		return failure
	}
	in.request.metadata.Deadline = in.arrivedAt.Add(in.request.remaining)
	if in.d.draining.Load() {
		return chain.NewFailure(chain.NotRun, chain.ReasonDraining, "the upstream is draining")
	}
	inForce, failure := in.d.confirmedSnapshot()
	if failure != nil {
		return failure
	}
	in.admissionQueue = in.d.admissionQueue.Load()
	svc := inForce.services[in.request.service]
	if svc == nil || in.admissionQueue == nil || in.request.service != in.d.cfg.Service {
		return chain.NewFailure(chain.NotRun, chain.ReasonConnect, "no upstream of this service runs here")
	}
	if in.d.local.Load() == nil {
		return chain.NewFailure(chain.NotRun, chain.ReasonConnect, "the local service has not announced itself")
	}
	var err error
	if in.upstreamURL, err = url.ParseRequestURI(in.request.path); err != nil {
		return badRequest("bad " + headerPeerPath)
	}
	if in.route = svc.matchRoute(in.request.method, in.upstreamURL); in.route == nil {
		return chain.NewFailure(chain.NotRun, chain.ReasonUnknownRoute, "no declared route matches")
	}
	in.body, failure = newRequestBody(in.w, in.r, in.route.maxBody, in.d.cfg.BodyProgressTimeout)
	return failure
}

// admissionPriority is the priority at this gate. A critical call below the first
// service gets the highest one: a handler above it has run already, so its
// refusal would end a booking whose key cannot be used again, while new
// critical requests are still refused at the entrance by the reported levels.
func (in *inboundAttempt) admissionPriority() chain.Priority {
	c := in.request.metadata
	if c.Depth > 0 && c.Priority.Class() == chain.Critical {
		return chain.MaxPriority - 1
	}
	return c.Priority
}

// admit waits at the gate.
func (in *inboundAttempt) admit(ctx context.Context) (*admissionqueue.Permit, time.Duration, *chain.Failure) {
	ticket, after, failure := in.admissionQueue.Acquire(ctx, admission.Request{
		Priority:        in.admissionPriority(),
		Deadline:        in.request.metadata.Deadline,
		StreamingUpload: in.route.Body == declaration.BodyStream,
		Route:           in.route.Name,
	})
	if failure == nil {
		in.recordDecision("admit", nil)
	}
	return ticket, after, failure
}

// execute sends an admitted request to the local upstream and answers.
func (in *inboundAttempt) execute(ctx context.Context, t *admissionqueue.Permit, claimed *claim) {
	e := newParentRequest(in.request.metadata, in.route, in.request.allowance)
	handle := in.d.chainHandles.add(e)
	defer in.d.chainHandles.remove(handle)
	result := in.callHandler(ctx, e, handle)
	if ctx.Err() != nil {
		e.cancelCalls()
	}
	if result.response == nil {
		unused := in.releasePermit(t, e, result.failure)
		claimed.settleFailure(result.failure)
		in.respondError(result.failure, 0, unused)
		return
	}
	if result.response.stream == nil {
		in.respondBuffered(t, e, result, claimed)
		return
	}
	in.respondStream(ctx, t, e, result, claimed)
}

// releasePermit ends the run at the gate and closes the chain handle.
func (in *inboundAttempt) releasePermit(t *admissionqueue.Permit, e *parentRequest, failure *chain.Failure) (unused int) {
	unused, below := e.close(in.d.cfg.Now())
	result := admission.ExecutionResult{Succeeded: failure == nil || failure.FromDependency || failure.Outcome == chain.NotRun}
	result.Cancelled = failure != nil && causedBySender(failure)
	in.admissionQueue.Release(t, below, result)
	return unused
}

// respondBuffered answers with everything in the headers and a known length.
func (in *inboundAttempt) respondBuffered(t *admissionqueue.Permit, e *parentRequest, result handlerResult, claimed *claim) {
	a := result.response
	unused := in.releasePermit(t, e, result.failure)
	claimed.finish(a.status, a.header.Get("Content-Type"), a.buffered, false)
	h := in.responseHeader(a, result.failure)
	h[headerPeerUnusedRetries] = []string{formatInt(unused)}
	h[headerPeerLoadReport] = []string{in.loadReport()}
	if in.request.method == http.MethodHead {
		if a.length >= 0 {
			h[headerPeerLength] = []string{formatInt(int(a.length))}
		}
	}
	if bodyAllowed(a.status) {
		setLength(h, int64(len(a.buffered)))
	}
	in.w.WriteHeader(a.status)
	if len(a.buffered) > 0 {
		_, _ = in.w.Write(a.buffered) // the other daemon has left if this fails
	}
	a.release()
	in.recordDecision("ran", result.failure)
}

// respondStream copies a large answer. What is known only at its end follows in
// trailers.
func (in *inboundAttempt) respondStream(ctx context.Context, t *admissionqueue.Permit, e *parentRequest, result handlerResult, claimed *claim) {
	a := result.response
	h := in.responseHeader(a, result.failure)
	h["Trailer"] = []string{headerPeerUnusedRetries + ", " + headerPeerLoadReport}
	if a.length >= 0 {
		h[headerPeerLength] = []string{formatInt(int(a.length))}
	}
	cp := newResponseCopier(in.w, in.d.cfg.BodyProgressTimeout, a.length)
	cp.stored = claimed.newBuffer()
	in.w.WriteHeader(a.status)
	broken := a.copyTo(ctx, cp, a.length)
	if ctx.Err() != nil {
		e.cancelCalls()
	}
	failure := result.failure
	if broken != nil {
		failure = broken
	}
	unused := in.releasePermit(t, e, failure)
	if broken == nil || cp.disconnected && claimed != nil && broken.Reason == chain.ReasonCancelled {
		claimed.finish(a.status, a.header.Get("Content-Type"), cp.storedBytes(), cp.storageOverflowed())
	}
	in.recordDecision("ran", failure)
	if broken != nil {
		in.d.metrics.abortedResponses.Add(1)
		panic(http.ErrAbortHandler) // the other daemon sees a body without its end
	}
	h[headerPeerUnusedRetries] = []string{formatInt(unused)}
	h[headerPeerLoadReport] = []string{in.loadReport()}
}

// responseHeader fills the headers that every answer of a handler has.
func (in *inboundAttempt) responseHeader(a *response, failure *chain.Failure) http.Header {
	h := in.w.Header()
	copyEndToEndHeaders(h, a.header)
	if failure == nil {
		setOutcome(h, chain.OK, chain.ReasonNone)
		return h
	}
	setOutcome(h, failure.Outcome, failure.Reason)
	if failure.FromDependency {
		h[headerPeerDependency] = []string{"1"}
	}
	return h
}

// respondError answers with a failure of this daemon's own.
func (in *inboundAttempt) respondError(failure *chain.Failure, after time.Duration, unused int) {
	in.recordDecision("refuse", failure)
	in.d.metrics.recordErrorResponse(failure)
	h := in.w.Header()
	h[headerPeerGenerated] = []string{"1"}
	h[headerPeerUnusedRetries] = []string{formatInt(unused)}
	if failure.FromDependency {
		h[headerPeerDependency] = []string{"1"}
	}
	if in.admissionQueue != nil && in.route != nil {
		h[headerPeerLoadReport] = []string{in.loadReport()}
	}
	errorResponse{failure, in.request.metadata.RequestID, after}.write(in.w)
}

func (in *inboundAttempt) recordDecision(event string, failure *chain.Failure) {
	now := in.d.cfg.Now()
	decision := logging.Decision{
		Event:     event,
		RequestID: in.request.metadata.RequestID,
		Service:   in.request.service,
		Attempt:   in.request.metadata.Attempt,
		Priority:  uint16(in.request.metadata.Priority),
		Depth:     in.request.depth,
		Remaining: in.request.metadata.Remaining(now),
		Elapsed:   now.Sub(in.arrivedAt),
	}
	if in.route != nil {
		decision.Route = in.route.Name
	}
	if failure != nil {
		decision.Outcome, decision.Reason = failure.Outcome.String(), string(failure.Reason)
	}
	in.d.decisions.Record(decision)
}
