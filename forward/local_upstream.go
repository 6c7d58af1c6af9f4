package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberrydeck/bilberrydeck/admissionqueue"
	"github.com/bilberrydeck/bilberrydeck/core/admission"
	"github.com/bilberrydeck/bilberrydeck/core/chain"
	"github.com/bilberrydeck/bilberrydeck/core/correlation"
	"github.com/bilberrydeck/bilberrydeck/core/lifecycle"
	"github.com/bilberrydeck/bilberrydeck/httpwire"
)

// upstreamProxy forwards calls to the local upstream through its admission controller. All
// requests to the upstream pass it, so its decisions hold for all daemons, including those
// whose view of the fleet is outdated.
type upstreamProxy struct {
	f    *Forwarder
	pool httpwire.Pool

	mu           sync.Mutex
	tracker      *lifecycle.Tracker
	unreachable  bool // connecting to the upstream fails
	checkFailed  bool // a health check has ended without confirming the current incarnation
	onChange     func(LocalUpstream)
	lastNotified LocalUpstream // state last passed to onChange

	checkNow chan struct{} // receives a value when the health of the upstream is to be checked at once

	queue                  atomic.Pointer[admissionqueue.Queue] // nil before the upstream is ready
	stopping               atomic.Bool                          // the daemon is shutting down and accepts no new calls
	shutdownDeadline       atomic.Pointer[time.Time]            // end of all execution, nil before a shutdown
	load                   inFlightLoad
	lastDependencyFailure  atomic.Int64               // monotonic time in nanoseconds at which a request that may be a call of the upstream last failed
	lastDependencyOverload atomic.Int64               // the same for failures due to overload
	classifier             admission.CallerClassifier // determines which routes the upstream calls
	health                 atomic.Pointer[admission.HealthTracker]
	// loggedHealth is the last logged health state, owned by monitor.
	loggedHealth admission.HealthState
	parents      correlation.Tracker
	ctx          context.Context
}

// LocalUpstream is the state of the upstream on the daemon's VM.
type LocalUpstream struct {
	lifecycle.Incarnation
	Unreachable bool // connecting to the upstream fails
}

func newUpstreamProxy(f *Forwarder) *upstreamProxy {
	l := &upstreamProxy{f: f, tracker: lifecycle.NewTracker(f.cfg.Now(), f.cfg.Service), checkNow: make(chan struct{}, 1), ctx: context.Background()}
	l.pool.Dial = l.dial
	l.health.Store(&admission.HealthTracker{})
	return l
}

func (l *upstreamProxy) dial(ctx context.Context) (net.Conn, error) {
	l.f.metrics.connections.Inc()
	return dialHeld(ctx, l.f.ledger, net.Dialer{Timeout: localConnectTimeout}, l.f.cfg.UpstreamAddress)
}

// OnUpstreamChange registers a callback for each change of the local upstream. It must be
// called before Run.
func (f *Forwarder) OnUpstreamChange(onChange func(LocalUpstream)) { f.local.onChange = onChange }

// HandleHeartbeat records a heartbeat of the local upstream.
func (f *Forwarder) HandleHeartbeat(r lifecycle.Heartbeat) lifecycle.HeartbeatResult {
	l := f.local
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.tracker.Current()
	status := l.tracker.Observe(f.cfg.Now(), r, l.healthPath() != "")
	if status == lifecycle.Accepted {
		l.unreachable = false
		l.applyState(previous)
	}
	now := l.tracker.Current()
	if status != lifecycle.Accepted || previous.State != r.State || previous.ID != r.ID {
		f.cfg.Logger.Info().Str("upstream", r.ID).Int64("born", r.StartedAtMs).Uint64("sequence", r.Sequence).Str("service", r.Service).
			Str("state", r.State.String()).Int("slots", r.Slots).Str("verdict", status.String()).Str("upstream_state", now.State.String()).Msg("upstream report")
	}
	return status
}

