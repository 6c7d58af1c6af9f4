package daemon

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/chain"
)

// serveIngress handles a request of a caller.
func (d *Daemon) serveIngress(w http.ResponseWriter, r *http.Request) {
	d.metrics.ingressRequests.Add(1)
	d.serveCall(w, r, d.prepareIngressCall)
}

// serveEgress handles a call of the local service.
func (d *Daemon) serveEgress(w http.ResponseWriter, r *http.Request) {
	d.metrics.egressRequests.Add(1)
	if r.Header[headerChain] == nil {
		// Background work of the service has no parent; it enters here as a
		// caller's request would.
		d.metrics.egressWithoutChain.Add(1)
		d.serveCall(w, r, d.prepareRootCall)
		return
	}
	d.serveCall(w, r, d.prepareChildCall)
}

// prepareFunc fills in the parts of a call that depend on where it came from.
type prepareFunc func(c *call, r *http.Request) (errorResponse, bool)

// serveCall runs a call from its parsing to its last byte.
func (d *Daemon) serveCall(w http.ResponseWriter, r *http.Request, fill prepareFunc) {
	c := &call{d: d, arrivedAt: d.cfg.Now(), method: r.Method, host: r.Host, header: r.Header}
	if refused, ok := d.prepareCall(c, w, r, fill); !ok {
		d.recordOverloadRejection(c, r, refused.failure, c.arrivedAt)
		d.rejectCall(w, c, refused)
		return
	}
	defer c.body.close()
	ctx, cancel := context.WithTimeout(r.Context(), c.metadata.Remaining(c.arrivedAt))
	defer cancel()
	c.ctx = ctx
	number, ok := c.parent.beginCall(c.arrivedAt, cancel)
	if !ok {
		d.rejectCall(w, c, errorResponse{failure: parentEndedFailure()})
		return
	}
	failure, cut := c.tryUpstreams(w)
	now := d.cfg.Now()
	c.parent.endCall(now, number, failure == nil)
	d.metrics.recordResult(failure)
	d.recordResponse(c, failure, now)
	d.recordOverloadRejection(c, r, failure, now)
	if cut {
		panic(http.ErrAbortHandler) // closes the connection, so that the part is not taken for the whole
	}
}

// recordOverloadRejection remembers callers that were refused under load, so that those
// that go on regardless are held off.
func (d *Daemon) recordOverloadRejection(c *call, r *http.Request, f *chain.Failure, now time.Time) {
	if f == nil || !c.fromIngress || f.Reason != chain.ReasonOverload && f.Reason != chain.ReasonDownstream {
		return
	}
	d.rejectionLimiter.RecordRejectionClass(now, clientHost(r), c.metadata.Priority.Class())
}

// prepareCall parses a request. It returns false with the refusal.
func (d *Daemon) prepareCall(c *call, w http.ResponseWriter, r *http.Request, fill prepareFunc) (errorResponse, bool) {
	inForce, failure := d.confirmedSnapshot()
	if failure != nil {
		return errorResponse{failure: failure}, false
	}
	// The path counts because it crosses to the other daemon in a header.
	if len(r.RequestURI)+headerSize(r.Header) > maxHeaderBytes {
		return errorResponse{failure: badRequest("path and headers exceed 32 KiB")}, false
	}
	c.configVersion = inForce.source.Version
	if failure := c.findRoute(inForce, r); failure != nil {
		return errorResponse{failure: failure}, false
	}
	if refused, ok := fill(c, r); !ok {
		return refused, false
	}
	if c.metadata.Remaining(c.arrivedAt) <= 0 {
		return errorResponse{failure: chain.NewFailure(chain.NotRun, chain.ReasonDeadline, "the deadline has passed")}, false
	}
	if c.metadata.IdempotencyKey, failure = c.idempotencyKey(r); failure != nil {
		return errorResponse{failure: failure}, false
	}
	c.body, failure = newRequestBody(w, r, c.route.maxBody, d.cfg.BodyProgressTimeout)
	return errorResponse{failure: failure}, failure == nil
}

