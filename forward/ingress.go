package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/balance"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/correlation"
	"github.com/bilberrydeck/bilberrydeck/core/routing"
	"github.com/bilberrydeck/bilberrydeck/httpwire"
)

// request is one request at the ingress listener.
type request struct {
	f             *Forwarder
	exchange      *httpwire.ServerExchange
	receivedAt    time.Time
	route         *routing.Route
	service       *service
	throttle      *admission.AdaptiveThrottle // of the route
	call          call
	origin        correlation.Origin // parent request, if any
	clientTimeout time.Duration      // timeout that the client states; 0 if it states none
	deadline      time.Time          // time by which a response is needed

	attempts        int      // upstreams tried
	delivered       int      // attempts that reached an upstream
	retryReserved   bool     // a retry is reserved in the retry budget
	triedUpstreams  []string // ids of the upstreams tried
	mayHaveExecuted bool     // an earlier attempt may have been executed
	executedLocally bool     // the last attempt reached the local upstream
	fallback        *result  // result of a failed attempt with a response, used if the last attempt gets none
}

// serveIngress serves one request of a client or of the local upstream.
func (f *Forwarder) serveIngress(x *httpwire.ServerExchange) {
	f.metrics.clientRequests.Inc()
	r := &request{f: f, exchange: x, receivedAt: f.cfg.Now()}
	r.call.id = x.Request.Header.Get(f.cfg.HeaderNames.RequestID)
	defer func() { r.call.buffer.giveBack() }() // the buffer is read later
	if failure := r.prepare(); failure != nil {
		r.respondError(&result{failure: failure})
		return
	}
	f.recordReceived(r)
	ctx, cancel := context.WithDeadline(x.Context(), x.ReceivedAt.Add(r.deadline.Sub(r.receivedAt)+r.responseGrace()))
	defer cancel()
	res := r.rejectIfOutlivesShutdown()
	if res == nil {
		res = r.throttleRequest()
	}
	if res == nil {
		res = r.tryUpstreams(ctx)
		r.throttle.RecordResult(f.cfg.Now(), res.failure)
	}
	r.respondResult(res)
}

// rejectIfOutlivesShutdown rejects a request that arrives late in a graceful shutdown and
// may outlive the daemon. The result is nil if the request is admitted.
func (r *request) rejectIfOutlivesShutdown() *result {
	l := r.f.local
	if !l.stopping.Load() || !l.outlivesShutdown(&r.call) {
		return nil
	}
	return rejectedByShutdown()
}

// throttleRequest rejects a request early if too many requests of its route fail in
// downstream dependencies. The result is nil if the request is admitted. Calls of the local
// upstream are always admitted, because the parent request would fail with a rejected call.
func (r *request) throttleRequest() *result {
	now := r.f.cfg.Now()
	if r.origin.Parent != nil || !r.f.local.classifier.ClientOnly(r.call.route) || r.throttle.Allow(now, r.call.priority) {
		return nil
	}
	failure := chain.NewFailure(chain.NotRun, chain.ReasonDownstream, "downstream services reject too many calls of this route")
	r.f.recordThrottle(r, r.throttle.RejectRatio(now, r.call.priority), failure, now)
	return &result{failure: failure, retryAfter: admission.RetryAfter(r.call.priority)}
}

// responseGrace returns how long the ingress waits for a response past the deadline. It is 0
// if the deadline comes from the client timeout, because the client no longer waits.
func (r *request) responseGrace() time.Duration {
	if r.clientTimeout > 0 && r.deadline.Sub(r.receivedAt) >= r.clientTimeout {
		return 0
	}
	return responseGraceTime
}

// prepare selects the route and the service and reads the request's headers and body.
func (r *request) prepare() *chain.Failure {
	f, req := r.f, r.exchange.Request
	v := f.view.Load()
	if v == nil {
		return chain.NewFailure(chain.NotRun, chain.ReasonUnconfirmed, "no configuration has been confirmed since the start")
	}
	target := req.RequestURI
	if len(target) == 0 || target[0] != '/' {
		target = req.URL.RequestURI()
	}
	r.route = v.matcher.Match(req.Host, target)
	if r.route == nil {
		return chain.NewFailure(chain.NotRun, chain.ReasonUnknownRoute, "no route matches host and path")
	}
	r.service = v.services[v.targetSelectors[r.route].Next()]
	r.throttle = v.throttles[r.route.Name]
	r.clientTimeout = parseClientTimeout(req.Header.Get(f.cfg.HeaderNames.Deadline))
	r.deadline = r.receivedAt.Add(requestTimeout(r.route, r.clientTimeout))
	r.call = call{
		id: r.call.id, route: headerToken(r.route.Name), kind: r.route.Kind, service: r.service.name, deadline: r.deadline,
		method: req.Method, target: req.RequestURI, host: req.Host, header: req.Header, holder: r.exchange.Holder(),
	}
	removeInternalHeaders(r.call.header)
	delete(r.call.header, f.cfg.HeaderNames.Deadline) // each hop sends what is left
	r.call.header[f.cfg.HeaderNames.Caller] = []string{f.cfg.Service}
	r.correlateParent()
	return r.readBody()
}