// DeregisterUpstream records that an incarnation of the local upstream has deregistered.
func (f *Forwarder) DeregisterUpstream(id string) {
	l := f.local
	l.mu.Lock()
	defer l.mu.Unlock()
	previous := l.tracker.Current()
	known := l.tracker.Deregister(f.cfg.Now(), id)
	f.cfg.Logger.Info().Str("upstream", id).Bool("current", known).Msg("upstream left")
	if known {
		l.applyState(previous)
	}
}

// applyState updates the admission queue to the state of the upstream. The caller holds the
// mutex.
func (l *upstreamProxy) applyState(previous lifecycle.Incarnation) {
	now := l.tracker.Current()
	changed := now.ID != previous.ID || now.StartedAtMs != previous.StartedAtMs
	if changed {
		l.pool.CloseIdleConnections()
		l.health.Store(&admission.HealthTracker{}) // the new incarnation has no health history
		l.checkFailed = false
		l.requestHealthCheck()
	}
	q := l.queue.Load()
	switch {
	case now.State == lifecycle.Ready && (q == nil || changed || previous.State != lifecycle.Ready || q.Slots() != now.Slots):
		l.replaceQueue(now)
	case now.State != lifecycle.Ready && q != nil:
		q.Drain()
	}
	l.notify(LocalUpstream{Incarnation: now, Unreachable: l.unreachable})
}

// notify passes a changed state to onChange. A change of WarmUntil alone is ignored, because
// each heartbeat moves it slightly. An unconfirmed incarnation is not announced before its first
// health check has ended: after a restart of the daemon, the upstream would otherwise be withdrawn
// for the duration of the check.
func (l *upstreamProxy) notify(u LocalUpstream) {
	same := l.lastNotified
	same.WarmUntil = u.WarmUntil
	if l.onChange == nil || same == u || u.State == lifecycle.Unconfirmed && !l.checkFailed {
		return
	}
	l.lastNotified = u
	l.onChange(u)
}

func (l *upstreamProxy) replaceQueue(u lifecycle.Incarnation) {
	q := admissionqueue.New(l.f.cfg.Now, admission.NewController(admission.Config{
		Slots: u.Slots, FixedLimit: true, HeadroomRatio: headroomRatio, MaxQueue: queuePerSlot * u.Slots, StreamRatio: uploadRatio, MinRemainingRatio: minRemainingRatio,
	}), u.Slots)
	if l.stopping.Load() {
		q.Drain()
	}
	if old := l.queue.Swap(q); old != nil {
		old.Drain()
		old.Close()
	}
	go q.Run(l.ctx)
}

const (
	// queuePerSlot is the maximum number of queued requests per slot. It only bounds memory,
	// since the admission controller drops requests that cannot complete in time.
	queuePerSlot = 8
	// headroomRatio is the fraction of the slots that is left free. An upstream may slow down
	// when nearly all of its slots are in use: at the end of a long call chain, its throughput is
	// then lower with all slots in use than with this headroom. For upstreams that do not slow
	// down, the headroom costs a twentieth of the capacity.
	headroomRatio = 0.05
	// uploadRatio is the fraction of the slots that long uploads may use, whose senders can hold them
	// up. Other bodies are buffered before they are sent, so that their requests are as short as others.
	uploadRatio = 0.5
	// minRemainingRatio is the minimum remaining time of a request, as a fraction of its route's
	// mean execution time. Execution times vary widely, so many requests complete within half of
	// the mean, whereas the rejection of a call makes its parent request fail.
	minRemainingRatio = 0.5
)

// drain rejects new calls because the daemon is shutting down.
func (l *upstreamProxy) drain() {
	l.stopping.Store(true)
	if q := l.queue.Load(); q != nil {
		q.Drain()
	}
}

