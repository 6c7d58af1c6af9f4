package forward

import (
	"bytes"
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

// request is one request at the entrance.
type request struct {
	f        *Forwarder
	x        *httpwire.ServerExchange
	arrived  time.Time
	route    *routing.Route
	service  *service
	throttle *admission.AdaptiveThrottle // of the route
	call     call
	from     correlation.Origin // what is known of its origin
	client   time.Duration      // that the client waits; 0 if it did not say
	limit    time.Time          // when it must be answered

	tries   int      // upstreams asked
	sends   int      // of these, upstreams that the request arrived at
	repeat  bool     // a repeat is reserved in the retry budget
	tried   []string // upstream ids
	mayRun  bool     // an earlier attempt may have run
	ranHere bool     // the last attempt reached the local upstream
	held    *result  // answer of a failed attempt, passed on if no other succeeds
}

// serveEntrance answers one request of a client or of the local upstream.
func (f *Forwarder) serveEntrance(x *httpwire.ServerExchange) {
	f.metrics.clients.Inc()
	r := &request{f: f, x: x, arrived: f.cfg.Now()}
	r.call.id = x.Request.Header.Get(f.cfg.HeaderNames.RequestID)
	if failure := r.prepare(); failure != nil {
		r.refuse(&result{failure: failure})
		return
	}
	f.recordReceived(r)
	ctx, cancel := context.WithDeadline(x.Context(), x.Arrived.Add(r.limit.Sub(r.arrived)+r.margin()))
	defer cancel()
	res := r.mayBeCut()
	if res == nil {
		res = r.turnAway()
	}
	if res == nil {
		res = r.run(ctx)
		r.throttle.RecordResult(f.cfg.Now(), res.failure)
	}
	r.finish(res)
}

// stopComeBack is when a client may try again that a stopping daemon refused: another
// daemon can take the request now, and only the new connection takes time.
const stopComeBack = 50 * time.Millisecond

// mayBeCut refuses a request that comes late in a planned stop and may outlast the
// daemon. It is nil if the request may go on.
func (r *request) mayBeCut() *result {
	l := r.f.local
	if !l.leaving.Load() || !l.outlasts(&r.call) {
		return nil
	}
	res := refused(chain.ReasonStopping, "the daemon stops before the request has to end")
	res.retryAfter = stopComeBack
	return res
}

// turnAway refuses a request early if too many of its route fail further down, and
// is nil if it may go on. A call of the local upstream always does: turned away, it
// would end the request that made it.
func (r *request) turnAway() *result {
	now := r.f.cfg.Now()
	if r.from.Parent != nil || !r.f.local.called.ClientOnly(r.call.route) || r.throttle.Allow(now, r.call.priority) {
		return nil
	}
	failure := chain.NewFailure(chain.NotRun, chain.ReasonDownstream, "services below turn away too many calls of this route")
	r.f.recordThrottle(r, r.throttle.RejectRatio(now, r.call.priority), failure, now)
	return &result{failure: failure, retryAfter: admission.RetryAfter(r.call.priority)}
}

// margin is how long the entrance waits past the limit. Past the time of the
// client nobody waits any more.
func (r *request) margin() time.Duration {
	if r.client > 0 && r.limit.Sub(r.arrived) >= r.client {
		return 0
	}
	return answerMargin
}

// prepare finds the route and reads what the request says.
func (r *request) prepare() *chain.Failure {
	f, req := r.f, r.x.Request
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
	r.service = v.services[v.splits[r.route].Next()]
	r.throttle = v.throttles[r.route.Name]
	r.client = clientWait(req.Header.Get(f.cfg.HeaderNames.Deadline))
	r.limit = r.arrived.Add(waitFor(r.route, r.client))
	r.call = call{
		id: r.call.id, route: word(r.route.Name), kind: r.route.Kind, service: r.service.name, deadline: r.limit,
		method: req.Method, target: req.RequestURI, host: req.Host, header: httpwire.EndToEnd(req.Header),
	}
	stripOwn(r.call.header)
	r.call.header[f.cfg.HeaderNames.Caller] = []string{f.cfg.Service}
	r.findOrigin()
	return r.readBody()
}

// findOrigin finds out whether the request is a call of the local upstream, and for which
// request. Such a call is as important as that one, if that is more than its route is, and
// gets the same verdict at gates as the other calls of it. Without the other calls it would
// be of no use.
func (r *request) findOrigin() {
	l, c := r.f.local, &r.call
	class := classOf(r.route.Rank)
	wait := r.client
	if wait <= 0 {
		wait = r.limit.Sub(r.arrived)
	}
	r.from = l.running.FindParent(r.arrived, c.route, wait)
	c.later = r.from.Subsequent
	if q := r.from.Parent; q != nil {
		c.priority, c.repeat = q.Priority.RaiseToClass(class), q.RetryProbability
		return
	}
	c.priority, c.repeat = chain.NewPriority(class, c.id), l.load.repeatShare()
}

// classOf maps the rank of a route, 0 being the highest, to a class.
func classOf(rank int) chain.Class {
	switch {
	case rank <= 0:
		return chain.Critical
	case rank == 1:
		return chain.Default
	}
	return chain.Sheddable
}

// clientWait reads the time that a client waits; 0 if it does not say.
func clientWait(value string) time.Duration {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxWait)
}

