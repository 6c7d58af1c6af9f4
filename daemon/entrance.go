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

// serveEntrance handles a request of a caller.
func (d *Daemon) serveEntrance(w http.ResponseWriter, r *http.Request) {
	d.metrics.entrance.Add(1)
	d.serveCall(w, r, d.entranceCall)
}

// serveExit handles a call of the local service.
func (d *Daemon) serveExit(w http.ResponseWriter, r *http.Request) {
	d.metrics.exit.Add(1)
	if r.Header[headerChain] == nil {
		// Background work of the service has no parent; it enters here as a
		// caller's request would.
		d.metrics.exitWithoutChain.Add(1)
		d.serveCall(w, r, d.rootCall)
		return
	}
	d.serveCall(w, r, d.chainCall)
}

// prepare fills in the parts of a call that depend on where it came from.
type prepare func(c *call, r *http.Request) (refusal, bool)

// serveCall runs a call from its parsing to its last byte.
func (d *Daemon) serveCall(w http.ResponseWriter, r *http.Request, fill prepare) {
	c := &call{d: d, arrived: d.cfg.Now(), method: r.Method, host: r.Host, header: r.Header}
	if refused, ok := d.prepareCall(c, w, r, fill); !ok {
		d.noteRefusal(c, r, refused.failure, c.arrived)
		d.refuseCall(w, c, refused)
		return
	}
	defer c.body.close()
	ctx, cancel := context.WithTimeout(r.Context(), c.context.Remaining(c.arrived))
	defer cancel()
	c.ctx = ctx
	number, ok := c.owner.begin(c.arrived, cancel)
	if !ok {
		d.refuseCall(w, c, refusal{failure: parentEnded()})
		return
	}
	failure, cut := c.run(w)
	now := d.cfg.Now()
	c.owner.done(now, number, failure == nil)
	d.metrics.answered(failure)
	d.recordAnswer(c, failure, now)
	d.noteRefusal(c, r, failure, now)
	if cut {
		panic(http.ErrAbortHandler) // closes the connection, so that the part is not taken for the whole
	}
}

// noteRefusal remembers callers that were refused under load, so that those
// that go on regardless are held off.
func (d *Daemon) noteRefusal(c *call, r *http.Request, f *chain.Failure, now time.Time) {
	if f == nil || !c.entered || f.Reason != chain.ReasonOverload && f.Reason != chain.ReasonDownstream {
		return
	}
	d.holdOff.RecordRejectionClass(now, callerAddress(r), c.context.Priority.Class())
}

// prepareCall parses a request. It returns false with the refusal.
func (d *Daemon) prepareCall(c *call, w http.ResponseWriter, r *http.Request, fill prepare) (refusal, bool) {
	inForce, failure := d.confirmed()
	if failure != nil {
		return refusal{failure: failure}, false
	}
	// The path counts because it crosses to the other daemon in a header.
	if len(r.RequestURI)+headerSize(r.Header) > maxHeaderBytes {
		return refusal{failure: badRequest("path and headers exceed 32 KiB")}, false
	}
	c.version = inForce.source.Version
	if failure := c.findRoute(inForce, r); failure != nil {
		return refusal{failure: failure}, false
	}
	if refused, ok := fill(c, r); !ok {
		return refused, false
	}
	if c.context.Remaining(c.arrived) <= 0 {
		return refusal{failure: chain.NewFailure(chain.NotRun, chain.ReasonDeadline, "the deadline has passed")}, false
	}
	if c.context.IdempotencyKey, failure = c.key(r); failure != nil {
		return refusal{failure: failure}, false
	}
	c.body, failure = newBody(w, r, c.route.maxBody, d.cfg.BodyProgressTimeout)
	return refusal{failure: failure}, failure == nil
}

// findRoute finds the declared route of a path /SERVICE/PATH.
func (c *call) findRoute(inForce *compiled, r *http.Request) *chain.Failure {
	unknown := chain.NewFailure(chain.NotRun, chain.ReasonUnknownRoute, "no declared route matches "+r.Method+" and this path")
	name, path, ok := cutService(r.URL.Path)
	if !ok {
		return unknown
	}
	c.svc = inForce.services[name]
	if c.svc == nil {
		return unknown
	}
	target := url.URL{Path: path, RawQuery: r.URL.RawQuery}
	if r.URL.RawPath != "" {
		if _, target.RawPath, ok = cutService(r.URL.RawPath); !ok {
			return unknown
		}
	}
	c.route = c.svc.match(r.Method, &target)
	if c.route == nil {
		return unknown
	}
	c.path = target.RequestURI()
	return nil
}

// cutService splits /SERVICE/PATH into the service and /PATH.
func cutService(path string) (service, rest string, ok bool) {
	if !strings.HasPrefix(path, "/") {
		return "", "", false
	}
	i := strings.IndexByte(path[1:], '/')
	if i <= 0 {
		return "", "", false
	}
	return path[1 : 1+i], path[1+i:], true
}