// checkAccepting returns the reason why a call cannot be executed here, nil if it may be
// passed to the admission controller.
func (l *upstreamProxy) checkAccepting(c *call) *chain.Failure {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.tracker.Current()
	switch {
	case l.stopping.Load():
		return chain.NewFailure(chain.NotRun, chain.ReasonDraining, "the daemon of the upstream is shutting down")
	case l.outlivesShutdown(c):
		return chain.NewFailure(chain.NotRun, chain.ReasonStopping, "the daemon of the upstream stops before the deadline of the call")
	case c.service != l.f.cfg.Service:
		return chain.NewFailure(chain.NotRun, chain.ReasonNoUpstream, "the upstream on this VM belongs to another service")
	case now.State == lifecycle.Draining, now.State == lifecycle.Absent && now.ID == c.upstream && c.upstream != "":
		return chain.NewFailure(chain.NotRun, chain.ReasonDraining, "the upstream is draining")
	case now.State == lifecycle.Absent:
		return chain.NewFailure(chain.NotRun, chain.ReasonNoUpstream, "no upstream has sent a heartbeat on this VM")
	case now.State == lifecycle.Unconfirmed:
		return chain.NewFailure(chain.NotRun, chain.ReasonNoUpstream, "the upstream may be leaving: its heartbeats may be old, and no health check has confirmed them")
	case l.unreachable:
		return chain.NewFailure(chain.NotRun, chain.ReasonConnect, "the upstream accepts no connections")
	}
	return nil
}

// setShutdownDeadline sets the time by which all execution ends.
func (l *upstreamProxy) setShutdownDeadline(end time.Time) { l.shutdownDeadline.Store(&end) }

// lastResponseMargin is the time from the deadline of a request until its response has been written:
// the time that the ingress waits for a response at the deadline, and the time to write it.
const lastResponseMargin = responseGraceTime + 50*time.Millisecond

// outlivesShutdown reports whether the response to a call may be due after the shutdown deadline.
func (l *upstreamProxy) outlivesShutdown(c *call) bool {
	end := l.shutdownDeadline.Load()
	return end != nil && c.deadline.Add(lastResponseMargin).After(*end)
}

// admitAndExecute passes a call through the admission controller to the upstream. ctx ends
// when the sender of the call cancels it or its deadline passes.
func (l *upstreamProxy) admitAndExecute(ctx context.Context, c *call) *result {
	f := l.checkAccepting(c)
	if f == nil {
		f = l.rejectUnhealthy(c)
	}
	if f != nil {
		return l.reject(c, f, 0)
	}
	q := l.queue.Load()
	enqueuedAt := l.f.cfg.Now()
	permit, retryAfter, failure := q.Acquire(ctx, admission.Request{Priority: c.admissionPriority(), Deadline: c.deadline, StreamingUpload: c.sendsLongBody(), Route: c.route})
	if failure != nil {
		return l.reject(c, failure, retryAfter)
	}
	queueTime := l.f.cfg.Now().Sub(enqueuedAt)
	l.f.metrics.queueWait.Update(queueTime.Seconds())
	l.f.recordAdmission(c, "admit", q.LoadReport(), nil, queueTime)
	r := l.execute(ctx, c)
	q.Release(permit, 0, admission.ExecutionResult{Succeeded: r.failure == nil || r.failure.Outcome == chain.NotRun || r.failure.FromDependency, Cancelled: isCancelled(r.failure)})
	report := q.LoadReport()
	r.loadReport = &report
	return r
}

func isCancelled(f *chain.Failure) bool { return f != nil && f.Reason == chain.ReasonCancelled }

func (l *upstreamProxy) reject(c *call, failure *chain.Failure, retryAfter time.Duration) *result {
	l.f.metrics.recordRejection(failure)
	r := &result{failure: failure, retryAfter: retryAfter}
	if q := l.queue.Load(); q != nil {
		report := q.LoadReport()
		r.loadReport = &report
		l.f.recordAdmission(c, "refuse", report, failure, 0)
		return r
	}
	l.f.recordDecision(c, "refuse", failure, l.f.cfg.Now(), 0)
	return r
}