// correlateParent determines whether the request is a call of the local upstream, and its
// parent request. Such a call has the priority of its parent, raised to the class of its
// route if that is higher. All calls of one parent get the same admission decision, because
// the parent needs every one of them.
func (r *request) correlateParent() {
	l, c := r.f.local, &r.call
	class := classForRank(r.route.Rank)
	timeout := r.clientTimeout
	if timeout <= 0 {
		timeout = r.deadline.Sub(r.receivedAt)
	}
	r.origin = l.parents.FindParent(r.receivedAt, c.route, timeout)
	c.subsequent = r.origin.Subsequent
	if parent := r.origin.Parent; parent != nil {
		c.priority, c.retryProbability = parent.Priority.RaiseToClass(class), parent.RetryProbability
		return
	}
	c.priority, c.retryProbability = chain.NewPriority(class, c.id), l.load.retryRatio()
}

// classForRank maps the rank of a route to a class; rank 0 is the highest.
func classForRank(rank int) chain.Class {
	switch {
	case rank <= 0:
		return chain.Critical
	case rank == 1:
		return chain.Default
	}
	return chain.Sheddable
}

// parseClientTimeout parses a client timeout in milliseconds. It returns 0 if there is no
// valid one.
func parseClientTimeout(value string) time.Duration {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxClientTimeout)
}

// readBody buffers a small body, so that the request occupies no slot while its client sends
// it, and can be retried without the client.
func (r *request) readBody() *chain.Failure {
	b := r.exchange.Body
	if b == nil {
		return nil
	}
	if b.Length > maxBufferedBody {
		r.call.stream, r.call.length = b, b.Length
		return nil
	}
	return r.f.readBody(&r.call, b)
}

// readBody buffers a body up to maxBufferedBody; the rest of a larger one is streamed.
func (c *call) readBody(from io.Reader, length int64) *chain.Failure {
	buffer, err := readRequestBody(from, length, c.holder)
	c.buffer = buffer
	switch {
	case err != nil:
		return bodyFailure(err)
	case buffer.refused:
		return chain.NewFailure(chain.NotRun, chain.ReasonNoMemory, "the memory for requests is used up")
	case buffer.complete:
		c.body, c.stream, c.length = buffer.bytes, nil, 0
	default:
		c.stream, c.length = io.MultiReader(buffer, from), length
	}
	return nil
}

func bodyFailure(err error) *chain.Failure {
	switch {
	case errors.Is(err, httpwire.ErrBodyTooLarge):
		return chain.WrapFailure(chain.NotRun, chain.ReasonTooLarge, "the request body exceeds the limit", err)
	case errors.Is(err, httpwire.ErrEvicted):
		return chain.WrapFailure(chain.NotRun, chain.ReasonNoMemory, "the request body arrives too slowly while the memory for requests is used up", err)
	case errors.Is(err, httpwire.ErrBodyInterrupted):
		return chain.WrapFailure(chain.NotRun, chain.ReasonStopping, "the daemon stops before the request body has arrived", err)
	}
	return chain.WrapFailure(chain.NotRun, chain.ReasonSlowBody, "the request body could not be read", err)
}

// tryUpstreams sends the request to upstreams until one responds or no further attempt is
// permitted.
func (r *request) tryUpstreams(ctx context.Context) *result {
	r.service.retryBudget.RecordRequest(r.f.cfg.Now(), r.call.priority)
	defer r.commitRetry(false)
	var res *result
	for {
		choice, failure := r.pickUpstream()
		switch {
		case failure != nil && res != nil:
			return r.finalResult(res) // more specific than the failure to pick another upstream
		case failure != nil:
			return r.finalResult(&result{failure: failure})
		}
		startedAt := r.f.cfg.Now()
		res = r.attempt(ctx, choice)
		r.recordAttempt(choice, res, r.f.cfg.Now().Sub(startedAt))
		if !r.shouldRetry(ctx, res) {
			return r.finalResult(res)
		}
	}
}

func (r *request) pickUpstream() (balance.PickResult, *chain.Failure) {
	now := r.f.cfg.Now()
	choice, failure := r.service.balancer.Pick(now, balance.PickInfo{
		Priority: r.call.admissionPriority(), Exclude: r.triedUpstreams, BodyBytes: max(r.call.bodyLength(), 0), Retry: r.attempts > 0, Route: r.call.route,
		Remaining: r.deadline.Sub(now),
	})
	if failure == nil {
		r.call.upstream, r.call.hasAlternative = choice.Upstream.ID, choice.HasAlternative
		r.f.recordRoute(&r.call, choice, now, now.Sub(r.receivedAt))
	}
	return choice, failure
}

