package daemon

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/internal/httphold"
)

// serveIngress handles a request of a client.
func (d *Daemon) serveIngress(w http.ResponseWriter, r *http.Request) {
	d.metrics.ingressRequests.Add(1)
	d.serveCall(w, r, d.prepareIngressCall)
}

// serveEgress handles a call of the local upstream.
func (d *Daemon) serveEgress(w http.ResponseWriter, r *http.Request) {
	d.metrics.egressRequests.Add(1)
	if r.Header[headerChain] == nil {
		// Background work of the service has no parent request. Its calls are root calls, like the
		// requests of clients.
		d.metrics.egressWithoutChain.Add(1)
		d.serveCall(w, r, d.prepareRootCall)
		return
	}
	d.serveCall(w, r, d.prepareChildCall)
}

// prepareFunc sets the fields of a call that depend on its source: a client, background work or a
// parent request. It returns false and the response if the call is rejected.
type prepareFunc func(c *call, r *http.Request) (errorResponse, bool)

// serveCall parses a request, forwards it as a call and responds.
func (d *Daemon) serveCall(w http.ResponseWriter, r *http.Request, prepare prepareFunc) {
	c := &call{d: d, receivedAt: d.cfg.Now(), method: r.Method, host: r.Host, header: r.Header, held: httphold.BeginRequest(d.ledger, w)}
	defer c.held.End()
	if rejection, ok := d.prepareCall(c, w, r, prepare); !ok {
		d.recordOverloadRejection(c, r, rejection.failure, c.receivedAt)
		d.rejectCall(w, c, rejection)
		return
	}
	defer c.body.close()
	ctx, cancel := context.WithTimeout(r.Context(), c.metadata.Remaining(c.receivedAt))
	defer cancel()
	c.ctx = ctx
	number, ok := c.parent.beginCall(c.receivedAt, cancel)
	if !ok {
		d.rejectCall(w, c, errorResponse{failure: parentEndedFailure()})
		return
	}
	failure, truncated := c.tryUpstreams(w)
	now := d.cfg.Now()
	c.parent.endCall(now, number, failure == nil)
	d.metrics.recordResult(failure)
	d.recordResponse(c, failure, now)
	d.recordOverloadRejection(c, r, failure, now)
	if truncated {
		abortResponse(w, r)
	}
}

