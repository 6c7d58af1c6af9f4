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
	"github.com/bilberrydeck/bilberrydeck/internal/httphold"
	"github.com/bilberrydeck/bilberrydeck/logging"
)

// inboundAttempt is an attempt received from another daemon.
type inboundAttempt struct {
	d              *Daemon
	w              http.ResponseWriter
	r              *http.Request
	receivedAt     time.Time
	request        peerRequest
	upstreamURL    *url.URL // path and query for the local upstream
	route          *route
	admissionQueue *admissionqueue.Queue
	body           *requestBody
	held           *httphold.Request // is charged with what the attempt takes
}

// servePeer handles an attempt from another daemon.
func (d *Daemon) servePeer(w http.ResponseWriter, r *http.Request) {
	d.metrics.peerAttempts.Add(1)
	in := &inboundAttempt{d: d, w: w, r: r, receivedAt: d.cfg.Now(), held: httphold.BeginRequest(d.ledger, w)}
	defer in.held.End()
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
	permit, retryAfter, failure := in.admit(ctx)
	if failure != nil {
		in.respondError(failure, retryAfter, in.request.allowance)
		return
	}
	in.execute(ctx, permit, nil)
}

// accept parses an attempt and checks whether it may enter the admission queue.
func (in *inboundAttempt) accept() *chain.Failure {
	var failure *chain.Failure
	if in.request, failure = parsePeerRequest(in.r.Header); failure != nil {
		return failure
	}
	in.request.metadata.Deadline = in.receivedAt.Add(in.request.remaining)
	if !in.held.ReserveSmall(heldBytes(in.r)) {
		return noMemoryFailure()
	}
	if in.d.draining.Load() {
		return chain.NewFailure(chain.NotRun, chain.ReasonDraining, "the upstream is draining")
	}
	active, failure := in.d.confirmedSnapshot()
	if failure != nil {
		return failure
	}
	in.admissionQueue = in.d.admissionQueue.Load()
	svc := active.services[in.request.service]
	if svc == nil || in.admissionQueue == nil || in.request.service != in.d.cfg.Service {
		return chain.NewFailure(chain.NotRun, chain.ReasonConnect, "there is no upstream of this service on this VM")
	}
	if in.d.local.Load() == nil {
		return chain.NewFailure(chain.NotRun, chain.ReasonConnect, "the upstream of this service has not announced itself")
	}
	var err error
	if in.upstreamURL, err = url.ParseRequestURI(in.request.path); err != nil {
		return badRequest("bad " + headerPeerPath)
	}
	if in.route = svc.matchRoute(in.request.method, in.upstreamURL); in.route == nil {
		return chain.NewFailure(chain.NotRun, chain.ReasonUnknownRoute, "no declared route matches")
	}
	in.body, failure = newRequestBody(in.w, in.r, in.held, in.route.maxBody, in.d.cfg.BodyProgressTimeout)
	return failure
}

// admissionPriority returns the priority at the admission queue. Critical calls to dependencies
// have the highest priority. Their parent request is already in execution, so a rejection would
// fail a request whose idempotency key cannot be used again. New critical requests are still
// rejected at the ingress by the admission levels of load reports.
func (in *inboundAttempt) admissionPriority() chain.Priority {
	metadata := in.request.metadata
	if metadata.Depth > 0 && metadata.Priority.Class() == chain.Critical {
		return chain.NumPriorities - 1
	}
	return metadata.Priority
}

// admit waits until the admission queue admits or rejects the attempt.
func (in *inboundAttempt) admit(ctx context.Context) (*admissionqueue.Permit, time.Duration, *chain.Failure) {
	permit, retryAfter, failure := in.admissionQueue.Acquire(ctx, admission.Request{
		Priority:        in.admissionPriority(),
		Deadline:        in.request.metadata.Deadline,
		StreamingUpload: in.route.Body == declaration.BodyStream,
		Route:           in.route.Name,
	})
	if failure == nil {
		in.recordDecision("admit", nil)
	}
	return permit, retryAfter, failure
}

// execute sends an admitted request to the local upstream and responds with the result.
func (in *inboundAttempt) execute(ctx context.Context, permit *admissionqueue.Permit, claimed *claim) {
	parent := newParentRequest(in.request.metadata, in.route, in.request.allowance)
	handle := in.d.chainHandles.add(parent)
	defer in.d.chainHandles.remove(handle)
	result := in.callUpstream(ctx, parent, handle)
	if ctx.Err() != nil {
		parent.cancelCalls()
	}
	if result.response == nil {
		unused := in.releasePermit(permit, parent, result.failure)
		claimed.settleFailure(result.failure)
		in.respondError(result.failure, 0, unused)
		return
	}
	if result.response.stream == nil {
		in.respondBuffered(permit, parent, result, claimed)
		return
	}
	in.respondStream(ctx, permit, parent, result, claimed)
}