// execute sends an admitted call to the upstream. A non-idempotent call continues after its
// sender has cancelled it, because interrupting it would leave open whether it was executed.
func (l *upstreamProxy) execute(ctx context.Context, c *call) *result {
	startedAt := l.f.cfg.Now()
	health := l.health.Load()
	health.ExecutionStarted(startedAt, c.route)
	remaining := c.remaining(startedAt)
	parent := &correlation.ParentRequest{ID: c.id, Route: c.route, Deadline: c.deadline, Priority: c.priority, RetryProbability: c.retryProbability, StartedAt: startedAt}
	l.parents.RequestStarted(parent)
	l.load.started(c.retryProbability)
	defer l.load.ended(c.retryProbability)
	endExchange := func() {}
	if !c.kind.IsIdempotent() {
		ctx, endExchange = context.WithTimeout(context.WithoutCancel(ctx), max(c.remaining(startedAt)+responseGraceTime, 0))
	}
	r := l.callUpstream(ctx, c)
	r.response.onRelease(endExchange) // a large response is read from the connection after the execution
	elapsed := l.f.cfg.Now().Sub(startedAt)
	l.parents.RequestEnded(parent)
	if r.failure != nil && r.failure.Reason == chain.ReasonHandlerError {
		l.classifier.ExecutionFailed(l.f.cfg.Now())
		r.failure.FromDependency = l.lastDependencyFailure.Load() >= startedAt.UnixNano()
		r.failure.DependencyOverloaded = l.lastDependencyOverload.Load() >= startedAt.UnixNano()
	}
	health.ExecutionEnded(startedAt.Add(elapsed), c.route, elapsed, healthSample(r.failure, elapsed, remaining))
	l.f.metrics.recordExecution(outcomeName(r.failure), elapsed)
	l.f.recordDecision(c, "ran", r.failure, l.f.cfg.Now(), elapsed)
	return r
}

// recordFailure records that a request at the ingress listener failed. executedLocally is set
// if the local upstream executed it. Unless only clients use its route, the request may be a
// call of the upstream: if it was executed elsewhere, a concurrent failure of the upstream is
// attributed to it.
func (l *upstreamProxy) recordFailure(now time.Time, route string, f *chain.Failure, executedLocally bool) {
	l.classifier.RequestFailed(now, route)
	if executedLocally || l.classifier.ClientOnly(route) {
		return
	}
	l.lastDependencyFailure.Store(now.UnixNano())
	if f.IsOverload() {
		l.lastDependencyOverload.Store(now.UnixNano())
	}
}

func outcomeName(f *chain.Failure) string {
	if f == nil {
		return chain.OK.String()
	}
	return f.Outcome.String()
}

// callUpstream sends the call to the upstream and reads the response.
func (l *upstreamProxy) callUpstream(ctx context.Context, c *call) *result {
	now := l.f.cfg.Now()
	if c.unread != nil {
		// The first read of the body sends the 100 Continue. Before the sender receives it, a
		// failure proves to it that the upstream has not received the request.
		if f := l.f.readBody(c, c.unread); f != nil {
			return &result{failure: f}
		}
		now = l.f.cfg.Now()
	}
	remaining := c.remaining(now)
	if remaining < minRemainingToSend {
		return rejected(chain.ReasonTooLate, "the remaining time is too short to send the request")
	}
	id := l.targetID(c)
	idle := peerIdleTimeout
	if !c.kind.IsIdempotent() {
		idle = nonIdempotentMaxIdle
	}
	conn, err := l.pool.Get(ctx, c.connectionReuse(idle))
	if err != nil {
		return l.connectFailure(ctx, err)
	}
	resp, err := conn.Do(ctx, l.upstreamRequest(c, id, remaining))
	if err != nil {
		written := conn.Written()
		conn.Close()
		return l.exchangeFailure(ctx, written, err)
	}
	return l.classifyResponse(ctx, c, conn, resp)
}

// targetID returns the id of the upstream that is to execute the call: the current
// incarnation, if one is ready. The sender may have chosen a previous one, for example after
// a restart of all daemons and upstreams.
func (l *upstreamProxy) targetID(c *call) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.tracker.Current(); now.State == lifecycle.Ready {
		return now.ID
	}
	return c.upstream
}

// upstreamRequest returns the request as it is sent to the upstream.
func (l *upstreamProxy) upstreamRequest(c *call, id string, remaining time.Duration) *httpwire.ClientRequest {
	names := &l.f.cfg.HeaderNames
	req := c.clientRequest(
		httpwire.HeaderField{Name: names.Deadline, Value: strconv.FormatInt(max(remaining.Milliseconds(), 1), 10)},
		httpwire.HeaderField{Name: names.UpstreamID, Value: id},
	)
	req.MatchResponse = func(h http.Header) bool { return h.Get(names.RequestID) == c.id }
	return req
}