// abortResponse aborts the connection, so that the client detects an incomplete response. For a client of
// HTTP/1.0 the end of the connection may be that of the body, so the connection is reset.
func abortResponse(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if tcp, ok := conn.(interface{ SetLinger(int) error }); ok {
				_ = tcp.SetLinger(0) // fails only on a closed connection
			}
			_ = conn.Close() // as above
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// recordOverloadRejection passes rejections of clients due to overload to the rejection limiter,
// which rejects clients that ignore Retry-After.
func (d *Daemon) recordOverloadRejection(c *call, r *http.Request, f *chain.Failure, now time.Time) {
	if f == nil || !c.fromIngress || f.Reason != chain.ReasonOverload && f.Reason != chain.ReasonDownstream {
		return
	}
	d.rejectionLimiter.RecordRejectionClass(now, clientHost(r), c.metadata.Priority.Class())
}

// prepareCall parses a request. It returns false and the response if the request is rejected.
func (d *Daemon) prepareCall(c *call, w http.ResponseWriter, r *http.Request, prepare prepareFunc) (errorResponse, bool) {
	if !c.held.ReserveSmall(heldBytes(r)) {
		return errorResponse{failure: noMemoryFailure()}, false
	}
	active, failure := d.confirmedSnapshot()
	if failure != nil {
		return errorResponse{failure: failure}, false
	}
	// The path is included because it is sent to the other daemon in a header.
	if len(r.RequestURI)+headerSize(r.Header) > maxHeaderBytes {
		return errorResponse{failure: badRequest("path and headers exceed 32 KiB")}, false
	}
	c.configVersion = active.source.Version
	if failure := c.findRoute(active, r); failure != nil {
		return errorResponse{failure: failure}, false
	}
	if rejection, ok := prepare(c, r); !ok {
		return rejection, false
	}
	if c.metadata.Remaining(c.receivedAt) <= 0 {
		return errorResponse{failure: chain.NewFailure(chain.NotRun, chain.ReasonDeadline, "the deadline has passed")}, false
	}
	if c.metadata.IdempotencyKey, failure = c.idempotencyKey(r); failure != nil {
		return errorResponse{failure: failure}, false
	}
	c.body, failure = newRequestBody(w, r, c.held, c.route.maxBody, d.cfg.BodyProgressTimeout)
	return errorResponse{failure: failure}, failure == nil
}

// findRoute sets the service, the declared route and the path of a call from /SERVICE/PATH.
func (c *call) findRoute(active *compiledSnapshot, r *http.Request) *chain.Failure {
	unknown := chain.NewFailure(chain.NotRun, chain.ReasonUnknownRoute, "no declared route matches "+r.Method+" and this path")
	name, path, ok := splitServicePath(r.URL.Path)
	if !ok {
		return unknown
	}
	c.svc = active.services[name]
	if c.svc == nil {
		return unknown
	}
	target := url.URL{Path: path, RawQuery: r.URL.RawQuery}
	if r.URL.RawPath != "" {
		if _, target.RawPath, ok = splitServicePath(r.URL.RawPath); !ok {
			return unknown
		}
	}
	c.route = c.svc.matchRoute(r.Method, &target)
	if c.route == nil {
		return unknown
	}
	c.path = target.RequestURI()
	return nil
}

// splitServicePath splits /SERVICE/PATH into SERVICE and /PATH.
func splitServicePath(path string) (service, rest string, ok bool) {
	if !strings.HasPrefix(path, "/") {
		return "", "", false
	}
	i := strings.IndexByte(path[1:], '/')
	if i <= 0 {
		return "", "", false
	}
	return path[1 : 1+i], path[1+i:], true
}

// idempotencyKey reads and validates the idempotency key. The daemon of the upstream claims it only
// for routes that are not idempotent.
func (c *call) idempotencyKey(r *http.Request) (string, *chain.Failure) {
	value, failure := singleValue(r.Header, headerIdempotencyKey)
	if failure != nil {
		return "", failure
	}
	return parseIdempotencyKey(value)
}

// prepareIngressCall prepares the request of a client: a root call that the rejection limiter or
// the admission levels may reject early.
func (d *Daemon) prepareIngressCall(c *call, r *http.Request) (errorResponse, bool) {
	if r.Header[headerChain] != nil {
		d.metrics.rejectedHandles.Add(1)
		return errorResponse{failure: chain.NewFailure(chain.NotRun, chain.ReasonForgedChain, headerChain+" is not accepted from clients")}, false
	}
	if rejection, ok := d.prepareRootCall(c, r); !ok {
		return rejection, false
	}
	c.fromIngress = true
	class := c.metadata.Priority.Class()
	if ok, retryAfter := d.rejectionLimiter.AllowClass(c.receivedAt, clientHost(r), class); !ok {
		f := chain.NewFailure(chain.NotRun, chain.ReasonHeldOff, "too many requests after rejections; respect Retry-After")
		return errorResponse{failure: f, retryAfter: retryAfter}, false
	}
	if !d.admissionLevels.Allow(c.receivedAt, c.route.id, c.metadata.Priority) {
		f := chain.NewFailure(chain.NotRun, chain.ReasonDownstream, "a dependency of this route is overloaded")
		return errorResponse{failure: f}, false
	}
	return errorResponse{}, true
}

// prepareRootCall prepares a call without a parent request.
func (d *Daemon) prepareRootCall(c *call, r *http.Request) (errorResponse, bool) {
	id, failure := singleValue(r.Header, headerRequestID)
	if failure == nil && id != "" && !validRequestID(id) {
		failure = badRequest(headerRequestID + " must be up to 64 of A-Z, a-z, 0-9, dot, underscore, hyphen")
	}
	if failure != nil {
		return errorResponse{failure: failure}, false
	}
	if id == "" {
		id = d.requestIDs.next()
	}
	c.metadata.RequestID = id
	requested, failure := singleValue(r.Header, headerClass)
	if failure != nil {
		return errorResponse{failure: failure}, false
	}
	class, raised, failure := effectiveClass(requested, c.route.Class)
	if failure != nil {
		return errorResponse{failure: failure}, false
	}
	if raised {
		d.metrics.raisedClasses.Add(1)
	}
	c.metadata.Priority = chain.NewPriority(class, id)
	timeout, failure := c.timeout(r)
	if failure != nil {
		return errorResponse{failure: failure}, false
	}
	c.metadata.Deadline = c.receivedAt.Add(timeout)
	c.parent = newParentRequest(c.metadata, c.route, c.route.Retries)
	return errorResponse{}, true
}

// defaultTimeout applies to routes that declare no timeout.
const defaultTimeout = 10 * time.Second

// timeout returns the smaller of the client timeout and the declared timeout.
func (c *call) timeout(r *http.Request) (time.Duration, *chain.Failure) {
	declared := c.route.Timeout
	if declared <= 0 {
		declared = defaultTimeout
	}
	value, failure := singleValue(r.Header, headerDeadline)
	if failure != nil {
		return 0, failure
	}
	return parseClientTimeout(value, min(declared, maxRequestTimeout))
}

// prepareChildCall prepares a call that the local upstream issues while it executes a request.
func (d *Daemon) prepareChildCall(c *call, r *http.Request) (errorResponse, bool) {
	handle, failure := singleValue(r.Header, headerChain)
	if failure != nil {
		return errorResponse{failure: failure}, false
	}
	parent, failure := d.chainHandles.find(handle)
	if failure != nil {
		if failure.Reason == chain.ReasonForgedChain {
			d.metrics.rejectedHandles.Add(1)
		}
		return errorResponse{failure: failure}, false
	}
	c.parent = parent
	c.metadata = parent.metadata
	c.metadata.Depth++
	if c.metadata.Depth > chain.MaxDepth {
		return errorResponse{failure: chain.NewFailure(chain.NotRun, chain.ReasonTooDeep, "the call chain is too deep")}, false
	}
	timeout, failure := c.timeout(r)
	if failure != nil {
		return errorResponse{failure: failure}, false
	}
	if deadline := c.receivedAt.Add(timeout); deadline.Before(c.metadata.Deadline) {
		c.metadata.Deadline = deadline
	}
	if !parent.route.declares(c.route) {
		d.metrics.undeclaredCalls.Add(1)
	}
	return errorResponse{}, true
}

// declares reports whether the declaration of r lists callee among its calls.
func (r *route) declares(callee *route) bool {
	for _, id := range r.Calls {
		if id.Service == callee.service && id.Route == callee.Name {
			return true
		}
	}
	return false
}

// rejectCall responds to a call that was rejected before any attempt.
func (d *Daemon) rejectCall(w http.ResponseWriter, c *call, f errorResponse) {
	f.requestID = c.metadata.RequestID
	if c.route == nil {
		c.route = &route{}
	}
	now := d.cfg.Now()
	d.metrics.recordResult(f.failure)
	d.recordResponse(c, f.failure, now)
	f.write(w)
}

// recordResponse writes the result of a call to the decision log.
func (d *Daemon) recordResponse(c *call, failure *chain.Failure, now time.Time) {
	decision := c.newDecision("answer", 0, now)
	decision.Outcome = chain.OK.String()
	if failure != nil {
		decision.Outcome, decision.Reason = failure.Outcome.String(), string(failure.Reason)
	}
	d.decisions.Record(decision)
}

// clientHost returns the host of the client's address.
func clientHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