// attempt sends the call to one upstream.
func (r *request) attempt(ctx context.Context, choice balance.PickResult) *result {
	r.attempts++
	r.call.attempt = r.delivered + 1
	r.triedUpstreams = append(r.triedUpstreams, choice.Upstream.ID)
	r.executedLocally = false
	if choice.Upstream.Address == r.f.cfg.PeerAddress {
		r.f.metrics.localAttempts.Inc()
		res := r.f.local.admitAndExecute(ctx, &r.call)
		r.executedLocally = res.delivered
		return res
	}
	return r.f.sendToPeer(ctx, choice.Upstream.Address, &r.call)
}

func (r *request) recordAttempt(choice balance.PickResult, res *result, elapsed time.Duration) {
	out := balance.DoneInfo{Latency: elapsed, LoadReport: res.loadReport, Bytes: r.call.bodyLength() + res.response.bodySize(), Route: r.call.route, TimedOut: r.timedOut(res, elapsed)}
	if res.failure != nil {
		out.Outcome, out.Reason, out.FromDependency = res.failure.Outcome, res.failure.Reason, res.failure.FromDependency
	}
	r.service.balancer.Done(r.f.cfg.Now(), choice, out)
	r.commitRetry(res.delivered)
	if res.delivered {
		r.delivered++
		if r.delivered == 1 && r.call.retryProbability > 0 {
			r.service.retryBudget.RecordRetries(r.f.cfg.Now(), r.call.retryProbability)
		}
	}
	if res.failure != nil && res.failure.Outcome != chain.NotRun {
		r.mayHaveExecuted = true
	}
}

// commitRetry settles a reserved retry in the retry budget, depending on whether the attempt
// was delivered.
func (r *request) commitRetry(delivered bool) {
	if r.retryReserved {
		r.retryReserved = false
		r.service.retryBudget.EndReservation(r.f.cfg.Now(), delivered)
	}
}

// lateRatio is the fraction of a request's time after which a failure of its upstream counts
// as a timeout.
const lateRatio = 0.8

// timedOut reports whether a request took too long for a reason attributable to the upstream.
// A request that its client cancelled, or that failed in a downstream dependency, does not
// count against the upstream.
func (r *request) timedOut(res *result, elapsed time.Duration) bool {
	f := res.failure
	if f == nil || f.FromDependency || !res.delivered || f.Reason == chain.ReasonCancelled {
		return false
	}
	return f.Reason == chain.ReasonDeadline || elapsed >= time.Duration(lateRatio*float64(r.deadline.Sub(r.receivedAt)))
}

// shouldRetry decides whether the request is sent to another upstream.
func (r *request) shouldRetry(ctx context.Context, res *result) bool {
	if res.failure == nil {
		return false
	}
	now := r.f.cfg.Now()
	if ctx.Err() != nil || r.deadline.Sub(now) < minRemainingToSend || r.attempts >= maxUpstreamsTried || r.call.stream != nil {
		return false
	}
	if !retryPermitted(r.call.kind, res) || r.f.isWithdrawn(&r.call) {
		return false
	}
	if r.delivered >= r.maxAttempts() {
		return false
	}
	if r.delivered > 0 && !r.service.retryBudget.Reserve(now, r.call.priority) {
		r.f.metrics.retriesDenied.Inc()
		r.f.recordDecision(&r.call, "no-repeat", chain.NewFailure(res.failure.Outcome, chain.ReasonRetryBudget, ""), now, now.Sub(r.receivedAt))
		return false
	}
	if r.delivered > 0 {
		r.f.metrics.retries.Inc()
		r.retryReserved = true
		r.call.retryProbability = 1
	}
	if res.response != nil {
		r.fallback.closeResponse()
		r.fallback = res
	}
	r.f.recordDecision(&r.call, "retry", res.failure, now, now.Sub(r.receivedAt))
	return true
}

func (r *result) closeResponse() {
	if r != nil {
		r.response.close()
	}
}

func (r *request) maxAttempts() int {
	if r.route.MaxAttempts > 0 {
		return r.route.MaxAttempts
	}
	return defaultMaxAttempts
}

// retryPermitted reports whether a failed attempt permits another one. A request that may
// have been executed is retried only if its route is idempotent, and not if it failed because
// of a downstream call, which has been retried there.
func retryPermitted(kind routing.RouteKind, res *result) bool {
	f := res.failure
	switch {
	case f.Reason == chain.ReasonCancelled, f.Reason == chain.ReasonDeadline, f.Reason == chain.ReasonTooLate, f.Reason == chain.ReasonBadRequest:
		return false
	case f.Outcome == chain.NotRun:
		return true
	case f.FromDependency:
		return false
	}
	return kind.IsIdempotent()
}