// connectFailure classifies a failure to connect to the upstream.
func (l *upstreamProxy) connectFailure(ctx context.Context, err error) *result {
	if ctx.Err() != nil {
		return &result{failure: chain.FailureFromContext(ctx, chain.NotRun, "cancelled or expired before a connection to the upstream was open")}
	}
	if errors.Is(err, errNoConnection) {
		return &result{failure: noConnectionFailure(err)}
	}
	l.markUnreachable(err)
	return &result{failure: chain.WrapFailure(chain.NotRun, chain.ReasonConnect, "no connection to the upstream", err)}
}

// exchangeFailure classifies an exchange that got no response.
func (l *upstreamProxy) exchangeFailure(ctx context.Context, written int64, err error) *result {
	r := &result{delivered: written > 0}
	outcome := chain.Unknown
	if written == 0 {
		outcome = chain.NotRun
	}
	switch {
	case ctx.Err() != nil:
		r.failure = chain.FailureFromContext(ctx, outcome, "cancelled or expired before the upstream responded")
	case errors.Is(err, httpwire.ErrMismatch):
		r.failure = chain.WrapFailure(outcome, chain.ReasonCrossed, "the responses on the connection belong to other requests", err)
	default:
		r.failure = chain.WrapFailure(outcome, chain.ReasonUpstreamError, "the connection to the upstream failed before the response", err)
	}
	return r
}

// classifyResponse classifies a response whose head was read, and reads its body.
func (l *upstreamProxy) classifyResponse(ctx context.Context, c *call, conn *httpwire.ClientConn, from *httpwire.ClientResponse) *result {
	names := &l.f.cfg.HeaderNames
	contradicted := false
	resp, failure := readResponse(ctx, from, l.f.buffers, c.holder, func() {
		// A rejection that is followed by another response does not prove anything.
		contradicted = isRejection(from, names) && conn.HasExcessInput()
		l.pool.Put(conn)
	})
	if failure != nil {
		return &result{failure: failure, delivered: true}
	}
	r := &result{delivered: true}
	switch {
	case contradicted:
		r.failure = chain.NewFailure(chain.Unknown, chain.ReasonCrossed, "the upstream sent more than the rejection of the request")
	case from.Status == http.StatusMisdirectedRequest:
		l.markReplaced(from.Header.Get(names.ResponderID))
		r.failure = chain.NewFailure(chain.NotRun, chain.ReasonNoUpstream, "another upstream runs at this address")
	case isRejection(from, names):
		r.failure = chain.NewFailure(chain.NotRun, chain.ReasonUpstreamRefused, "the upstream rejected the request without executing it")
	case from.Status >= http.StatusInternalServerError:
		r.failure = chain.NewFailure(chain.Failed, chain.ReasonHandlerError, "the upstream responded with status "+strconv.Itoa(from.Status))
		r.response = resp
	default:
		r.response = resp
	}
	if r.response == nil {
		resp.close()
	}
	return r
}

// isRejection reports whether a response says that the request was not executed. One with status 400
// says so as well, but another upstream would respond alike.
func isRejection(from *httpwire.ClientResponse, names *HeaderNames) bool {
	return from.Status == http.StatusMisdirectedRequest || from.Header.Get(names.NotExecuted) != "" && from.Status != http.StatusBadRequest
}

// inFlightLoad counts the calls in flight at the upstream and the expected retries among them.
type inFlightLoad struct {
	mu       sync.Mutex
	inFlight int
	retries  float64 // expected number of retries among them
}

func (l *inFlightLoad) started(probability float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight++
	l.retries += probability
}

func (l *inFlightLoad) ended(probability float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	l.retries -= probability
}

// retryRatio is the probability that a call of the upstream belongs to a retried request, if
// it is unknown which of the requests in flight issued the call.
func (l *inFlightLoad) retryRatio() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight == 0 {
		return 0
	}
	return min(max(l.retries/float64(l.inFlight), 0), 1)
}
