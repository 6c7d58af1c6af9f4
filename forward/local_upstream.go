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
	"github.com/bilberrydeck/bilberrydeck/core/routing"
	"github.com/bilberrydeck/bilberrydeck/httpwire"
)

// local is the upstream beside this daemon, behind its gate. Since nobody else
// reaches the upstream, what the gate decides holds for all daemons, also for
// those that have not learnt it yet.
type local struct {
	f    *Forwarder
	pool httpwire.Pool

	mu       sync.Mutex
	presence *lifecycle.Tracker
	down     bool // connections to it fail
	changed  func(LocalUpstream)
	told     LocalUpstream // to changed

	gate       atomic.Pointer[admissionqueue.Queue]
	leaving    atomic.Bool               // the daemon stops, and takes no new work
	endBy      atomic.Pointer[time.Time] // by when all work ends, nil while no stop has begun
	load       runLoad
	lastFailed atomic.Int64               // steady nanoseconds of the last failure of what may be a call of the upstream
	lastFull   atomic.Int64               // the same, of those that found no room
	called     admission.CallerClassifier // which routes the upstream calls
	health     atomic.Pointer[admission.HealthTracker]
	// healthLogged is the state in the log, owned by watch.
	healthLogged admission.HealthState
	running      correlation.Tracker
	ctx          context.Context
}

// LocalUpstream is the state of the upstream beside the daemon.
type LocalUpstream struct {
	lifecycle.Incarnation
	Unreachable bool // connections to it fail
}

func newLocal(f *Forwarder) *local {
	l := &local{f: f, presence: lifecycle.NewTracker(f.cfg.Service), ctx: context.Background()}
	l.pool.Dial = l.dial
	l.health.Store(&admission.HealthTracker{})
	return l
}

func (l *local) dial(ctx context.Context) (net.Conn, error) {
	l.f.metrics.connections.Inc()
	d := net.Dialer{Timeout: localConnectTimeout}
	return d.DialContext(ctx, "tcp", l.f.cfg.UpstreamAddress)
}

// OnUpstreamChange registers a function that is told of each change of the
// local upstream. It must be called before Run.
func (f *Forwarder) OnUpstreamChange(changed func(LocalUpstream)) { f.local.changed = changed }

// HandleHeartbeat takes a report of the local upstream.
func (f *Forwarder) HandleHeartbeat(r lifecycle.Heartbeat) lifecycle.HeartbeatResult {
	l := f.local
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.presence.Current()
	verdict := l.presence.Observe(f.cfg.Now(), r)
	if verdict == lifecycle.Accepted {
		l.down = false
		l.update(before)
	}
	if verdict != lifecycle.Accepted || before.State != r.State || before.ID != r.ID {
		f.cfg.Logger.Info().Str("upstream", r.ID).Int64("born", r.StartedAtMs).Uint64("sequence", r.Sequence).Str("service", r.Service).
			Str("state", r.State.String()).Int("slots", r.Slots).Str("verdict", verdict.String()).Msg("upstream report")
	}
	return verdict
}

// DeregisterUpstream records that a run of the local upstream has left for good.
func (f *Forwarder) DeregisterUpstream(id string) {
	l := f.local
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.presence.Current()
	known := l.presence.Deregister(id)
	f.cfg.Logger.Info().Str("upstream", id).Bool("current", known).Msg("upstream left")
	if known {
		l.update(before)
	}
}

// update brings the gate in line with the upstream. The caller holds the mutex.
func (l *local) update(before lifecycle.Incarnation) {
	now := l.presence.Current()
	if now.ID != before.ID || now.StartedAtMs != before.StartedAtMs {
		l.pool.Clear()
		l.health.Store(&admission.HealthTracker{}) // nothing is known of the new run
	}
	g := l.gate.Load()
	switch {
	case now.State == lifecycle.Ready && (g == nil || now.ID != before.ID || now.StartedAtMs != before.StartedAtMs || g.Slots() != now.Slots):
		l.replaceGate(now)
	case now.State != lifecycle.Ready && g != nil:
		g.Drain()
	}
	l.tell(LocalUpstream{Incarnation: now, Unreachable: l.down})
}