// releasePermit ends the parent request, so that it can issue no more calls, and releases the
// permit. It returns the unused retries.
func (in *inboundAttempt) releasePermit(permit *admissionqueue.Permit, parent *parentRequest, failure *chain.Failure) (unused int) {
	unused, dependencyTime := parent.close(in.d.cfg.Now())
	result := admission.ExecutionResult{Succeeded: failure == nil || failure.FromDependency || failure.Outcome == chain.NotRun}
	result.Cancelled = failure != nil && causedBySender(failure)
	in.admissionQueue.Release(permit, dependencyTime, result)
	return unused
}

// respondBuffered sends a response with a buffered body. The load report and the unused retries are
// sent as headers.
func (in *inboundAttempt) respondBuffered(permit *admissionqueue.Permit, parent *parentRequest, result upstreamResult, claimed *claim) {
	response := result.response
	unused := in.releasePermit(permit, parent, result.failure)
	holdResponse(in.held, response)
	claimed.finish(response.status, response.header.Get("Content-Type"), response.buffered, false)
	h := in.responseHeader(response, result.failure)
	h[headerPeerUnusedRetries] = []string{formatInt(unused)}
	h[headerPeerLoadReport] = []string{in.loadReport()}
	if in.request.method == http.MethodHead {
		if response.length >= 0 {
			h[headerPeerLength] = []string{formatInt(int(response.length))}
		}
	}
	if bodyAllowed(response.status) {
		setLength(h, int64(len(response.buffered)))
	}
	in.w.WriteHeader(response.status)
	if len(response.buffered) > 0 {
		_, _ = in.w.Write(response.buffered) // an error means that the other daemon has disconnected
	}
	response.release()
	in.recordDecision("ran", result.failure)
}

// respondStream copies a response with a streamed body. The load report and the unused retries are
// known only at its end and are sent as trailers.
func (in *inboundAttempt) respondStream(ctx context.Context, permit *admissionqueue.Permit, parent *parentRequest, result upstreamResult, claimed *claim) {
	response := result.response
	h := in.responseHeader(response, result.failure)
	h["Trailer"] = []string{headerPeerUnusedRetries + ", " + headerPeerLoadReport}
	if response.length >= 0 {
		h[headerPeerLength] = []string{formatInt(int(response.length))}
	}
	holdResponse(in.held, response)
	cp := newResponseCopier(in.w, in.held, in.d.cfg.BodyProgressTimeout, response.length)
	cp.stored = claimed.newBuffer()
	in.w.WriteHeader(response.status)
	copyFailure := response.copyTo(ctx, cp, response.length)
	if ctx.Err() != nil {
		parent.cancelCalls()
	}
	failure := result.failure
	if copyFailure != nil {
		failure = copyFailure
	}
	unused := in.releasePermit(permit, parent, failure)
	if copyFailure == nil || cp.disconnected && claimed != nil && copyFailure.Reason == chain.ReasonCancelled {
		claimed.finish(response.status, response.header.Get("Content-Type"), cp.storedBytes(), cp.storageOverflowed())
	}
	in.recordDecision("ran", failure)
	if copyFailure != nil {
		in.d.metrics.abortedResponses.Add(1)
		panic(http.ErrAbortHandler) // aborts the connection, so that the other daemon detects the truncation
	}
	h[headerPeerUnusedRetries] = []string{formatInt(unused)}
	h[headerPeerLoadReport] = []string{in.loadReport()}
}

// responseHeader sets the headers of all responses of the upstream and returns them.
func (in *inboundAttempt) responseHeader(response *response, failure *chain.Failure) http.Header {
	h := in.w.Header()
	copyEndToEndHeaders(h, response.header)
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

// respondError responds with a failure in place of the upstream. unused is the number of retries
// that were delegated to this daemon and not used.
func (in *inboundAttempt) respondError(failure *chain.Failure, retryAfter time.Duration, unused int) {
	in.recordDecision("refuse", failure)
	in.d.metrics.recordPeerError(failure)
	h := in.w.Header()
	h[headerPeerGenerated] = []string{"1"}
	h[headerPeerUnusedRetries] = []string{formatInt(unused)}
	if failure.FromDependency {
		h[headerPeerDependency] = []string{"1"}
	}
	if in.admissionQueue != nil && in.route != nil {
		h[headerPeerLoadReport] = []string{in.loadReport()}
	}
	errorResponse{failure, in.request.metadata.RequestID, retryAfter}.write(in.w)
}

// recordDecision writes an event of this attempt to the decision log.
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
		Elapsed:   now.Sub(in.receivedAt),
	}
	if in.route != nil {
		decision.Route = in.route.Name
	}
	if failure != nil {
		decision.Outcome, decision.Reason = failure.Outcome.String(), string(failure.Reason)
	}
	in.d.decisions.Record(decision)
}