// finalResult selects the result for the client: the last one, or the response of an earlier
// attempt if the last attempt got none.
func (r *request) finalResult(last *result) *result {
	if last.response != nil || r.fallback == nil {
		if r.fallback != last {
			r.fallback.closeResponse()
		}
		if last.failure != nil && r.mayHaveExecuted && last.failure.Outcome == chain.NotRun {
			// An earlier attempt may have been executed, so the outcome of the
			// request is unknown although the last attempt was rejected.
			f := *last.failure
			f.Outcome = chain.Unknown
			return &result{failure: &f}
		}
		return last
	}
	return r.fallback
}

// respondResult writes the result as the response to the client.
func (r *request) respondResult(res *result) {
	if res.response == nil {
		r.respondError(res)
		return
	}
	defer res.response.close()
	resp := res.response
	r.respond(res.failure, &httpwire.ServerResponse{Status: resp.status, Header: resp.header, Body: resp.body, Stream: resp.stream, Length: resp.length})
}

// respondError writes a response that the daemon generates for a failure.
func (r *request) respondError(res *result) {
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if after, ok := r.retryAfter(res); ok {
		h["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	}
	body := []byte(res.failure.Outcome.String() + " (" + string(res.failure.Reason) + "): " + res.failure.Message + "\n")
	r.respond(res.failure, &httpwire.ServerResponse{Status: httpStatus(res.failure), Header: h, Body: body})
}

// httpStatus returns the HTTP status of a failure. A status that implies that the request
// was not executed is used only if it was not and will not be.
func httpStatus(f *chain.Failure) int {
	switch {
	case f.Outcome != chain.NotRun && f.Reason == chain.ReasonDeadline:
		return http.StatusGatewayTimeout
	case f.Outcome != chain.NotRun:
		return http.StatusBadGateway
	case f.Reason == chain.ReasonUnknownRoute, f.Reason == chain.ReasonBadRequest, f.Reason == chain.ReasonTooLarge, f.Reason == chain.ReasonSlowBody:
		return f.HTTPStatus()
	}
	return http.StatusServiceUnavailable
}

// defaultRetryAfter is the Retry-After of a rejection that states none.
const defaultRetryAfter = 500 * time.Millisecond

// noMemoryRetryAfter is the Retry-After of a rejection for which there was no room. By then, clients
// without progress have been asked to go.
const noMemoryRetryAfter = time.Second

// retryAfter returns the value of the Retry-After header, false if the client must not retry.
func (r *request) retryAfter(res *result) (time.Duration, bool) {
	if res.failure.Outcome != chain.NotRun || httpStatus(res.failure) != http.StatusServiceUnavailable {
		return 0, false
	}
	switch {
	case res.retryAfter > 0:
		return res.retryAfter, true
	case res.failure.Reason == chain.ReasonStopping:
		return shutdownRetryAfter, true
	case res.failure.Reason == chain.ReasonNoMemory:
		return noMemoryRetryAfter, true
	}
	return defaultRetryAfter, true
}

// respond writes the response and records the end of the request. Whether the client has
// disconnected is checked before the response is written, because a client may close the
// connection as soon as it has the response. The outcome is recorded before that as well,
// because the parent request may fail as soon as its call has the response.
func (r *request) respond(failure *chain.Failure, resp *httpwire.ServerResponse) {
	if failure != nil && r.exchange.ClientDisconnected() {
		failure = asClientCancelled(failure)
	}
	if r.route != nil {
		r.recordOutcome(failure)
	}
	if err := r.exchange.Respond(resp); err != nil {
		if failure == nil {
			failure = chain.WrapFailure(chain.OK, chain.ReasonCancelled, "the client disconnected before the response was complete", err)
		}
		failure = asClientCancelled(failure)
	}
	now := r.f.cfg.Now()
	r.f.metrics.recordResponse(failure, now.Sub(r.receivedAt))
	r.f.recordResponse(r, resp.Status, failure, now)
}

// recordOutcome reports the outcome of the request to the local upstream's parent correlation,
// as the request may be a call of the local upstream.
func (r *request) recordOutcome(failure *chain.Failure) {
	l, now := r.f.local, r.f.cfg.Now()
	failed := failure != nil && failure.Outcome != chain.OK
	l.parents.CallEnded(now, r.call.route, r.origin, !failed)
	if failed {
		l.recordFailure(now, r.call.route, failure, r.executedLocally)
	}
}

// asClientCancelled returns the failure of a request whose client did not receive the
// response.
func asClientCancelled(f *chain.Failure) *chain.Failure {
	if f.Reason == chain.ReasonCancelled {
		return f
	}
	return chain.WrapFailure(f.Outcome, chain.ReasonCancelled, "the client disconnected", f)
}