// tell passes on a change. Each report moves the end of the warm-up a little,
// which is no change to others.
func (l *local) tell(u LocalUpstream) {
	same := l.told
	same.WarmUntil = u.WarmUntil
	if l.changed == nil || same == u {
		return
	}
	l.told = u
	l.changed(u)
}

func (l *local) replaceGate(u lifecycle.Incarnation) {
	g := admissionqueue.New(l.f.cfg.Now, admission.NewController(admission.Config{
		Slots: u.Slots, FixedLimit: true, HeadroomRatio: freeSlots, MaxQueue: queuePerSlot * u.Slots, StreamRatio: uploadShare, MinRemainingRatio: latestStart,
	}), u.Slots)
	if l.leaving.Load() {
		g.Drain()
	}
	if old := l.gate.Swap(g); old != nil {
		old.Drain()
		old.Close()
	}
	go g.Run(l.ctx)
}

const (
	// queuePerSlot is the number of requests that may wait for each slot. The
	// gate drops those that could not end in time, so this only bounds memory.
	queuePerSlot = 8
	// freeSlots is the part of the slots that is left free. Upstreams may slow down
	// when they are nearly full: a deep service whose load fills its slots then serves
	// less with the last of them than without. Where they do not, it costs a twentieth.
	freeSlots = 0.05
	// uploadShare is the part of the slots that uploads may take. A body is held
	// in memory before it is sent, so an upload is as short as other requests.
	uploadShare = 1
	// latestStart is the part of the usual time of a route that a request must have
	// left to be sent. Service times vary widely: with half of the usual time a
	// good part of the requests still ends well, and a call that is turned away
	// ends the request that made it.
	latestStart = 0.5
)

// drain refuses new work because the daemon stops.
func (l *local) drain() {
	l.leaving.Store(true)
	if g := l.gate.Load(); g != nil {
		g.Drain()
	}
}

// accepts reports why a call cannot run here, nil if it may enter the gate.
func (l *local) accepts(c *call) *chain.Failure {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.presence.Current()
	switch {
	case l.leaving.Load():
		return chain.NewFailure(chain.NotRun, chain.ReasonDraining, "the daemon beside the upstream stops")
	case l.outlasts(c):
		return chain.NewFailure(chain.NotRun, chain.ReasonStopping, "the daemon beside the upstream stops before the call has to end")
	case c.service != l.f.cfg.Service:
		return chain.NewFailure(chain.NotRun, chain.ReasonNoUpstream, "another service runs here")
	case now.State == lifecycle.Draining, now.State == lifecycle.Absent && now.ID == c.upstream && c.upstream != "":
		return chain.NewFailure(chain.NotRun, chain.ReasonDraining, "the upstream is leaving")
	case now.State == lifecycle.Absent:
		return chain.NewFailure(chain.NotRun, chain.ReasonNoUpstream, "no upstream has reported here")
	case l.down:
		return chain.NewFailure(chain.NotRun, chain.ReasonConnect, "the upstream accepts no connections")
	}
	return nil
}

// endAt announces when the daemon will have stopped.
func (l *local) endAt(end time.Time) { l.endBy.Store(&end) }

// outlasts reports whether a call may take longer than a daemon that stops is there.
func (l *local) outlasts(c *call) bool {
	end := l.endBy.Load()
	return end != nil && c.deadline.After(*end)
}

// run takes a call through the gate to the upstream. Ctx ends when the sender
// of the call has left or its time is over.
func (l *local) run(ctx context.Context, c *call) *result {
	f := l.accepts(c)
	if f == nil {
		f = l.unhealthy(c)
	}
	if f != nil {
		return l.refuse(c, f, 0)
	}
	g := l.gate.Load()
	entered := l.f.cfg.Now()
	t, after, failure := g.Acquire(ctx, admission.Request{Priority: c.atGates(), Deadline: c.deadline, StreamingUpload: c.kind == routing.Upload, Route: c.route})
	if failure != nil {
		return l.refuse(c, failure, after)
	}
	waited := l.f.cfg.Now().Sub(entered)
	l.f.metrics.gateWait.Update(waited.Seconds())
	l.f.recordGate(c, "admit", g.LoadReport(), nil, waited)
	r := l.admitted(ctx, c)
	g.Release(t, 0, admission.ExecutionResult{Succeeded: r.failure == nil || r.failure.Outcome == chain.NotRun || r.failure.FromDependency, Cancelled: isCancelled(r.failure)})
	report := g.LoadReport()
	r.report = &report
	return r
}