// findRoute finds the declared route of a path /SERVICE/PATH.
func (c *call) findRoute(inForce *compiledSnapshot, r *http.Request) *chain.Failure {
	unknown := chain.NewFailure(chain.NotRun, chain.ReasonUnknownRoute, "no declared route matches "+r.Method+" and this path")
	name, path, ok := splitServicePath(r.URL.Path)
	if !ok {
		return unknown
	}
	c.svc = inForce.services[name]
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

// splitServicePath splits /SERVICE/PATH into the service and /PATH.
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

// idempotencyKey reads the idempotency key. Idempotent routes need no claim, so their key
// is checked and dropped at the gate.
func (c *call) idempotencyKey(r *http.Request) (string, *chain.Failure) {
	value, failure := singleValue(r.Header, headerKey)
	if failure != nil {
		return "", failure
	}
	return parseIdempotencyKey(value)
}

// prepareIngressCall prepares a caller's request: a root call with early refusal.
func (d *Daemon) prepareIngressCall(c *call, r *http.Request) (errorResponse, bool) {
	if r.Header[headerChain] != nil {
		d.metrics.rejectedHandles.Add(1)
		return errorResponse{failure: chain.NewFailure(chain.NotRun, chain.ReasonForgedChain, headerChain+" is not accepted from callers")}, false
	}
	if refused, ok := d.prepareRootCall(c, r); !ok {
		return refused, false
	}
	c.fromIngress = true
	class := c.metadata.Priority.Class()
	if ok, after := d.rejectionLimiter.AllowClass(c.arrivedAt, clientHost(r), class); !ok {
		f := chain.NewFailure(chain.NotRun, chain.ReasonHeldOff, "too many calls after refusals; honour Retry-After")
		return errorResponse{failure: f, retryAfter: after}, false
	}
	if !d.admissionLevels.Allow(c.arrivedAt, c.route.id, c.metadata.Priority) {
		f := chain.NewFailure(chain.NotRun, chain.ReasonDownstream, "a service on the way is saturated")
		return errorResponse{failure: f}, false
	}
	return errorResponse{}, true
}

// prepareRootCall prepares a call without a parent.
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
	asked, failure := singleValue(r.Header, headerClass)
	if failure != nil {
		return errorResponse{failure: failure}, false
	}
	class, raised, failure := effectiveClass(asked, c.route.Class)
	if failure != nil {
		return errorResponse{failure: failure}, false
	}
	if raised {
		d.metrics.raisedClasses.Add(1)
	}
	c.metadata.Priority = chain.NewPriority(class, id)
	limit, failure := c.timeout(r)
	if failure != nil {
		return errorResponse{failure: failure}, false
	}
	c.metadata.Deadline = c.arrivedAt.Add(limit)
	c.parent = newParentRequest(c.metadata, c.route, c.route.Retries)
	return errorResponse{}, true
}

// defaultTimeout applies to a route that declares none.
const defaultTimeout = 10 * time.Second

// timeout is the smaller of the caller's and the declared time.
func (c *call) timeout(r *http.Request) (time.Duration, *chain.Failure) {
	declared := c.route.Timeout
	if declared <= 0 {
		declared = defaultTimeout
	}
	value, failure := singleValue(r.Header, headerDeadline)
	if failure != nil {
		return 0, failure
	}
	return parseDeadline(value, min(declared, maxDeadline))
}

// prepareChildCall prepares a call that belongs to a request in flight here.
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
	limit, failure := c.timeout(r)
	if failure != nil {
		return errorResponse{failure: failure}, false
	}
	if own := c.arrivedAt.Add(limit); own.Before(c.metadata.Deadline) {
		c.metadata.Deadline = own
	}
	if !parent.route.declares(c.route) {
		d.metrics.undeclaredCalls.Add(1)
	}
	return errorResponse{}, true
}

func (r *route) declares(callee *route) bool {
	for _, id := range r.Calls {
		if id.Service == callee.service && id.Route == callee.Name {
			return true
		}
	}
	return false
}

// rejectCall answers a call that was refused before any attempt.
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

func (d *Daemon) recordResponse(c *call, failure *chain.Failure, now time.Time) {
	decision := c.newDecision("answer", 0, now)
	decision.Outcome = chain.OK.String()
	if failure != nil {
		decision.Outcome, decision.Reason = failure.Outcome.String(), string(failure.Reason)
	}
	d.decisions.Record(decision)
}

// clientHost is the host part of the caller's address.
func clientHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
