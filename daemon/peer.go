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

// inbound is one attempt that another daemon sent here.
type inbound struct {
	d       *Daemon
	w       http.ResponseWriter
	r       *http.Request
	arrived time.Time
	peer    peerRequest
	target  *url.URL // path and query at the local upstream
	route   *route
	gate    *admissionqueue.Queue
	body    *body
}

// servePeer handles an attempt of another daemon.
func (d *Daemon) servePeer(w http.ResponseWriter, r *http.Request) {
	d.metrics.peer.Add(1)
	in := &inbound{d: d, w: w, r: r, arrived: d.cfg.Now()}
	h := w.Header()
	h[headerRequestID] = r.Header[headerRequestID]
	if d.draining.Load() {
		h["Connection"] = []string{"close"}
	}
	failure := in.accept()
	h[headerPeerAttempt] = []string{strconv.FormatUint(uint64(in.peer.context.Attempt), 10)}
	if failure != nil {
		in.refuse(failure, 0, in.peer.allowance)
		return
	}
	defer in.body.close()
	ctx, cancel := context.WithTimeout(r.Context(), in.peer.remaining)
	defer cancel()
	if in.peer.context.IdempotencyKey != "" && !in.route.Idempotent {
		in.serveKeyed(ctx)
		return
	}
	ticket, after, failure := in.admit(ctx)
	if failure != nil {
		in.refuse(failure, after, in.peer.allowance)
		return
	}
	in.run(ctx, ticket, nil)
}

// accept checks an attempt up to the point where it may queue.
func (in *inbound) accept() *chain.Failure {
	var failure *chain.Failure
	if in.peer, failure = parsePeer(in.r.Header); failure != nil {
		return failure
	}
	in.peer.context.Deadline = in.arrived.Add(in.peer.remaining)
	if in.d.draining.Load() {
		return chain.NewFailure(chain.NotRun, chain.ReasonDraining, "the upstream is draining")
	}
	inForce, failure := in.d.confirmed()
	if failure != nil {
		return failure
	}
	in.gate = in.d.gate.Load()
	svc := inForce.services[in.peer.service]
	if svc == nil || in.gate == nil || in.peer.service != in.d.cfg.Service {
		return chain.NewFailure(chain.NotRun, chain.ReasonConnect, "no upstream of this service runs here")
	}
	if in.d.local.Load() == nil {
		return chain.NewFailure(chain.NotRun, chain.ReasonConnect, "the local service has not announced itself")
	}
	var err error
	if in.target, err = url.ParseRequestURI(in.peer.path); err != nil {
		return badRequest("bad " + headerPeerPath)
	}
	if in.route = svc.match(in.peer.method, in.target); in.route == nil {
		return chain.NewFailure(chain.NotRun, chain.ReasonUnknownRoute, "no declared route matches")
	}
	in.body, failure = newBody(in.w, in.r, in.route.maxBody, in.d.cfg.BodyProgressTimeout)
	return failure
}

// gatePriority is the priority at this gate. A critical call below the first
// service gets the highest one: a handler above it has run already, so its
// refusal would end a booking whose key cannot be used again, while new
// critical requests are still refused at the entrance by the reported levels.
func (in *inbound) gatePriority() chain.Priority {
	c := in.peer.context
	if c.Depth > 0 && c.Priority.Class() == chain.Critical {
		return chain.MaxPriority - 1
	}
	return c.Priority
}

// admit waits at the gate.
func (in *inbound) admit(ctx context.Context) (*admissionqueue.Permit, time.Duration, *chain.Failure) {
	ticket, after, failure := in.gate.Acquire(ctx, admission.Request{
		Priority:        in.gatePriority(),
		Deadline:        in.peer.context.Deadline,
		StreamingUpload: in.route.Body == declaration.BodyStream,
		Route:           in.route.Name,
	})
	if failure == nil {
		in.record("admit", nil)
	}
	return ticket, after, failure
}

// run sends an admitted request to the local upstream and answers.
func (in *inbound) run(ctx context.Context, t *admissionqueue.Permit, claimed *claim) {
	e := newEntry(in.peer.context, in.route, in.peer.allowance)
	handle := in.d.handles.add(e)
	defer in.d.handles.remove(handle)
	result := in.callHandler(ctx, e, handle)
	if ctx.Err() != nil {
		e.abort()
	}
	if result.answer == nil {
		unused := in.leave(t, e, result.failure)
		claimed.settleFailure(result.failure)
		in.refuse(result.failure, 0, unused)
		return
	}
	if result.answer.resp == nil {
		in.answerWhole(t, e, result, claimed)
		return
	}
	in.answerStream(ctx, t, e, result, claimed)
}