// key reads the idempotency key. Idempotent routes need no claim, so their key
// is checked and dropped at the gate.
func (c *call) key(r *http.Request) (string, *chain.Failure) {
	value, failure := first(r.Header, headerKey)
	if failure != nil {
		return "", failure
	}
	return parseKey(value)
}

// entranceCall prepares a caller's request: a root call with early refusal.
func (d *Daemon) entranceCall(c *call, r *http.Request) (refusal, bool) {
	if r.Header[headerChain] != nil {
		d.metrics.forged.Add(1)
		return refusal{failure: chain.NewFailure(chain.NotRun, chain.ReasonForgedChain, headerChain+" is not accepted from callers")}, false
	}
	if refused, ok := d.rootCall(c, r); !ok {
		return refused, false
	}
	c.entered = true
	class := c.context.Priority.Class()
	if ok, after := d.holdOff.AllowClass(c.arrived, callerAddress(r), class); !ok {
		f := chain.NewFailure(chain.NotRun, chain.ReasonHeldOff, "too many calls after refusals; honour Retry-After")
		return refusal{failure: f, retryAfter: after}, false
	}
	if !d.levels.Allow(c.arrived, c.route.id, c.context.Priority) {
		f := chain.NewFailure(chain.NotRun, chain.ReasonDownstream, "a service on the way is saturated")
		return refusal{failure: f}, false
	}
	return refusal{}, true
}

// rootCall prepares a call without a parent.
func (d *Daemon) rootCall(c *call, r *http.Request) (refusal, bool) {
	id, failure := first(r.Header, headerRequestID)
	if failure == nil && id != "" && !validRequestID(id) {
		failure = badRequest(headerRequestID + " must be up to 64 of A-Z, a-z, 0-9, dot, underscore, hyphen")
	}
	if failure != nil {
		return refusal{failure: failure}, false
	}
	if id == "" {
		id = d.ids.next()
	}
	c.context.RequestID = id
	asked, failure := first(r.Header, headerClass)
	if failure != nil {
		return refusal{failure: failure}, false
	}
	class, raised, failure := classOf(asked, c.route.Class)
	if failure != nil {
		return refusal{failure: failure}, false
	}
	if raised {
		d.metrics.raisedClass.Add(1)
	}
	c.context.Priority = chain.NewPriority(class, id)
	limit, failure := c.limit(r)
	if failure != nil {
		return refusal{failure: failure}, false
	}
	c.context.Deadline = c.arrived.Add(limit)
	c.owner = newEntry(c.context, c.route, c.route.Retries)
	return refusal{}, true
}

// defaultTimeout applies to a route that declares none.
const defaultTimeout = 10 * time.Second

// limit is the smaller of the caller's and the declared time.
func (c *call) limit(r *http.Request) (time.Duration, *chain.Failure) {
	declared := c.route.Timeout
	if declared <= 0 {
		declared = defaultTimeout
	}
	value, failure := first(r.Header, headerDeadline)
	if failure != nil {
		return 0, failure
	}
	return parseDeadline(value, min(declared, maxDeadline))
}

// chainCall prepares a call that belongs to a request in flight here.
func (d *Daemon) chainCall(c *call, r *http.Request) (refusal, bool) {
	handle, failure := first(r.Header, headerChain)
	if failure != nil {
		return refusal{failure: failure}, false
	}
	parent, failure := d.handles.find(handle)
	if failure != nil {
		if failure.Reason == chain.ReasonForgedChain {
			d.metrics.forged.Add(1)
		}
		return refusal{failure: failure}, false
	}
	c.owner = parent
	c.context = parent.ctx
	c.context.Depth++
	if c.context.Depth > chain.MaxDepth {
		return refusal{failure: chain.NewFailure(chain.NotRun, chain.ReasonTooDeep, "the call chain is too deep")}, false
	}
	limit, failure := c.limit(r)
	if failure != nil {
		return refusal{failure: failure}, false
	}
	if own := c.arrived.Add(limit); own.Before(c.context.Deadline) {
		c.context.Deadline = own
	}
	if !parent.route.declares(c.route) {
		d.metrics.undeclaredCalls.Add(1)
	}
	return refusal{}, true
}

func (r *route) declares(callee *route) bool {
	for _, id := range r.Calls {
		if id.Service == callee.service && id.Route == callee.Name {
			return true
		}
	}
	return false
}

// refuseCall answers a call that was refused before any attempt.
func (d *Daemon) refuseCall(w http.ResponseWriter, c *call, f refusal) {
	f.requestID = c.context.RequestID
	if c.route == nil {
		c.route = &route{}
	}
	now := d.cfg.Now()
	d.metrics.answered(f.failure)
	d.recordAnswer(c, f.failure, now)
	f.write(w)
}

func (d *Daemon) recordAnswer(c *call, failure *chain.Failure, now time.Time) {
	decision := c.decision("answer", 0, now)
	decision.Outcome = chain.OK.String()
	if failure != nil {
		decision.Outcome, decision.Reason = failure.Outcome.String(), string(failure.Reason)
	}
	d.decisions.Record(decision)
}

// callerAddress is the host part of the caller's address.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