func isCancelled(f *chain.Failure) bool { return f != nil && f.Reason == chain.ReasonCancelled }

func (l *local) refuse(c *call, failure *chain.Failure, after time.Duration) *result {
	l.f.metrics.refused(failure)
	r := &result{failure: failure, retryAfter: after}
	if g := l.gate.Load(); g != nil {
		report := g.LoadReport()
		r.report = &report
		l.f.recordGate(c, "refuse", report, failure, 0)
		return r
	}
	l.f.record(c, "refuse", failure, l.f.cfg.Now(), 0)
	return r
}

// admitted sends a call that holds a slot. One that may not be repeated runs to
// its end even if its sender has left: breaking it off would leave open whether
// its work was done.
func (l *local) admitted(ctx context.Context, c *call) *result {
	begun := l.f.cfg.Now()
	health := l.health.Load()
	health.ExecutionStarted(begun, c.route)
	limit := c.remaining(begun)
	origin := &correlation.ParentRequest{ID: c.id, Route: c.route, Deadline: c.deadline, Priority: c.priority, RetryProbability: c.repeat, StartedAt: begun}
	l.running.RequestStarted(origin)
	l.load.begin(c.repeat)
	defer l.load.end(c.repeat)
	if !c.kind.IsIdempotent() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), max(c.remaining(begun)+answerMargin, 0))
		defer cancel()
	}
	r := l.send(ctx, c)
	took := l.f.cfg.Now().Sub(begun)
	l.running.RequestEnded(origin)
	if r.failure != nil && r.failure.Reason == chain.ReasonHandlerError {
		l.called.ExecutionFailed(l.f.cfg.Now())
		r.failure.FromDependency = l.lastFailed.Load() >= begun.UnixNano()
		r.failure.DependencyOverloaded = l.lastFull.Load() >= begun.UnixNano()
	}
	health.ExecutionEnded(begun.Add(took), c.route, took, runVerdict(r.failure, took, limit))
	l.f.metrics.ran(resultName(r.failure), took)
	l.f.record(c, "ran", r.failure, l.f.cfg.Now(), took)
	return r
}

// noteFailed records that a request at the entrance failed, there if it is here that it
// ran. Unless only clients use its route it may be a call of the upstream; a failure of
// the upstream while one failed elsewhere is taken as its consequence.
func (l *local) noteFailed(now time.Time, route string, f *chain.Failure, here bool) {
	l.called.RequestFailed(now, route)
	if here || l.called.ClientOnly(route) {
		return
	}
	l.lastFailed.Store(now.UnixNano())
	if f.IsOverload() {
		l.lastFull.Store(now.UnixNano())
	}
}

func resultName(f *chain.Failure) string {
	if f == nil {
		return chain.OK.String()
	}
	return f.Outcome.String()
}

// send carries out one exchange with the upstream.
func (l *local) send(ctx context.Context, c *call) *result {
	now := l.f.cfg.Now()
	if c.awaited {
		// Only now is the sender asked for the body. Until it has sent some of it,
		// it can be certain that the upstream has not seen the request.
		if f := c.readBody(c.stream, c.length); f != nil {
			return &result{failure: f}
		}
		now = l.f.cfg.Now()
	}
	remaining := c.remaining(now)
	if remaining < lastSend {
		return refused(chain.ReasonTooLate, "no time is left")
	}
	id := l.target(c)
	idle := peerIdle
	if !c.kind.IsIdempotent() {
		idle = safeIdle
	}
	conn, err := l.pool.Get(ctx, idle)
	if err != nil {
		return l.unreachable(ctx, err)
	}
	answer, err := conn.Do(ctx, l.outgoing(c, id, remaining))
	if err != nil {
		written := conn.Written()
		conn.Close()
		return l.broken(ctx, written, err)
	}
	return l.judge(ctx, conn, answer)
}