// leave ends the run at the gate and closes the chain handle.
func (in *inbound) leave(t *admissionqueue.Permit, e *entry, failure *chain.Failure) (unused int) {
	unused, below := e.end(in.d.cfg.Now())
	result := admission.ExecutionResult{Succeeded: failure == nil || failure.FromDependency || failure.Outcome == chain.NotRun}
	result.Cancelled = failure != nil && senderFault(failure)
	in.gate.Release(t, below, result)
	return unused
}

// answerWhole answers with everything in the headers and a known length.
func (in *inbound) answerWhole(t *admissionqueue.Permit, e *entry, result handlerResult, claimed *claim) {
	a := result.answer
	unused := in.leave(t, e, result.failure)
	claimed.finish(a.status, a.header.Get("Content-Type"), a.whole, false)
	h := in.answerHead(a, result.failure)
	h[headerPeerUnused] = []string{unusedText(unused)}
	h[headerPeerReport] = []string{in.report()}
	if in.peer.method == http.MethodHead {
		if a.length >= 0 {
			h[headerPeerLength] = []string{unusedText(int(a.length))}
		}
	}
	if bodyAllowed(a.status) {
		setLength(h, int64(len(a.whole)))
	}
	in.w.WriteHeader(a.status)
	if len(a.whole) > 0 {
		_, _ = in.w.Write(a.whole) // the other daemon has left if this fails
	}
	a.release()
	in.record("ran", result.failure)
}

// answerStream copies a large answer. What is known only at its end follows in
// trailers.
func (in *inbound) answerStream(ctx context.Context, t *admissionqueue.Permit, e *entry, result handlerResult, claimed *claim) {
	a := result.answer
	h := in.answerHead(a, result.failure)
	h["Trailer"] = []string{headerPeerUnused + ", " + headerPeerReport}
	if a.length >= 0 {
		h[headerPeerLength] = []string{unusedText(int(a.length))}
	}
	cp := newCopier(in.w, in.d.cfg.BodyProgressTimeout, a.length)
	cp.keep = claimed.buffer()
	in.w.WriteHeader(a.status)
	broken := a.stream(ctx, cp, a.length)
	if ctx.Err() != nil {
		e.abort()
	}
	failure := result.failure
	if broken != nil {
		failure = broken
	}
	unused := in.leave(t, e, failure)
	if broken == nil || cp.gone && claimed != nil && broken.Reason == chain.ReasonCancelled {
		claimed.finish(a.status, a.header.Get("Content-Type"), cp.kept(), cp.overflowed())
	}
	in.record("ran", failure)
	if broken != nil {
		in.d.metrics.cutAnswers.Add(1)
		panic(http.ErrAbortHandler) // the other daemon sees a body without its end
	}
	h[headerPeerUnused] = []string{unusedText(unused)}
	h[headerPeerReport] = []string{in.report()}
}

// answerHead fills the headers that every answer of a handler has.
func (in *inbound) answerHead(a *answer, failure *chain.Failure) http.Header {
	h := in.w.Header()
	passHeaders(h, a.header)
	if failure == nil {
		setOutcome(h, chain.OK, chain.ReasonNone)
		return h
	}
	setOutcome(h, failure.Outcome, failure.Reason)
	if failure.FromDependency {
		h[headerPeerDeep] = []string{"1"}
	}
	return h
}

// refuse answers with a failure of this daemon's own.
func (in *inbound) refuse(failure *chain.Failure, after time.Duration, unused int) {
	in.record("refuse", failure)
	in.d.metrics.refused(failure)
	h := in.w.Header()
	h[headerPeerRefusal] = []string{"1"}
	h[headerPeerUnused] = []string{unusedText(unused)}
	if failure.FromDependency {
		h[headerPeerDeep] = []string{"1"}
	}
	if in.gate != nil && in.route != nil {
		h[headerPeerReport] = []string{in.report()}
	}
	refusal{failure, in.peer.context.RequestID, after}.write(in.w)
}

func (in *inbound) record(event string, failure *chain.Failure) {
	now := in.d.cfg.Now()
	decision := logging.Decision{
		Event:     event,
		RequestID: in.peer.context.RequestID,
		Service:   in.peer.service,
		Attempt:   in.peer.context.Attempt,
		Priority:  uint16(in.peer.context.Priority),
		Depth:     in.peer.depth,
		Remaining: in.peer.context.Remaining(now),
		Elapsed:   now.Sub(in.arrived),
	}
	if in.route != nil {
		decision.Route = in.route.Name
	}
	if failure != nil {
		decision.Outcome, decision.Reason = failure.Outcome.String(), string(failure.Reason)
	}
	in.d.decisions.Record(decision)
}