// readBody holds a small body in memory, so that its client neither occupies a
// slot while it sends nor has to send again.
func (r *request) readBody() *chain.Failure {
	b := r.x.Body
	if b == nil {
		return nil
	}
	if b.Length > wholeBody {
		r.call.stream, r.call.length = b, b.Length
		return nil
	}
	return r.call.readBody(b, b.Length)
}

// readBody reads a body whole if it is small, or else its beginning.
func (c *call) readBody(from io.Reader, length int64) *chain.Failure {
	body, err := io.ReadAll(io.LimitReader(from, wholeBody))
	switch {
	case err != nil:
		return bodyFailure(err)
	case len(body) == wholeBody:
		c.stream, c.length = io.MultiReader(bytes.NewReader(body), from), length
	default:
		c.body, c.stream, c.length = body, nil, 0
	}
	return nil
}

func bodyFailure(err error) *chain.Failure {
	if errors.Is(err, httpwire.ErrBodyTooLarge) {
		return chain.WrapFailure(chain.NotRun, chain.ReasonTooLarge, "the body exceeds the limit", err)
	}
	return chain.WrapFailure(chain.NotRun, chain.ReasonSlowBody, "the body could not be read", err)
}

// run tries upstreams until one answers or none may be tried any more.
func (r *request) run(ctx context.Context) *result {
	r.service.budget.RecordRequest(r.f.cfg.Now(), r.call.priority)
	defer r.settleRepeat(false)
	var res *result
	for {
		choice, failure := r.pick()
		switch {
		case failure != nil && res != nil:
			return r.settle(res) // the attempt before tells more than that there is no other upstream
		case failure != nil:
			return r.settle(&result{failure: failure})
		}
		begun := r.f.cfg.Now()
		res = r.attempt(ctx, choice)
		r.done(choice, res, r.f.cfg.Now().Sub(begun))
		if !r.again(ctx, res) {
			return r.settle(res)
		}
	}
}

func (r *request) pick() (balance.PickResult, *chain.Failure) {
	now := r.f.cfg.Now()
	choice, failure := r.service.balancer.Pick(now, balance.PickInfo{
		Priority: r.call.atGates(), Exclude: r.tried, BodyBytes: max(r.call.bodyLength(), 0), Retry: r.tries > 0, Route: r.call.route,
		Remaining: r.limit.Sub(now),
	})
	if failure == nil {
		r.call.upstream, r.call.spare = choice.Upstream.ID, choice.HasAlternative
		r.f.recordChoice(&r.call, choice, now, now.Sub(r.arrived))
	}
	return choice, failure
}