// target is the id of the upstream that is to run the call: the one that is here now.
// The sender may know of a former run, as after a restart of everything.
func (l *local) target(c *call) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.presence.Current(); now.State == lifecycle.Ready {
		return now.ID
	}
	return c.upstream
}

// outgoing is the request as the upstream gets it.
func (l *local) outgoing(c *call, id string, remaining time.Duration) *httpwire.ClientRequest {
	d := &l.f.cfg.HeaderNames
	h := c.header.Clone()
	h.Set(d.Deadline, strconv.FormatInt(max(remaining.Milliseconds(), 1), 10))
	h.Set(d.UpstreamID, id)
	out := c.out(h)
	out.MatchResponse = func(h http.Header) bool { return h.Get(d.RequestID) == c.id }
	return out
}

// unreachable types a connection that could not be opened.
func (l *local) unreachable(ctx context.Context, err error) *result {
	if ctx.Err() != nil {
		return &result{failure: chain.FailureFromContext(ctx, chain.NotRun, "ended before a connection to the upstream was open")}
	}
	l.markDown(err)
	return &result{failure: chain.WrapFailure(chain.NotRun, chain.ReasonConnect, "no connection to the upstream", err)}
}

// broken types an exchange without an answer.
func (l *local) broken(ctx context.Context, written int64, err error) *result {
	r := &result{arrived: written > 0}
	outcome := chain.Unknown
	if written == 0 {
		outcome = chain.NotRun
	}
	switch {
	case ctx.Err() != nil:
		r.failure = chain.FailureFromContext(ctx, outcome, "no answer of the upstream in time")
	case errors.Is(err, httpwire.ErrMismatch):
		r.failure = chain.WrapFailure(outcome, chain.ReasonCrossed, "the upstream answered other requests", err)
	default:
		r.failure = chain.WrapFailure(outcome, chain.ReasonUpstreamError, "the connection broke before the answer", err)
	}
	return r
}

// judge types an answer whose head was read.
func (l *local) judge(ctx context.Context, conn *httpwire.ClientConn, from *httpwire.ClientResponse) *result {
	d := &l.f.cfg.HeaderNames
	a, failure := readAnswer(ctx, from, func() { l.pool.Put(conn) })
	if failure != nil {
		conn.Close()
		return &result{failure: failure, arrived: true}
	}
	r := &result{arrived: true}
	switch {
	case from.Status == http.StatusMisdirectedRequest:
		l.replaced(from.Header.Get(d.ResponderID))
		r.failure = chain.NewFailure(chain.NotRun, chain.ReasonNoUpstream, "another upstream runs at this address")
	case from.Header.Get(d.NotExecuted) != "" && from.Status != http.StatusBadRequest:
		r.failure = chain.NewFailure(chain.NotRun, chain.ReasonUpstreamRefused, "the upstream refused the request")
	case from.Status >= http.StatusInternalServerError:
		r.failure = chain.NewFailure(chain.Failed, chain.ReasonHandlerError, "the upstream failed with status "+strconv.Itoa(from.Status))
		r.answer = a
	default:
		r.answer = a
	}
	if r.answer == nil {
		a.close()
	}
	return r
}

// runLoad counts what the upstream runs.
type runLoad struct {
	mu      sync.Mutex
	running int
	repeats float64 // of these, the expected number of those that repeat work
}

func (l *runLoad) begin(repeat float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running++
	l.repeats += repeat
}

func (l *runLoad) end(repeat float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	l.repeats -= repeat
}

// repeatShare is the probability that a call of the upstream belongs to a
// request that repeats work. The upstream does not tell which request a call
// belongs to.
func (l *runLoad) repeatShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == 0 {
		return 0
	}
	return min(max(l.repeats/float64(l.running), 0), 1)
}