// attempt sends the call to one upstream.
func (r *request) attempt(ctx context.Context, choice balance.PickResult) *result {
	r.tries++
	r.call.attempt = r.sends + 1
	r.tried = append(r.tried, choice.Upstream.ID)
	r.ranHere = false
	if choice.Upstream.Address == r.f.cfg.PeerAddress {
		r.f.metrics.localSends.Inc()
		res := r.f.local.run(ctx, &r.call)
		r.ranHere = res.arrived
		return res
	}
	return r.f.sendToPeer(ctx, choice.Upstream.Address, &r.call)
}

func (r *request) done(choice balance.PickResult, res *result, took time.Duration) {
	out := balance.DoneInfo{Latency: took, LoadReport: res.report, Bytes: r.call.bodyLength() + res.answer.size(), Route: r.call.route, TimedOut: r.missed(res, took)}
	if res.failure != nil {
		out.Outcome, out.Reason, out.FromDependency = res.failure.Outcome, res.failure.Reason, res.failure.FromDependency
	}
	r.service.balancer.Done(r.f.cfg.Now(), choice, out)
	r.settleRepeat(res.arrived)
	if res.arrived {
		r.sends++
		if r.sends == 1 && r.call.repeat > 0 {
			r.service.budget.RecordRetries(r.f.cfg.Now(), r.call.repeat)
		}
	}
	if res.failure != nil && res.failure.Outcome != chain.NotRun {
		r.mayRun = true
	}
}

// settleRepeat tells the retry budget whether a reserved repeat has arrived.
func (r *request) settleRepeat(arrived bool) {
	if r.repeat {
		r.repeat = false
		r.service.budget.Commit(r.f.cfg.Now(), arrived)
	}
}

// latePart is the part of the time of a request after which a failure of its
// upstream counts as an answer that came too late.
const latePart = 0.8

// missed reports whether an upstream took too long for a request, for a reason of
// its own. A request that its client gave up, or that failed with a call further
// down, says nothing of the upstream.
func (r *request) missed(res *result, took time.Duration) bool {
	f := res.failure
	if f == nil || f.FromDependency || !res.arrived || f.Reason == chain.ReasonCancelled {
		return false
	}
	return f.Reason == chain.ReasonDeadline || took >= time.Duration(latePart*float64(r.limit.Sub(r.arrived)))
}

// again decides whether another upstream is tried.
func (r *request) again(ctx context.Context, res *result) bool {
	if res.failure == nil {
		return false
	}
	now := r.f.cfg.Now()
	if ctx.Err() != nil || r.limit.Sub(now) < lastSend || r.tries >= maxTries || r.call.stream != nil {
		return false
	}
	if !mayRepeat(r.call.kind, res) {
		return false
	}
	if r.sends >= r.maxAttempts() {
		return false
	}
	if r.sends > 0 && !r.service.budget.Reserve(now, r.call.priority) {
		r.f.metrics.denied.Inc()
		r.f.record(&r.call, "no-repeat", chain.NewFailure(res.failure.Outcome, chain.ReasonRetryBudget, ""), now, now.Sub(r.arrived))
		return false
	}
	if r.sends > 0 {
		r.f.metrics.repeats.Inc()
		r.repeat = true
		r.call.repeat = 1
	}
	if res.answer != nil {
		r.held.release()
		r.held = res
	}
	r.f.record(&r.call, "retry", res.failure, now, now.Sub(r.arrived))
	return true
}

func (r *result) release() {
	if r != nil {
		r.answer.close()
	}
}

func (r *request) maxAttempts() int {
	if r.route.MaxAttempts > 0 {
		return r.route.MaxAttempts
	}
	return defaultAttempts
}

// mayRepeat reports whether a failed attempt permits another one. What may have
// run is repeated only if its route allows that, and not if it failed because of
// a call further down, which was repeated there.
func mayRepeat(kind routing.RouteKind, res *result) bool {
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

// settle chooses what the client gets: the last result, or an answer that an
// earlier attempt got if the last one has none.
func (r *request) settle(last *result) *result {
	if last.answer != nil || r.held == nil {
		if r.held != last {
			r.held.release()
		}
		if last.failure != nil && r.mayRun && last.failure.Outcome == chain.NotRun {
			// An earlier attempt may have run, so the refusal of the last one does
			// not hold for the request.
			f := *last.failure
			f.Outcome = chain.Unknown
			return &result{failure: &f}
		}
		return last
	}
	return r.held
}

// finish answers the client.
func (r *request) finish(res *result) {
	if res.answer == nil {
		r.refuse(res)
		return
	}
	defer res.answer.close()
	a := res.answer
	r.respond(res.failure, &httpwire.ServerResponse{Status: a.status, Header: a.header, Body: a.body, Stream: a.stream, Length: a.length})
}

// refuse answers with a failure of the daemons themselves.
func (r *request) refuse(res *result) {
	h := http.Header{"Content-Type": {"text/plain; charset=utf-8"}}
	if after, ok := r.comeBack(res); ok {
		h["Retry-After"] = []string{strconv.FormatFloat(after.Seconds(), 'f', 3, 64)}
	}
	body := []byte(res.failure.Outcome.String() + " (" + string(res.failure.Reason) + "): " + res.failure.Message + "\n")
	r.respond(res.failure, &httpwire.ServerResponse{Status: statusOf(res.failure), Header: h, Body: body})
}

// statusOf is the status of a failure. Only a request that has not run and will
// not run gets a status that says so.
func statusOf(f *chain.Failure) int {
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

// defaultComeBack is when a refused client may come back if the refusing part
// gave no time.
const defaultComeBack = 500 * time.Millisecond

// comeBack tells when a client may try again.
func (r *request) comeBack(res *result) (time.Duration, bool) {
	if res.failure.Outcome != chain.NotRun || statusOf(res.failure) != http.StatusServiceUnavailable {
		return 0, false
	}
	if res.retryAfter > 0 {
		return res.retryAfter, true
	}
	return defaultComeBack, true
}

// respond writes the answer and records the end of the request. Whether the client
// has left is asked before, since one that has its answer may leave at once. A failure
// is noted before, since a run whose call failed may fail as soon as it has the answer.
func (r *request) respond(failure *chain.Failure, resp *httpwire.ServerResponse) {
	if failure != nil && r.x.ClientGone() {
		failure = leftEarly(failure)
	}
	if r.route != nil {
		r.noteEnd(failure)
	}
	if err := r.x.Respond(resp); err != nil {
		if failure == nil {
			failure = chain.WrapFailure(chain.OK, chain.ReasonCancelled, "the client left before the end of the answer", err)
		}
		failure = leftEarly(failure)
	}
	now := r.f.cfg.Now()
	r.f.metrics.answered(failure, now.Sub(r.arrived))
	r.f.recordAnswer(r, resp.Status, failure, now)
}

// noteEnd tells the local upstream's record what became of a request that it may have made.
func (r *request) noteEnd(failure *chain.Failure) {
	l, now := r.f.local, r.f.cfg.Now()
	failed := failure != nil && failure.Outcome != chain.OK
	l.running.CallEnded(now, r.call.route, r.from, !failed)
	if failed {
		l.noteFailed(now, r.call.route, failure, r.ranHere)
	}
}

// leftEarly is the failure of a request whose client does not get its answer.
func leftEarly(f *chain.Failure) *chain.Failure {
	if f.Reason == chain.ReasonCancelled {
		return f
	}
	return chain.WrapFailure(f.Outcome, chain.ReasonCancelled, "the client has left", f)
}
